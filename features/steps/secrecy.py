"""Put a caller's key where it does not belong, and check that no upstream receives it."""

import json
from urllib.parse import quote

from behave import then, when

from turmericproxy.bench.calls import Caller, build_chat

CHAT = "/v1/chat/completions"
UPSTREAMS = ("engine-1", "engine-2", "engine-3", "booking-1", "booking-2")


def escape(text):
    return "".join(f"\\u{ord(character):04x}" for character in text)


def build_calls(place, key):
    """Return the path, body and additional headers of each call."""
    chat = build_chat(f"Note {key} to self" if place == "the prompt" else "Verdict?", 8)
    bodies = [json.dumps({**chat, "stream": streamed}) for streamed in (False, True)]
    query, plain, headers, idempotency_key = "", "visit 7", {}, f"visit {place}"
    if place == "other headers":
        headers = {"X-Api-Key": key, "Cookie": f"key={key}", "X-Note": f"a {key} b"}
    elif place == "escaped JSON":
        bodies = [body.replace("Verdict?", escape(key)) for body in bodies]
        plain = json.dumps({"note": key}).replace(key, escape(key))
    elif place == "the path":
        query = f"/{key}"
    elif place == "the encoded query":
        query = "?note=" + "".join(f"%{ord(character):02x}" for character in key)
    elif place == "the plain body":
        plain = f"visit {key}"
    elif place == "the idempotency key":
        idempotency_key = f"visit {quote(key)}"
    calls = [(CHAT, body, headers) for body in bodies]
    calls.append((f"/r/visits/lookup{query}", plain, headers))
    keyed = {**headers, "Idempotency-Key": idempotency_key}
    return [*calls, (f"/r/bookings/visits{query}", plain, keyed)]


@when("a caller sends its key in {place} with a chat, a stream, a lookup and a booking")
def send_key(context, place):
    cluster = context.cluster
    context.key = cluster.keys["afinaciones"]
    context.answers = []
    for host in cluster.host_names:
        caller = Caller(cluster.get_address(host, "callers"), context.key)
        for path, body, headers in build_calls(place, context.key):
            context.answers.append(caller.call("POST", path, body.encode(), headers))


@then('each call was answered or refused with "{name}" as not run')
def check_answers(context, name):
    for answer in context.answers:
        is_refused = answer.error.get("name") == name and answer.error.get("run") == "not_run"
        assert answer.status == 200 or is_refused, answer


@then("at least {count:d} call reached an upstream or was refused")
def check_reached(context, count):
    truths = [context.cluster.read_standin_state(name) for name in UPSTREAMS]
    reached = sum(len(t["served"]) if isinstance(t, dict) else len(t) for t in truths)
    refused = sum(bool(answer.error) for answer in context.answers)
    assert reached + refused >= count


def list_strings(value):
    """Return all strings within a JSON value."""
    if isinstance(value, str):
        return [value]
    children = value.values() if isinstance(value, dict) else value
    if not isinstance(value, dict | list):
        return []
    return [text for child in children for text in list_strings(child)]


@then("no upstream and no log of a host holds the key")
def check_secrecy(context):
    encodings = {context.key, escape(context.key), quote(context.key)}
    encodings |= {"".join(f"%{ord(character):02x}" for character in context.key)}
    for name in UPSTREAMS:
        texts = list_strings(context.cluster.read_standin_state(name))
        leaks = [text for text in texts if any(encoded in text for encoded in encodings)]
        assert not leaks, f"{name} received the key"
    for host in context.cluster.host_names:
        log = context.cluster.get_process(host).log.read_text(errors="replace")
        assert context.key not in log, f"the log of {host} holds the key"
