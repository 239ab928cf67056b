"""Clients of the platform's append-only log and of its live list."""

__all__ = [
    "DispatcherInfo",
    "LiveList",
    "LiveListClient",
    "LogClient",
    "LogPage",
    "PlatformHttp",
]

from hibiscusstack.records.http import PlatformHttp
from hibiscusstack.records.live_list import DispatcherInfo, LiveList, LiveListClient
from hibiscusstack.records.log import LogClient, LogPage
