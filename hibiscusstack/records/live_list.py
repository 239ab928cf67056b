"""Client of the platform's list of live and leaving hosts."""

__all__ = ["DispatcherInfo", "LiveList", "LiveListClient", "decode_live_list"]

from collections.abc import Mapping
from ipaddress import IPv4Address
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.records.checks import require_count, require_list, require_text
from hibiscusstack.records.http import PlatformHttp

_MAX_PORT = 65_535
_IS_LEAVING_BY_STATE = {"live": False, "leaving": True}


@attrs.frozen
class DispatcherInfo:
    """One dispatcher host as the platform lists it."""

    name: str
    address: str
    port: int
    data_centre: str
    rack: str = ""
    is_leaving: bool = False


@attrs.frozen
class LiveList:
    """One version of the platform's list of hosts, which may be out of date.

    ``faults`` has one error for each invalid entry. These entries are left out, so
    that one of them does not hide that another host is leaving.
    """

    version: int
    targets: tuple[TargetInfo, ...]
    dispatchers: tuple[DispatcherInfo, ...]
    faults: tuple[DecodeError, ...] = ()


class LiveListClient:
    """Fetches the live list with conditional requests, to skip an unchanged list."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    def fetch(self, known_version: int | None = None) -> Deferred[LiveList | None]:
        """Return the list, or ``None`` if its version is still ``known_version``.

        Fails with ``UnavailableError``.
        """
        etag = "" if known_version is None else f'"{known_version}"'
        return self._http.request_if_changed("/v1/hosts", etag, decode_live_list)


def decode_live_list(body: dict[str, Any]) -> LiveList:
    """Return the list in ``body``, or raise ``DecodeError`` if it is not a list.

    An invalid entry raises nothing; it is left out and added to ``faults``.

    >>> decode_live_list({"version": 4, "hosts": []}).version
    4
    """
    version = require_count(body, "version")
    hosts: dict[str, TargetInfo | DispatcherInfo] = {}
    faults = []
    for entry in require_list(body, "hosts"):
        try:
            host = _decode_host(entry)
            if host.name in hosts:
                raise DecodeError("name", "a name that occurs once", host.name)
            hosts[host.name] = host
        except DecodeError as fault:
            faults.append(fault)
    targets = tuple(h for h in hosts.values() if isinstance(h, TargetInfo))
    dispatchers = tuple(h for h in hosts.values() if isinstance(h, DispatcherInfo))
    return LiveList(version, targets, dispatchers, tuple(faults))


def _decode_host(entry: dict[str, Any]) -> TargetInfo | DispatcherInfo:
    role = require_text(entry, "role")
    state = require_text(entry, "state")
    if state not in _IS_LEAVING_BY_STATE:
        raise DecodeError("state", "live or leaving", state)
    shared_fields = {
        "name": require_text(entry, "name"),
        "address": _require_address(entry),
        "port": _require_port(entry),
        "data_centre": require_text(entry, "data_centre"),
        "rack": entry.get("rack", ""),
        "is_leaving": _IS_LEAVING_BY_STATE[state],
    }
    if not isinstance(shared_fields["rack"], str):
        raise DecodeError("rack", "a string", shared_fields["rack"])
    if role == "dispatcher":
        return DispatcherInfo(**shared_fields)
    if role != "target":
        raise DecodeError("role", "target or dispatcher", role)
    return TargetInfo(
        slots=require_count(entry, "slots"),
        connections=require_count(entry, "connections", minimum=1),
        labels=_decode_labels(entry),
        **shared_fields,
    )


def _require_address(entry: dict[str, Any]) -> str:
    address = require_text(entry, "address")
    try:
        return str(IPv4Address(address))
    except ValueError as fault:
        raise DecodeError("address", "an IPv4 address", address) from fault


def _require_port(entry: dict[str, Any]) -> int:
    port = require_count(entry, "port", minimum=1)
    if port > _MAX_PORT:
        raise DecodeError("port", f"at most {_MAX_PORT}", port)
    return port


def _decode_labels(entry: dict[str, Any]) -> Mapping[str, str]:
    labels = entry.get("labels", {})
    if not isinstance(labels, dict):
        raise DecodeError("labels", "an object", labels)
    for value in labels.values():
        if not isinstance(value, str):
            raise DecodeError("labels", "strings", value)
    return labels
