"""Send requests through all processes, from caller to upstream."""

import time

from behave import then, when

from features.support.load import Chat, generate_words, send_chat
from turmericproxy.bench.calls import Caller, build_chat

LONG_NOTES_CHARACTERS = 20_000
CACHE_TIMEOUT_SECONDS = 10.0


@when("a chat with long case notes is streamed through {host}")
def stream_chat(context, host):
    context.notes = generate_words(context.random, LONG_NOTES_CHARACTERS)
    context.run = send_chat(context.cluster, Chat(host, context.notes + "Verdict?", 16))


@then("the answer is the engine's known text")
def check_text(context):
    assert not context.run.find_fault(), context.run.find_fault()


@then("a chat with the same case notes through {host} finds at least {tokens:d} tokens cached")
def check_cached(context, host, tokens):
    deadline = time.monotonic() + CACHE_TIMEOUT_SECONDS
    while True:
        run = send_chat(context.cluster, Chat(host, context.notes + "Which pins?", 16))
        assert not run.find_fault(), run.find_fault()
        if run.result.usage["cached_tokens"] >= tokens:
            return
        assert time.monotonic() < deadline, run.result.usage


@when('a booking with the key "{key}" is sent through {host}')
def send_booking(context, key, host):
    context.booking_key = key
    context.answers = [book(context, host)]


@when("the same booking is sent through {host}")
def repeat_booking(context, host):
    context.answers.append(book(context, host))


def book(context, host):
    cluster = context.cluster
    caller = Caller(cluster.get_address(host, "callers"), cluster.keys["afinaciones"])
    headers = {"Idempotency-Key": context.booking_key}
    return caller.call("POST", "/r/bookings/visits", b'{"visit": 7}', headers)


@then("both get the same answer")
def check_same_answer(context):
    first, second = context.answers
    assert first.status == second.status == 200, context.answers
    assert first.value == second.value, context.answers


@then('{service} has run the key "{key}" once')
def check_run_once(context, service, key):
    runs = context.cluster.read_standin_state(service)
    assert [run["idempotency_key"] for run in runs].count(key) == 1, runs


@when("a chat is sent through {host} with an unknown key")
def send_with_unknown_key(context, host):
    caller = Caller(context.cluster.get_address(host, "callers"), "not-a-key")
    context.result = caller.chat(build_chat("Verdict?"))


@then('it is refused with "{name}" and "{run}"')
def check_refusal(context, name, run):
    error = context.result.error
    assert (error.get("name"), error.get("run")) == (name, run), context.result
