"""Cut failure domains off from each other, and check what each domain still serves."""

import time

from behave import then, when

from turmericproxy.bench import partitions
from turmericproxy.bench.calls import Caller

NOTICE_TIMEOUT_SECONDS = 10.0


@when("the domain {domain} is cut off from the other and from the platform")
def cut_off(context, domain):
    partitions.cut_domain(context.cluster, domain)
    context.cleanups.append(lambda: partitions.heal_all(context.cluster))


def is_cut_noticed(context, host):
    """Return whether a host has lost its peer and ejected the engines of the other domain."""
    plan = context.cluster.plan
    domain = next(h.domain for h in plan.hosts if h.name == host)
    status = context.cluster.call_operator_api(host, "GET", "/v1/status")
    remote = [engine.name for engine in plan.engines if engine.domain != domain]
    return not status["peers"] and all(status["upstreams"][name]["share"] == 0 for name in remote)


@when("the hosts have noticed the cut")
def await_noticed(context):
    for host in context.cluster.host_names:
        context.cluster.await_condition(
            f"{host} notices the cut",
            lambda host=host: is_cut_noticed(context, host),
            NOTICE_TIMEOUT_SECONDS,
        )


def call(context, host, path, body, headers=None):
    cluster = context.cluster
    caller = Caller(cluster.get_address(host, "callers"), cluster.keys["afinaciones"])
    return caller.call("POST", path, body.encode(), headers)


@then("a lookup through each host gets its own answer from its own domain")
def check_lookups(context):
    local_services = {"host-a": "booking-1", "host-b": "booking-2"}
    for host, service in local_services.items():
        body = f"lookup {context.random.getrandbits(64):x}"
        answer = call(context, host, "/r/visits/lookup", body)
        assert answer.status == 200, answer
        assert (answer.value["echo"], answer.value["service"]) == (body, service), answer


def book(context, host):
    key = f"visit {context.random.getrandbits(64):x}"
    return key, call(context, host, "/r/bookings/visits", key, {"Idempotency-Key": key})


def count_runs(context, key):
    runs = context.cluster.read_standin_state("booking-1")
    return sum(run["idempotency_key"] == key for run in runs)


@then("a booking through {host} is refused as not run within {seconds:g} seconds and did not run")
def check_refused(context, host, seconds):
    started = time.monotonic()
    key, answer = book(context, host)
    elapsed = time.monotonic() - started
    assert answer.error.get("run") == "not_run", answer
    assert "Retry-After" in answer.headers, answer
    assert elapsed < seconds, elapsed
    assert count_runs(context, key) == 0


@when("the domains are reconnected")
def heal(context):
    partitions.heal_all(context.cluster)


@then("a booking through each host is answered within {seconds:g} seconds and runs once")
def check_booked(context, seconds):
    for host in context.cluster.host_names:
        key, deadline = f"visit {host}", time.monotonic() + seconds
        while True:
            answer = call(context, host, "/r/bookings/visits", key, {"Idempotency-Key": key})
            if answer.status == 200:
                break
            assert answer.error.get("run") == "not_run", answer
            assert time.monotonic() < deadline, answer
            time.sleep(0.1)
        assert count_runs(context, key) == 1
