"""Commands that read, write and watch resources."""

import json
import time
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer
import yaml

from turmericproxy.cli.client import (
    Failure,
    OperatorClient,
    OperatorKeyOption,
    OperatorsOption,
    create_client,
    exit_with_failure,
    require_success,
)
from turmericproxy.cli.documents import Document, DocumentFault, read_documents
from turmericproxy.cli.exits import ExitCode
from turmericproxy.configuration.resources import Kind

CHANGE_POLL_TIMEOUT_SECONDS = 10.0
IN_FORCE_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.2
WATCH_LONG_POLL_SECONDS = 20.0
WATCH_READ_TIMEOUT_SECONDS = 30.0

FileArgument = Annotated[Path, typer.Argument(help="YAML file with one resource per document.")]
KindArgument = Annotated[Kind, typer.Argument(help="Kind of resource.")]
NameArgument = Annotated[str, typer.Argument(help="Name of the resource.")]
WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until the change is in force on every host.")
]


def apply_resources(
    file: FileArgument,
    operators: OperatorsOption,
    operator_key: OperatorKeyOption,
    wait: WaitOption = False,
) -> None:
    """Create or replace the resources in a file, in the order of the file."""
    client = create_client(operators, operator_key)
    documents = read_documents(file)
    faults = [entry for entry in documents if isinstance(entry, DocumentFault)]
    for fault in faults:
        typer.echo(str(fault), err=True)
    if faults:
        raise typer.Exit(int(ExitCode.INVALID))
    highest_revision = 0
    for document in documents:
        if isinstance(document, Document):
            highest_revision = max(highest_revision, _apply_document(client, document))
    if wait:
        wait_in_force(client, highest_revision)


def _apply_document(client: OperatorClient, document: Document) -> int:
    label = f"{document.kind}/{document.name}"
    path = f"/v1/resources/{label}"
    current = client.call("GET", path)
    if isinstance(current, Failure) and current.exit_code is not ExitCode.NOT_FOUND:
        exit_with_failure(current)
    headers = {"If-None-Match": "*"}
    if not isinstance(current, Failure):
        if all(current.get(field) == value for field, value in document.fields.items()):
            typer.echo(f"{label}: unchanged at revision {current['revision']}")
            return int(current["revision"])
        headers = {"If-Match": f'"{current["revision"]}"'}
    revision = _require_revision(client, client.call("PUT", path, document.fields, headers), label)
    typer.echo(f"{label}: accepted at revision {revision}")
    return revision


def _require_revision(client: OperatorClient, answer: Any, label: str) -> int:
    if not isinstance(answer, Failure):
        return int(answer["revision"])
    revision = None if answer.change_id is None else _poll_change(client, answer.change_id)
    if revision is None:
        exit_with_failure(Failure(answer.exit_code, f"{label}: {answer.message}"))
    return revision


def _poll_change(client: OperatorClient, change_id: str) -> int | None:
    deadline = time.monotonic() + CHANGE_POLL_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        record = client.call("GET", f"/v1/changes/{change_id}")
        if isinstance(record, dict) and record["accepted"] is not None:
            return int(record["revision"]) if record["accepted"] else None
        time.sleep(POLL_INTERVAL_SECONDS)
    return None


def wait_in_force(client: OperatorClient, revision: int) -> None:
    """Wait until the revision is in force on every host that the queried host can reach."""
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
    shown = ""
    while True:
        status = require_success(client.call("GET", "/v1/status"))
        hosts = status["hosts"]
        behind = [host["host"] for host in hosts if host["revision"] < revision]
        line = f"revision {revision} in force on {len(hosts) - len(behind)} of {len(hosts)} hosts"
        if line != shown:
            typer.echo(line)
            shown = line
        if not behind:
            return
        if time.monotonic() > deadline:
            message = f"not in force in time on {', '.join(behind)}"
            exit_with_failure(Failure(ExitCode.NOT_IN_FORCE, message))
        time.sleep(POLL_INTERVAL_SECONDS)


def get_resources(
    operators: OperatorsOption,
    operator_key: OperatorKeyOption,
    kind: Annotated[Kind | None, typer.Argument(help="Kind of resource; all by default.")] = None,
    name: Annotated[str | None, typer.Argument(help="Name; all by default.")] = None,
) -> None:
    """Print resources in the format that apply reads."""
    client = create_client(operators, operator_key)
    if kind is not None and name is not None:
        shown = [require_success(client.call("GET", f"/v1/resources/{kind.value}/{quote(name)}"))]
    else:
        shown = []
        for wanted in [kind] if kind else list(Kind):
            answer = require_success(client.call("GET", f"/v1/resources/{wanted.value}"))
            shown.extend(answer["resources"])
    if shown:
        typer.echo(yaml.safe_dump_all(shown, sort_keys=False), nl=False)


def delete_resource(
    kind: KindArgument,
    name: NameArgument,
    operators: OperatorsOption,
    operator_key: OperatorKeyOption,
    wait: WaitOption = False,
) -> None:
    """Delete a resource."""
    client = create_client(operators, operator_key)
    label = f"{kind.value}/{quote(name)}"
    answer = client.call("DELETE", f"/v1/resources/{label}")
    if isinstance(answer, dict) and "withdrawn" in answer:
        typer.echo(f"{label}: withdrawn")
        return
    revision = _require_revision(client, answer, label)
    typer.echo(f"{label}: deleted at revision {revision}")
    if wait:
        wait_in_force(client, revision)


def watch_resources(
    operators: OperatorsOption,
    operator_key: OperatorKeyOption,
    since: Annotated[int, typer.Option(help="Show changes after this revision.")] = 0,
    count: Annotated[
        int, typer.Option(help="Exit after this number of lines; 0 for no limit.")
    ] = 0,
) -> None:
    """Print a JSON line for each change when it comes into force."""
    client = create_client(operators, operator_key)
    printed = 0
    while not count or printed < count:
        path = f"/v1/watch?since={since}&wait={WATCH_LONG_POLL_SECONDS}"
        answer = require_success(client.call("GET", path, read_timeout=WATCH_READ_TIMEOUT_SECONDS))
        lines = answer["resources"] if answer.get("reset") else answer["changes"]
        for line in lines[: count - printed if count else None]:
            typer.echo(json.dumps(line))
            printed += 1
        since = answer["revision"]
