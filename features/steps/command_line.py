"""Run commands of the program and check their output."""

import shlex
import subprocess
import sys
from pathlib import Path

from behave import then, when


@when('the operator runs "{command}"')
def run_command(context, command):
    program = shlex.split(command)
    program[0] = str(Path(sys.executable).with_name(program[0]))
    context.completed = subprocess.run(program, capture_output=True, text=True, check=False)


@then('the output mentions "{text}"')
def check_output(context, text):
    assert text in context.completed.stdout, context.completed
