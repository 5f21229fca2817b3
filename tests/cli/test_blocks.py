"""Check the commands by which an operator lists and lifts blocked prompt parts."""

import asyncio

from click.testing import Result
from typer.testing import CliRunner

from turmericproxy.cli.app import app
from turmericproxy.cli.exits import ExitCode
from turmericproxy.standins.platform_wire_store import WireStore

BLOCK = {"model": "m", "parts": ["bad"], "until": 1e9, "failed_trials": 0}


async def run_command(store: WireStore, *arguments: str) -> Result:
    runner = CliRunner()
    command = ["blocks", *arguments, "--store", store.address]
    return await asyncio.to_thread(runner.invoke, app, command)


def test_blocks_are_listed_and_lifted() -> None:
    async def main() -> None:
        store = WireStore()
        await store.start()
        store.put("blocked", "k1", BLOCK)
        store.put("blocked", "torn", b"{")
        listed = await run_command(store, "list")
        assert listed.exit_code == ExitCode.OK
        assert "k1 m bad" in listed.stdout
        assert "torn invalid row" in listed.stdout
        assert (await run_command(store, "lift", "k1")).exit_code == ExitCode.OK
        assert ("blocked", "k1") not in store.list_keys()
        assert (await run_command(store, "lift", "k1")).exit_code == ExitCode.NOT_FOUND
        store.refusal = 503
        assert (await run_command(store, "list")).exit_code == ExitCode.UNREACHABLE
        store.close()

    asyncio.run(main())
