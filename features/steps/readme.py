"""Run the commands of the README's tour one by one."""

import os
import re
import shlex
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import then, when

from turmericproxy.bench.calls import Caller

README = Path(__file__).resolve().parents[2] / "README.md"
HOST = "host-a"
REFUSAL_TIMEOUT_SECONDS = 3.0


def read_tour():
    """Return the shell commands of the tour, and the content of the file that they write."""
    section = README.read_text().partition("## A tour in five minutes")[2]
    block = re.search(r"```sh\n(.*?)```", section, re.DOTALL)[1]
    return block, re.search(r"<<'YAML'\n(.*?)YAML\n", block, re.DOTALL)[1]


def run_command(context, line):
    arguments = shlex.split(line, comments=True)
    for name, value in context.placeholders.items():
        arguments = [value if argument == name else argument for argument in arguments]
    program = str(Path(sys.executable).with_name(arguments[0]))
    environment = {
        **os.environ,
        "TURMERICPROXY_OPERATORS": context.cluster.get_address(HOST, "operators"),
        "TURMERICPROXY_OPERATOR_KEY": context.cluster.operator_key,
    }
    return subprocess.run(
        [program, *arguments[1:]],
        cwd=context.folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def call_route(context, line):
    """Send the request of the tour's curl command, and return the status."""
    path = re.search(r"http://CALLERS(\S+)", line)[1]
    body = re.search(r"-d '([^']*)'", line)[1]
    idempotency_key = re.search(r"Idempotency-Key: (\w+)", line)[1]
    caller = Caller(context.cluster.get_address(HOST, "callers"), context.placeholders["SECRET"])
    headers = {"Idempotency-Key": idempotency_key}
    return caller.call("POST", path, body.encode(), headers).status


@when("a newcomer follows the README's tour")
def follow_tour(context):
    block, document = read_tour()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder, context.placeholders = folder.name, {}
    Path(folder.name, "tour.yaml").write_text(document)
    context.completed, context.statuses = [], []
    for line in block.replace("\\\n", " ").splitlines():
        if line.startswith("turmericproxy keys create"):
            completed = run_command(context, line)
            words = re.findall(r"\S+", completed.stdout)
            context.placeholders = {
                "ID": next(word for word in words if word.startswith("key-")),
                "SECRET": max(words, key=len),
            }
            context.completed.append(completed)
        elif line.startswith("turmericproxy"):
            context.completed.append(run_command(context, line))
        elif line.startswith("curl"):
            context.call = line
            context.statuses.append(call_route(context, line))


@then("each command has succeeded, and the caller was served until the key was withdrawn")
def check_tour(context):
    assert len(context.completed) == 5
    for completed in context.completed:
        assert completed.returncode == 0, completed
    assert context.statuses == [200]
    deadline = time.monotonic() + REFUSAL_TIMEOUT_SECONDS
    while call_route(context, context.call) != 401:
        assert time.monotonic() < deadline, "the withdrawn key still works"
