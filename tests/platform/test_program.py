"""Test that the process reports invalid settings and exits, and that it ignores an early SIGHUP."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("content", [None, "node=a\n", "no settings"])
def test_invalid_settings_are_logged_with_a_result_code_and_end_the_process(
    tmp_path: Path, content: str | None
) -> None:
    path = tmp_path / "boot.conf"
    if content is not None:
        path.write_text(content)
    ended = subprocess.run(
        [sys.executable, "-m", "turmericproxy.platform"],
        cwd=ROOT,
        env={**os.environ, "TURMERICPROXY_CONFIG": str(path)},
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert ended.returncode == 3
    (line,) = ended.stdout.decode().splitlines()
    fault = json.loads(line)
    assert fault["code"] == 700
    assert fault["setting"]
    assert fault["reason"]


def test_sighup_during_the_start_does_not_end_the_process() -> None:
    # SIGHUP would end the process if the entry module imported the host's modules, which takes most
    # of the start time, before it ignores the signal.
    check = (
        "import signal, sys\n"
        "from turmericproxy.platform import __main__ as entry\n"
        "assert 'turmericproxy.platform.program' not in sys.modules\n"
        "assert 'asyncio' not in sys.modules\n"
        "del __import__('os').environ['TURMERICPROXY_CONFIG']\n"
        "assert entry.main() != 0\n"
        "signal.raise_signal(signal.SIGHUP)\n"
        "print('alive')"
    )
    environment = {**os.environ, "TURMERICPROXY_CONFIG": "none"}
    run = subprocess.run(
        [sys.executable, "-c", check], env=environment, capture_output=True, text=True, check=False
    )
    assert run.stdout.endswith("alive\n"), run.stderr
