"""Commands that list the blocked prompt parts in the platform's store, and lift one."""

import asyncio
from typing import Annotated

import typer

from turmericproxy.cli.exits import ExitCode
from turmericproxy.core import Refusal
from turmericproxy.crashes.records import BLOCK_TABLE, decode_block
from turmericproxy.platform.store import PlatformStore
from turmericproxy.store.interfaces import TableState
from turmericproxy.tables.messages import Committed, Transaction, Write

blocks_app = typer.Typer(no_args_is_help=True, help="Prompt parts on which engines have ended.")

StoreOption = Annotated[
    str, typer.Option(envvar="TURMERICPROXY_STORE", help="Address of the store, as ip:port.")
]


@blocks_app.command("list")
def list_blocks(store: StoreOption) -> None:
    """Print the key, the model, the parts and the remaining seconds of each block."""
    table = _read_table(PlatformStore(store))
    for row in table.rows:
        record = decode_block(row)
        if record is None:
            typer.echo(f"{row.key} invalid row")
            continue
        seconds = max(0.0, record.until - table.store_clock)
        parts = ",".join(sorted(record.parts))
        typer.echo(f"{row.key} {record.model} {parts} {seconds:.0f} s")


@blocks_app.command("lift")
def lift_block(
    key: Annotated[str, typer.Argument(help="Key of the block, as listed.")], store: StoreOption
) -> None:
    """Remove a block; all hosts send prompts with its parts again within some seconds."""
    client = PlatformStore(store)
    table = _read_table(client)
    if key not in {row.key for row in table.rows}:
        typer.echo(f"no block has the key {key}", err=True)
        raise typer.Exit(ExitCode.NOT_FOUND)
    write = Write(BLOCK_TABLE, key, delete=True)
    result = asyncio.run(client.commit(Transaction((), (write,))))
    if not isinstance(result, Committed):
        typer.echo(f"not lifted: {getattr(result, 'reason', 'conflict')}", err=True)
        raise typer.Exit(ExitCode.UNREACHABLE)


def _read_table(client: PlatformStore) -> TableState:
    """Return the table of blocks; print the reason and exit if the store can't be read."""
    table = asyncio.run(client.read_table(BLOCK_TABLE))
    if isinstance(table, Refusal):
        typer.echo(f"the store can't be read: {table.reason}", err=True)
        raise typer.Exit(ExitCode.UNREACHABLE)
    return table
