"""Say what the request path needs from an interface that translates messages."""

from typing import Protocol

from turmericproxy.core import Refusal
from turmericproxy.core.ids import InstanceId
from turmericproxy.edge import AnswerHead, ClientRequest
from turmericproxy.traffic.requests import Dispatch, ParsedAnswer, ParsedRequest


class VersionResolver(Protocol):
    """Ask an engine which weights it has."""

    async def refresh_versions(self, instance: InstanceId) -> None:
        """Learn an engine's versions from itself."""

    async def replace_upstream(
        self, instance: InstanceId, address: str, successor: InstanceId
    ) -> None:
        """Learn of an engine that has taken another one's address."""


class MessageCodec(Protocol):
    """Translate messages between the wire and the request path."""

    def read_request(self, request: ClientRequest) -> ParsedRequest | Refusal:
        """Return what a client asks, or a refusal if its fields can't be read."""

    def write_request(self, inquiry: ParsedRequest, dispatch: Dispatch) -> bytes:
        """Return the bytes that an upstream gets."""

    def read_answer(
        self, inquiry: ParsedRequest, dispatch: Dispatch, head: AnswerHead
    ) -> ParsedAnswer:
        """Return what an upstream's answer means."""

    def write_refusal(
        self, inquiry: ParsedRequest | None, refusal: Refusal
    ) -> tuple[int, list[tuple[str, str]]]:
        """Return status and header fields of a refusal."""
