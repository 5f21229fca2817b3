"""A host that is cut from the store takes a server of another service for one of its own."""

import asyncio
import copy
import sys
from pathlib import Path
from typing import Any

from review.harness.configuration import KEYS, LLM, MODEL, STREAM_HOST, build_configuration
from review.harness.deployment import (
    ZONES,
    CaseCannotRun,
    Deployment,
    HostProcess,
    Record,
    has_trouble,
    run_case,
)
from review.harness.engine import EngineStandIn
from review.harness.http import send_request
from review.harness.proxy import Proxy

HOSTS = 3
ENGINES = 3
REQUESTS_PER_SECOND = 10.0
CUT_SECONDS = 7.5
# An address is assigned again at the earliest 2 s (`reuse_after_s`) after the end of its server.
REUSE_SECONDS = 2.5
ANY_ADDRESS = "127.0.0.1:0"
# A service for drafts, with the same model, which gets its first server in the case.
DRAFTS = "draft-llm"


def build_site() -> dict[str, Any]:
    """Return a configuration with two engine services of the same model, each with a route."""
    content = build_configuration(1)
    verdicts = content["services"][0]
    content["services"].append({**copy.deepcopy(verdicts), "name": DRAFTS})
    route = content["routes"][0]
    drafts = {**route, "name": "draft-reply", "prefix": "/draft/", "service": DRAFTS}
    content["routes"].append(drafts)
    return content


class Case:
    """Three hosts; requests for verdicts go to the first one."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment()
        self.store = self.deployment.store
        self.proxy = Proxy()
        self.statuses: list[int] = []
        self.verdicts: set[str] = set()
        self.engines = [
            EngineStandIn(f"i-verdict-{n}", ZONES[n], 1_700_000_000_000 + n, record.write)
            for n in range(ENGINES)
        ]
        self.drafter = EngineStandIn(
            "i-draft-0", ZONES[0], 1_700_000_100_000, record.write, service=DRAFTS
        )

    async def start(self) -> None:
        """Start the stand-ins and the hosts."""
        await self.store.start()
        self.store.put("op", "config", build_site())
        self.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        for engine in self.engines:
            await engine.http.start()
            self.store.put("servers", engine.name, engine.describe())
        await self.proxy.start(self.store.address)
        for n in range(HOSTS):
            address = self.store.address if n else self.proxy.address
            self.deployment.hosts.append(
                HostProcess(f"edge-{ZONES[n]}-{n}", ZONES[n], address, self.deployment.folder)
            )
        for host in self.deployment.hosts:
            host.start()
        for host in self.deployment.hosts:
            await host.wait_until_ready()
        await asyncio.sleep(3.0)

    async def send_verdicts(self) -> None:
        """Send requests for verdicts to the first host until cancelled."""
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self.ask(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    async def ask(self, number: int) -> None:
        """Send one request for a verdict."""
        attempt = f"verdict{number:04d}"
        self.verdicts.add(attempt)
        fields = [
            ("Host", STREAM_HOST),
            ("X-Attempt-Id", attempt),
            ("X-Model", MODEL),
            ("X-Token-Count", "9190,20"),
            ("X-Prompt-Prefix", f"5c1e{number:04x}:6300,{number:08x}:2890"),
            ("X-Request-Deadline", "4000"),
            ("Authorization", f"Bearer {KEYS['family']}"),
        ]
        front = self.deployment.hosts[0].front
        answer = await send_request(front, "POST", "/verdict/notes", fields, b"{}")
        signature = answer.get("X-Response-Signature")
        self.record.write(f"client got {answer.status} for {attempt}, signature {signature}")
        self.statuses.append(answer.status)

    async def play(self) -> None:
        """Crash an engine for good, and give its address to a server of the other service."""
        lost = self.engines[0]
        requests = asyncio.create_task(self.send_verdicts())
        await asyncio.sleep(2.0)
        if has_trouble():
            self.record.write(f"{self.deployment.hosts[0].name} is cut from the store")
            self.proxy.cut()
        await asyncio.sleep(0.5)
        expiry = None
        if has_trouble():
            self.record.write(f"{lost.name} at {lost.http.address} crashes for good")
            lost.http.close()
            expiry = asyncio.create_task(self.expire(lost))
        await asyncio.sleep(REUSE_SECONDS)
        await self.drafter.http.start(lost.http.address if has_trouble() else ANY_ADDRESS)
        self.store.put("servers", self.drafter.name, self.drafter.describe())
        address = self.drafter.http.address
        self.record.write(f"{self.drafter.name} of {DRAFTS} starts at {address}")
        await asyncio.sleep(CUT_SECONDS - 0.5 - REUSE_SECONDS)
        self.proxy.heal()
        await asyncio.sleep(3.0)
        requests.cancel()
        if expiry:
            await expiry

    async def expire(self, engine: EngineStandIn) -> None:
        """Remove a registration after three heartbeats."""
        await asyncio.sleep(3.6)
        self.store.delete("servers", engine.name)

    def close(self) -> None:
        """End everything."""
        self.deployment.close()
        self.proxy.close()
        for engine in (*self.engines, self.drafter):
            engine.http.close()


async def run(record: Record) -> int:
    """Return 1 if a server of the other service ran a request for a verdict."""
    case = Case(record)
    try:
        await case.start()
        await case.play()
    finally:
        case.close()
    if case.statuses.count(200) < len(case.statuses) / 2:
        raise CaseCannotRun(f"answers: {case.statuses}")
    foreign = [attempt for attempt in case.drafter.runs if attempt in case.verdicts]
    for attempt in foreign:
        record.write(
            f"ROUTE broken: {attempt}, whose route goes to {LLM} alone, was run by "
            f"{case.drafter.name} of {DRAFTS}"
        )
    record.write(f"{len(case.verdicts)} requests, {len(foreign)} run by the other service")
    return 1 if foreign else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, run))
