"""Interfaces that the request path requires of other packages."""

from typing import Protocol

from turmericproxy.core import Refusal
from turmericproxy.core.ids import InstanceId
from turmericproxy.edge import AnswerHead, ClientRequest
from turmericproxy.traffic.requests import Dispatch, ParsedAnswer, ParsedRequest


class VersionResolver(Protocol):
    """Update the state of an engine that answered as another instance or with other weights."""

    async def refresh_versions(self, instance: InstanceId) -> None:
        """Read the weight versions of an engine from the engine itself."""

    def supersede_upstream(self, instance: InstanceId, address: str) -> None:
        """Record that another upstream answered at the address of ``instance``."""


class MessageCodec(Protocol):
    """Convert between HTTP messages and the types of the request path."""

    def read_request(self, request: ClientRequest) -> ParsedRequest | Refusal:
        """Parse a client request; return a refusal if its header fields are invalid."""

    def write_request(self, parsed: ParsedRequest, dispatch: Dispatch) -> bytes:
        """Return the bytes to send to the upstream."""

    def read_answer(
        self, parsed: ParsedRequest, dispatch: Dispatch, head: AnswerHead
    ) -> ParsedAnswer:
        """Classify an answer by its head and parse its header fields."""

    def write_refusal(
        self, parsed: ParsedRequest | None, refusal: Refusal
    ) -> tuple[int, list[tuple[str, str]]]:
        """Return the status and header fields of a refusal."""
