"""Commands that show the status of the hosts and check settings files."""

import json
from pathlib import Path
from typing import Annotated

import typer

from turmericproxy.cli.client import (
    OperatorKeyOption,
    OperatorsOption,
    create_client,
    require_success,
)
from turmericproxy.cli.exits import ExitCode
from turmericproxy.settings import HostSettings, load_settings

_SUMMARY_FIELDS = (
    "host",
    "domain",
    "revision",
    "confirmed_seconds_ago",
    "hosts",
    "withdrawals_not_written",
)


def show_status(
    operators: OperatorsOption,
    operator_key: OperatorKeyOption,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the complete answer as JSON.")
    ] = False,
) -> None:
    """Show the revision in force on each host, and the state of the queried host."""
    client = create_client(operators, operator_key)
    status = require_success(client.call("GET", "/v1/status"))
    if as_json:
        typer.echo(json.dumps(status, indent=2))
        return
    confirmed = status["confirmed_seconds_ago"]
    when = "never" if confirmed is None else f"{confirmed:g} s ago"
    typer.echo(f"host {status['host']} in {status['domain']}: revision {status['revision']},")
    typer.echo(f"confirmed by the platform {when}")
    for key_id in status["withdrawals_not_written"]:
        typer.echo(f"withdrawal not written down yet: {key_id}")
    typer.echo("HOST                 DOMAIN          REVISION")
    for host in status["hosts"]:
        typer.echo(f"{host['host']:<20} {host['domain']:<15} {host['revision']}")
    for part, value in status.items():
        if part not in _SUMMARY_FIELDS:
            typer.echo(f"{part}: {json.dumps(value)}")


def check_settings(
    settings: Annotated[list[Path], typer.Option(help="Settings file; may be repeated.")],
) -> None:
    """Check settings files and print each fault with its file, field and reason."""
    faults = 0
    for path in settings:
        result = load_settings(path)
        if isinstance(result, HostSettings):
            typer.echo(f"{path}: host {result.host} in {result.domain}, no faults")
            continue
        for fault in result:
            typer.echo(str(fault), err=True)
        faults += len(result)
    if faults:
        raise typer.Exit(int(ExitCode.INVALID))
