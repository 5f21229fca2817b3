"""Convert between the platform's HTTP messages and the types of the request path."""

from turmericproxy.core import ModelName, Refusal, RequestId, ResultCode, RunState, refuse
from turmericproxy.core.results import NOT_RUN_STATUSES
from turmericproxy.edge import AnswerHead, ClientRequest, Headers
from turmericproxy.platform import names
from turmericproxy.platform.load_reports import LoadReportReader
from turmericproxy.platform.notices import read_notice
from turmericproxy.traffic.requests import (
    Dispatch,
    ParsedAnswer,
    ParsedRequest,
    Prompt,
    PromptPart,
    Verdict,
)

# Time limit of a request without a deadline field.
DEFAULT_TIME_LIMIT_SECONDS = 30.0
MAX_TIME_LIMIT_SECONDS = 600.0
MAX_PRIORITY = 9
SUCCESS = range(200, 300)
MISDIRECTED_REQUEST = 421


class PlatformCodec:
    """Decoder and encoder of the platform's header fields."""

    def __init__(self) -> None:
        self._load_reports = LoadReportReader()

    def read_request(self, request: ClientRequest) -> ParsedRequest | Refusal:
        """Parse a client request; return a refusal if its header fields are invalid."""
        headers = request.headers
        request_id = headers.get(names.REQUEST_ID)
        if not request_id:
            return refuse(ResultCode.BAD_REQUEST, "the request id is missing")
        try:
            time_limit = _read_time_limit(headers)
            prompt = _read_prompt(headers)
        except ValueError as error:
            return refuse(ResultCode.BAD_REQUEST, str(error))
        return ParsedRequest(
            request_id=RequestId(request_id),
            raw=request,
            host=_read_host(headers),
            key=_read_key(headers),
            deadline=request.received_at + time_limit,
            prompt=prompt,
            last_event_id=headers.get(names.RESUME_AFTER),
        )

    def write_request(self, parsed: ParsedRequest, dispatch: Dispatch) -> bytes:
        """Return the bytes to send to the upstream; method, target and body stay the client's."""
        raw = parsed.raw
        lines = [f"{raw.method} {raw.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in _list_forwarded_fields(raw.headers)]
        lines += [f"{name}: {value}" for name, value in _list_dispatch_fields(dispatch)]
        if raw.body or raw.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(raw.body)}")
        lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + raw.body

    def read_answer(
        self, parsed: ParsedRequest, dispatch: Dispatch, head: AnswerHead
    ) -> ParsedAnswer:
        """Classify an answer by its head and parse its header fields."""
        headers, verdict = head.headers, _classify(parsed, head)
        return ParsedAnswer(
            verdict=verdict,
            head=head,
            instance=headers.get(names.INSTANCE),
            version=_read_version(headers.get(names.VERSIONS)),
            notice=read_notice(head),
            load=self._load_reports.read(head),
            has_refusal_status=verdict is Verdict.FAILURE and head.status in NOT_RUN_STATUSES,
        )

    def write_refusal(
        self, parsed: ParsedRequest | None, refusal: Refusal
    ) -> tuple[int, list[tuple[str, str]]]:
        """Return the status and header fields of a refusal."""
        status = refusal.http_status
        if refusal.run is RunState.UNKNOWN and status in NOT_RUN_STATUSES:
            status = 502
        fields = [("X-Result-Code", str(int(refusal.code)))]
        if parsed:
            fields.append((names.REQUEST_ID, parsed.request_id))
        if refusal.retry_after is not None and status in NOT_RUN_STATUSES:
            fields.append((names.RETRY_AFTER, f"{refusal.retry_after:.2f}"))
        return status, fields


def _list_forwarded_fields(headers: Headers) -> list[tuple[str, str]]:
    # Some upstreams treat an underscore in a field name as a dash: drop both spellings.
    return [
        (name, value)
        for name, value in headers.list_end_to_end()
        if name.lower().replace("_", "-") not in names.RESERVED_FIELDS
    ]


def _list_dispatch_fields(dispatch: Dispatch) -> list[tuple[str, str]]:
    values: list[tuple[str, object]] = [
        (names.DEADLINE_MS, max(1, int(dispatch.seconds_left * 1000))),
        (names.EXPECTED_INSTANCE, dispatch.instance),
        (names.ACCOUNT, dispatch.account),
        (names.PRIORITY, min(MAX_PRIORITY, max(0, dispatch.priority))),
        (names.EXPECTED_VERSION, dispatch.version),
        (names.CACHE_SPACE, dispatch.cache_space),
        (names.FETCH_FROM, dispatch.fetch_from),
        (names.SAVE_TO, dispatch.save_to),
        (names.RESUME_AFTER, dispatch.resume_after),
    ]
    return [(name, str(value)) for name, value in values if value is not None]


def _classify(parsed: ParsedRequest, head: AnswerHead) -> Verdict:
    headers = head.headers
    echoed = headers.get(names.REQUEST_ID)
    if echoed is not None and echoed != parsed.request_id:
        # Also a refusal: a server may have written one of another request once more.
        return Verdict.FOREIGN
    if head.status == MISDIRECTED_REQUEST:
        return Verdict.WRONG_INSTANCE
    if headers.get(names.NOT_RUN) is not None:
        return Verdict.NOT_RUN
    if head.status in SUCCESS:
        is_matching = echoed == parsed.request_id and headers.get(names.SIGNATURE) is not None
        is_uncompressed = headers.get("content-encoding") in (None, "identity")
        return Verdict.SUCCESS if is_matching and is_uncompressed else Verdict.FOREIGN
    return Verdict.FAILURE


def _read_time_limit(headers: Headers) -> float:
    text = headers.get(names.DEADLINE_MS)
    if text is None:
        return DEFAULT_TIME_LIMIT_SECONDS
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = -1.0
    if not 0 <= milliseconds < float("inf"):
        raise ValueError("the deadline is not a valid number of milliseconds")
    return min(MAX_TIME_LIMIT_SECONDS, milliseconds / 1000)


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
        raise ValueError("the token counts of the prompt are invalid") from None
    if min(prompt_tokens, output_tokens, *(part.tokens for part in parts), 0) < 0:
        raise ValueError("token counts must not be negative")
    return Prompt(ModelName(model), prompt_tokens, output_tokens, parts)


def _read_version(text: str | None) -> int | None:
    return int(text) if text and text.strip().isdecimal() else None
