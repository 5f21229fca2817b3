"""Change the configuration of the hosts of a cluster under faults."""

import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from behave import given, then, when

from features.support.revision_monitor import (
    RevisionMonitor,
    call_route,
    change_resource,
    list_accounts,
    measure_until,
)
from turmericproxy.bench import partitions
from turmericproxy.bench.cluster import start_cluster
from turmericproxy.bench.plan import AccountPlan, ClusterPlan, HostPlan, RoutePlan, ServicePlan
from turmericproxy.web import CallFailure, HttpClient

SEED = 20261203
CALLER = "satnica"
BUCKET_TIMEOUT_SECONDS = 30
NOT_READY_CHECKS = 5
CHECK_INTERVAL_SECONDS = 0.1
FAST_SHUTDOWN_SETTINGS = {"shutdown": {"grace": 0.0}}
ACCOUNT = {"rate": 100.0, "burst": 1000}
PLAN = ClusterPlan(
    hosts=(
        HostPlan("n1", "north", FAST_SHUTDOWN_SETTINGS),
        HostPlan("n2", "north", FAST_SHUTDOWN_SETTINGS),
        HostPlan("s1", "south", FAST_SHUTDOWN_SETTINGS),
        HostPlan("s2", "south", FAST_SHUTDOWN_SETTINGS),
    ),
    services=(ServicePlan("service-n", "north"), ServicePlan("service-s", "south")),
    accounts=(AccountPlan("afinaciones"), AccountPlan("satnica")),
    routes=(
        RoutePlan("hours", ("service-n", "service-s"), {"repeatable": True}),
        RoutePlan(
            "visits",
            ("service-n", "service-s"),
            {"repeatable": True, "accounts": ["afinaciones"]},
        ),
        RoutePlan("health", ("service-n", "service-s"), {"repeatable": True, "open": True}),
    ),
    platform_options={"seed": SEED},
)


def split_names(text):
    return [name.strip() for name in text.split(",")]


def create_accounts(context, hosts, count):
    """Create accounts through the hosts, four at a time, and record the answers."""
    start = len(context.changes)

    def create(number):
        name = f"{context.scenario.line}-{start + number}"
        host = hosts[number % len(hosts)]
        return change_resource(context.cluster, host, f"account/{name}", ACCOUNT)

    with ThreadPoolExecutor(4) as pool:
        context.changes.extend(pool.map(create, range(count)))


def list_accepted(context):
    return [change for change in context.changes if change.is_accepted]


def is_in_force(context, host):
    accounts = list_accounts(context.cluster, host)
    return all(change.name in accounts for change in list_accepted(context))


@given("four linked hosts in two domains whose revisions are watched")
def start_watched_cluster(context):
    start_plan(context, PLAN)


@given("four hosts in two domains, linked through relays, whose revisions are watched")
def start_relayed_cluster(context):
    start_plan(context, replace(PLAN, relays=True))


def start_plan(context, plan):
    """Start a cluster of the plan, or restore and reuse the one that the feature has started."""
    print(f"seed {SEED}")
    context.random = random.Random(SEED)
    context.changes = []
    started = context.feature.__dict__.setdefault("started_clusters", {})
    if plan.relays not in started:
        started[plan.relays] = start_cluster(plan)
        context.add_cleanup(started[plan.relays].close, layer="feature")
    context.cluster = started[plan.relays]
    restore_cluster(context.cluster)
    context.key_id, context.key = context.cluster.create_key(CALLER)
    context.monitor = RevisionMonitor(context.cluster)
    context.monitor.await_first_readings()
    context.add_cleanup(context.monitor.close)
    await_revision(context, context.cluster.read_revision("n1"))
    names = context.cluster.host_names
    measure_until(11, lambda: any(holds_bucket(context, host) for host in names))


def restore_cluster(cluster):
    """Clear the faults of an earlier scenario, and start the hosts that it killed."""
    cluster.set_faults("platform", down=False, lose_answers=0.0)
    if cluster.plan.relays:
        partitions.heal_all(cluster)
    for host in cluster.host_names:
        if not cluster.get_process(host).is_running():
            cluster.start_host(host)


def await_revision(context, revision):
    """Wait until the revision is in force on every host."""
    names = context.cluster.host_names
    measure_until(11, lambda: all(context.cluster.read_revision(n) >= revision for n in names))


@when(
    "{count:d} accounts are created over all hosts while the platform loses {share:d}% of its"
    ' answers and "{host}" is killed'
)
def create_under_faults(context, count, share, host):
    cluster = context.cluster
    cluster.set_faults("platform", lose_answers=share / 100)
    others = [name for name in cluster.host_names if name != host]
    worker = threading.Thread(target=create_accounts, args=(context, others, count))
    worker.start()
    cluster.kill_host(host)
    context.monitor.reset_host(host)
    worker.join()
    cluster.set_faults("platform", lose_answers=0.0)


@when('"{host}" is started again')
def start_again(context, host):
    context.cluster.start_host(host)


@when('"{host}" is killed')
def kill(context, host):
    context.cluster.kill_host(host)
    context.monitor.reset_host(host)


@when('{count:d} accounts are created at host "{host}"')
def create_at_host(context, count, host):
    create_accounts(context, [host], count)
    assert all(change.is_accepted for change in context.changes), context.changes


@when('{count:d} accounts are created at host "{host}" while the platform loses all of its answers')
def create_without_answers(context, count, host):
    context.cluster.set_faults("platform", lose_answers=1.0)
    create_accounts(context, [host], count)
    context.cluster.set_faults("platform", lose_answers=0.0)


@when("the platform goes down")
def stop_platform(context):
    context.cluster.set_faults("platform", down=True)


@when("the platform comes back")
def restore_platform(context):
    context.cluster.set_faults("platform", down=False)


@when('domain "{domain}" is cut off from "{other}" and from the platform')
def cut_domain(context, domain, other):
    """Cut the domain off once its hosts have parts of the caller's rate and can serve alone."""
    names = partitions.list_members(context.cluster.plan, domain)
    hosts = [name for name in names if name in context.cluster.host_names]
    measure_until(11, lambda: all(holds_bucket(context, host) for host in hosts))
    partitions.cut_domain(context.cluster, domain)


@given('the remaining host, "{host}", holds a bucket of the caller\'s client account')
def await_bucket(context, host):
    """Wait for the bucket; without one, no call is admitted while the platform is down."""
    measure_until(BUCKET_TIMEOUT_SECONDS, lambda: holds_bucket(context, host))


def holds_bucket(context, host):
    buckets = context.cluster.call_operator_api(host, "GET", "/v1/status")["buckets"]
    return any(bucket["account"] == CALLER and bucket["level"] >= 1 for bucket in buckets)


@when("the cut is healed")
def heal(context):
    partitions.heal_all(context.cluster)


@when('hosts "{hosts}" are cut off from the platform')
def cut_platform(context, hosts):
    for host in split_names(hosts):
        partitions.cut_platform(context.cluster, host)


@then("a change at every host is refused as not run")
def check_refused(context):
    for number, host in enumerate(context.cluster.host_names):
        change = change_resource(context.cluster, host, f"account/down-{number}", ACCOUNT)
        assert change.code == "platform_unavailable", change
        assert change.body["error"]["run"] == "not_run", change
        context.changes.append(change)


@then("a change at every host is accepted")
def check_accepted(context):
    for number, host in enumerate(context.cluster.host_names):
        path = f"account/up-{number}"

        def is_accepted(host=host, path=path):
            change = change_resource(context.cluster, host, path, ACCOUNT)
            context.changes.append(change)
            return change.is_accepted

        measure_until(11, is_accepted)


@then("every change was reported correctly")
def check_reported_outcomes(context):
    host = context.cluster.host_names[0]
    highest = max((change.body["revision"] for change in list_accepted(context)), default=0)
    measure_until(11, lambda: context.cluster.read_revision(host) >= highest)
    accounts = list_accounts(context.cluster, host)
    by_name = {}
    for change in context.changes:
        by_name.setdefault(change.name, []).append(change)
    counts = {"accepted": 0, "refused": 0, "unknown": 0}
    for name, changes in by_name.items():
        if any(change.is_accepted for change in changes):
            counts["accepted"] += 1
            assert name in accounts, f"{name} was accepted but is not in force"
        elif any(change.code == "change_unknown" for change in changes):
            counts["unknown"] += 1
        else:
            counts["refused"] += 1
            assert name not in accounts, f"{name} was refused but is in force"
    print(f"reported outcomes: {counts}")
    assert counts["accepted"], counts


@then("the accepted changes are in force on all hosts within {seconds:d} seconds")
def check_all_in_force(context, seconds):
    check_in_force(context, ", ".join(context.cluster.host_names), seconds)


@then('the accepted changes are in force on hosts "{hosts}" within {seconds:d} seconds')
def check_in_force(context, hosts, seconds):
    taken = measure_until(
        seconds, lambda: all(is_in_force(context, host) for host in split_names(hosts))
    )
    print(f"in force after {taken:.2f} s")


@then("no host went to a lower revision")
def check_no_decrease(context):
    print(f"{context.monitor.readings} readings of revisions")
    assert context.monitor.readings > 0
    assert not context.monitor.decreases, context.monitor.decreases


@then('hosts "{hosts}" still serve the keys that they know')
def check_known_keys(context, hosts):
    for host in split_names(hosts):
        answer = call_route(context.cluster, host, "/r/hours/x", context.key)
        assert answer.status == 200, f"{host}: {answer}"


def race(context, operators):
    """Let operators change one account at one version; return each answer with the value sent."""
    cluster = context.cluster
    version = list_accounts(cluster, "n1")["raced"]["revision"]
    hosts = cluster.host_names

    def change(number):
        fields = {**ACCOUNT, "rate": float(context.random.randint(1, 10**6))}
        host = hosts[number % len(hosts)]
        answer = change_resource(cluster, host, "account/raced", fields, if_match=version)
        return answer, fields["rate"]

    with ThreadPoolExecutor(operators) as pool:
        return list(pool.map(change, range(operators)))


@when(
    "{operators:d} operators race to change one account {races:d} times while the platform loses"
    " {share:d}% of its answers"
)
def race_operators(context, operators, races, share):
    context.races = []
    context.cluster.put_resource("account", "raced", ACCOUNT)
    for _ in range(races):
        context.cluster.set_faults("platform", lose_answers=share / 100)
        results = race(context, operators)
        context.cluster.set_faults("platform", lose_answers=0.0)
        context.races.append(results)
        wins = [result for result in results if result[0].is_accepted]
        assert len(wins) == 1, results
        await_revision(context, wins[0][0].body["revision"])


@then("in each race exactly one operator won and its value is in force on all hosts")
def check_races(context):
    for results in context.races:
        lost = [answer for answer, _ in results if not answer.is_accepted]
        assert {answer.code for answer in lost} == {"resource_conflict"}, lost
    rate = next(rate for answer, rate in context.races[-1] if answer.is_accepted)
    for host in context.cluster.host_names:
        assert list_accounts(context.cluster, host)["raced"]["rate"] == rate


@then('"{host}" serves its first request within {seconds:d} seconds of its start')
def check_first_request(context, host, seconds):
    check_first_requests(context, host, seconds)


@when('hosts "{hosts}" are killed at the same moment')
def kill_simultaneously(context, hosts):
    for host in split_names(hosts):
        context.monitor.reset_host(host)
        context.cluster.get_process(host).send(signal.SIGKILL)
    for host in split_names(hosts):
        context.cluster.kill_host(host)


@then(
    'hosts "{hosts}" started at the same moment serve their first requests within '
    "{seconds:d} seconds"
)
def check_first_requests(context, hosts, seconds):
    started = time.monotonic()
    waiting = split_names(hosts)
    for host in waiting:
        context.cluster.start_host(host, wait=False)
    while waiting:
        for host in tuple(waiting):
            answer = call_route(context.cluster, host, "/r/hours/x", context.key)
            if answer.status == 200:
                waiting.remove(host)
                print(f"{host} served after {time.monotonic() - started:.2f} s")
        assert not waiting or time.monotonic() - started < seconds, answer
        time.sleep(0.02)


def read_check(cluster, host, path):
    """Return the status of a check of the host, ``None`` while it doesn't listen."""
    client = HttpClient(cluster.get_address(host, "callers"), read_timeout=1.0)
    answer = client.call_json("GET", path, fresh=True)
    return None if isinstance(answer, CallFailure) else answer[0]


@then('"{host}" is alive and not ready after its start')
def check_not_ready(context, host):
    """Guard against hosts that get requests although they would refuse each of them."""
    context.cluster.start_host(host, wait=False)
    measure_until(11, lambda: read_check(context.cluster, host, "/healthz") == 200)
    for _ in range(NOT_READY_CHECKS):
        assert read_check(context.cluster, host, "/readyz") == 503
        time.sleep(CHECK_INTERVAL_SECONDS)


@then(
    '"{host}" is ready within {seconds:d} seconds and doesn\'t refuse a key for lack of a '
    "configuration"
)
def check_ready(context, host, seconds):
    measure_until(seconds, lambda: read_check(context.cluster, host, "/readyz") == 200)
    answer = call_route(context.cluster, host, "/r/hours/x", context.key)
    assert "keys_too_old" not in str(answer), answer
