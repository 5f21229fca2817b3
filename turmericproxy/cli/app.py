"""Assemble the commands of the ``turmericproxy`` program."""

import typer

from turmericproxy.cli.serve import serve_host
from turmericproxy.cli.standin import stand_in_app

app = typer.Typer(no_args_is_help=True, help="Route language-model traffic with shared prompts.")
app.command("serve")(serve_host)
app.add_typer(stand_in_app, name="stand-in")


@app.callback()
def describe_program() -> None:
    """Route language-model traffic with shared prompts."""


def main() -> None:
    """Run the command line."""
    app()
