"""Inject failures under load, and check what all hosts together admitted."""

import time

from behave import given, then, when

from features.support.rate_load import RateLoad, find_excess
from turmericproxy.bench import partitions
from turmericproxy.bench.cluster import start_cluster
from turmericproxy.bench.plan import AccountPlan, ClusterPlan, HostPlan, RoutePlan, ServicePlan

ACCOUNT, ROUTE = "afinaciones", "visits"
RATE, BURST, COST = 100.0, 50, 2
REGRANT_SECONDS = 3.0
SETTINGS = {
    "rates": {"regrant_after": REGRANT_SECONDS},
    "links": {"heartbeat": 0.2, "silence": 1.0, "call_timeout": 0.3},
}
HOSTS = (("n1", "north"), ("n2", "north"), ("s1", "south"), ("s2", "south"), ("e1", "east"))
MEASUREMENT_SECONDS = 3.0
MIN_ADMITTED_SHARE = 0.75


def create_plan():
    services = tuple(ServicePlan(f"visits-{d}", d) for d in ("north", "south", "east"))
    return ClusterPlan(
        hosts=tuple(HostPlan(name, domain, SETTINGS) for name, domain in HOSTS),
        services=services,
        accounts=(AccountPlan(ACCOUNT, RATE, BURST),),
        routes=(
            RoutePlan(
                ROUTE,
                tuple(service.name for service in services),
                {"cost": COST, "repeatable": True, "timeout": 1.0},
            ),
        ),
        relays=True,
    )


def read_buckets(context, host):
    buckets = context.cluster.call_operator_api(host, "GET", "/v1/status")["buckets"]
    return next((b for b in buckets if b["account"] == ACCOUNT), None)


def is_open(context, host):
    bucket = read_buckets(context, host)
    return bucket is not None and bucket["is_open"]


def measure_rate(context):
    start = time.monotonic()
    time.sleep(MEASUREMENT_SECONDS)
    return context.load.count_since(start) * COST / MEASUREMENT_SECONDS


@given("five linked hosts that receive several times the rate of a client account")
def start_load(context):
    print(f"seed {context.seed}")
    context.cluster = start_cluster(create_plan())
    context.add_cleanup(context.cluster.close)
    context.cluster.await_condition(
        "open buckets", lambda: all(is_open(context, host) for host, _ in HOSTS), 20.0
    )
    context.load = RateLoad(context.cluster, ACCOUNT, f"/r/{ROUTE}/x", context.seed)
    context.add_cleanup(context.load.close)
    context.load.start()
    context.cluster.await_condition("calls admitted", lambda: context.load.count_since(0.0) > 25)


@when('domain "{domain}" is cut off from the others and from the platform under load')
def cut_off(context, domain):
    partitions.cut_domain(context.cluster, domain)
    context.cut = [host for host, own in HOSTS if own == domain]


@when("the cut under load is healed")
def heal(context):
    partitions.heal_all(context.cluster)


@when('host "{host}" is paused until its share was granted again')
def pause_until_regrant(context, host):
    context.cluster.pause_host(host)

    def is_granted_again():
        row = context.cluster.call("platform", "GET", f"/v1/tables/rates/rows/account%2F{ACCOUNT}")
        return all(share["host"] != host for share in row["value"]["shares"])

    taken = context.cluster.await_condition("a regrant", is_granted_again, 20.0)
    print(f"granted again after {taken:.2f} s")


@when('host "{host}" is cut off from all other hosts and from the platform')
def isolate(context, host):
    partitions.cut_platform(context.cluster, host)
    for other, _ in HOSTS:
        context.cluster.relay.cut(f"{host}->{other}.*")
        context.cluster.relay.cut(f"{other}->{host}.*")


@when('host "{host}" is resumed')
def resume(context, host):
    context.cluster.resume_host(host)


@when('host "{host}" is paused for {seconds:d} seconds')
def pause(context, host, seconds):
    context.cluster.pause_host(host)
    time.sleep(seconds)
    context.cluster.resume_host(host)


@when('host "{host}" is killed under load')
def kill(context, host):
    context.cluster.kill_host(host)


@when('host "{host}" is started again under load')
def start_again(context, host):
    context.cluster.start_host(host)


@when('host "{host}" is shut down gracefully and started again')
def stop_and_start(context, host):
    context.cluster.stop_host(host)
    process = context.cluster.get_process(host)
    context.cluster.await_condition("the end of the host", lambda: not process.is_running(), 20.0)
    context.cluster.start_host(host)


@when("the platform loses {share:d}% of its answers under load")
def lose_answers(context, share):
    context.cluster.set_faults("platform", lose_answers=share / 100)


@when("the platform goes down under load")
def stop_platform(context):
    context.cluster.set_faults("platform", down=True)


@when("the platform has recovered")
def restore_platform(context):
    context.cluster.set_faults("platform", down=False, lose_answers=0.0)


@when("the rate is lowered to half")
def lower_rate(context):
    limit = {"rate": RATE / 2, "burst": BURST // 2}
    context.cluster.put_resource("account", ACCOUNT, limit, "n1")


@then('host "{host}" admits calls within {seconds:d} seconds')
def check_host_admits(context, host, seconds):
    start = time.monotonic()
    context.cluster.await_condition(
        f"calls admitted at {host}", lambda: context.load.count_since(start, host) > 0, seconds
    )


@then('host "{host}" admits nothing for {seconds:d} seconds')
def check_host_admits_nothing(context, host, seconds):
    start = time.monotonic()
    time.sleep(seconds)
    admitted = context.load.count_since(start, host)
    everywhere = context.load.count_since(start)
    print(f"{admitted} calls admitted at {host}, {everywhere} at all hosts")
    assert admitted == 0
    assert everywhere > 0


@then("the whole rate is admitted again within {seconds:d} seconds")
def check_whole_rate(context, seconds):
    end = time.monotonic() + seconds
    rates = []
    while not rates or (rates[-1] < RATE * MIN_ADMITTED_SHARE and time.monotonic() < end):
        rates.append(measure_rate(context))
    print(f"tokens admitted per second: {rates}, statuses {context.load.statuses}")
    assert rates[-1] >= RATE * MIN_ADMITTED_SHARE, rates


@then("every reachable host is held to the lowered rate less what the domain keeps")
def check_lowered(context):
    reachable = [host for host, _ in HOSTS if host not in context.cut]
    domain_rate = sum(read_buckets(context, host)["rate"] for host in context.cut)

    def is_lowered():
        held = sum(read_buckets(context, host)["rate"] for host in reachable)
        return held <= max(0.0, RATE / 2 - domain_rate) + 0.001

    print(f"the domain keeps {domain_rate} tokens per second")
    context.cluster.await_condition("lowered shares", is_lowered, 11.0)


@then("all hosts together are held to the lowered rate within {seconds:d} seconds")
def check_all_lowered(context, seconds):
    def is_lowered():
        buckets = [read_buckets(context, host) for host, _ in HOSTS]
        held = sum(bucket["rate"] for bucket in buckets if bucket)
        return abs(held - RATE / 2) < 0.001

    taken = context.cluster.await_condition("lowered shares at all hosts", is_lowered, seconds)
    start = time.monotonic()
    rate = measure_rate(context)
    excess = find_excess(context.load.admitted, COST, RATE / 2, BURST // 2, start)
    print(f"lowered after {taken:.2f} s, then {rate} tokens per second, excess {excess:.1f}")
    assert excess <= 0


@then("no interval had more than rate and burst")
def check_bound(context):
    context.load.close()
    excess = find_excess(context.load.admitted, COST, RATE, BURST)
    admitted = len(context.load.admitted)
    print(f"{admitted} calls admitted, statuses {context.load.statuses}, excess {excess:.1f}")
    assert admitted > 0
    assert excess <= 0
