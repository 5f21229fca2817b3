"""Check controllers at two hosts against a platform that loses, delays and refuses writes."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest

from turmericproxy.bookings import Claim, ClaimController, Outcome, StoredOutcome
from turmericproxy.bookings.outcomes import MOST_ROW_BODY_BYTES
from turmericproxy.bookings.retention import Sweeper
from turmericproxy.core import AccountName, HostName, Incarnation, Refusal, ResultCode, RunState
from turmericproxy.settings.schema import BookingSettings, PlatformSettings
from turmericproxy.standins.platform import PlatformStandIn, create_platform
from turmericproxy.tables.client import PlatformClient
from turmericproxy.web import HttpClient

ACCOUNT = AccountName("schools")
OUTCOME = Outcome(201, (("Content-Type", "text/plain"),), b"booked")


@dataclass
class Scene:
    """Hold a platform and the controllers of two hosts."""

    platform: PlatformStandIn
    a: ClaimController
    b: ClaimController

    def control(self, **faults: object) -> None:
        """Set faults."""
        http = HttpClient(f"127.0.0.1:{self.platform.port}")
        assert http.call_json("POST", "/control", faults) == (200, {"ok": True})

    def count(self, name: str) -> int:
        """Return a count of the platform."""
        answer = HttpClient(f"127.0.0.1:{self.platform.port}").call_json("GET", "/control")
        assert isinstance(answer, tuple)
        return int(answer[1][name])

    def create_client(self, host: str) -> PlatformClient:
        """Return a client of a host."""
        settings = PlatformSettings(address=f"127.0.0.1:{self.platform.port}", timeout=1.0)
        return PlatformClient(settings, HostName(host))


@pytest.fixture
def scene() -> Iterator[Scene]:
    platform = create_platform("127.0.0.1:0")
    platform.start()
    controllers = [create_controller(platform.port, host, host) for host in "ab"]
    yield Scene(platform, *controllers)
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


def test_one_of_many_claims_wins_and_repeats_get_its_answer(scene: Scene) -> None:
    with ThreadPoolExecutor(20) as pool:
        controllers = [scene.a, scene.b] * 10
        results = list(pool.map(lambda c: c.claim(ACCOUNT, "k", "digest"), controllers))
    won = [(c, r) for c, r in zip(controllers, results, strict=True) if isinstance(r, Claim)]
    assert len(won) == 1
    assert sum(isinstance(r, Refusal) and r.retry_after is not None for r in results) == 19
    won[0][0].finish(won[0][1], OUTCOME)
    for controller in (scene.a, scene.b):
        assert controller.claim(ACCOUNT, "k", "digest") == StoredOutcome(OUTCOME)
    assert isinstance(scene.a.claim(AccountName("other"), "k", "digest"), Claim)


def test_lost_answer_is_resolved_by_the_attempt_id(scene: Scene) -> None:
    scene.control(lose_next=1)
    claim(scene.a, "lost")
    expect_refusal(scene.b, "lost", ResultCode.CLAIM_IN_PROGRESS, RunState.UNKNOWN)
    scene.control(lose_next=1)
    held = claim(scene.a, "finish")
    scene.control(lose_next=1)
    scene.a.finish(held, OUTCOME)
    wait_until(lambda: not scene.a.count_waiting())
    assert scene.b.claim(ACCOUNT, "finish", "digest") == StoredOutcome(OUTCOME)


def test_claim_given_up_is_not_held_by_its_late_write(scene: Scene) -> None:
    # The counterexample of the model without the fence: write_claim, give_up_claim,
    # settle_claim, apply_claim.
    host = create_controller(scene.platform.port, "c", "c", claim_timeout=0.4)
    scene.control(late_next=1000, late=1.0)
    expect_refusal(host, "late", ResultCode.CLAIM_UNAVAILABLE, RunState.NOT_RUN)
    scene.control(late_next=0)
    wait_until(lambda: not host.count_waiting())
    wait_until(lambda: scene.count("late") > 0)
    claim(scene.b, "late")
    host.close()


def test_released_claim_can_be_claimed_again_and_dispatched_one_not(scene: Scene) -> None:
    scene.a.release(claim(scene.a, "free"))
    wait_until(lambda: not scene.a.count_waiting())
    again = claim(scene.b, "free")
    scene.b.finish(again, OUTCOME)
    held = claim(scene.a, "sent")
    scene.a.record_dispatch(held)
    scene.a.release(held)
    wait_until(lambda: not scene.a.count_waiting())
    expect_refusal(scene.b, "sent", ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)


def test_attempt_ends_only_once(scene: Scene) -> None:
    held = claim(scene.a, "once")
    scene.a.finish(held, OUTCOME)
    scene.a.release(held)
    scene.a.mark_unknown(held)
    assert scene.a.count_waiting() == 0
    assert scene.b.claim(ACCOUNT, "once", "digest") == StoredOutcome(OUTCOME)


def test_claim_of_a_crashed_incarnation_never_runs_again(scene: Scene) -> None:
    claim(scene.a, "crash")
    restarted = create_controller(scene.platform.port, "a", "second")
    expect_refusal(restarted, "crash", ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)
    restarted.close()


def test_platform_away_refuses_at_once_and_outcomes_are_stored_later(scene: Scene) -> None:
    held = claim(scene.a, "before")
    scene.control(down=True)
    scene.a.finish(held, OUTCOME)
    for _ in range(20):
        started = time.monotonic()
        result = scene.a.claim(ACCOUNT, "away", "digest")
        assert time.monotonic() - started < 0.5
        assert isinstance(result, Refusal) and result.run is RunState.NOT_RUN
        assert result.retry_after is not None
    scene.control(down=False)
    wait_until(lambda: not scene.a.count_waiting())
    assert scene.b.claim(ACCOUNT, "before", "digest") == StoredOutcome(OUTCOME)


def test_claims_are_refused_while_too_many_records_wait(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    claim(scene.a, "before")
    monkeypatch.setattr("turmericproxy.bookings.controller.MOST_WAITING", 0)
    expect_refusal(scene.a, "more", ResultCode.CLAIM_UNAVAILABLE, RunState.NOT_RUN)
    monkeypatch.undo()
    claim(scene.a, "more")


def test_close_stores_what_is_left(scene: Scene) -> None:
    host = create_controller(scene.platform.port, "c", "c")
    held = [claim(host, f"k{n}") for n in range(30)]
    for one in held:
        host.release(one)
    host.close()
    for n in range(30):
        claim(scene.b, f"k{n}")


def test_large_answer_is_stored_whole(scene: Scene) -> None:
    large = Outcome(200, (), bytes(range(256)) * (MOST_ROW_BODY_BYTES // 128))
    scene.a.finish(claim(scene.a, "large"), large)
    wait_until(lambda: not scene.a.count_waiting())
    assert scene.b.claim(ACCOUNT, "large", "digest") == StoredOutcome(large)


def test_expired_bookings_are_deleted_and_later_ones_kept(scene: Scene) -> None:
    for n in range(250):
        scene.a.release(claim(scene.a, f"old{n}"))
    wait_until(lambda: not scene.a.count_waiting())
    expired = time.time()
    scene.a.finish(claim(scene.a, "new"), OUTCOME)
    client = scene.create_client("sweeper")
    sweeper = Sweeper(client, retention=0.0, draw=lambda size: b"")
    kept = Sweeper(client, retention=time.time() - expired + 60, draw=lambda size: b"")
    assert kept.sweep_page() == 0
    assert sweeper.sweep_page() == 251
    assert client.list_rows("bookings") == ()
