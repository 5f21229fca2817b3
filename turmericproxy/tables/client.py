"""Provide the client of the platform's tables, objects and host list."""

import json
import threading
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

from urllib3.exceptions import HTTPError

from turmericproxy.core import DomainName, HostName, Refusal, ResultCode, refuse
from turmericproxy.settings.schema import PlatformSettings
from turmericproxy.tables.breaker import Breaker
from turmericproxy.tables.messages import (
    AnswerLost,
    Committed,
    Conflict,
    HostEntry,
    HostList,
    HostState,
    Row,
    Transaction,
)
from turmericproxy.web import CallFailure, FailureStage, HttpClient

POOLED_CONNECTIONS = 16
MIN_RETRY_SECONDS = 0.1
OVERLOADED_STATUS = 429
SERVER_ERROR_STATUS = 500


class PlatformClient:
    """Call the platform; every call ends within the timeouts of the settings.

    A call that the platform rejected because it was overloaded is refused with ``OVERLOADED``.
    Any other call that certainly had no effect is refused with ``PLATFORM_UNAVAILABLE``.

    While the platform is unavailable, calls fail fast for short intervals that double. After a
    call without an answer all pooled connections are dropped, since they may be dead too.
    """

    def __init__(self, settings: PlatformSettings, host: HostName) -> None:
        self._settings = settings
        self._host = host
        self._breaker = Breaker()
        self._lock = threading.Lock()
        self._http = self._create_http()

    def read_row(self, table: str, key: str) -> Row | None | Refusal:
        """Return a row, or ``None`` if there is none."""
        answer = self._call("GET", f"/v1/tables/{_quote(table)}/rows/{_quote(key)}")
        if isinstance(answer, AnswerLost):
            return self._refuse(answer.reason)
        if isinstance(answer, Refusal):
            return answer
        status, value = answer
        if status == 404:
            return None
        return Row(key, value["value"], value["version"])

    def list_rows(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Refusal:
        """Return up to ``limit`` rows in key order whose keys sort after ``after``."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        answer = self._call("GET", f"/v1/tables/{_quote(table)}/rows?{query}")
        if isinstance(answer, AnswerLost):
            return self._refuse(answer.reason)
        if isinstance(answer, Refusal):
            return answer
        return tuple(Row(row["key"], row["value"], row["version"]) for row in answer[1]["rows"])

    def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Commit a transaction; a refusal means that it certainly did not take effect."""
        answer = self._call("POST", "/v1/transactions", transaction.to_json())
        if isinstance(answer, AnswerLost | Refusal):
            return answer
        status, value = answer
        if status == 409:
            return Conflict(tuple(value["failed"]))
        return Committed(value["versions"])

    def put_object(self, name: str, content: bytes) -> None | AnswerLost | Refusal:
        """Store an object."""
        answer = self._call("PUT", f"/v1/objects/{quote(name)}", content)
        return answer if isinstance(answer, AnswerLost | Refusal) else None

    def get_object(self, name: str) -> bytes | None | Refusal:
        """Return an object, or ``None`` if there is none."""
        answer = self._call("GET", f"/v1/objects/{quote(name)}", is_json=False)
        if isinstance(answer, AnswerLost):
            return self._refuse(answer.reason)
        if isinstance(answer, Refusal):
            return answer
        return None if answer[0] == 404 else bytes(answer[1])

    def delete_object(self, name: str) -> None | AnswerLost | Refusal:
        """Delete an object if it exists."""
        answer = self._call("DELETE", f"/v1/objects/{quote(name)}")
        return answer if isinstance(answer, AnswerLost | Refusal) else None

    def list_hosts(self) -> HostList | Refusal:
        """Return the hosts that are registered at the platform."""
        answer = self._call("GET", "/v1/hosts")
        if isinstance(answer, AnswerLost):
            return self._refuse(answer.reason)
        if isinstance(answer, Refusal):
            return answer
        value = answer[1]
        return HostList(tuple(_parse_host_entry(entry) for entry in value["hosts"]), value["as_of"])

    def close(self) -> None:
        """Close the pooled connections."""
        self._http.close()

    def _create_http(self) -> HttpClient:
        return HttpClient(
            self._settings.address,
            connect_timeout=self._settings.connect_timeout,
            read_timeout=self._settings.timeout,
            connections=POOLED_CONNECTIONS,
            headers={"X-Host": self._host},
        )

    def _call(
        self, method: str, path: str, value: object = None, *, is_json: bool = True
    ) -> tuple[int, Any] | AnswerLost | Refusal:
        generation = self._breaker.begin_call()
        if generation is None:
            return self._refuse("the platform failed to answer recent calls")
        http = self._http
        answer = _send(http, method, path, value, is_json)
        if isinstance(answer, CallFailure):
            no_answer = answer.stage is FailureStage.ANSWER
            self._breaker.record(generation, False, no_answer)
            return self._drop_connections(http, answer)
        status, content, headers = answer
        self._breaker.record(generation, status < SERVER_ERROR_STATUS)
        if status == 404 and method == "GET" or status in (200, 409):
            return status, content
        if status == OVERLOADED_STATUS:
            wait = max(MIN_RETRY_SECONDS, _parse_retry_after(headers))
            return refuse(ResultCode.OVERLOADED, "the platform is overloaded", retry_after=wait)
        if status == 503:
            return self._refuse(
                f"the platform answered with status {status}", _parse_retry_after(headers)
            )
        if status >= SERVER_ERROR_STATUS:
            return AnswerLost(f"the platform answered with status {status}")
        raise ValueError(f"the platform answered {method} {path} with unexpected status {status}")

    def _drop_connections(self, http: HttpClient, failure: CallFailure) -> AnswerLost | Refusal:
        with self._lock:
            if self._http is http:
                self._http = self._create_http()
                http.close()
        if failure.is_unsent:
            return self._refuse(f"connecting to the platform failed: {failure.reason}")
        return AnswerLost(failure.reason)

    def _refuse(self, reason: str, retry_after: float = 0.0) -> Refusal:
        wait = max(MIN_RETRY_SECONDS, retry_after, self._breaker.measure_wait())
        return refuse(ResultCode.PLATFORM_UNAVAILABLE, reason, retry_after=wait)


def _send(
    http: HttpClient, method: str, path: str, value: object, is_json: bool
) -> tuple[int, Any, Mapping[str, str]] | CallFailure:
    body = value if isinstance(value, bytes) or value is None else json.dumps(value).encode()
    try:
        answer = http.open(method, path, body=body, headers={"Content-Type": "application/json"})
        if isinstance(answer, CallFailure):
            return answer
        content = answer.read()
        answer.release_conn()
        if is_json:
            content = json.loads(content)
        return answer.status, content, answer.headers
    except (HTTPError, OSError, ValueError) as error:
        return CallFailure(FailureStage.ANSWER, type(error).__name__)


def _parse_retry_after(headers: Mapping[str, str]) -> float:
    try:
        return float(headers.get("Retry-After", "0"))
    except ValueError:
        return 0.0


def _parse_host_entry(entry: Mapping[str, Any]) -> HostEntry:
    return HostEntry(
        HostName(entry["host"]),
        DomainName(entry["domain"]),
        entry["callers"],
        entry["peers"],
        HostState(entry["state"]),
        float(entry["gone_for"]),
    )


def _quote(part: str) -> str:
    return quote(part, safe="")
