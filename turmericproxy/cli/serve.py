"""Command that runs one host."""

import signal
import sys
import threading
from pathlib import Path
from typing import Annotated

import typer

from turmericproxy.cli.exits import ExitCode
from turmericproxy.logs import configure_logs
from turmericproxy.settings import HostSettings, load_settings

# Time after which the interpreter switches to another thread. A request may wait this long for each
# running thread, and a burst of chats runs about 60; the interpreter's default is 0.005.
THREAD_SWITCH_INTERVAL_SECONDS = 0.0002


def serve_host(
    settings: Annotated[Path, typer.Option(help="YAML file with the settings of the host.")],
) -> None:
    """Run one host until SIGTERM or SIGINT, then finish the running requests."""
    # Imported here to keep the start of the other commands fast.
    from turmericproxy.host.daemon import HostDaemon

    loaded = load_settings(settings)
    if not isinstance(loaded, HostSettings):
        for fault in loaded:
            typer.echo(str(fault), err=True)
        raise typer.Exit(ExitCode.INVALID)
    configure_logs(loaded.log_level, loaded.host)
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_SECONDS)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    daemon = HostDaemon(loaded)
    daemon.start()
    stopped.wait()
    daemon.close()
