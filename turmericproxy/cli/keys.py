"""Commands that create and withdraw keys."""

from typing import Annotated
from urllib.parse import quote

import typer

from turmericproxy.cli.client import (
    OperatorKeyOption,
    OperatorsOption,
    create_client,
    require_success,
)

keys_app = typer.Typer(no_args_is_help=True, help="Create and withdraw keys of client accounts.")


@keys_app.command("create")
def create_key(
    account: Annotated[str, typer.Argument(help="Client account that the key belongs to.")],
    operators: OperatorsOption,
    operator_key: OperatorKeyOption,
    name: Annotated[str, typer.Option(help="Prefix of the key's id.")] = "key",
) -> None:
    """Create a key and print its id and its secret, which is not shown again."""
    client = create_client(operators, operator_key)
    body = {"account": account, "name": name}
    created = require_success(client.call("POST", "/v1/keys", body))
    typer.echo(f"id: {created['id']}\nsecret: {created['secret']}")


@keys_app.command("withdraw")
def withdraw_key(
    key_id: Annotated[str, typer.Argument(help="Id of the key.")],
    operators: OperatorsOption,
    operator_key: OperatorKeyOption,
) -> None:
    """Withdraw a key permanently on every reachable host."""
    client = create_client(operators, operator_key)
    answer = require_success(client.call("DELETE", f"/v1/keys/{quote(key_id)}"))
    written = "written down" if answer["durable"] else "not written down at the platform yet"
    typer.echo(f"{key_id}: withdrawn, {written}")
