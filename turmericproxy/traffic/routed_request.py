"""Request state that the filters, the dispatcher and the exchange share."""

from dataclasses import dataclass, field

from turmericproxy.core.memory import Holding, open_unlimited
from turmericproxy.edge import AnswerWriter
from turmericproxy.limits.permits import Applicant
from turmericproxy.traffic.attempts import AttemptCounts
from turmericproxy.traffic.requests import ParsedRequest
from turmericproxy.traffic.site import Account, Route, Service, Site


@dataclass
class RoutedRequest:
    """A parsed request with its route, service and account, and its attempts so far.

    ``cost`` is what the account has been charged, in tokens or requests. ``deadline`` is a time of
    the event loop, in seconds. ``holding`` is what the host keeps of the answer.
    ``is_for_new_version`` tells whether it was drawn for a new version of the service's software,
    ``None`` before that.
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
    is_for_new_version: bool | None = None
    holding: Holding = field(default_factory=open_unlimited)

    def hold(self, holding: Holding) -> None:
        """Release what is held of the last attempt's answer, and use a holding for the next."""
        self.holding.close()
        self.holding = holding

    async def release(self) -> None:
        """Hold nothing any more once the client's connection has taken a finished answer."""
        try:
            if self.holding.size and self.writer.is_finished:
                await self.writer.drain()
        finally:
            self.holding.close()

    @property
    def priority(self) -> int:
        """Return the priority; that of the account, if set, overrides that of the route."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def create_applicant(request: RoutedRequest) -> Applicant:
    """Return what decides when a request gets a permit for a limited upstream."""
    account = request.account.name if request.account else None
    return Applicant(request.parsed.request_id, request.priority, account)


def build_private_space(request: RoutedRequest) -> str | None:
    """Return a cache space of its own for a request to an engine whose prompt isn't described.

    Without one, engines share its parts with all such requests, whatever their account and version.
    """
    if request.service.engine is None:
        return None
    return f"request-{request.parsed.request_id}"
