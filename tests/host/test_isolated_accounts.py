"""Check that hosts part what accounts cached before and after one of them is isolated."""

import asyncio
import copy

import pytest

from tests.host.raw_servers import RawServer
from tests.host.support import HostEnvironment, run_scenario
from tests.host.test_odd_answers import EVENTS, begin_stream, end_stream
from tests.platform.support import CONFIGURATION

OWN_KEY, OTHER_KEY = "key-1", "key-b"


def configure(
    environment: HostEnvironment, version: int, *isolated: str, **changes: object
) -> None:
    content = copy.deepcopy(CONFIGURATION)
    (account,) = content["tenants"]
    content["tenants"].append({**account, "name": "other", "api_keys": [OTHER_KEY]})
    for tenant in content["tenants"]:
        tenant["isolated"] = tenant["name"] in isolated
    environment.configure(**{**content, "version": version, **changes})


async def find_salts(environment: HostEnvironment, label: str, *keys: str) -> list[str | None]:
    """Return the salt of a request of each key at each host."""
    for index in range(len(environment.hosts)):
        for key in keys:
            request_id = f"{label}-{index}-{key}"
            answer = await environment.send_stream_request(
                request_id=request_id, index=index, key=key
            )
            assert answer.status == 200
    received = [r for s in environment.servers.values() for r in s.received_requests]
    by_id = {r.get("X-Attempt-Id"): r for r in received if r.was_executed}
    return [
        by_id[f"{label}-{index}-{key}"].get("X-Cache-Salt")
        for index in range(len(environment.hosts))
        for key in keys
    ]


# Guards against the review case WALL: requests of another account used the parts that an account
# had cached before it was isolated, on each of the hosts and from the kept store.
def test_what_an_account_cached_is_closed_to_others_once_it_is_isolated() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        configure(environment, 8)
        await asyncio.sleep(0.5)
        before = await find_salts(environment, "before", OWN_KEY, OTHER_KEY)
        assert len(set(before)) == 1
        configure(environment, 9, "sese880")
        await asyncio.sleep(0.5)
        own, other, *second = await find_salts(environment, "after", OWN_KEY, OTHER_KEY)
        assert len({own, other, *before}) == 3
        assert second == [own, other]
        await environment.add_host("late")
        await asyncio.sleep(0.5)
        assert (await find_salts(environment, "late", OWN_KEY, OTHER_KEY))[-2:] == [own, other]

    run_scenario(scenario, hosts=2)


def test_other_changes_of_the_configuration_leave_the_cache_in_use() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        configure(environment, 8, "sese880")
        await asyncio.sleep(0.5)
        before = await find_salts(environment, "before", OWN_KEY, OTHER_KEY)
        routes = [*CONFIGURATION["routes"], {**CONFIGURATION["routes"][0], "prefix": "/new/"}]
        configure(environment, 9, "sese880", routes=routes)
        await asyncio.sleep(0.5)
        assert await find_salts(environment, "after", OWN_KEY, OTHER_KEY) == before

    run_scenario(scenario)


def test_stream_that_goes_on_after_the_change_uses_the_new_salt() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        configure(environment, 8)
        await asyncio.sleep(0.5)
        salts: list[str | None] = []
        release = asyncio.Event()

        class SlowServer(RawServer):
            async def prepare(self, fields: dict[str, str]) -> None:
                salts.append(fields.get("X-Cache-Salt"))
                if len(salts) == 1:
                    await release.wait()

        rest = b"".join(EVENTS[2:])
        server = SlowServer(lambda i, n: begin_stream(i) if n == 1 else end_stream(i, rest))
        await server.start(environment, "e1", "x1", "x2")
        for name in ("e1", "e2"):
            environment.store.delete("servers", name)
        await asyncio.sleep(1.5)
        request = asyncio.create_task(
            environment.send_stream_request("/lepu270/deep/2f", key=OTHER_KEY, wait_ms=8000)
        )
        await asyncio.sleep(0.3)
        configure(environment, 9, "sese880")
        await asyncio.sleep(0.5)
        release.set()
        assert (await request).is_complete
        assert len(salts) == len(set(salts)) == 2
        server.close()

    run_scenario(scenario)


# Guards against parts shared by isolated accounts and by versions of the weights: an engine shares
# the parts of all requests without a salt, and those without counts of tokens had none.
@pytest.mark.parametrize("field", ["X-Token-Count: 60,5", "X-Model: m", "X-Prompt-Prefix: aa:20"])
def test_prompt_that_is_not_described_shares_no_part(field: str) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for number in range(2):
            answer = await environment.send_request(
                "/lepu270/2f", field, host="jepu9.example", request_id=f"r{number}"
            )
            assert answer.status == 200
        received = [r for n in ("e1", "e2") for r in environment.servers[n].received_requests]
        salts = {r.get("X-Cache-Salt") for r in received if r.was_executed}
        assert len(salts) == 2 and None not in salts

    run_scenario(scenario)
