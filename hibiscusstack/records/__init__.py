"""Clients of the append-only log and of the live list, which the platform keeps."""

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
