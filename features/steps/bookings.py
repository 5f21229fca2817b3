"""Inject failures while bookings run, and compare the answers with what ran."""

import time
from functools import partial

from behave import then, when

from features.support.bookings import ACCOUNT, BookingLoad, count_runs, read_runs
from turmericproxy.bench.calls import Caller

ROUNDS = 2
BROKEN_CALLS = 3
NO_FAULTS = {
    "down": False,
    "slow": 0.0,
    "lose_answers": 0.0,
    "lose_next": 0,
    "late_next": 0,
}


def lose_and_delay_writes(cluster, source):
    for _ in range(ROUNDS):
        cluster.set_faults("platform", lose_answers=0.3)
        time.sleep(1.0)
        cluster.set_faults("platform", lose_answers=0.0, late_next=40, late=0.8)
        time.sleep(1.2)


def kill_hosts(cluster, source):
    for host in source.sample(cluster.host_names, len(cluster.host_names)):
        cluster.kill_host(host)
        time.sleep(0.2)
        cluster.start_host(host)


def stop_platform(cluster, source):
    for _ in range(ROUNDS):
        cluster.set_faults("platform", down=True)
        time.sleep(0.8)
        cluster.set_faults("platform", down=False, slow=0.7)
        time.sleep(1.2)
        cluster.set_faults("platform", slow=0.0)
        time.sleep(0.3)


def break_services(cluster, source):
    for fault in ("fail_after", "fail_before") * ROUNDS:
        for service in cluster.plan.services:
            cluster.set_faults(service.name, **{fault: BROKEN_CALLS})
        time.sleep(0.6)


def pause_host(cluster, source):
    host = source.choice(cluster.host_names)
    cluster.pause_host(host)
    time.sleep(2.5)
    cluster.resume_host(host)


def fail_all(cluster, source):
    cluster.set_faults("platform", lose_answers=0.3)
    break_services(cluster, source)
    kill_hosts(cluster, source)
    cluster.set_faults("platform", down=True)
    time.sleep(0.5)
    cluster.set_faults("platform", down=False)


FAILURES = {
    "the platform loses and delays writes": (lose_and_delay_writes, ("lost", "late")),
    "hosts are killed and restarted": (kill_hosts, ()),
    "the platform is down and slow": (stop_platform, ("down",)),
    "services break off before and after a run": (break_services, ()),
    "a host is paused": (pause_host, ()),
    "the platform fails and hosts are killed": (fail_all, ("lost", "down")),
}


@when("at least {count:d} bookings are sent and repeated over all hosts while {failure}")
def send_bookings(context, count, failure):
    cluster = context.cluster
    inject, context.expected_counts = FAILURES[failure]
    context.before = cluster.call("platform", "GET", "/control")
    context.load = BookingLoad(cluster, context.random, failure.replace(" ", "-"))
    context.load.start()
    try:
        inject(cluster, context.random)
    finally:
        cluster.set_faults("platform", **NO_FAULTS)
        context.load.finish(count)
    answered = sum(bool(booking.answered) for booking in context.load.bookings)
    calls = sum(len(booking.answers) for booking in context.load.bookings)
    print(f"{len(context.load.bookings)} bookings, {calls} calls, {answered} answered")


@then("no idempotency key ran twice")
def check_run_at_most_once(context):
    repeated = {key: n for key, n in count_runs(context.cluster).items() if n > 1}
    assert not repeated, repeated


@then('nothing ran that was reported as "not_run"')
def check_not_run(context):
    runs = count_runs(context.cluster)
    ran = {run["headers"].get("x-request-id") for run in read_runs(context.cluster)}
    for booking in context.load.bookings:
        refused = [a for a in booking.answers if a.error.get("run") == "not_run"]
        wrong = [a for a in refused if a.headers.get("X-Request-Id") in ran]
        assert not wrong, booking.describe()
        assert len(refused) < len(booking.answers) or not runs[booking.key], booking.describe()


@then("every booking returned its one run or reported its true outcome")
def check_reported_outcomes(context):
    runs = count_runs(context.cluster)
    for booking in context.load.bookings:
        if booking.answered:
            assert runs[booking.key] == 1, booking.describe()
            assert len({answer.value["run"] for answer in booking.answered}) == 1
        else:
            reported = booking.answers[-1].error.get("run")
            assert reported == "unknown" or (
                reported == "not_run" and not runs[booking.key]
            ), booking.describe()


@then("at least {share:d}% of the bookings were answered")
def check_answered(context, share):
    bookings = context.load.bookings
    answered = sum(bool(booking.answered) for booking in bookings)
    assert answered * 100 >= share * len(bookings), f"{answered} of {len(bookings)}"


@then("the failures took place")
def check_failures(context):
    after = context.cluster.call("platform", "GET", "/control")
    for name in context.expected_counts:
        assert after[name] > context.before[name], (name, context.before, after)


@when("the platform refuses every call")
def stop_platform_permanently(context):
    context.cleanups.append(partial(context.cluster.set_faults, "platform", **NO_FAULTS))
    context.cluster.set_faults("platform", down=True)


@then('new bookings at every host are refused with "{name}" within {seconds:d} second')
def check_refused_at_once(context, name, seconds):
    for host in context.cluster.host_names:
        for number in range(5):
            started = time.monotonic()
            answer = book(context, host, f"away-{host}-{number}")
            assert time.monotonic() - started < seconds
            error = (answer.error.get("name"), answer.error.get("run"))
            assert error == (name, "not_run"), answer
            assert int(answer.headers["Retry-After"]) >= 1
    keys = count_runs(context.cluster)
    assert not any(key.startswith("away-") for key in keys)


@then("a booking goes through once the platform is back")
def check_recovered(context):
    context.cluster.set_faults("platform", **NO_FAULTS)
    for host in context.cluster.host_names:
        context.cluster.await_condition(
            f"a booking through {host}",
            lambda host=host: book(context, host, f"back-{host}").status == 200,
        )


def book(context, host, key):
    cluster = context.cluster
    caller = Caller(cluster.get_address(host, "callers"), cluster.keys[ACCOUNT])
    headers = {"Idempotency-Key": key}
    return caller.call("POST", "/r/bookings/visits", b'{"visit": 1}', headers)
