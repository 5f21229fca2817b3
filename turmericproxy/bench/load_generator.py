"""Send the calls of a workload at their scheduled times, balanced over the hosts."""

import json
import threading
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from turmericproxy.bench.results import CallOutcome, CallResult
from turmericproxy.bench.workload import Call, CallKind, create_messages
from turmericproxy.cache.blocks import hash_blocks, render_prompt

CALLER_THREADS = 128
CONNECT_TIMEOUT_SECONDS = 0.5
PROBE_INTERVAL_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 0.5
READ_TIMEOUT_SECONDS = 20.0
HTTP_OK = 200
EVENT_PREFIX = b"data:"
END_MARKER = b"[DONE]"


@dataclass(frozen=True)
class Target:
    """Describe the host addresses, the key of each client account, and what to call."""

    hosts: tuple[str, ...]
    keys: Mapping[str, str]
    model: str
    route: str


class LoadBalancer:
    """Send calls to the ready hosts in turn, and skip hosts that refuse connections.

    A thread polls the readiness endpoint of each host every ``PROBE_INTERVAL_SECONDS``.
    """

    def __init__(self, hosts: Sequence[str]) -> None:
        self._pools = [_create_pool(address) for address in hosts]
        self._ready = list(self._pools)
        self._next = 0
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._probe_thread = threading.Thread(target=self._probe_all, name="probes", daemon=True)

    def start(self) -> None:
        """Start the readiness probes."""
        self._probe_thread.start()

    def open(self, path: str, body: bytes, headers: Mapping[str, str]) -> Any:
        """Return the unread response of the first host that accepts a connection.

        Raises the last connection error if every host refuses.
        """
        error: Exception | None = None
        for _ in self._pools:
            try:
                return self._select_pool().urlopen(
                    "POST", path, body=body, headers=headers, preload_content=False, retries=False
                )
            except NewConnectionError as failure:
                error = failure
        assert error is not None
        raise error

    def close(self) -> None:
        """Stop the probes and close the idle connections."""
        self._closed.set()
        self._probe_thread.join(timeout=PROBE_TIMEOUT_SECONDS * len(self._pools))
        for pool in self._pools:
            pool.close()

    def _select_pool(self) -> urllib3.HTTPConnectionPool:
        with self._lock:
            self._next += 1
            return self._ready[self._next % len(self._ready)]

    def _probe_all(self) -> None:
        while not self._closed.wait(PROBE_INTERVAL_SECONDS):
            ready = [pool for pool in self._pools if _is_ready(pool)]
            with self._lock:
                self._ready = ready or list(self._pools)


def _is_ready(pool: urllib3.HTTPConnectionPool) -> bool:
    try:
        answer = pool.request("GET", "/readyz", timeout=PROBE_TIMEOUT_SECONDS)
    except (HTTPError, OSError):
        return False
    return answer.status == HTTP_OK


def _create_pool(address: str) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS)
    return urllib3.HTTPConnectionPool(
        host, int(port), maxsize=CALLER_THREADS, timeout=timeout, retries=False
    )


def send_calls(calls: Sequence[Call], target: Target) -> list[CallResult]:
    """Send every call when it is due, and return the results when all calls have ended.

    Latencies are measured from the due time, so that a delayed thread of the generator doesn't hide
    a slow host.
    """
    balancer = LoadBalancer(target.hosts)
    balancer.start()
    bodies = [_create_body(call, target) for call in calls]
    started = time.monotonic()
    with ThreadPoolExecutor(CALLER_THREADS) as pool:
        futures = []
        for call, body in zip(calls, bodies, strict=True):
            time.sleep(max(0.0, started + call.at - time.monotonic()))
            futures.append(pool.submit(_send_call, balancer, target, call, body, started + call.at))
        results = [future.result() for future in futures]
    balancer.close()
    return results


def _create_body(call: Call, target: Target) -> bytes:
    if call.kind is CallKind.BOOKING:
        return json.dumps({"visit": call.number}).encode()
    return json.dumps(
        {
            "model": target.model,
            "messages": create_messages(call),
            "max_tokens": call.answer_tokens,
            "stream": True,
        }
    ).encode()


def _send_call(
    balancer: LoadBalancer, target: Target, call: Call, body: bytes, due: float
) -> CallResult:
    result = CallResult(
        call.number, call.account, call.kind, call.is_noise, call.at, CallOutcome.FAILED
    )
    headers = {
        "Authorization": f"Bearer {target.keys[call.account]}",
        "Content-Type": "application/json",
        "Idempotency-Key": f"booking-{call.number}",
    }
    is_chat = call.kind is CallKind.CHAT
    path = "/v1/chat/completions" if is_chat else f"/r/{target.route}/visits"
    try:
        answer = balancer.open(path, body, headers)
        result = replace(result, request_id=answer.headers.get("X-Request-Id", ""))
        result = _read_answer(answer, result, call, due)
    except (HTTPError, OSError, ValueError) as error:
        result = replace(result, reason=f"{type(error).__name__}: {error}"[:200])
    result = replace(result, total=time.monotonic() - due)
    return _add_blocks(result, call, target) if is_chat else result


def _read_answer(answer: Any, result: CallResult, call: Call, due: float) -> CallResult:
    if answer.status != HTTP_OK:
        return _read_error(answer, result)
    if call.kind is CallKind.BOOKING:
        answer.read()
        answer.release_conn()
        return replace(result, ending=CallOutcome.ANSWERED)
    return _read_stream(answer, result, due)


def _read_error(answer: Any, result: CallResult) -> CallResult:
    content = answer.read()
    answer.release_conn()
    error = json.loads(content).get("error", {}) if content else {}
    return replace(
        result,
        ending=CallOutcome.REFUSED,
        code=int(error.get("code", answer.status)),
        reason=str(error.get("reason", ""))[:200],
    )


def _read_stream(answer: Any, result: CallResult, due: float) -> CallResult:
    first_token: float | None = None
    usage: dict[str, Any] = {}
    is_complete = False
    reason = "the stream ended early"
    buffer = b""
    for chunk in answer.stream(65536):
        *lines, buffer = (buffer + chunk).split(b"\n")
        for line in lines:
            if not line.startswith(EVENT_PREFIX):
                continue
            content = line[len(EVENT_PREFIX) :].strip()
            if content == END_MARKER:
                is_complete = True
                continue
            event = json.loads(content)
            if "error" in event:
                reason = str(event["error"].get("reason", reason))
            if first_token is None and _has_content(event):
                first_token = time.monotonic() - due
            usage = event.get("usage") or usage
    answer.release_conn()
    is_complete = is_complete and bool(usage)
    return replace(
        result,
        ending=CallOutcome.ANSWERED if is_complete else CallOutcome.FAILED,
        reason="" if is_complete else reason,
        first_token=first_token,
        prompt_tokens=int(usage.get("prompt_tokens", 0)),
        cached_tokens=_count_cached(usage),
    )


def _has_content(event: dict[str, Any]) -> bool:
    choices = event.get("choices") or [{}]
    return bool(choices[0].get("delta", {}).get("content"))


def _count_cached(usage: dict[str, Any]) -> int:
    details = usage.get("prompt_tokens_details") or {}
    return int(details.get("cached_tokens", 0))


def _add_blocks(result: CallResult, call: Call, target: Target) -> CallResult:
    prompt = render_prompt(create_messages(call))
    return replace(result, blocks=hash_blocks(prompt, call.account, target.model, "1"))
