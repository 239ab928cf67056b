"""Settings of the daemons, read from INI files."""

from hibiscusstack.settings.document import describe_settings
from hibiscusstack.settings.pool_sections import PoolSettings
from hibiscusstack.settings.reading import parse_settings, read_settings
from hibiscusstack.settings.sections import (
    CallerSettings,
    HostSettings,
    LimitSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TargetSettings,
    TelemetrySettings,
)

__all__ = [
    "CallerSettings",
    "HostSettings",
    "LimitSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "PoolSettings",
    "Settings",
    "TargetSettings",
    "TelemetrySettings",
    "describe_settings",
    "parse_settings",
    "read_settings",
]
