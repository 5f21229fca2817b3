"""Drain hosts and upstreams while callers keep sending requests."""

import itertools
import random
import time

from behave import then, when

from features.support.load import Chat, SteadyLoad, generate_words, send_chat
from turmericproxy.bench.calls import Caller
from turmericproxy.web import CallFailure, HttpClient

PROBE_INTERVAL_SECONDS = 0.2
STOP_TIMEOUT_SECONDS = 30.0
LONG_STREAM_PIECES = 250


class Balancer:
    """Select ready hosts in turn, by probes that are at most ``PROBE_INTERVAL_SECONDS`` old."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._turns = itertools.count()
        self._probed = {}

    def select_host(self):
        """Return the name of the next ready host."""
        names = self._cluster.host_names
        while True:
            name = names[next(self._turns) % len(names)]
            if self._is_ready(name):
                return name

    def _is_ready(self, name):
        probed_at, is_ready = self._probed.get(name, (0.0, False))
        if time.monotonic() - probed_at > PROBE_INTERVAL_SECONDS:
            client = HttpClient(self._cluster.get_address(name, "callers"), read_timeout=1.0)
            answer = client.call_json("GET", "/readyz", fresh=True)
            is_ready = not isinstance(answer, CallFailure) and answer[0] == 200
            self._probed[name] = (time.monotonic(), is_ready)
        return is_ready


def stream(context, balancer, source):
    chat = Chat(balancer.select_host(), generate_words(source, 300), 20)
    return chat.host, send_chat(context.cluster, chat).find_fault()


def stream_long(context, balancer, source):
    """Send a stream that lasts longer than a host waits before it drains."""
    chat = Chat(balancer.select_host(), generate_words(source, 300), LONG_STREAM_PIECES)
    return chat.host, send_chat(context.cluster, chat).find_fault()


def ask(context, balancer, source):
    chat = Chat(balancer.select_host(), generate_words(source, 300), 10, is_streamed=False)
    return chat.host, send_chat(context.cluster, chat).find_fault()


def call_plain(context, host, path, body, headers):
    cluster = context.cluster
    caller = Caller(cluster.get_address(host, "callers"), cluster.keys["afinaciones"])
    answer = caller.call("POST", path, body.encode(), headers)
    caller.close()
    is_own = answer.status == 200 and answer.value["echo"] == body
    return host, "" if is_own else f"{host}: {answer}"


def book(context, balancer, source):
    body = f"visit {source.getrandbits(64):x}"
    headers = {"Idempotency-Key": body}
    return call_plain(context, balancer.select_host(), "/r/bookings/visits", body, headers)


def look_up(context, balancer, source):
    body = f"visit {source.getrandbits(64):x}"
    return call_plain(context, balancer.select_host(), "/r/visits/lookup", body, {})


def start_load(context, count, kinds):
    balancer = Balancer(context.cluster)
    sources = [random.Random(context.random.random()) for _ in range(count)]

    def call(number):
        return kinds[number % len(kinds)](context, balancer, sources[number])

    context.load = SteadyLoad(call, count)
    context.load.start()


@when("{count:d} callers stream, ask and book through ready hosts without pause")
def start_mixed(context, count):
    start_load(context, count, (stream_long, ask, book))


@when("{count:d} callers stream and look visits up through both hosts without pause")
def start_streams(context, count):
    start_load(context, count, (stream, look_up))


@when("{host} is asked to stop after {seconds:g} second")
def stop_host(context, host, seconds):
    time.sleep(seconds)
    context.cluster.stop_host(host)
    context.exit_code = context.cluster.get_process(host).wait(STOP_TIMEOUT_SECONDS)


@when("the callers continue for {seconds:g} second after it has stopped")
def finish_load(context, seconds):
    time.sleep(seconds)
    context.results = context.load.stop()


@then("{host} has ended with exit code {code:d}")
def check_exit(context, host, code):
    assert context.exit_code == code, context.exit_code


@then("no request of the callers was cut or refused")
def check_results(context):
    faults = [fault for _, fault in context.results if fault]
    assert context.results and not faults, (len(context.results), faults[:5])


@then("both hosts have served requests")
def check_hosts(context):
    assert {host for host, _ in context.results} == set(context.cluster.host_names)


@when("{engine} and {service} are set to leave")
def set_leaving(context, engine, service):
    cluster = context.cluster
    context.leaving = (engine, service)
    cluster.await_condition(
        "both have work", lambda: all(count_requests(cluster, n) > 5 for n in context.leaving)
    )
    cluster.set_leaving("engine", engine)
    cluster.set_leaving("upstream", service)
    context.left_at = time.monotonic()


def count_requests(cluster, name):
    truth = cluster.read_standin_state(name)
    return len(truth["served"] if isinstance(truth, dict) else truth)


@then("neither gets a new request from {start:g} seconds on for {length:g} seconds")
def check_no_new_work(context, start, length):
    cluster = context.cluster
    time.sleep(max(0.0, context.left_at + start - time.monotonic()))
    at_start = [count_requests(cluster, name) for name in context.leaving]
    done_at_start = len(context.load.results)
    time.sleep(length)
    at_end = [count_requests(cluster, name) for name in context.leaving]
    context.results = context.load.stop()
    assert len(context.results) > done_at_start, "no request was sent after both were set to leave"
    assert at_end == at_start, (at_start, at_end)
