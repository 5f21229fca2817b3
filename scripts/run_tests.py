"""Run the unit tests, model checks and scenarios, and print a summary line."""

import json
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


@dataclass(frozen=True)
class SuiteResult:
    """Store the number of passed tests and the names of failed tests of one suite."""

    passed: int
    failed: frozenset[str]
    exit_code: int


def run_pytest(report: Path) -> SuiteResult:
    """Run the unit, property and model tests."""
    command = [sys.executable, "-m", "pytest", f"--junit-xml={report}", "tests"]
    exit_code = subprocess.run(command, cwd=ROOT, check=False).returncode
    if not report.exists():
        return SuiteResult(0, frozenset({"pytest: no report"}), exit_code)
    passed, failed = 0, set()
    for case in ElementTree.parse(report).iter("testcase"):
        name = f"{case.get('classname')}::{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            failed.add(name)
        elif case.find("skipped") is None:
            passed += 1
    return SuiteResult(passed, frozenset(failed), exit_code)


def run_behave(report: Path) -> SuiteResult:
    """Run the scenarios of the feature files."""
    # The first format goes to the report, the second to the standard output.
    command = [sys.executable, "-m", "behave", "--format=json", f"--outfile={report}"]
    command += ["--format=progress", "features"]
    exit_code = subprocess.run(command, cwd=ROOT, check=False).returncode
    if not report.exists():
        return SuiteResult(0, frozenset({"behave: no report"}), exit_code)
    passed, failed = 0, set()
    for feature in json.loads(report.read_text()):
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            if scenario["status"] == "passed":
                passed += 1
            else:
                failed.add(f"{feature['location'].split(':')[0]}::{scenario['name']}")
                print_failed_step(scenario)
    return SuiteResult(passed, frozenset(failed), exit_code)


def print_failed_step(scenario: dict[str, Any]) -> None:
    """Print the step that failed and its error."""
    for step in scenario["steps"]:
        result = step.get("result", {})
        if result.get("status") not in ("passed", "skipped", None):
            print(f"{step['keyword']} {step['name']}: {result['status']}")
            message = result.get("error_message", "")
            print(message if isinstance(message, str) else "\n".join(message))


def read_known_red() -> frozenset[str]:
    """Return the names of the tests that KNOWN-RED.txt lists.

    Each entry starts with a line ``test: NAME``; the lines that follow describe it.
    """
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(line[5:].strip() for line in lines if line.startswith("test:"))


def main() -> int:
    """Run both suites and return 0 if every failure is listed in KNOWN-RED.txt."""
    with tempfile.TemporaryDirectory() as folder:
        results = [run_pytest(Path(folder, "unit.xml")), run_behave(Path(folder, "behave.json"))]
    failed = frozenset().union(*(result.failed for result in results))
    known = failed & read_known_red()
    for name in sorted(failed):
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    has_crashed = any(result.exit_code not in (0, 1) for result in results)
    lacks_report = any(result.exit_code and not result.failed for result in results)
    passed = sum(result.passed for result in results)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed - known or has_crashed or lacks_report or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
