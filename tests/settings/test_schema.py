"""Test the validation of settings files and that the operators' page lists all settings."""

from pathlib import Path

import pytest
import yaml

from turmericproxy.settings import HostSettings, SettingsFault, load_settings
from turmericproxy.settings.schema import Section

PAGE = Path(__file__).resolve().parents[2] / "docs" / "OPERATIONS.md"
GOOD = {
    "host": "host-a",
    "domain": "north",
    "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "platform": {"address": "127.0.0.1:4"},
    "operator_key_digests": ["0" * 64],
}


def list_fields(section: type[Section], prefix: str = "") -> list[str]:
    names = []
    for name, field in section.model_fields.items():
        kind = field.annotation
        if isinstance(kind, type) and issubclass(kind, Section):
            names += list_fields(kind, f"{prefix}{name}.")
        else:
            names.append(f"{prefix}{name}")
    return names


def test_every_setting_is_on_the_operators_page() -> None:
    page = PAGE.read_text()
    assert [name for name in list_fields(HostSettings) if f"`{name}`" not in page] == []


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"host": "Upper Case"}, "host"),
        ({"listen": {**GOOD["listen"], "peers": "no address"}}, "listen.peers"),
        ({"operator_key_digests": []}, "operator_key_digests"),
        ({"rates": {"regrant_after": -1}}, "rates.regrant_after"),
        ({"unknown": 1}, "unknown"),
    ],
)
def test_a_fault_names_its_field(tmp_path: Path, change: dict[str, object], field: str) -> None:
    path = tmp_path / "host.yaml"
    path.write_text(yaml.safe_dump({**GOOD, **change}))
    faults = load_settings(path)
    assert isinstance(faults, tuple)
    assert [fault.field for fault in faults] == [field]


def test_invalid_file_is_a_fault(tmp_path: Path) -> None:
    path = tmp_path / "host.yaml"
    for content in ("[1, 2]", "a: [", "\x00"):
        path.write_text(content)
        faults = load_settings(path)
        assert isinstance(faults, tuple) and isinstance(faults[0], SettingsFault)
    path.write_text(yaml.safe_dump(GOOD))
    assert isinstance(load_settings(path), HostSettings)
