"""Call the operators' API from the command line."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, NoReturn

import typer

from turmericproxy.cli.exits import ExitCode, choose_exit
from turmericproxy.web import CallFailure, HttpClient

READ_TIMEOUT_SECONDS = 15.0
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")

OperatorsOption = Annotated[
    str,
    typer.Option(
        "--operators",
        envvar="TURMERICPROXY_OPERATORS",
        help="Operators' address of any host, IP:PORT.",
    ),
]
OperatorKeyOption = Annotated[
    str,
    typer.Option(
        "--operator-key",
        envvar="TURMERICPROXY_OPERATOR_KEY",
        help="Operator key; better given in the environment than on the command line.",
    ),
]


@dataclass(frozen=True)
class Failure:
    """Say why a call did not succeed, and with which code the command ends."""

    exit_code: ExitCode
    message: str
    change_id: str | None = None


class OperatorClient:
    """Call one host; answers are decoded JSON."""

    def __init__(self, address: str, key: str) -> None:
        headers = {"Authorization": f"Bearer {key}"}
        self._address = address
        self._http = HttpClient(address, read_timeout=READ_TIMEOUT_SECONDS, headers=headers)

    def call(
        self,
        method: str,
        path: str,
        value: object = None,
        headers: Mapping[str, str] | None = None,
        read_timeout: float | None = None,
    ) -> Any | Failure:
        """Return the answer's body, or why there is none."""
        answer = self._http.call_json(
            method, path, value, headers=headers, read_timeout=read_timeout, fresh=True
        )
        if isinstance(answer, CallFailure):
            return self._describe_failure(method, answer)
        status, body = answer
        return body if status < 300 else _read_refusal(status, body)

    def _describe_failure(self, method: str, failure: CallFailure) -> Failure:
        if failure.is_unsent or method == "GET":
            message = f"no answer from {self._address}: {failure.reason}"
            return Failure(ExitCode.UNREACHABLE, message)
        message = f"the answer of {self._address} was lost; the call may have taken effect"
        return Failure(ExitCode.UNKNOWN, message)


def _read_refusal(status: int, body: Any) -> Failure:
    error = body.get("error") if isinstance(body, dict) else None
    if not isinstance(error, dict) or "code" not in error:
        return Failure(ExitCode.FAILED, f"the host answered {status}")
    message = f"{error['name']} ({error['code']}): {error['reason']}"
    return Failure(choose_exit(error["code"]), message, error.get("change_id"))


def create_client(address: str, key: str) -> OperatorClient:
    """Create the client, or end the command if the address is malformed."""
    if not _ADDRESS.fullmatch(address):
        end_command(Failure(ExitCode.USAGE, "--operators takes an address IP:PORT"))
    return OperatorClient(address, key)


def end_command(failure: Failure) -> NoReturn:
    """Print why the command failed, and end it."""
    typer.echo(failure.message, err=True)
    raise typer.Exit(int(failure.exit_code))


def require_answer(answer: Any | Failure) -> Any:
    """Return the answer, or end the command if there is none."""
    if isinstance(answer, Failure):
        end_command(answer)
    return answer
