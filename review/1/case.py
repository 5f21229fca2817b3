"""A server that ran a booking answers 503 without X-Not-Executed."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

from review.harness.configuration import KEYS, PLAIN, PLAIN_HOST, build_configuration
from review.harness.deployment import (
    ZONES,
    CaseCannotRun,
    Deployment,
    Record,
    has_trouble,
    run_case,
)
from review.harness.http import Connection, HttpServer, Message, send_request

HOSTS = 3
BOOKINGS = 120
BOOKINGS_PER_SECOND = 12.0
WORK_SECONDS = 0.0225
DEADLINE_SECONDS = 1.5
# The share of its requests that a grey server fails, as in the description of srv_grey.
FAILED_SHARE = 0.4
# These statuses promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


class BookingServer:
    """A plain server; a grey one runs a part of its requests and then fails them with 503."""

    def __init__(self, name: str, zone: str, record: Record, *, is_grey: bool) -> None:
        self.name, self.zone = name, zone
        self._record = record
        self._is_grey = is_grey
        self._random = random.Random(1)
        self.http = HttpServer(self._handle)
        self.runs: list[tuple[str, str]] = []

    def describe(self) -> dict[str, object]:
        """Return the registration."""
        return {
            "service": PLAIN,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def _handle(self, request: Message, connection: Connection) -> None:
        attempt = request.get("X-Attempt-Id") or ""
        if request.get("X-Expect-Instance") not in (None, self.name):
            connection.send(421, [("X-Attempt-Id", attempt), ("X-Instance-Id", self.name)])
            return
        self.runs.append((attempt, request.body.decode()))
        await asyncio.sleep(WORK_SECONDS)
        status = 503 if self._is_grey and self._random.random() < FAILED_SHARE else 200
        self._record.write(
            f"server {self.name} ran {attempt} ({request.body.decode()}) and answers {status}"
        )
        fields = [
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", f"{self.name}.{attempt}"),
            ("X-Server-Load", "1,0,6"),
        ]
        connection.send(status, fields, b"booked" if status == 200 else b"mail not sent")


async def book(
    deployment: Deployment, record: Record, number: int, promised: dict[str, int]
) -> None:
    """Send a booking as the pages' clients do: once more after a promise, and only then."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + DEADLINE_SECONDS
    for attempt_number in range(2):
        left = int((deadline - loop.time()) * 1000)
        attempt = f"booking{number:03d}-{attempt_number}"
        host = deployment.hosts[(number + attempt_number) % len(deployment.hosts)]
        fields = [
            ("Host", PLAIN_HOST),
            ("X-Attempt-Id", attempt),
            ("X-Request-Deadline", str(left)),
            ("Authorization", f"Bearer {KEYS['family']}"),
        ]
        body = f"visit {number}".encode()
        answer = await send_request(host.front, "POST", "/book/visits", fields, body)
        signature = answer.get("X-Response-Signature")
        record.write(f"client got {answer.status} for {attempt}, signature {signature}")
        if answer.status not in PROMISES:
            return
        promised[attempt] = answer.status
        await asyncio.sleep(min(0.3, float(answer.get("Retry-After") or 0.1)))


async def run(record: Record) -> int:
    """Return 1 if a request ran that was answered with a promise that it had not run."""
    deployment = Deployment()
    servers = [
        BookingServer(f"i-{zone}", zone, record, is_grey=has_trouble() and zone == ZONES[0])
        for zone in ZONES
    ]
    try:
        await deployment.store.start()
        deployment.store.put("op", "config", build_configuration(1))
        for server in servers:
            await server.http.start()
            deployment.store.put("servers", server.name, server.describe())
        await deployment.start(HOSTS)
        promised: dict[str, int] = {}
        bookings = []
        for number in range(BOOKINGS):
            bookings.append(asyncio.create_task(book(deployment, record, number, promised)))
            await asyncio.sleep(1 / BOOKINGS_PER_SECOND)
        await asyncio.gather(*bookings)
        # Nothing may run later either.
        await asyncio.sleep(2.0)
    finally:
        deployment.close()
        for server in servers:
            server.http.close()
    runs = [run for server in servers for run in server.runs]
    if len(runs) < BOOKINGS / 2:
        raise CaseCannotRun(f"only {len(runs)} of {BOOKINGS} bookings reached a server")
    ran = {attempt for attempt, _ in runs}
    false_promises = {a: status for a, status in promised.items() if a in ran}
    doubled = [visit for visit, count in Counter(visit for _, visit in runs).items() if count > 1]
    for attempt, status in sorted(false_promises.items()):
        record.write(f"REFUSED broken: {attempt} was answered {status} and had run")
    record.write(
        f"{BOOKINGS} bookings, {len(runs)} runs, {len(false_promises)} false promises, "
        f"{len(doubled)} visits booked twice: {', '.join(doubled)}"
    )
    return 1 if false_promises else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, run))
