"""Check that the answer of another upstream continues a stream that broke off."""

from dataclasses import dataclass

from turmericproxy.edge import AnswerHead
from turmericproxy.traffic.events import Events


@dataclass(frozen=True, slots=True)
class BegunStream:
    """Hold the head of a stream of which the client has received events."""

    status: int
    content_type: str | None

    def find_fault(self, head: AnswerHead) -> str | None:
        """Return why an answer can't continue the stream, ``None`` if it may."""
        if head.status != self.status:
            return f"status {head.status} does not continue a stream of status {self.status}"
        content_type = head.headers.get("content-type")
        if content_type != self.content_type:
            return f"content type {content_type} does not continue one of {self.content_type}"
        return None


def create_begun_stream(head: AnswerHead) -> BegunStream:
    """Return what later answers of a stream must agree with."""
    return BegunStream(head.status, head.headers.get("content-type"))


def is_continued(last_id: str | None, events: Events) -> bool:
    """Return whether the first event of an answer comes after the last one of the stream.

    Without ids nothing shows where an answer goes on.

    >>> is_continued("2", Events(b"", "3", "3")), is_continued("2", Events(b"", "3", "1"))
    (True, False)
    """
    first_id = events.first_id
    if last_id is None or first_id is None:
        return False
    if last_id.isdecimal() and first_id.isdecimal():
        return int(first_id) > int(last_id)
    return first_id != last_id
