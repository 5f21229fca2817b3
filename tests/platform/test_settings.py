"""Test that settings are decoded and that a fault names its setting."""

from pathlib import Path

import pytest

from turmericproxy.host.site_settings import SiteHostSettings
from turmericproxy.platform.settings import SettingsFault, decode_settings, read_settings
from turmericproxy.releases.orders import ReleaseBounds

VALUES = {
    "node": "edge-a-1",
    "zone": "a",
    "ip": "10.1.0.24",
    "listen.front": "10.1.0.24:8606",
    "listen.ready": "10.1.0.24:8605",
    "port_range": "7600,7615",
    "bootstrap": "true",
    "platform.address": "10.200.1.7:8601",
    "bounds.lease_ms": "3000",
    "bounds.version_ms": "6000",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.retry_budget_extra": "56",
    "bounds.grace_s": "8",
    "bounds.quota_window_s": "8",
    "bounds.quota_overshoot": "0.1",
    "bounds.quota_slack": "110000",
    "a.new.field": "1",
}


def test_settings_are_decoded_into_seconds_and_addresses() -> None:
    settings = decode_settings(VALUES)
    assert isinstance(settings, SiteHostSettings)
    assert settings.links == "10.1.0.24:7600"
    assert settings.order_guard == 3.0
    assert settings.is_first_start


def test_link_bandwidth_is_optional_but_must_be_a_number() -> None:
    settings = decode_settings({**VALUES, "limits.link_mbps": "1000.0"})
    assert isinstance(settings, SiteHostSettings)
    assert settings.link_mbps == 1000
    assert decode_settings({**VALUES, "limits.link_mbps": "wide"}) == SettingsFault(
        "limits.link_mbps", "is not a number"
    )


@pytest.mark.parametrize(
    ("contracts", "expected"),
    [
        (None, False),
        ("", False),
        ("weights,pressured", False),
        ("pressure", True),
        ("weights, pressure", True),
    ],
)
def test_admission_control_is_on_only_if_contracts_ask_for_it(
    contracts: str | None, expected: bool
) -> None:
    values = VALUES if contracts is None else {**VALUES, "contracts": contracts}
    settings = decode_settings(values)
    assert isinstance(settings, SiteHostSettings)
    assert settings.has_admission_control is expected


@pytest.mark.parametrize("name", sorted(set(VALUES) - {"a.new.field"}))
def test_missing_setting_is_named(name: str) -> None:
    fault = decode_settings({n: v for n, v in VALUES.items() if n != name})
    assert isinstance(fault, SettingsFault)
    assert fault.name == name


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("listen.front", "8606"),
        ("bounds.lease_ms", "soon"),
        ("port_range", "a,b"),
        ("bounds.grace_s", "0"),
    ],
)
def test_invalid_setting_is_a_fault(name: str, value: str) -> None:
    assert isinstance(decode_settings({**VALUES, name: value}), SettingsFault)


def test_settings_file_is_read_and_a_missing_one_is_a_fault(tmp_path: Path) -> None:
    fault = read_settings(tmp_path / "missing.conf")
    assert isinstance(fault, SettingsFault)
    path = tmp_path / "boot.conf"
    path.write_text("".join(f"{name}={value}\n" for name, value in VALUES.items()))
    assert isinstance(read_settings(path), SiteHostSettings)


RELEASE_VALUES = {
    "contracts": "weights, rollout",
    "bounds.exposure_share": "0.1",
    "bounds.exposure_slack": "50",
    "bounds.rollback_ms": "5000",
}


def test_rollouts_of_software_are_in_force_only_where_the_contracts_say_so() -> None:
    """Guard against orders that take effect where the deployment has not asked for them."""
    for values in (VALUES, {**VALUES, **RELEASE_VALUES, "contracts": "weights"}):
        settings = decode_settings(values)
        assert isinstance(settings, SiteHostSettings) and settings.releases is None
    settings = decode_settings({**VALUES, **RELEASE_VALUES})
    assert isinstance(settings, SiteHostSettings)
    assert settings.releases == ReleaseBounds(0.1, 50, 5.0)


@pytest.mark.parametrize("name", sorted(set(RELEASE_VALUES) - {"contracts"}))
def test_missing_bound_of_rollouts_is_named(name: str) -> None:
    """Guard against rollouts without a bound."""
    values = {n: v for n, v in {**VALUES, **RELEASE_VALUES}.items() if n != name}
    assert decode_settings(values) == SettingsFault(name, "is missing")


def test_ceilings_are_decoded_where_admission_control_is_on() -> None:
    text = "llm account acme 0.3, llm priority 1 0.5"
    settings = decode_settings({**VALUES, "contracts": "pressure", "admission.ceilings": text})
    assert isinstance(settings, SiteHostSettings)
    assert [c.share for c in settings.ceilings] == [0.3, 0.5]
    unset = decode_settings({**VALUES, "contracts": "pressure"})
    assert isinstance(unset, SiteHostSettings)
    assert unset.ceilings == ()


@pytest.mark.parametrize(
    ("contracts", "text", "reason"),
    [
        ("", "llm account acme 0.3", "needs 'pressure'"),
        ("pressure", "llm account 0.3", "SERVICE account|priority NAME SHARE"),
        ("pressure", "llm zone a 0.3", "SERVICE account|priority NAME SHARE"),
        ("pressure", "llm account acme half", "not a number"),
        ("pressure", "llm account acme nan", "not above 0"),
        ("pressure", "llm account acme 0", "not above 0"),
        ("pressure", "llm account acme 1.1", "not above 0"),
        ("pressure", "llm priority high 0.3", "not a whole number"),
        ("pressure", "llm priority 1 0.3, llm priority 1 0.4", "another ceiling"),
    ],
)
def test_bad_ceilings_are_faults_of_their_setting(contracts: str, text: str, reason: str) -> None:
    """Guards against a ceiling that is silently ignored."""
    fault = decode_settings({**VALUES, "contracts": contracts, "admission.ceilings": text})
    assert isinstance(fault, SettingsFault)
    assert fault.name == "admission.ceilings"
    assert reason in fault.reason
