"""Request state that the filters, the dispatcher and the exchange share."""

from dataclasses import dataclass, field

from turmericproxy.edge import AnswerWriter
from turmericproxy.traffic.attempts import AttemptCounts
from turmericproxy.traffic.requests import ParsedRequest
from turmericproxy.traffic.site import Account, Route, Service, Site


@dataclass
class RoutedRequest:
    """A parsed request with its route, service and account, and its attempts so far.

    ``cost`` is what the account has been charged, in tokens or requests. ``deadline`` is a time of
    the event loop, in seconds.
    """

    parsed: ParsedRequest
    writer: AnswerWriter
    site: Site
    route: Route
    service: Service
    account: Account | None = None
    cost: int = 0
    deadline: float = 0.0
    attempt_counts: AttemptCounts = field(default_factory=AttemptCounts)

    @property
    def priority(self) -> int:
        """Return the priority; that of the account, if set, overrides that of the route."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
