"""Check which engines ran chats, and what they had cached."""

import time

from behave import then, when

from features.support.load import Chat, create_chats, generate_words, send_chat

NOTES_CHARACTERS = 20_000
CACHE_TIMEOUT_SECONDS = 10.0
MIN_CACHED_TOKENS = 4_000
PAUSE_SECONDS = 0.05


@when("{engine} is marked as {state}")
def mark_engine(context, engine, state):
    plan = next(plan for plan in context.cluster.plan.engines if plan.name == engine)
    fields = {**context.cluster.layout.describe_engine(plan), "state": state}
    context.cluster.put_resource("engine", engine, fields)


@then("within {seconds:d} seconds {engine} gets {amount} of {count:d} chats through both hosts")
def check_served_count(context, seconds, engine, amount, count):
    deadline = time.monotonic() + seconds
    is_wanted = {"none": lambda served: served == 0, "some": lambda served: served > 0}[amount]
    while True:
        is_last = time.monotonic() >= deadline
        served = count_new_requests(context, engine, count)
        if is_wanted(served):
            return
        assert not is_last, f"{engine} got {served} of {count} chats"


def count_new_requests(context, engine, count):
    before = len(context.cluster.read_standin_state(engine)["served"])
    for chat in create_chats(context.cluster, context.random, count, 2):
        run = send_chat(context.cluster, chat)
        assert not run.find_fault(), run.find_fault()
    return len(context.cluster.read_standin_state(engine)["served"]) - before


@when('a chat with long notes is sent for "{account}" through {host} until it is cached')
def fill_cache(context, account, host):
    context.notes = generate_words(context.random, NOTES_CHARACTERS)
    deadline = time.monotonic() + CACHE_TIMEOUT_SECONDS
    while ask(context, host, account).usage["cached_tokens"] < MIN_CACHED_TOKENS:
        assert time.monotonic() < deadline, "the notes were not cached in time"


def ask(context, host, account):
    run = send_chat(context.cluster, Chat(host, context.notes + "Verdict?", 4, account=account))
    assert not run.find_fault(), run.find_fault()
    return run.result


@then(
    'the first chat with the same notes for "{account}" finds {tokens:d} tokens cached '
    "at its engine"
)
def check_other_account(context, account, tokens):
    result = ask(context, "host-a", account)
    record = find_record(context, result.request_id)
    assert result.usage["cached_tokens"] == record["cached_tokens"] == tokens, record


def find_record(context, request_id):
    """Return the record of a request from the engine that ran its last attempt."""
    for plan in context.cluster.plan.engines:
        for record in reversed(context.cluster.read_standin_state(plan.name)["served"]):
            if record["request_id"].startswith(request_id):
                return record
    raise AssertionError(f"no engine ran {request_id}")


@when("{host} is killed and started again")
def restart_host(context, host):
    context.cluster.kill_host(host)
    context.cluster.start_host(host)


@then('the first chat with the same notes for "{account}" through {host} is cached')
def check_restarted(context, account, host):
    usage = ask(context, host, account).usage
    assert usage["cached_tokens"] >= MIN_CACHED_TOKENS, usage


@then(
    "within {seconds:d} seconds a chat with the same notes is whole, and its engine says "
    "what was cached"
)
def check_after_crash(context, seconds):
    deadline = time.monotonic() + seconds
    chat = Chat("host-a", context.notes + "Verdict?", 4)
    while True:
        run = send_chat(context.cluster, chat)
        if not run.find_fault():
            break
        assert time.monotonic() < deadline, run.find_fault()
        time.sleep(PAUSE_SECONDS)
    for name, before in context.crashed.items():
        context.cluster.await_restart(name, before)
    record = find_record(context, run.result.request_id)
    assert run.result.usage["cached_tokens"] == record["cached_tokens"], record
