"""Client of the operators' API for the commands."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, NoReturn

import typer

from turmericproxy.cli.exits import ExitCode, get_exit_code
from turmericproxy.web import CallFailure, HttpClient

READ_TIMEOUT_SECONDS = 15.0
ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")

OperatorsOption = Annotated[
    str,
    typer.Option(
        "--operators",
        envvar="TURMERICPROXY_OPERATORS",
        help="Address of the operators' API of any host, IP:PORT.",
    ),
]
OperatorKeyOption = Annotated[
    str,
    typer.Option(
        "--operator-key",
        envvar="TURMERICPROXY_OPERATOR_KEY",
        help="Operator key; prefer the environment variable to the command line.",
    ),
]


@dataclass(frozen=True)
class Failure:
    """Failed call: the exit code for the command, and the reason."""

    exit_code: ExitCode
    message: str
    change_id: str | None = None


class OperatorClient:
    """HTTP client for the operators' API of one host."""

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
        """Return the decoded JSON body of the answer, or the failure of the call."""
        answer = self._http.call_json(
            method, path, value, headers=headers, read_timeout=read_timeout, fresh=True
        )
        if isinstance(answer, CallFailure):
            return self._describe_failure(method, answer)
        status, body = answer
        return body if status < 300 else decode_refusal(status, body)

    def _describe_failure(self, method: str, failure: CallFailure) -> Failure:
        if failure.is_unsent or method == "GET":
            message = f"no answer from {self._address}: {failure.reason}"
            return Failure(ExitCode.UNREACHABLE, message)
        message = f"no answer from {self._address}; the call may have taken effect"
        return Failure(ExitCode.UNKNOWN, message)


def decode_refusal(status: int, body: Any) -> Failure:
    """Return the failure that a refusal of a host describes."""
    error = body.get("error") if isinstance(body, dict) else None
    if not isinstance(error, dict) or "code" not in error:
        return Failure(ExitCode.FAILED, f"the host answered with status {status}")
    message = f"{error['name']} ({error['code']}): {error['reason']}"
    return Failure(get_exit_code(error["code"]), message, error.get("change_id"))


def create_client(address: str, key: str) -> OperatorClient:
    """Create a client; exit the command if the address is malformed."""
    if not ADDRESS.fullmatch(address):
        exit_with_failure(Failure(ExitCode.USAGE, "--operators must be an address IP:PORT"))
    return OperatorClient(address, key)


def exit_with_failure(failure: Failure) -> NoReturn:
    """Print the failure and exit the command with its code."""
    typer.echo(failure.message, err=True)
    raise typer.Exit(int(failure.exit_code))


def require_success(answer: Any | Failure) -> Any:
    """Return the answer; exit the command if the call failed."""
    if isinstance(answer, Failure):
        exit_with_failure(answer)
    return answer
