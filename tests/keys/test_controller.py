"""Check creation, authentication and withdrawal of keys on several hosts."""

import threading
import time
from collections.abc import Iterator

import pytest

from tests.hosts import Fleet, create_host, run_fleet, wait_until
from turmericproxy.configuration.changes import Accepted
from turmericproxy.configuration.resources import Kind
from turmericproxy.core import AccountName, HostName, KeyId, Refusal, ResultCode
from turmericproxy.keys import CreatedKey, Identity, KeyController, Withdrawn, compute_digest
from turmericproxy.settings.schema import ConfigurationSettings

WITHDRAWAL_SECONDS = 3.0


@pytest.fixture(scope="module")
def shared_fleet() -> Iterator[Fleet]:
    with run_fleet(3) as running:
        yield running


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Iterator[Fleet]:
    yield shared_fleet
    shared_fleet.reset()


def create_key(fleet: Fleet) -> CreatedKey:
    """Create an account and a key, and wait until every host knows it."""
    first = fleet.hosts[0]
    first.configuration.change(Kind.ACCOUNT, "a", {"rate": 1.0, "burst": 10})
    created = first.keys.create(AccountName("a"), "phone")
    assert isinstance(created, CreatedKey), created
    fleet.wait_for_revision(fleet.revision)
    return created


def read_code(keys: KeyController, secret: str) -> ResultCode:
    result = keys.identify(secret)
    return result.code if isinstance(result, Refusal) else ResultCode.OK


def test_key_identifies_its_account_on_every_host_and_only_its_digest_is_stored(
    fleet: Fleet,
) -> None:
    created = create_key(fleet)
    for host in fleet.hosts:
        assert host.keys.identify(created.secret) == Identity(AccountName("a"), created.key_id)
        assert read_code(host.keys, created.secret + "x") is ResultCode.KEY_UNKNOWN
    rows = fleet.hosts[0].platform.list_rows("configuration")
    assert compute_digest(created.secret) in str(rows) and created.secret not in str(rows)


def test_withdrawal_spreads_while_the_platform_is_down_and_is_committed_later(fleet: Fleet) -> None:
    created = create_key(fleet)
    identity = fleet.hosts[2].keys.identify(created.secret)
    assert isinstance(identity, Identity)
    fleet.set_faults(down=True)
    started_at = time.monotonic()
    assert fleet.hosts[0].keys.withdraw(created.key_id) == Withdrawn(durable=False)
    for host in fleet.hosts:
        wait_until(lambda h=host: h.keys.check(identity) is not None, WITHDRAWAL_SECONDS)
        assert read_code(host.keys, created.secret) is ResultCode.KEY_WITHDRAWN
    assert time.monotonic() - started_at < WITHDRAWAL_SECONDS
    fleet.set_faults(down=False)
    wait_until(lambda: not any(h.keys.list_uncommitted_withdrawals() for h in fleet.hosts), 8.0)
    fleet.wait_for_revision(fleet.revision)
    assert created.key_id not in fleet.hosts[1].configuration.snapshot().get_table(Kind.KEY)
    assert fleet.hosts[0].keys.withdraw(created.key_id) == Withdrawn(durable=True)


def test_withdrawal_is_durable_at_once_while_the_platform_is_up(fleet: Fleet) -> None:
    created = create_key(fleet)
    assert fleet.hosts[1].keys.withdraw(created.key_id) == Withdrawn(durable=True)
    missing = fleet.hosts[1].keys.withdraw(KeyId("never-there"))
    assert isinstance(missing, Refusal) and missing.code is ResultCode.RESOURCE_NOT_FOUND


def test_host_that_joins_later_never_accepts_a_key_with_an_uncommitted_withdrawal(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    created = create_key(fleet)
    fleet.set_faults(down=True)
    fleet.hosts[0].keys.withdraw(created.key_id)
    late = create_host("late", fleet.address)
    fleet.hosts.append(late)
    exchange = late.keys._exchange_marks
    released = threading.Event()

    def exchange_late(host: HostName) -> bool:
        released.wait(5.0)
        return exchange(host)

    monkeypatch.setattr(late.keys, "_exchange_marks", exchange_late)
    late.start()
    late.links.set_peers([fleet.hosts[2].address])
    fleet.wait_for_revision(fleet.revision)
    assert read_code(late.keys, created.secret) is ResultCode.KEYS_TOO_OLD
    released.set()
    wait_until(
        lambda: read_code(late.keys, created.secret) is not ResultCode.KEYS_TOO_OLD,
        WITHDRAWAL_SECONDS,
    )
    assert read_code(late.keys, created.secret) is ResultCode.KEY_WITHDRAWN


def test_withdrawn_key_in_a_later_snapshot_is_refused(fleet: Fleet) -> None:
    created = create_key(fleet)
    first = fleet.hosts[0]
    digest = compute_digest(created.secret)
    first.keys.withdraw(created.key_id)
    spec = {"account": "a", "digest": digest}
    again = first.configuration.change(Kind.KEY, created.key_id, spec)
    assert isinstance(again, Accepted)
    fleet.wait_for_revision(again.revision)
    for host in fleet.hosts:
        assert read_code(host.keys, created.secret) is ResultCode.KEY_WITHDRAWN


def test_host_without_the_platform_refuses_keys_past_the_maximum_age() -> None:
    with run_fleet(1, ConfigurationSettings(poll=0.1, maximum_age=0.8)) as fleet:
        created = create_key(fleet)
        keys = fleet.hosts[0].keys
        wait_until(lambda: read_code(keys, created.secret) is ResultCode.OK)
        fleet.set_faults(down=True)
        wait_until(lambda: read_code(keys, created.secret) is ResultCode.KEYS_TOO_OLD)
        fleet.set_faults(down=False)
        wait_until(lambda: read_code(keys, created.secret) is ResultCode.OK)


def test_host_without_configuration_refuses_every_key() -> None:
    host = create_host("alone", "127.0.0.1:1")
    assert read_code(host.keys, "any") is ResultCode.KEYS_TOO_OLD
    host.close()
