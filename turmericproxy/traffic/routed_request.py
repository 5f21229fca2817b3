"""Carry one request through the filters."""

from dataclasses import dataclass, field

from turmericproxy.edge import AnswerWriter
from turmericproxy.traffic.attempts import History
from turmericproxy.traffic.requests import ParsedRequest
from turmericproxy.traffic.site import Account, Route, Service, Site


@dataclass
class Passage:
    """Gather what the filters find out about one request.

    ``cost`` is what the account has been charged, in its unit.
    """

    inquiry: ParsedRequest
    writer: AnswerWriter
    site: Site
    route: Route
    service: Service
    account: Account | None = None
    cost: int = 0
    deadline: float = 0.0
    history: History = field(default_factory=History)

    @property
    def priority(self) -> int:
        """Return the rank of the request; that of the account goes before the route's."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
