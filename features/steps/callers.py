"""Act as a caller that disconnects, stalls, sends invalid requests or opens many streams."""

import json
import socket
import time

from behave import then, when

from turmericproxy.bench.calls import Caller, build_chat

ACCOUNT = "afinaciones"
POLL_SECONDS = 0.05


def open_connection(context, host):
    address, _, port = context.cluster.get_address(host, "callers").rpartition(":")
    return socket.create_connection((address, int(port)), 5.0)


def build_request(context, body):
    """Return the bytes of an HTTP request with a chat body."""
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: host\r\n"
        f"Authorization: Bearer {context.cluster.keys[ACCOUNT]}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def list_served(context):
    engines = [plan.name for plan in context.cluster.plan.engines]
    return [s for name in engines for s in context.cluster.read_standin_state(name)["served"]]


def await_served(context, is_met, seconds):
    deadline = time.monotonic() + seconds
    while not (found := [s for s in list_served(context) if is_met(s)]):
        assert time.monotonic() < deadline, list_served(context)
        time.sleep(POLL_SECONDS)
    return found[0]


@when("a caller asks {host} for {kind} of {pieces:d} pieces and closes its connection")
def ask_and_close(context, host, kind, pieces):
    known = {served["request_id"] for served in list_served(context)}
    body = json.dumps({**build_chat("Verdict?", pieces), "stream": kind == "a stream"}).encode()
    with open_connection(context, host) as connection:
        connection.sendall(build_request(context, body))
        served = await_served(
            context, lambda s: s["request_id"] not in known and s["produced"] > 3, 10
        )
    context.request_id = served["request_id"]


@then("an engine has cancelled the request within {seconds:d} seconds")
def check_cancelled(context, seconds):
    served = await_served(
        context, lambda s: s["request_id"] == context.request_id and s["cancelled"], seconds
    )
    assert not served["done"], served


@when('{host} is sent "{method}" "{path}" with the body \'{body}\'')
def send(context, host, method, path, body):
    caller = Caller(context.cluster.get_address(host, "callers"), context.cluster.keys[ACCOUNT])
    context.answer = caller.call(method, path, body.encode())
    caller.close()


@when('{host} is sent "{method}" "{path}" with the body \'\'')
def send_without_body(context, host, method, path):
    send(context, host, method, path, "")


@when("{host} is sent a body of {millions:d} million bytes")
def send_long(context, host, millions):
    send(context, host, "POST", "/v1/chat/completions", "x" * millions * 1_000_000)


@then('the answer has status {status:d}, code {code:d} and "{run}"')
def check_refusal(context, status, code, run):
    answer = context.answer
    assert answer.status == status, answer
    assert (answer.error["code"], answer.error["run"]) == (code, run), answer
    assert answer.error["reason"] and answer.headers["X-Request-Id"]


@when("a caller sends half a request to {host} and stays silent")
def send_half(context, host):
    context.host = host
    context.connection = open_connection(context, host)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: ho")


@then("the connection is closed within {seconds:d} seconds, and others are served")
def check_closed(context, seconds):
    caller = Caller(context.cluster.get_address(context.host, "callers"), None)
    assert caller.call("GET", "/readyz").status == 200
    context.connection.settimeout(seconds)
    while context.connection.recv(4096):
        pass


@when("{count:d} callers ask {host} for streams of {pieces:d} pieces at the same time")
def ask_for_many(context, count, host, pieces):
    body = json.dumps({**build_chat("Verdict?", pieces), "stream": True}).encode()
    for _ in range(count):
        connection = open_connection(context, host)
        context.add_cleanup(connection.close)
        connection.sendall(build_request(context, body))
    await_served(context, lambda s: s["produced"] > 3, 10)


@then("a booking through {host} is answered within {seconds:d} seconds")
def check_booking(context, host, seconds):
    caller = Caller(context.cluster.get_address(host, "callers"), context.cluster.keys[ACCOUNT])
    key = f"flood-{context.seed}"
    answer = caller.call(
        "POST", "/r/bookings/x", b"{}", {"Idempotency-Key": key}, timeout=float(seconds)
    )
    assert answer.status == 200, answer
