"""Check that one row of another writer hides no other one."""

import asyncio

import pytest

from tests.host.support import HostEnvironment, count_outcomes, run_scenario

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


ODD_ADDRESSES = ["127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:\u00b2", "nowhere:80"]


def write_registration(environment: HostEnvironment, key: str, **fields: object) -> None:
    """Write a registration that would be chosen first."""
    registration = environment.servers["p1"].describe()
    environment.store.put("servers", key, {**registration, **fields})


# Issue 33, another operator's report: such an entry was used, and callers got 500.
@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_registration_with_an_odd_address_names_no_upstream(address: str) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        write_registration(environment, "bad", address=address, slots=1000)
        await asyncio.sleep(0.3)
        await environment.add_host("late")
        await asyncio.sleep(0.5)
        answers = await asyncio.gather(
            *(
                environment.send_request("/book/1", request_id=f"b{n}", index=n % 2)
                for n in range(30)
            )
        )
        assert count_outcomes(answers) == {(200, None): 30}

    run_scenario(scenario)


# A number that no message between hosts can hold would keep all updates of a host from its peers.
@pytest.mark.parametrize("field", ["born", "slots", "versions"])
def test_registration_with_a_number_too_large_keeps_hosts_connected(field: str) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        if field == "versions":
            models = [{"name": "m", "version": 2**70, "adapters": []}]
            write_registration(environment, "bad", service="huvo11a", models=models)
        else:
            write_registration(environment, "bad", **{field: 2**70})
        await asyncio.sleep(0.3)
        environment.servers["p1"].is_leaving = True
        await environment.add_host("late")
        await asyncio.sleep(0.5)
        answers = [
            await environment.send_request("/book/1", request_id=f"b{n}", index=n % 2)
            for n in range(20)
        ]
        assert count_outcomes(answers) == {(200, None): 20}
        await asyncio.sleep(0.3)
        assert [host._links.peers.list_reachable() for host in environment.hosts] == [
            ["late"],
            ["h0"],
        ]

    run_scenario(scenario)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_host_row_with_an_odd_address_keeps_hosts_connected(address: str) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        environment.store.put("hosts", "bad", [address, "a", 100])
        await environment.add_host("late")
        await asyncio.sleep(0.8)
        assert [host._links.peers.list_reachable() for host in environment.hosts] == [
            ["late"],
            ["h0"],
        ]

    run_scenario(scenario)
