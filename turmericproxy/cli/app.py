"""Define the ``turmericproxy`` program and its commands."""

import typer

from turmericproxy.cli.bench import run_bench
from turmericproxy.cli.blocks import blocks_app
from turmericproxy.cli.explain import explain
from turmericproxy.cli.explain_placement import explain_placement
from turmericproxy.cli.keys import keys_app
from turmericproxy.cli.resources import (
    apply_resources,
    delete_resource,
    get_resources,
    watch_resources,
)
from turmericproxy.cli.serve import serve_host
from turmericproxy.cli.standin import stand_in_app
from turmericproxy.cli.status import check_settings, show_status

app = typer.Typer(no_args_is_help=True, help="Route language-model traffic with shared prompts.")
app.command("check")(check_settings)
app.command("apply")(apply_resources)
app.command("get")(get_resources)
app.command("delete")(delete_resource)
app.command("watch")(watch_resources)
app.command("status")(show_status)
app.add_typer(keys_app, name="keys")
app.add_typer(blocks_app, name="blocks")
app.command("serve")(serve_host)
app.command("explain")(explain)
app.command("explain-placement")(explain_placement)
app.command("bench")(run_bench)
app.add_typer(stand_in_app, name="stand-in")


@app.callback()
def describe_program() -> None:
    """Route language-model traffic with shared prompts."""


def main() -> None:
    """Run the command line."""
    app()
