"""Command that reconstructs the processing of one request from log files."""

from pathlib import Path
from typing import Annotated

import typer

from turmericproxy.cli.exits import ExitCode
from turmericproxy.logs.explaining import explain_request, read_block_lines, read_lines


def explain(
    request_id: Annotated[str, typer.Argument(help="Request id of the client's attempt.")],
    files: Annotated[list[Path], typer.Argument(help="Log files of all hosts.")],
) -> None:
    """Print the decisions on a request in order, its result and the cause."""
    texts: list[str] = []
    for path in files:
        try:
            texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            raise typer.Exit(ExitCode.INVALID) from None
    lines = read_lines(texts, request_id)
    if not lines:
        typer.echo(f"no log line contains request {request_id}", err=True)
        raise typer.Exit(ExitCode.NOT_FOUND)
    explanation = explain_request(lines)
    for line in (*read_block_lines(texts, lines), *lines):
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        typer.echo(f"{line.time} {line.host} {line.message} {fields}")
    typer.echo(f"{explanation.result.value}: {explanation.cause}")
