"""Run one host on the platform."""

import asyncio
import os
from pathlib import Path

from turmericproxy.cli.exits import ExitCode
from turmericproxy.core import ResultCode
from turmericproxy.host.adapter import SiteAdapter
from turmericproxy.host.site_daemon import SiteHost
from turmericproxy.host.site_settings import SiteHostSettings
from turmericproxy.logs import Part, configure_stdout_logs, log_event
from turmericproxy.platform import names
from turmericproxy.platform.cache_events import PlatformCacheEventSource
from turmericproxy.platform.codec import PlatformCodec
from turmericproxy.platform.engines import PlatformEngineControl
from turmericproxy.platform.registrations import read_upstream_row
from turmericproxy.platform.settings import SETTINGS_VARIABLE, SettingsFault, read_settings
from turmericproxy.platform.site import create_release_status, read_configuration_row
from turmericproxy.platform.store import PlatformStore


def create_adapter(store_address: str) -> SiteAdapter:
    """Return the platform's clients and decoders for a host."""
    return SiteAdapter(
        codec=PlatformCodec(),
        store=PlatformStore(store_address),
        control=PlatformEngineControl(),
        create_cache_events=PlatformCacheEventSource,
        configuration_table=names.CONFIGURATION_TABLE,
        upstream_table=names.UPSTREAM_TABLE,
        ready_path=names.READY_PATH,
        singleton_fields=names.SINGLE_FIELDS,
        read_configuration_row=read_configuration_row,
        read_upstream_row=read_upstream_row,
        create_release_status=create_release_status,
    )


def main() -> int:
    """Run a host until SIGTERM; return the exit code."""
    configure_stdout_logs()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    settings = read_settings(Path(path)) if path else SettingsFault(SETTINGS_VARIABLE, "is not set")
    if isinstance(settings, SettingsFault):
        log_event(
            Part.HOST,
            "invalid settings",
            code=int(ResultCode.SETTINGS_INVALID),
            setting=settings.name,
            reason=settings.reason,
        )
        return ExitCode.INVALID
    configure_stdout_logs(settings.host)
    asyncio.run(_run_host(settings))
    return 0


async def _run_host(settings: SiteHostSettings) -> None:
    # The components of a host require a running event loop when they are created.
    await SiteHost(settings, create_adapter(settings.store)).run()
