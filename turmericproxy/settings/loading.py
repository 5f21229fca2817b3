"""Load settings files and report all faults in them."""

from dataclasses import dataclass
from pathlib import Path

import yaml
from pydantic import ValidationError

from turmericproxy.settings.schema import HostSettings


@dataclass(frozen=True)
class SettingsFault:
    """One fault in a settings file; ``field`` is the path of the field, with dots."""

    file: str
    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.field}: {self.reason}"


def load_settings(path: Path) -> HostSettings | tuple[SettingsFault, ...]:
    """Return the settings in a YAML file, or all faults in it."""
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        return (SettingsFault(str(path), "file", error.strerror or str(error)),)
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return (SettingsFault(str(path), "file", " ".join(str(error).split())),)
    if not isinstance(document, dict):
        return (SettingsFault(str(path), "file", "is not a mapping of settings"),)
    try:
        return HostSettings.model_validate(document)
    except ValidationError as error:
        return tuple(
            SettingsFault(str(path), ".".join(map(str, fault["loc"])) or "file", fault["msg"])
            for fault in error.errors()
        )
