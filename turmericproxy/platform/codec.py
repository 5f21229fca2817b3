"""Translate requests and answers between the wire and the request path."""

from turmericproxy.core import ModelName, Refusal, RequestId, ResultCode, RunState, refuse
from turmericproxy.edge import AnswerHead, ClientRequest, Headers
from turmericproxy.platform import names
from turmericproxy.traffic.requests import (
    Dispatch,
    ParsedAnswer,
    ParsedRequest,
    Prompt,
    PromptPart,
    Verdict,
)

# Seconds that a client waits if it does not say.
DEFAULT_WAIT_SECONDS = 30.0
LONGEST_WAIT_SECONDS = 600.0
HIGHEST_RANK = 9
SUCCESS = range(200, 300)
# Statuses by which this system promises that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421


class PlatformCodec:
    """Read and write the platform's header fields."""

    def read_request(self, request: ClientRequest) -> ParsedRequest | Refusal:
        """Return what a client asks, or a refusal if its fields can't be read."""
        headers = request.headers
        request_id = headers.get(names.REQUEST_ID)
        if not request_id:
            return refuse(ResultCode.BAD_REQUEST, "the request has no id")
        try:
            wait = _read_wait(headers)
            prompt = _read_prompt(headers)
        except ValueError as error:
            return refuse(ResultCode.BAD_REQUEST, str(error))
        return ParsedRequest(
            request_id=RequestId(request_id),
            raw=request,
            host=_read_host(headers),
            key=_read_key(headers),
            deadline=request.received_at + wait,
            prompt=prompt,
            last_event_id=headers.get(names.RESUME_AFTER),
        )

    def write_request(self, inquiry: ParsedRequest, dispatch: Dispatch) -> bytes:
        """Return the bytes that a server gets; method, target and body are as the client's."""
        raw = inquiry.raw
        lines = [f"{raw.method} {raw.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in _list_forwarded(raw.headers)]
        lines += [f"{name}: {value}" for name, value in _list_added(dispatch)]
        if raw.body or raw.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(raw.body)}")
        lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + raw.body

    def read_answer(
        self, inquiry: ParsedRequest, dispatch: Dispatch, head: AnswerHead
    ) -> ParsedAnswer:
        """Return what a server's answer means."""
        headers = head.headers
        return ParsedAnswer(
            verdict=_judge(inquiry, head),
            head=head,
            instance=headers.get(names.INSTANCE),
            version=_read_version(headers.get(names.VERSIONS)),
        )

    def write_refusal(
        self, inquiry: ParsedRequest | None, refusal: Refusal
    ) -> tuple[int, list[tuple[str, str]]]:
        """Return status and header fields of a refusal."""
        status = refusal.http_status
        if refusal.run is RunState.UNKNOWN and status in NOT_RUN_STATUSES:
            status = 502
        fields = [("X-Result-Code", str(int(refusal.code)))]
        if inquiry:
            fields.append((names.REQUEST_ID, inquiry.request_id))
        if refusal.retry_after is not None and status in NOT_RUN_STATUSES:
            fields.append(("Retry-After", f"{refusal.retry_after:.2f}"))
        return status, fields


def _list_forwarded(headers: Headers) -> list[tuple[str, str]]:
    # Some servers read an underscore as a dash, so both spellings are reserved.
    return [
        (name, value)
        for name, value in headers.list_end_to_end()
        if name.lower().replace("_", "-") not in names.RESERVED
    ]


def _list_added(dispatch: Dispatch) -> list[tuple[str, str]]:
    values: list[tuple[str, object]] = [
        (names.DEADLINE_MS, max(1, int(dispatch.seconds_left * 1000))),
        (names.EXPECTED_INSTANCE, dispatch.instance),
        (names.ACCOUNT, dispatch.account),
        (names.PRIORITY, min(HIGHEST_RANK, max(0, dispatch.priority))),
        (names.EXPECTED_VERSION, dispatch.version),
        (names.CACHE_SPACE, dispatch.cache_space),
        (names.FETCH_FROM, dispatch.fetch_from),
        (names.SAVE_TO, dispatch.save_to),
        (names.RESUME_AFTER, dispatch.resume_after),
    ]
    return [(name, str(value)) for name, value in values if value is not None]


def _judge(inquiry: ParsedRequest, head: AnswerHead) -> Verdict:
    headers = head.headers
    echoed = headers.get(names.REQUEST_ID)
    if head.status == MISDIRECTED:
        return Verdict.WRONG_INSTANCE
    if headers.get(names.NOT_RUN) is not None:
        return Verdict.NOT_RUN
    if echoed is not None and echoed != inquiry.request_id:
        return Verdict.FOREIGN
    if head.status in SUCCESS:
        is_own = echoed == inquiry.request_id and headers.get(names.SIGNATURE) is not None
        is_plain = headers.get("content-encoding") in (None, "identity")
        return Verdict.SUCCESS if is_own and is_plain else Verdict.FOREIGN
    return Verdict.FAILURE


def _read_wait(headers: Headers) -> float:
    text = headers.get(names.DEADLINE_MS)
    if text is None:
        return DEFAULT_WAIT_SECONDS
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = -1.0
    if not 0 <= milliseconds < float("inf"):
        raise ValueError("the deadline is no number of milliseconds")
    return min(LONGEST_WAIT_SECONDS, milliseconds / 1000)


def _read_host(headers: Headers) -> str:
    host = (headers.get("host") or "").lower()
    return host.rpartition(":")[0] if ":" in host else host


def _read_key(headers: Headers) -> str | None:
    scheme, _, key = (headers.get("authorization") or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def _read_prompt(headers: Headers) -> Prompt | None:
    model, counts = headers.get(names.MODEL), headers.get(names.TOKEN_COUNTS)
    if model is None or counts is None:
        return None
    try:
        prompt_tokens, output_tokens = (int(count) for count in counts.split(","))
        parts = tuple(
            PromptPart(part_id.strip(), int(tokens))
            for part_id, _, tokens in (
                entry.partition(":")
                for entry in (headers.get(names.PROMPT_PARTS) or "").split(",")
                if entry.strip()
            )
        )
    except ValueError:
        raise ValueError("the prompt's token counts can't be read") from None
    if min(prompt_tokens, output_tokens, *(part.tokens for part in parts), 0) < 0:
        raise ValueError("token counts must not be negative")
    return Prompt(ModelName(model), prompt_tokens, output_tokens, parts)


def _read_version(text: str | None) -> int | None:
    return int(text) if text and text.strip().isdigit() else None
