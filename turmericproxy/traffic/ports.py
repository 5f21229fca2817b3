"""Say what the request path needs from an interface that translates messages."""

from typing import Protocol

from turmericproxy.core import Refusal
from turmericproxy.core.ids import InstanceId
from turmericproxy.edge import AnswerHead, ClientRequest
from turmericproxy.traffic.requests import Dispatch, Inquiry, Reading


class VersionInquirer(Protocol):
    """Ask an engine which weights it has."""

    async def inquire(self, instance: InstanceId) -> None:
        """Learn an engine's versions from itself."""

    async def adopt(self, instance: InstanceId, address: str, successor: InstanceId) -> None:
        """Learn of an engine that has taken another one's address."""


class MessageCodec(Protocol):
    """Translate messages between the wire and the request path."""

    def read_request(self, request: ClientRequest) -> Inquiry | Refusal:
        """Return what a client asks, or a refusal if its fields can't be read."""

    def write_request(self, inquiry: Inquiry, dispatch: Dispatch) -> bytes:
        """Return the bytes that an upstream gets."""

    def read_answer(self, inquiry: Inquiry, dispatch: Dispatch, head: AnswerHead) -> Reading:
        """Return what an upstream's answer means."""

    def write_refusal(
        self, inquiry: Inquiry | None, refusal: Refusal
    ) -> tuple[int, list[tuple[str, str]]]:
        """Return status and header fields of a refusal."""
