"""Check controllers of two hosts with a platform that loses, delays and refuses writes."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest

from turmericproxy.bookings import Claim, ClaimController, Outcome, StoredOutcome
from turmericproxy.bookings.outcomes import MAX_ROW_BODY_BYTES
from turmericproxy.bookings.retention import Sweeper
from turmericproxy.core import AccountName, HostName, Incarnation, Refusal, ResultCode, RunState
from turmericproxy.settings.schema import BookingSettings, PlatformSettings
from turmericproxy.standins.platform import PlatformStandIn, create_platform
from turmericproxy.tables.client import PlatformClient
from turmericproxy.web import HttpClient

ACCOUNT = AccountName("schools")
OUTCOME = Outcome(201, (("Content-Type", "text/plain"),), b"booked")


@dataclass
class Cluster:
    """A platform and the controllers of two hosts."""

    platform: PlatformStandIn
    a: ClaimController
    b: ClaimController

    def control(self, **faults: object) -> None:
        """Set faults of the platform."""
        http = HttpClient(f"127.0.0.1:{self.platform.port}")
        assert http.call_json("POST", "/control", faults) == (200, {"ok": True})

    def count(self, name: str) -> int:
        """Return a counter of the platform by its name."""
        answer = HttpClient(f"127.0.0.1:{self.platform.port}").call_json("GET", "/control")
        assert isinstance(answer, tuple)
        return int(answer[1][name])

    def create_client(self, host: str) -> PlatformClient:
        """Return a platform client of a host."""
        settings = PlatformSettings(address=f"127.0.0.1:{self.platform.port}", timeout=1.0)
        return PlatformClient(settings, HostName(host))


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    platform = create_platform("127.0.0.1:0")
    platform.start()
    controllers = [create_controller(platform.port, host, host) for host in "ab"]
    yield Cluster(platform, *controllers)
    for controller in controllers:
        controller.close()
    platform.close()


def create_controller(
    port: int, host: str, incarnation: str, claim_timeout: float = 2.5
) -> ClaimController:
    settings = PlatformSettings(address=f"127.0.0.1:{port}", timeout=1.0)
    client = PlatformClient(settings, HostName(host))
    controller = ClaimController(
        client,
        HostName(host),
        Incarnation(incarnation),
        settings=BookingSettings(claim_timeout=claim_timeout),
    )
    controller.start()
    return controller


def claim(controller: ClaimController, key: str) -> Claim:
    result = controller.claim(ACCOUNT, key, "digest")
    assert isinstance(result, Claim), result
    return result


def expect_refusal(controller: ClaimController, key: str, code: ResultCode, run: RunState) -> None:
    result = controller.claim(ACCOUNT, key, "digest")
    assert isinstance(result, Refusal), result
    assert (result.code, result.run) == (code, run)


def wait_until(is_met: Callable[[], bool], seconds: float = 10.0) -> None:
    deadline = time.monotonic() + seconds
    while not is_met():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.01)


def test_one_of_many_claims_wins_and_repeats_get_its_answer(cluster: Cluster) -> None:
    with ThreadPoolExecutor(20) as pool:
        controllers = [cluster.a, cluster.b] * 10
        results = list(pool.map(lambda c: c.claim(ACCOUNT, "k", "digest"), controllers))
    won = [(c, r) for c, r in zip(controllers, results, strict=True) if isinstance(r, Claim)]
    assert len(won) == 1
    assert sum(isinstance(r, Refusal) and r.retry_after is not None for r in results) == 19
    won[0][0].finish(won[0][1], OUTCOME)
    for controller in (cluster.a, cluster.b):
        assert controller.claim(ACCOUNT, "k", "digest") == StoredOutcome(OUTCOME)
    assert isinstance(cluster.a.claim(AccountName("other"), "k", "digest"), Claim)


def test_lost_answer_is_resolved_by_the_attempt_id(cluster: Cluster) -> None:
    cluster.control(lose_next=1)
    claim(cluster.a, "lost")
    expect_refusal(cluster.b, "lost", ResultCode.CLAIM_IN_PROGRESS, RunState.UNKNOWN)
    cluster.control(lose_next=1)
    held = claim(cluster.a, "finish")
    cluster.control(lose_next=1)
    cluster.a.finish(held, OUTCOME)
    wait_until(lambda: not cluster.a.count_unstored())
    assert cluster.b.claim(ACCOUNT, "finish", "digest") == StoredOutcome(OUTCOME)


def test_late_write_of_a_claim_given_up_does_not_block_the_key(cluster: Cluster) -> None:
    # Without the fence the specification has this counterexample: write_claim, give_up_claim,
    # settle_claim, apply_claim.
    host = create_controller(cluster.platform.port, "c", "c", claim_timeout=0.4)
    cluster.control(late_next=1000, late=1.0)
    expect_refusal(host, "late", ResultCode.CLAIM_UNAVAILABLE, RunState.NOT_RUN)
    cluster.control(late_next=0)
    wait_until(lambda: not host.count_unstored())
    wait_until(lambda: cluster.count("late") > 0)
    claim(cluster.b, "late")
    host.close()


def test_released_claim_can_be_claimed_again_and_dispatched_one_not(cluster: Cluster) -> None:
    cluster.a.release(claim(cluster.a, "free"))
    wait_until(lambda: not cluster.a.count_unstored())
    again = claim(cluster.b, "free")
    cluster.b.finish(again, OUTCOME)
    held = claim(cluster.a, "sent")
    cluster.a.record_dispatch(held)
    cluster.a.release(held)
    wait_until(lambda: not cluster.a.count_unstored())
    expect_refusal(cluster.b, "sent", ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)


def test_only_the_first_end_of_an_attempt_counts(cluster: Cluster) -> None:
    held = claim(cluster.a, "once")
    cluster.a.finish(held, OUTCOME)
    cluster.a.release(held)
    cluster.a.mark_unknown(held)
    assert cluster.a.count_unstored() == 0
    assert cluster.b.claim(ACCOUNT, "once", "digest") == StoredOutcome(OUTCOME)


def test_claim_of_a_crashed_incarnation_never_runs_again(cluster: Cluster) -> None:
    claim(cluster.a, "crash")
    restarted = create_controller(cluster.platform.port, "a", "second")
    expect_refusal(restarted, "crash", ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)
    restarted.close()


def test_claims_are_refused_at_once_while_the_platform_is_down_and_outcomes_stored_later(
    cluster: Cluster,
) -> None:
    held = claim(cluster.a, "before")
    cluster.control(down=True)
    cluster.a.finish(held, OUTCOME)
    for _ in range(20):
        started = time.monotonic()
        result = cluster.a.claim(ACCOUNT, "away", "digest")
        assert time.monotonic() - started < 0.5
        assert isinstance(result, Refusal) and result.run is RunState.NOT_RUN
        assert result.retry_after is not None
    cluster.control(down=False)
    wait_until(lambda: not cluster.a.count_unstored())
    assert cluster.b.claim(ACCOUNT, "before", "digest") == StoredOutcome(OUTCOME)


def test_claims_are_refused_while_too_many_records_are_unstored(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    claim(cluster.a, "before")
    monkeypatch.setattr("turmericproxy.bookings.controller.MAX_UNSTORED_RECORDS", 0)
    expect_refusal(cluster.a, "more", ResultCode.CLAIM_UNAVAILABLE, RunState.NOT_RUN)
    monkeypatch.undo()
    claim(cluster.a, "more")


def test_close_stores_pending_records(cluster: Cluster) -> None:
    host = create_controller(cluster.platform.port, "c", "c")
    held = [claim(host, f"k{n}") for n in range(30)]
    for one in held:
        host.release(one)
    host.close()
    for n in range(30):
        claim(cluster.b, f"k{n}")


def test_large_response_is_stored_completely(cluster: Cluster) -> None:
    large = Outcome(200, (), bytes(range(256)) * (MAX_ROW_BODY_BYTES // 128))
    cluster.a.finish(claim(cluster.a, "large"), large)
    wait_until(lambda: not cluster.a.count_unstored())
    assert cluster.b.claim(ACCOUNT, "large", "digest") == StoredOutcome(large)


def test_expired_bookings_are_deleted_and_later_ones_kept(cluster: Cluster) -> None:
    for n in range(250):
        cluster.a.release(claim(cluster.a, f"old{n}"))
    wait_until(lambda: not cluster.a.count_unstored())
    expired = time.time()
    cluster.a.finish(claim(cluster.a, "new"), OUTCOME)
    client = cluster.create_client("sweeper")
    sweeper = Sweeper(client, retention=0.0, random_bytes=lambda size: b"")
    kept = Sweeper(client, retention=time.time() - expired + 60, random_bytes=lambda size: b"")
    assert kept.sweep_page() == 0
    assert sweeper.sweep_page() == 251
    assert client.list_rows("bookings") == ()
