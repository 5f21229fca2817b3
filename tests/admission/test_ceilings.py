"""Check ceilings that operators set on the share of a service's slots."""

from tests.admission.support import LONG, SERVICE, SHORT, Fleet, create_registry, create_request
from turmericproxy.admission import AdmissionController
from turmericproxy.admission.ceilings import Ceiling, compute_allowed
from turmericproxy.core import AccountName, HostName, Refusal, ResultCode
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.registry import Work
from turmericproxy.traffic.placements import Placement

ACCOUNT = Ceiling(SERVICE, AccountName("a"), None, 0.1)
PRIORITY = Ceiling(SERVICE, None, 1, 0.05)


class Caller:
    """Offer requests of an otherwise idle fleet's first account to one controller."""

    def __init__(self, *ceilings: Ceiling) -> None:
        self.fleet = Fleet(lambda now, kind, account: 0.0, hosts=1)
        self.registry = self.fleet.registries[0]
        self.controller = AdmissionController(
            self.registry,
            dict,
            lambda domain: False,
            lambda: self.fleet.now,
            self.fleet.metrics,
            ceilings,
        )
        self.number = 0

    def offer(self, account: int = 0, kind: str = "long") -> Placement | Refusal:
        self.number += 1
        chosen = LONG if kind == "long" else SHORT
        request = create_request(
            self.fleet.site,
            chosen,
            f"r{self.number}",
            self.fleet.now,
            self.fleet.site.accounts[account],
        )
        placed = self.fleet.place(0, request)
        refusal = self.controller.judge(request, placed, self.registry.list_ready(SERVICE))
        if refusal is None:
            self.registry.add_work(placed.instance, Work(1, 0, 0))
        return refusal or placed

    def end(self, placed: Placement) -> None:
        self.controller.record_end(placed)
        self.registry.add_work(placed.instance, Work(-1, 0, 0))


def test_account_is_refused_beyond_its_ceiling_and_admitted_after_an_end() -> None:
    """Load: 20 requests at once of an account with 0.1 of 120 slots.

    Guards against a ceiling that is exceeded, one that holds for others, and a count that is kept
    after the end of a request.
    """
    caller = Caller(ACCOUNT)
    answers = [caller.offer() for _ in range(20)]
    admitted = [a for a in answers if isinstance(a, Placement)]
    refused = [a for a in answers if isinstance(a, Refusal)]
    assert (len(admitted), len(refused)) == (12, 8)
    assert refused[0].code is ResultCode.OVERLOADED
    assert refused[0].retry_after
    assert isinstance(caller.offer(account=1), Placement)
    caller.end(admitted[0])
    assert isinstance(caller.offer(), Placement)
    assert isinstance(caller.offer(), Refusal)


def test_attempts_that_were_not_sent_are_forgotten() -> None:
    """Load: a full ceiling of requests that get no first event and no end for 31 s.

    Guards against an account that is refused for good after attempts that hosts gave up unsent.
    """
    caller = Caller(ACCOUNT)
    for _ in range(12):
        caller.offer()
    assert isinstance(caller.offer(), Refusal)
    caller.fleet.now += 31.0
    caller.controller.update(caller.fleet.site)
    assert isinstance(caller.offer(), Placement)


def test_ceiling_of_a_priority_leaves_the_others() -> None:
    """Load: 10 requests of a priority with 0.05 of 120 slots, then a more urgent one."""
    caller = Caller(PRIORITY)
    answers = [caller.offer() for _ in range(10)]
    assert sum(isinstance(a, Placement) for a in answers) == 6
    assert isinstance(caller.offer(kind="short"), Placement)


def test_no_ceiling_refuses_nothing() -> None:
    """Load: 100 requests at once. Guards against a default that limits anything."""
    caller = Caller()
    assert all(isinstance(caller.offer(), Placement) for _ in range(100))


def test_hosts_divide_a_ceiling_by_their_running_requests() -> None:
    """Load: a host with 10 of 40 running requests, and one with none of 120.

    Guards against a ceiling that each host grants in full, and a host that refuses an account as a
    whole.
    """
    registry = create_registry()
    registry.set_peer_work(HostName("h9"), {InstanceId("e0"): Work(30, 0, 0)})
    registry.add_work(InstanceId("e0"), Work(10, 0, 0))
    assert compute_allowed(ACCOUNT, registry.list_ready(SERVICE)) == 3
    busy = create_registry()
    busy.set_peer_work(HostName("h9"), {InstanceId("e0"): Work(120, 0, 0)})
    assert compute_allowed(ACCOUNT, busy.list_ready(SERVICE)) == 1
