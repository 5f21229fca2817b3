"""Test that docs/RESULT-CODES.md lists all result codes and exit codes."""

import re
from pathlib import Path

from turmericproxy.cli.exits import ExitCode, get_exit_code
from turmericproxy.core.results import HTTP_STATUS, ResultCode

PAGE = Path(__file__).parents[2] / "docs" / "RESULT-CODES.md"


def read_rows(title: str) -> list[list[str]]:
    """Return the cells of the table under a heading."""
    section = re.split(r"^# ", PAGE.read_text(), flags=re.MULTILINE)
    text = next(part for part in section if part.startswith(title))
    rows = [line.strip("|").split("|") for line in text.splitlines() if line.startswith("| ")]
    return [[cell.strip() for cell in row] for row in rows[2:]]


def test_every_result_code_is_described_with_its_status() -> None:
    rows = read_rows("Result codes")
    listed = [(int(code), name, int(status)) for code, name, status, *_ in rows]
    assert listed == [(int(c), c.name.lower(), HTTP_STATUS[c]) for c in ResultCode]
    assert all(meaning for _, _, _, meaning, *_ in rows)


def test_every_exit_code_is_described() -> None:
    listed = [(int(code), name) for code, name, _ in read_rows("Exit codes")]
    assert listed == [(int(code), code.name.lower()) for code in ExitCode]
    assert get_exit_code(12345) is ExitCode.FAILED
