"""Send streams and whole answers while engines, services and connections fail."""

import itertools
import time

from behave import step, then, when

from features.support.load import ChatLoad, create_chats
from turmericproxy.bench.calls import Caller

STREAMING_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.02


def list_engines(context):
    return [engine.name for engine in context.cluster.plan.engines]


def start_load(context, count, pieces, is_streamed):
    chats = create_chats(context.cluster, context.random, count, pieces, is_streamed)
    context.load = ChatLoad(context.cluster, chats)
    context.load.start()


def list_streaming(cluster, engine):
    """Return the requests that have produced more than 3 pieces and are not finished."""
    served = cluster.read_standin_state(engine)["served"]
    return [s for s in served if s["produced"] > 3 and not s["done"] and not s["cancelled"]]


def await_streaming(context):
    """Wait until streams have started, and return the engines that stream."""
    deadline = time.monotonic() + STREAMING_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        streaming = [
            name for name in list_engines(context) if list_streaming(context.cluster, name)
        ]
        if streaming:
            return streaming
        time.sleep(POLL_SECONDS)
    raise AssertionError("no stream started")


@step("{count:d} streams of {pieces:d} pieces run through both hosts")
def run_streams(context, count, pieces):
    start_load(context, count, pieces, is_streamed=True)


@step("{count:d} whole answers of {pieces:d} pieces are asked for through both hosts")
def ask_whole(context, count, pieces):
    start_load(context, count, pieces, is_streamed=False)


@when("every engine that streams crashes in turn for {seconds:g} seconds")
def crash_engines(context, seconds):
    context.affected_count = 0
    while not context.affected_count:
        for name in await_streaming(context):
            streaming = list_streaming(context.cluster, name)
            if not streaming:
                # The engine's only stream was a crossed one, which the host has cancelled.
                continue
            context.affected_count += len(streaming)
            before = context.cluster.read_standin_state(name)["incarnation"]
            context.cluster.set_faults(name, crash=seconds)
            context.cluster.await_restart(name, before)


@when("every engine breaks its next stream after {pieces:d} pieces")
def break_streams(context, pieces):
    for name in list_engines(context):
        context.cluster.set_faults(name, break_stream_after=pieces)
    context.fault_count = len(list_engines(context))


@when("every engine crosses its next {count:d} answers from piece {piece:d} on")
def cross_answers(context, count, piece):
    for name in list_engines(context):
        context.cluster.set_faults(name, crossed=count, crossed_after=piece)
    context.fault_count = count * len(list_engines(context))


@when("every engine answers {seconds:g} seconds late")
def delay_engines(context, seconds):
    for name in list_engines(context):
        context.cluster.set_faults(name, late=seconds)
        context.cleanups.append(lambda name=name: context.cluster.set_faults(name, late=0))


@when("the open connections from both hosts to the engines stop responding permanently")
def silence_engines(context):
    if "load" in context and not getattr(context, "runs", None):
        await_streaming(context)
    context.affected_count = context.cluster.relay.stall_connections("host-*->engine-*")


@when("the open connections from both hosts to the services stop responding permanently")
def silence_services(context):
    context.cluster.relay.stall_connections("host-*->booking-*")


@step("every {kind} is whole and is the known text")
def check_runs(context, kind):
    context.runs = context.load.finish()
    faults = [run.find_fault() for run in context.runs if run.find_fault()]
    assert not faults, faults


@then("at least {count:d} {kind} was {what}")
def check_affected_count(context, count, kind, what):
    assert context.affected_count >= count, context.affected_count


@then("at least {count:d} faults took effect")
def check_faults_used(context, count):
    left = 0
    for name in list_engines(context):
        left += sum(context.cluster.read_standin_state(name)["faults_left"].values())
        context.cluster.set_faults(name, crossed=0, break_stream_after=None)
    assert context.fault_count - left >= count, (context.fault_count, left)


@when("{service} crosses its next {count:d} answers")
def cross_service(context, service, count):
    context.cluster.set_faults(service, crossed=count)


@when("{service} answers {seconds:g} seconds late")
def delay_service(context, service, seconds):
    context.cluster.set_faults(service, late=seconds)


def send_plain(context, count, path, is_keyed):
    """Send calls through the hosts in turn and return each body with its answer."""
    cluster = context.cluster
    hosts = itertools.cycle(cluster.host_names)
    answers = []
    for _ in range(count):
        body = f"visit {context.random.getrandbits(64):x}"
        caller = Caller(cluster.get_address(next(hosts), "callers"), cluster.keys["afinaciones"])
        headers = {"Idempotency-Key": body} if is_keyed else {}
        started = time.monotonic()
        answers.append((body, caller.call("POST", path, body.encode(), headers)))
        context.longest_seconds = max(
            getattr(context, "longest_seconds", 0.0), time.monotonic() - started
        )
    return answers


@when("{count:d} visits are looked up through both hosts")
def look_up(context, count):
    context.answers = send_plain(context, count, "/r/visits/lookup", is_keyed=False)


@then("every lookup got its own answer")
def check_lookups(context):
    for body, answer in context.answers:
        assert answer.status == 200 and answer.value["echo"] == body, (body, answer)


@then("every lookup took less than {seconds:g} second")
def check_lookup_times(context, seconds):
    assert context.longest_seconds < seconds, context.longest_seconds


@when("{count:d} bookings are sent through both hosts")
def send_bookings(context, count):
    answers = send_plain(context, count, "/r/bookings/visits", is_keyed=True)
    context.answers = getattr(context, "bookings", []) + answers
    context.bookings = context.answers


@then('every booking got its own answer or "{name}"')
def check_bookings(context, name):
    assert context.bookings
    for body, answer in context.bookings:
        is_own = answer.status == 200 and answer.value["echo"] == body
        is_unknown = answer.error.get("name") == name and answer.error.get("run") == "unknown"
        assert is_own or is_unknown, (body, answer)


@then("no booking ran twice")
def check_bookings_once(context):
    keys = [run["idempotency_key"] for run in context.cluster.read_standin_state("booking-1")]
    for body, _ in context.bookings:
        assert keys.count(body) == 1, (body, keys.count(body))
