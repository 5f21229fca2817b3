"""The operator makes a tenant isolated; other tenants go on using what its requests cached."""

import asyncio
import sys
from pathlib import Path

from review.harness.configuration import KEYS, MODEL, STREAM_HOST, build_configuration
from review.harness.deployment import (
    ZONES,
    CaseCannotRun,
    Deployment,
    Record,
    has_trouble,
    run_case,
)
from review.harness.engine import EngineStandIn, PartUse
from review.harness.http import send_request

HOSTS = 3
ENGINES = 6
ISOLATED, OTHER = "family", "school"
# Time in which a configuration must be in force, and a margin.
APPLY_SECONDS = 2.0 + 1.0
RULES = "5c1e07a2:2100"
SUBJECTS = 8


async def ask(
    deployment: Deployment, record: Record, tenant: str, subject: int, attempt: str
) -> int:
    """Send a prompt: rules that both tenants share, own notes on a subject, and a question."""
    host = deployment.hosts[subject % len(deployment.hosts)]
    own = sum(tenant.encode())
    parts = f"{RULES},{own:04x}91bd{subject:04x}:4200,{own:04x}e440{subject:04x}:400"
    fields = [
        ("Host", STREAM_HOST),
        ("X-Attempt-Id", attempt),
        ("X-Model", MODEL),
        ("X-Token-Count", "6700,20"),
        ("X-Prompt-Prefix", parts),
        ("X-Request-Deadline", "4000"),
        ("Authorization", f"Bearer {KEYS[tenant]}"),
    ]
    record.write(f"client of {tenant} sends {attempt}: {parts}")
    answer = await send_request(host.front, "POST", "/verdict/notes", fields, b"{}")
    record.write(f"client of {tenant} got {answer.status} for {attempt}")
    return answer.status


async def run(record: Record) -> int:
    """Return 1 if a tenant used what an isolated one had made."""
    deployment = Deployment()
    engines = [
        EngineStandIn(f"i-{n}", ZONES[n % len(ZONES)], 1_700_000_000_000 + n, record.write)
        for n in range(ENGINES)
    ]
    configuration = build_configuration(1)
    statuses: list[int] = []
    try:
        await deployment.store.start()
        deployment.store.put("op", "config", configuration)
        deployment.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        for engine in engines:
            await engine.http.start()
            deployment.store.put("servers", engine.name, engine.describe())
        await deployment.start(HOSTS)
        for subject in range(SUBJECTS):
            statuses.append(await ask(deployment, record, ISOLATED, subject, f"first-{subject}"))
        is_isolated = has_trouble()
        if is_isolated:
            configuration = build_configuration(2)
            for tenant in configuration["tenants"]:
                tenant["isolated"] = tenant["name"] == ISOLATED
            deployment.store.put("op", "config", configuration)
            record.write(f"the store accepts version 2: tenant {ISOLATED} is isolated")
        await asyncio.sleep(APPLY_SECONDS)
        used_before = sum(len(engine.uses) for engine in engines)
        for subject in range(SUBJECTS):
            statuses.append(await ask(deployment, record, OTHER, subject, f"second-{subject}"))
    finally:
        deployment.close()
        for engine in engines:
            engine.http.close()
    if statuses.count(200) < len(statuses) / 2:
        raise CaseCannotRun(f"answers: {statuses}")
    uses = [use for engine in engines for use in engine.uses]
    crossed = [use for use in uses if is_isolated and _crosses_wall(use)]
    for use in crossed:
        record.write(
            f"WALL broken: {use.attempt} of {use.tenant} used part {use.part_id} under salt "
            f"{use.salt!r}, made by {use.made.attempt} of {use.made.tenant}, which is isolated"
        )
    record.write(f"{used_before} uses before, {len(uses)} in all, {len(crossed)} over the wall")
    return 1 if crossed else 0


def _crosses_wall(use: PartUse) -> bool:
    is_sent_after = use.attempt.startswith("second-")
    return (
        is_sent_after
        and use.tenant != use.made.tenant
        and ISOLATED
        in (
            use.tenant,
            use.made.tenant,
        )
    )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, run))
