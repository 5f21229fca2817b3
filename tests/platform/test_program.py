"""Check that a process with wrong settings says so and ends."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("content", [None, "node=a\n", "no settings"])
def test_wrong_settings_give_one_numbered_error_and_end(
    tmp_path: Path, content: str | None
) -> None:
    path = tmp_path / "boot.conf"
    if content is not None:
        path.write_text(content)
    ended = subprocess.run(
        [sys.executable, "-m", "turmericproxy.platform.program"],
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
