"""Clients of the platform: its append-only log and its list of hosts."""

__all__ = [
    "DispatcherInfo",
    "LiveList",
    "LiveListClient",
    "LogClient",
    "LogPage",
    "PlatformHttp",
]

from hibiscusstack.platform.http import PlatformHttp
from hibiscusstack.platform.live_list import DispatcherInfo, LiveList, LiveListClient
from hibiscusstack.platform.log import LogClient, LogPage
