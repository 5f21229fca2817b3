"""Loading and validation of the settings of a host."""

from turmericproxy.settings.loading import SettingsFault, load_settings
from turmericproxy.settings.schema import HostSettings

__all__ = ["HostSettings", "SettingsFault", "load_settings"]
