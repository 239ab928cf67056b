"""Settings of the daemon, read from an INI file."""

from hibiscusstack.settings.document import describe_settings
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
    "Settings",
    "TargetSettings",
    "TelemetrySettings",
    "describe_settings",
    "parse_settings",
    "read_settings",
]
