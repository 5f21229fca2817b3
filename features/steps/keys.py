"""Withdraw keys on the hosts of a cluster under faults, and call routes with them."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.support.revision_monitor import PersistentConnection, call_route, measure_until

CALLER = "satnica"
REFUSED = 401


def is_refused(context, host):
    return call_route(context.cluster, host, "/r/hours/x", context.key).status == REFUSED


@given("a caller is connected to every host")
def connect_caller(context):
    context.connections = [
        PersistentConnection(context.cluster, host, context.key)
        for host in context.cluster.host_names
    ]
    for connection in context.connections:
        context.add_cleanup(connection.close)
        assert connection.call("/r/hours/x") == 200


@when('the caller\'s key is withdrawn at host "{host}"')
def withdraw(context, host):
    """Start the withdrawal; the time to its effect is measured from here, not from its answer."""
    pool = ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.withdrawn_at = time.monotonic()
    path = f"/v1/keys/{context.key_id}"
    context.withdrawal = pool.submit(context.cluster.call_operator_api, host, "DELETE", path)


@then("the withdrawal is accepted but not written down")
def check_not_durable(context):
    assert context.withdrawal.result() == {"withdrawn": True, "durable": False}


@then("the caller is refused on every open connection within {seconds:d} seconds")
def check_connections(context, seconds):
    accepted = list(context.connections)

    def all_refused():
        accepted[:] = [c for c in accepted if c.call("/r/hours/x") != REFUSED]
        return not accepted

    check_time(context, seconds, all_refused, f"{len(accepted)} kept-alive connections")


def check_time(context, seconds, all_refused, where):
    """Check that all are refused within ``seconds`` after the withdrawal was sent."""
    spent = time.monotonic() - context.withdrawn_at
    taken = spent + measure_until(seconds - spent, all_refused)
    print(f"refused on {where} {taken:.2f} s after the withdrawal was sent")


@then("the withdrawal is written down within {seconds:d} seconds")
def check_written(context, seconds):
    def is_written():
        statuses = [context.cluster.call_operator_api(h, "GET", "/v1/status") for h in names]
        listed = [context.cluster.call_operator_api(h, "GET", "/v1/resources/key") for h in names]
        is_listed = any(
            entry["name"] == context.key_id for answer in listed for entry in answer["resources"]
        )
        return not is_listed and not any(s["withdrawals_not_written"] for s in statuses)

    names = context.cluster.host_names
    print(f"written down after {measure_until(seconds, is_written):.2f} s")


@when("every host is killed and started again, one after the other")
def replace_hosts(context):
    for host in context.cluster.host_names:
        context.cluster.kill_host(host)
        context.monitor.reset_host(host)
        context.cluster.start_host(host)


@then("the caller is refused on every host within {seconds:d} seconds")
def check_refused_everywhere(context, seconds):
    check_refused_on(context, ", ".join(context.cluster.host_names), seconds)


@then('the caller is refused on hosts "{hosts}" within {seconds:d} seconds')
def check_refused_on(context, hosts, seconds):
    names = [name.strip() for name in hosts.split(",")]
    check_time(
        context,
        seconds,
        lambda: all(is_refused(context, host) for host in names),
        f"{len(names)} hosts",
    )


@then("the caller is refused on every host within {seconds:d} seconds of its start")
def check_refused_after_starts(context, seconds):
    for host in context.cluster.host_names:
        taken = measure_until(seconds, lambda name=host: is_refused(context, name))
        print(f"refused on {host} {taken:.2f} s after it was ready")


@then("the caller is refused on every host within {seconds:d} seconds of the healing")
def check_refused_after_healing(context, seconds):
    names = context.cluster.host_names
    taken = measure_until(seconds, lambda: all(is_refused(context, host) for host in names))
    print(f"refused on all hosts {taken:.2f} s after the healing")


@then("the caller is still refused on every host after the platform came back")
def check_still_refused(context):
    context.cluster.set_faults("platform", down=False)
    check_written(context, 20)
    assert all(is_refused(context, host) for host in context.cluster.host_names)


@when("every host is called on each route with each key and with none")
def call_all(context):
    keys = {**context.cluster.keys, CALLER: context.key, "nobody": None, "stranger": "x" * 43}
    context.answers = {
        (host, route, who): call_route(
            context.cluster, host, f"/r/{route}/{host}-{who}", key
        ).status
        for host in context.cluster.host_names
        for route in ("hours", "visits", "health")
        for who, key in keys.items()
    }


@then("only the calls that the routes allow have run, and no upstream saw a key")
def check_runs(context):
    cluster = context.cluster
    allowed = {
        "hours": {"afinaciones", "satnica"},
        "visits": {"afinaciones"},
        "health": {"afinaciones", "satnica", "nobody", "stranger"},
    }
    runs = [run for name in ("service-n", "service-s") for run in cluster.read_standin_state(name)]
    assert not any(key in str(runs) for key in (*cluster.keys.values(), context.key))
    called = {f"{host}-{who}" for host, _, who in context.answers}
    ran = sorted(run["path"].rpartition("/")[2] for run in runs)
    ran = [name for name in ran if name in called]
    expected = sorted(
        f"{host}-{who}" for (host, route, who) in context.answers if who in allowed[route]
    )
    assert ran == expected, (ran, expected)
    for (host, route, who), status in context.answers.items():
        assert (status == 200) == (who in allowed[route]), (host, route, who, status)
