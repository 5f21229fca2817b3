"""Check the command that shows where a request would go, against a host and stand-ins."""

import asyncio
import json

import pytest
from click.testing import Result
from typer.testing import CliRunner

from tests.host.support import HostEnvironment, run_scenario
from turmericproxy.bench.processes import pick_addresses
from turmericproxy.cli.app import app
from turmericproxy.cli.exits import ExitCode

ENGINE = ["jepu9.example", "/lepu270/2f", "--model", "m", "--part", "aa:20", "--part", "bb:20"]
PLAIN = ["app.example", "/look/1"]


async def run_command(environment: HostEnvironment, *arguments: str) -> Result:
    command = ["explain-placement", *arguments]
    if "--metrics" not in arguments:
        command += ["--metrics", environment.settings[0].metrics]
    return await asyncio.to_thread(CliRunner().invoke, app, command)


def test_output_for_people_names_decision_candidates_and_basis() -> None:
    """Guards against an output that lacks what an operator asks for."""

    async def scenario(environment: HostEnvironment) -> None:
        result = await run_command(environment, *ENGINE, "--account", "sese880")
        assert result.exit_code == ExitCode.OK, result.output
        assert result.stdout.startswith("would go to e")
        assert "\nchosen e" in result.stdout
        assert "\ncandidate e" in result.stdout
        assert "account=sese880" in result.stdout
        assert "configuration: revision=7" in result.stdout
        result = await run_command(environment, *PLAIN)
        assert result.stdout.startswith("would be refused: key_missing (200)")
        assert result.exit_code == ExitCode.OK

    run_scenario(scenario)


def test_json_output_is_the_answer_of_the_host() -> None:
    """Guards against an output that programs can't read."""

    async def scenario(environment: HostEnvironment) -> None:
        result = await run_command(environment, *PLAIN, "--account", "sese880", "--json")
        explanation = json.loads(result.stdout)
        assert explanation["decision"]["upstream"] in ("p1", "p2")
        assert {c["upstream"] for c in explanation["candidates"]} == {"p1", "p2"}

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("arguments", "exit_code", "text"),
    [
        ([*PLAIN, "--account", "none"], ExitCode.NOT_FOUND, "resource_not_found (601)"),
        (["app.example", "look"], ExitCode.INVALID, "bad_request (100): path"),
        ([*ENGINE, "--part", "aa"], ExitCode.INVALID, "bad_request (100): parts"),
        ([*PLAIN, "--priority", "99"], ExitCode.INVALID, "bad_request (100): priority"),
        ([*ENGINE, *["--part", f"{'x' * 4000}:1"] * 17], ExitCode.INVALID, "body_too_large (101)"),
        ([*PLAIN, "--metrics", "nowhere"], ExitCode.USAGE, "--metrics must be"),
        ([*PLAIN, "--priority", "high"], ExitCode.USAGE, "priority"),
    ],
)
def test_bad_input_gets_a_numbered_error_and_an_exit_code(
    arguments: list[str], exit_code: ExitCode, text: str
) -> None:
    """Guards against scripts that take a failed command for an explanation."""

    async def scenario(environment: HostEnvironment) -> None:
        result = await run_command(environment, *arguments)
        assert result.exit_code == exit_code, result.output
        assert text in result.output
        assert result.stdout == ""

    run_scenario(scenario)


def test_host_that_is_not_reached_gets_an_exit_code() -> None:
    """Guards against a trace in place of an error."""

    async def scenario(environment: HostEnvironment) -> None:
        (free,) = pick_addresses(1)
        result = await run_command(environment, *PLAIN, "--metrics", free)
        assert result.exit_code == ExitCode.UNREACHABLE

    run_scenario(scenario)


def test_refused_question_fails_and_no_key_is_printed() -> None:
    """Guards against a secret key in any output, and a success where the host explains nothing."""

    async def scenario(environment: HostEnvironment) -> None:
        result = await run_command(environment, *PLAIN, "--key", "key-secret")
        assert "key_unknown (201)" in result.output
        assert "key-secret" not in result.output
        limit = environment.hosts[0]._explaining._limit
        limit._read_clock = lambda: 0.0
        while limit.admit() is None:
            pass
        result = await run_command(environment, *PLAIN, "--key", "key-secret")
        assert result.exit_code == ExitCode.FAILED
        assert "rate_exceeded (300)" in result.output
        assert "key-secret" not in result.output

    run_scenario(scenario)
