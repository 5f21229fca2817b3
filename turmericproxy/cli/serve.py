"""Run one host until it is told to stop."""

import signal
import sys
import threading
from pathlib import Path
from typing import Annotated

import typer

from turmericproxy.cli.exits import ExitCode
from turmericproxy.logs import configure_logs
from turmericproxy.settings import HostSettings, load_settings

# Seconds for which a thread may keep the interpreter from others. A request waits up to this long
# for each running thread, and a burst of chats runs about 60; the interpreter's default is 0.005.
SWITCH_SECONDS = 0.0002


def serve_host(
    settings: Annotated[Path, typer.Option(help="The YAML file with the host's settings.")],
) -> None:
    """Run one host until SIGTERM or SIGINT; every running request is finished first."""
    # The parts of a host are imported here so that the other commands start fast.
    from turmericproxy.host.daemon import HostDaemon

    loaded = load_settings(settings)
    if not isinstance(loaded, HostSettings):
        for fault in loaded:
            typer.echo(str(fault), err=True)
        raise typer.Exit(ExitCode.INVALID)
    configure_logs(loaded.log_level, loaded.host)
    sys.setswitchinterval(SWITCH_SECONDS)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    daemon = HostDaemon(loaded)
    daemon.start()
    stopped.wait()
    daemon.close()
