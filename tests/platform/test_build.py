"""Check that the build replaces dependencies that were installed on another kind of machine."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Records the arguments, and runs everything but pip, which would need a package registry.
PYTHON_WRAPPER = """#!/bin/sh
echo "$*" >> "{record}"
[ "$2" = pip ] || exec {python} -S "$@"
mkdir -p target/deps
"""
EXTENSIONS = ("httptools/parser", "msgpack/_cmsgpack", "hdrh/pyhdrh")


def read_build_command() -> str:
    command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    assert isinstance(command, str)
    return command


def create_tree(folder: Path, suffix: str) -> None:
    """Create a checkout with installed packages whose extension modules have a suffix."""
    (folder / "turmericproxy").mkdir()
    (folder / "requirements-host.lock").touch()
    os.utime(folder / "requirements-host.lock", (1, 1))
    for extension in EXTENSIONS:
        package, _, module = extension.partition("/")
        path = folder / "target" / "deps" / package
        path.mkdir(parents=True)
        (path / "__init__.py").write_text(f"from {package} import {module}\n")
        (path / f"{module}{suffix}").touch()
    (folder / "target" / "deps" / "hdrh" / "histogram.py").touch()


# Guards against hosts that can't start: packages of a build folder from another kind of processor
# were kept, since they were newer than the lock file.
@pytest.mark.parametrize(
    ("suffix", "is_installed"), [(".cpython-311-other-linux-gnu.so", True), (".py", False)]
)
def test_build_replaces_dependencies_that_this_machine_cannot_import(
    tmp_path: Path, suffix: str, is_installed: bool
) -> None:
    create_tree(tmp_path, suffix)
    record, wrapper = tmp_path / "record", tmp_path / "bin" / "python3"
    wrapper.parent.mkdir()
    wrapper.write_text(PYTHON_WRAPPER.format(record=record, python=sys.executable))
    wrapper.chmod(0o755)
    environment = {**os.environ, "PATH": f"{wrapper.parent}:{os.environ['PATH']}"}
    subprocess.run(["sh", "-c", read_build_command()], cwd=tmp_path, env=environment, check=True)
    installs = [line for line in record.read_text().splitlines() if line.startswith("-m pip")]
    assert len(installs) == is_installed
