"""Check that one row of another writer hides no other one."""

import asyncio

import pytest

from tests.host.support import HostEnvironment, run_scenario

NESTED = b"[" * 5000


@pytest.mark.parametrize("value", [NESTED, b'{"models": ' + NESTED, b"\xff", b""])
def test_unreadable_registration_hides_no_other_one(value: bytes) -> None:
    """Guard against hosts that learn of no upstream any more since one row can't be decoded."""

    async def scenario(environment: HostEnvironment) -> None:
        environment.store.put("servers", "bad", value)
        late = await environment.add_server("late", "kafi81c")
        for name in ("p1", "p2"):
            environment.store.delete("servers", name)
        await asyncio.sleep(1.0)
        assert (await environment.send_request("/look/1")).status == 200
        assert late.received_requests

    run_scenario(scenario)
