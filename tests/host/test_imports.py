"""Check which modules a start of a host imports, since each takes processor time."""

import subprocess
import sys
from pathlib import Path

import pytest

OPTIONAL = ("turmericproxy.admission", "turmericproxy.releases")
# Creates a host from settings in a process of its own, and prints the optional modules.
SCRIPT = f"""
import asyncio, sys
from pathlib import Path
from turmericproxy.host.site_daemon import SiteHost
from turmericproxy.platform.program import create_adapter
from turmericproxy.platform.settings import read_settings

async def create_host():
    settings = read_settings(Path(sys.argv[1]))
    SiteHost(settings, create_adapter(settings.store))

asyncio.run(create_host())
print(*sorted({{".".join(m.split(".")[:2]) for m in sys.modules if m.startswith({OPTIONAL!r})}}))
"""
SETTINGS = """
node=h0
zone=a
listen.front=127.0.0.1:1
listen.ready=127.0.0.1:2
port_range=3,4
ip=127.0.0.1
platform.address=127.0.0.1:5
bootstrap=true
bounds.lease_ms=3000
bounds.version_ms=6000
bounds.retry_budget_ratio=0.2
bounds.retry_budget_extra=50
bounds.grace_s=10
bounds.quota_window_s=10
bounds.quota_overshoot=0.1
bounds.quota_slack=10
bounds.exposure_share=0.1
bounds.exposure_slack=50
bounds.rollback_ms=5000
"""


@pytest.mark.parametrize(
    ("contracts", "imported"),
    [
        ("", ""),
        ("contracts=pressure", "turmericproxy.admission"),
        ("contracts=rollout", "turmericproxy.releases"),
        ("contracts=pressure,rollout", "turmericproxy.admission turmericproxy.releases"),
    ],
)
def test_host_imports_only_what_its_settings_ask_for(
    contracts: str, imported: str, tmp_path: Path
) -> None:
    """Guard against starts that take longer for what a deployment doesn't use."""
    path = tmp_path / "settings"
    path.write_text(SETTINGS + contracts)
    command = [sys.executable, "-c", SCRIPT, str(path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 0, result.stderr
    assert result.stdout.strip() == imported
