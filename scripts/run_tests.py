"""Run the unit tests, model checks and scenarios, and print one closing line."""

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
class Outcome:
    """Count the passed tests and name the failed ones of one suite."""

    passed: int
    failed: frozenset[str]
    exit_code: int


def run_pytest(report: Path) -> Outcome:
    """Run the unit, property and model tests."""
    command = [sys.executable, "-m", "pytest", f"--junit-xml={report}", "tests"]
    exit_code = subprocess.run(command, cwd=ROOT, check=False).returncode
    if not report.exists():
        return Outcome(0, frozenset({"pytest: no report"}), exit_code)
    passed, failed = 0, set()
    for case in ElementTree.parse(report).iter("testcase"):
        name = f"{case.get('classname')}::{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            failed.add(name)
        elif case.find("skipped") is None:
            passed += 1
    return Outcome(passed, frozenset(failed), exit_code)


def run_behave(report: Path) -> Outcome:
    """Run the scenarios of the feature files."""
    # The first format goes to the report, the second to the standard output.
    command = [sys.executable, "-m", "behave", "--format=json", f"--outfile={report}"]
    command += ["--format=progress", "features"]
    exit_code = subprocess.run(command, cwd=ROOT, check=False).returncode
    if not report.exists():
        return Outcome(0, frozenset({"behave: no report"}), exit_code)
    passed, failed = 0, set()
    for feature in json.loads(report.read_text()):
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            if scenario["status"] == "passed":
                passed += 1
            else:
                failed.add(f"{feature['location'].split(':')[0]}::{scenario['name']}")
                print_fault(scenario)
    return Outcome(passed, frozenset(failed), exit_code)


def print_fault(scenario: dict[str, Any]) -> None:
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
    """Run both suites and return 0 when every failure is a known one."""
    with tempfile.TemporaryDirectory() as folder:
        outcomes = [run_pytest(Path(folder, "unit.xml")), run_behave(Path(folder, "behave.json"))]
    failed = frozenset().union(*(outcome.failed for outcome in outcomes))
    known = failed & read_known_red()
    for name in sorted(failed):
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    broken = any(outcome.exit_code not in (0, 1) for outcome in outcomes)
    unreported = any(outcome.exit_code and not outcome.failed for outcome in outcomes)
    passed = sum(outcome.passed for outcome in outcomes)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed - known or broken or unreported or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
