"""Check who gets a permit: urgent requests first, and accounts in turn."""

import asyncio

from turmericproxy.core import AccountName, HostName, RequestId
from turmericproxy.limits.allocation import PERMIT_SECONDS
from turmericproxy.limits.permits import KEPT_SECONDS, Applicant, PermitPool


def apply(request_id: str, rank: int = 0, account: str = "a") -> Applicant:
    return Applicant(RequestId(request_id), rank, AccountName(account))


def test_each_permit_is_used_once() -> None:
    pool = PermitPool()
    pool.add(1, 0.0)
    assert pool.may_send(apply("r1"), 0.0)
    pool.use(apply("r1"), 0.0)
    assert not pool.may_send(apply("r2"), 0.0)
    assert pool.create_report(HostName("h"))[:4] == (1, 1, 0, 0)


def test_request_without_permit_counts_as_debt() -> None:
    pool = PermitPool()
    pool.use(apply("r1"), 0.0)
    assert pool.unpermitted == 1


def test_unused_permit_expires() -> None:
    pool = PermitPool()
    pool.add(1, 0.0)
    assert not pool.may_send(apply("r1"), PERMIT_SECONDS)
    assert pool.returned == 1


def test_permit_is_kept_for_a_more_urgent_request_for_a_moment() -> None:
    pool = PermitPool()
    pool.turn_away(apply("r1", rank=0), 0.0)
    pool.add(1, 0.1)
    assert not pool.may_send(apply("r2", rank=2), 0.1)
    assert pool.may_send(apply("r3", rank=0), 0.1)
    assert pool.may_send(apply("r2", rank=2), 0.1 + KEPT_SECONDS)


def test_permit_is_kept_for_an_account_that_used_fewer() -> None:
    pool = PermitPool()
    pool.add(3, 0.0)
    for number in range(3):
        pool.use(apply(f"r{number}", account="busy"), 0.0)
    pool.turn_away(apply("r4", account="quiet"), 0.1)
    pool.add(1, 0.2)
    pool.add(1, 0.2)
    assert pool.may_send(apply("r6", account="quiet"), 0.2)
    pool.use(apply("r6", account="quiet"), 0.2)
    assert not pool.may_send(apply("r5", account="busy"), 0.2)


def test_waiting_requests_get_permits_by_rank() -> None:
    async def run() -> list[str]:
        pool, order = PermitPool(), []

        async def wait(name: str, rank: int) -> None:
            assert await pool.wait(apply(name, rank), 1.0, 0.0)
            order.append(name)
            pool.use(apply(name, rank), 0.0)

        tasks = [asyncio.create_task(wait(n, r)) for n, r in (("low", 2), ("high", 0), ("mid", 1))]
        await asyncio.sleep(0)
        for _ in tasks:
            pool.add(1, 0.0)
            await asyncio.sleep(0.01)
        return order

    assert asyncio.run(run()) == ["high", "mid", "low"]


# A client may leave while its request waits; the permit must go to another one.
def test_request_that_left_gets_no_permit() -> None:
    async def run() -> None:
        pool = PermitPool()
        task = asyncio.create_task(pool.wait(apply("r1"), 1.0, 0.0))
        await asyncio.sleep(0)
        task.cancel()
        pool.add(1, 0.0)
        await asyncio.gather(task, return_exceptions=True)
        assert not pool.waiting
        assert pool.may_send(apply("r2"), 0.0)

    asyncio.run(run())


def test_wait_ends_in_time() -> None:
    assert not asyncio.run(PermitPool().wait(apply("r1"), 0.01, 0.0))
