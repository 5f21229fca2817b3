"""Test that configuration and registration rows are decoded and that invalid ones are ignored."""

import json
from typing import Any

import pytest

from tests.platform.support import CONFIGURATION, REGISTRATION
from turmericproxy.core.ids import ServiceName
from turmericproxy.placement import EntryState
from turmericproxy.platform.registrations import read_upstream_row
from turmericproxy.platform.site import create_release_status, read_configuration_row
from turmericproxy.releases.orders import (
    ReleaseOrder,
    ReleasePhase,
    ReleaseState,
    ReleaseStatus,
)
from turmericproxy.rollout.wanted import ModelVersion
from turmericproxy.tables.messages import Row
from turmericproxy.traffic.site import Repeatability, Site, choose_service


def create_row(key: str, value: object) -> Row:
    return Row(key, value if isinstance(value, bytes) else json.dumps(value).encode(), 1)


def read_site(**changes: Any) -> Site:
    site = read_configuration_row(create_row("config", {**CONFIGURATION, **changes}))
    assert isinstance(site, Site)
    return site


def test_longest_prefix_of_the_host_selects_the_route() -> None:
    site = read_site()
    assert site.find_route("jepu9.example", "/lepu270/2f").name == "r-stream"  # type: ignore[union-attr]
    assert site.find_route("jepu9.example", "/lepu270/deep/x").name == "r-deep"  # type: ignore[union-attr]
    assert site.find_route("jepu9.example", "/lepu27") is None
    assert site.find_route("other.example", "/lepu270/2f") is None


def test_routes_are_decoded() -> None:
    stream = read_site().find_route("jepu9.example", "/lepu270/")
    assert stream is not None
    assert stream.is_stream
    assert not stream.is_repeatable
    assert (stream.timeout, stream.target_latency, stream.target_event_gap) == (4.0, 0.6, 0.4)
    plain = read_site().find_route("app.example", "/book/")
    assert plain is not None
    assert plain.repeatability is Repeatability.NON_IDEMPOTENT


def test_requests_are_divided_by_the_shares() -> None:
    stream = read_site().find_route("jepu9.example", "/lepu270/")
    assert stream is not None
    chosen = [choose_service(stream, n / 1000) for n in range(1000)]
    assert chosen.count("huvo11a") == 900  # type: ignore[arg-type]


def test_accounts_services_and_limits_are_decoded() -> None:
    site = read_site()
    account = site.find_account("key-1")
    assert account is not None
    assert (account.rate, account.default_cost, account.is_counted_in_tokens) == (78787, 200, True)
    engine = site.services["huvo11a"].engine  # type: ignore[index]
    assert engine is not None
    assert engine.link_bytes_per_second == 2.75e11
    assert site.kept_store is not None
    assert site.kept_store.address == "172.20.0.2:8604"
    assert site.limits.head_seconds == 3.0


def test_model_version_is_decoded() -> None:
    row = create_row("version/m", {"model": "m", "version": 2})
    assert read_configuration_row(row) == ModelVersion("m", 2)  # type: ignore[arg-type]


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b"{}", b'{"version": 1}', b"null"])
def test_invalid_configuration_is_ignored(value: bytes) -> None:
    assert read_configuration_row(create_row("config", value)) is None


def test_registration_is_decoded() -> None:
    entry = read_upstream_row(create_row("i-1", REGISTRATION))
    assert entry is not None
    assert entry.state is EntryState.READY
    assert entry.versions == {"m": 2}
    assert entry.started_at == 5


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"state": None},
        {"service": 7},
        {"address": "nowhere"},
        {"slots": "8"},
        {"models": [{"name": "m"}]},
        {"zone": None},
    ],
)
def test_registration_with_an_invalid_field_is_ignored(change: dict[str, object]) -> None:
    assert read_upstream_row(create_row("i-1", {**REGISTRATION, **change})) is None


@pytest.mark.parametrize("name", ["service", "address", "zone", "slots", "state"])
def test_registration_with_a_missing_field_is_ignored(name: str) -> None:
    incomplete = {n: value for n, value in REGISTRATION.items() if n != name}
    assert read_upstream_row(create_row("i-1", incomplete)) is None


def test_orders_for_rollouts_of_software_are_decoded() -> None:
    """Guard against orders that no host understands, and rows of one that can't be told apart."""
    content = {"service": "kafi81c", "to": "v2", "duration_s": 60}
    order = read_configuration_row(create_row("rollout/kafi81c", content))
    assert order == ReleaseOrder(ServiceName("kafi81c"), "v2", 60.0, 1)
    for change in (
        {"to": ""},
        {"to": 2},
        {"service": None},
        {"duration_s": 0},
        {"duration_s": "x"},
    ):
        assert read_configuration_row(create_row("rollout/kafi81c", {**content, **change})) is None


@pytest.mark.parametrize(
    ("phase", "text"),
    [
        (ReleasePhase.STEPPING, "in_progress"),
        (ReleasePhase.FINISHING, "in_progress"),
        (ReleasePhase.COMPLETED, "completed"),
        (ReleasePhase.ROLLED_BACK, "rolled_back"),
    ],
)
def test_status_is_written_in_the_terms_of_operators(phase: ReleasePhase, text: str) -> None:
    """Guard against phases that only hosts know in the row that operators read."""
    state = ReleaseState(ServiceName("kafi81c"), "v2", 1, 60.0, phase, 2, 0.1, 0.0, 0.0, "why")
    write = create_release_status(ReleaseStatus(state, 40, 1, 400, 41))
    assert (write.table, write.key) == ("status", "rollout/kafi81c")
    content = json.loads(write.value)
    assert (content["state"], content["to"], content["reason"]) == (text, "v2", "why")


def test_software_version_of_a_registration_is_optional() -> None:
    """Guard against upstreams that are lost for a version that isn't text."""
    for value, expected in (("v2", "v2"), (3, ""), (None, "")):
        entry = read_upstream_row(create_row("i", {**REGISTRATION, "version": value}))
        assert entry is not None and entry.software == expected
