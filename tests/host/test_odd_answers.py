"""Check that an answer which belongs to another request, or to no stream, never reaches a client.

A faulty server writes an earlier refusal once more, or answers the rest of a stream that broke off
at another server with an error.
"""

import asyncio
from collections.abc import Callable

import pytest

from tests.host.raw_servers import RawServer, build
from tests.host.support import Answer, HostEnvironment, run_scenario

EVENTS = [b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6)]
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nX-Weight-Versions: 1\r\n"
    "Content-Type: text/event-stream\r\n"
)
TEXT = b"the model is overloaded\n\nid: 3\ndata: error\n\nplease come back\n\n"


# Issue 33, another operator's report: a refusal that a server wrote once more was taken for that of
# the next request, which ran there; it ran at a second server, or its client was told to repeat it.
@pytest.mark.parametrize(
    "answer",
    [
        build("503 Busy", b"", X_Not_Executed="1", X_Attempt_Id="earlier"),
        build("503 Busy", b"", X_Not_Executed="1", X_Attempt_Id="earlier", Retry_After="1"),
        build("429 Busy", b"", X_Not_Executed="1", X_Attempt_Id="earlier"),
        build("421 Other", b"", X_Instance_Id="a-raw", X_Attempt_Id="earlier"),
        build("421 Other", b"", X_Instance_Id="p1", X_Attempt_Id="earlier"),
    ],
    ids=["503", "503_with_pause", "429", "421", "421_of_another"],
)
def test_refusal_of_another_request_is_not_taken_for_this_one(answer: bytes) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        server = RawServer(lambda _id, _count: answer)
        await server.start(environment, "p1", "a-raw")
        for name in ("p1", "p2"):
            environment.store.delete("servers", name)
        await asyncio.sleep(1.5)
        environment.store.put("servers", "p1", environment.servers["p1"].describe())
        await asyncio.sleep(0.3)
        for number in range(20):
            got = await environment.send_request("/book/1", request_id=f"b{number}")
            if f"b{number}" in server.received:
                assert got.status == 502
                break
        ran = {r.get("X-Attempt-Id") for r in environment.servers["p1"].received_requests}
        server.close()
        assert server.received
        assert not ran & set(server.received)

    run_scenario(scenario)


def begin_stream(request_id: str) -> bytes:
    """Return the beginning of a stream that breaks off within its third event."""
    head = STREAM_HEAD.format(id=request_id) + "Transfer-Encoding: chunked\r\n\r\n"
    body = EVENTS[0] + EVENTS[1] + EVENTS[2][:9]
    return head.encode() + b"%x\r\n%s\r\n" % (len(body), body)


def end_stream(request_id: str, body: bytes, content_type: str = "text/event-stream") -> bytes:
    head = STREAM_HEAD.format(id=request_id).replace("text/event-stream", content_type)
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


LATER_ANSWERS: dict[str, Callable[[str], bytes]] = {
    "error": lambda i: build("500 Failed", TEXT, X_Attempt_Id=i, X_Response_Signature="s"),
    "error_without_id": lambda i: build("500 Failed", TEXT),
    "unframed_error": lambda i: b"HTTP/1.1 502 Bad\r\nX-Attempt-Id: "
    + i.encode()
    + b"\r\n\r\n"
    + TEXT,
    "not_found": lambda i: build("404 None", TEXT, X_Attempt_Id=i),
    "refusal": lambda i: build("503 Busy", TEXT, X_Attempt_Id=i, X_Not_Executed="1"),
    "unsigned": lambda i: build("200 OK", TEXT, X_Attempt_Id=i),
    "foreign": lambda i: end_stream("other", b"".join(EVENTS[2:])),
    "another_type": lambda i: end_stream(i, TEXT, "text/plain"),
    "from_the_start": lambda i: end_stream(i, b"".join(EVENTS)),
    "without_ids": lambda i: end_stream(i, TEXT.replace(b"id: 3\n", b"")),
    "garbage": lambda i: TEXT,
    "nothing": lambda i: b"",
    "no_content": lambda i: build("204 No", b"", X_Attempt_Id=i, X_Response_Signature="s"),
}


async def ask_for_stream(environment: HostEnvironment, later: str, target: str) -> Answer:
    def answer(request_id: str, count: int) -> bytes:
        return begin_stream(request_id) if count == 1 else LATER_ANSWERS[later](request_id)

    server = RawServer(answer)
    await server.start(environment, "e1", "x1", "x2", "x3")
    for name in ("e1", "e2"):
        environment.store.delete("servers", name)
    await asyncio.sleep(1.5)
    got = await environment.send_stream_request(target, request_id="s1")
    server.close()
    assert server.received
    return got


# Issue 33, another operator's report: after a stream had broken off, the text of another server's
# error came in its middle, or the stream ended as if it were complete.
@pytest.mark.parametrize("target", ["/lepu270/2f", "/lepu270/deep/2f"])
@pytest.mark.parametrize("later", LATER_ANSWERS)
def test_stream_that_broke_off_holds_no_other_answer(later: str, target: str) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        got = await ask_for_stream(environment, later, target)
        assert got.body == b"".join(EVENTS[:2])
        assert not got.is_complete

    run_scenario(scenario)


def test_stream_that_broke_off_goes_on_at_another_server(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(LATER_ANSWERS, "rest", lambda i: end_stream(i, b"".join(EVENTS[2:])))

    async def scenario(environment: HostEnvironment) -> None:
        got = await ask_for_stream(environment, "rest", "/lepu270/deep/2f")
        assert got.is_complete
        assert got.body == b"".join(EVENTS)

    run_scenario(scenario)
