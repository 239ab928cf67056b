"""The client library for operators."""

__all__ = ["AdminClient"]

from collections.abc import Mapping, Sequence
from typing import Any, TypeVar
from urllib.parse import quote

import attrs

from hibiscusstack.caller.attempts import EntryClient
from hibiscusstack.caller.fields import FieldReader, check_job_id
from hibiscusstack.exceptions import (
    InvalidInputError,
    NotSentError,
    RequestRefusedError,
    UnavailableError,
)
from hibiscusstack.operator.service import (
    ConfigurationVersion,
    HostView,
    PublishAccepted,
    PublishLost,
    PublishOutcome,
    PublishUnknown,
    QueueView,
    SpanView,
    TargetView,
)
from hibiscusstack.pool.views import (
    PoolDetails,
    PoolEvacuationView,
    PoolQueueView,
    PoolRunView,
    PoolTargetView,
    PoolView,
)

POOL_PATH = "/v1/pool"
POOL_RUNS_PATH = "/v1/pool/runs"
CALL_TIMEOUT_MS = 5_000
PUBLISH_TIMEOUT_MS = 30_000
JSON_HEADERS = {"Content-Type": "application/json"}
MAX_OFFSET = 1 << 53
FIRST_SERVER_ERROR = 500
PROVEN_REFUSALS = frozenset({"too-many-waiting"})

View = TypeVar("View")


class AdminClient:
    """Asks the hosts in turn until one answers.

    Every method raises ``UnavailableError`` when no host answers, and
    ``RequestRefusedError`` when the last one refuses.
    """

    def __init__(self, entries: Sequence[EntryClient]) -> None:
        self._entries = entries

    async def fetch_configuration(self) -> ConfigurationVersion | None:
        """Return the configuration in force, or ``None`` before the first one."""
        try:
            value = await self._get("/v1/admin/configuration")
        except RequestRefusedError as error:
            if error.type_name == "no-configuration":
                return None
            raise
        return _read_view(ConfigurationVersion, value)

    async def fetch_history(self) -> list[ConfigurationVersion]:
        """Return the accepted versions, oldest first."""
        path = "/v1/admin/configuration/history"
        return await self._get_views(path, "versions", ConfigurationVersion)

    async def fetch_targets(self) -> list[TargetView]:
        """Return the targets that the host knows."""
        return await self._get_views("/v1/admin/targets", "targets", TargetView)

    async def fetch_hosts(self) -> list[HostView]:
        """Return the dispatcher hosts that the host knows."""
        return await self._get_views("/v1/admin/hosts", "hosts", HostView)

    async def fetch_queue(self) -> list[QueueView]:
        """Return what waits on the host."""
        return await self._get_views("/v1/admin/queue", "queue", QueueView)

    async def fetch_trace(self, job_id: str) -> list[SpanView]:
        """Return the hops of a job from the first host that has them."""
        path = f"/v1/admin/traces/{check_job_id('id', job_id)}"
        return await self._get_views(path, "spans", SpanView)

    async def fetch_pool(self) -> PoolDetails:
        """Return what the first host of pools that answers knows."""
        return _read_pool(await self._get(POOL_PATH))

    async def fetch_coordinating_pool(self) -> PoolDetails:
        """Return what the coordinator knows, which has to be among the hosts."""
        error: Exception = UnavailableError("hosts", "none is configured")
        for entry in self._entries:
            try:
                details = _read_pool(
                    await entry.call("GET", POOL_PATH, CALL_TIMEOUT_MS)
                )
            except (RequestRefusedError, UnavailableError) as fault:
                error = fault
                continue
            if details.host.is_coordinator:
                return details
            holder = details.host.holder or "not known"
            cause = f"no host that was asked coordinates; the holder is {holder}"
            error = UnavailableError("coordinator", cause)
        raise error

    async def fetch_pool_runs(
        self, job_id: str | None = None
    ) -> tuple[list[PoolRunView], list[str]]:
        """Return the last runs of all hosts, oldest first, and who didn't answer.

        Runs are ordered by hosts while they coordinate, so each host has its own. With
        ``job_id`` only the runs of that job are returned.
        """
        path = POOL_RUNS_PATH
        if job_id is not None:
            path += f"?job={quote(check_job_id('job', job_id), safe='')}"
        runs: list[PoolRunView] = []
        faults: list[str] = []
        error: Exception = UnavailableError("hosts", "none is configured")
        for entry in self._entries:
            try:
                value = await entry.call("GET", path, CALL_TIMEOUT_MS)
            except (RequestRefusedError, UnavailableError) as fault:
                error = fault
                faults.append(str(fault))
                continue
            runs += _read_views(FieldReader(value), "runs", PoolRunView)
        if len(faults) == len(self._entries):
            raise error
        runs.sort(key=lambda run: -run.age_ms)
        return runs, faults

    async def drain(self) -> None:
        """Start a graceful stop of the first host, and of no other one."""
        entry = self._entries[0]
        await entry.call("POST", "/v1/admin/drain", CALL_TIMEOUT_MS)

    async def publish(self, text: str, parent_offset: int) -> PublishOutcome:
        """Publish a configuration through the first host that can be reached.

        It is not sent again through another one once it was sent: a lost answer
        leaves it open whether the version was accepted, and the history tells.
        """
        fields = {"text": text, "parent_offset": parent_offset}
        error: Exception = UnavailableError("hosts", "none is configured")
        for entry in self._entries:
            try:
                return await _publish_through(entry, fields)
            except NotSentError as fault:
                error = fault
        raise error

    async def _get(self, path: str) -> Any:
        error: Exception = UnavailableError("hosts", "none is configured")
        for entry in self._entries:
            try:
                return await entry.call("GET", path, CALL_TIMEOUT_MS)
            except (RequestRefusedError, UnavailableError) as fault:
                error = fault
        raise error

    async def _get_views(self, path: str, name: str, view: type[View]) -> list[View]:
        return _read_views(FieldReader(await self._get(path)), name, view)


def _read_pool(value: Any) -> PoolDetails:
    reader = FieldReader(value)
    return PoolDetails(
        _read_view(PoolView, reader.read_any("host")),
        tuple(_read_views(reader, "targets", PoolTargetView)),
        tuple(_read_views(reader, "queue", PoolQueueView)),
        tuple(_read_views(reader, "evacuations", PoolEvacuationView)),
    )


def _read_views(reader: FieldReader, name: str, view: type[View]) -> list[View]:
    items = reader.read_any(name)
    if not isinstance(items, list):
        raise InvalidInputError(name, "a list", type(items).__name__)
    return [_read_view(view, item) for item in items]


async def _publish_through(
    entry: EntryClient, fields: Mapping[str, Any]
) -> PublishOutcome:
    path = "/v1/admin/configuration"
    try:
        value = await entry.call("POST", path, PUBLISH_TIMEOUT_MS, JSON_HEADERS, fields)
    except NotSentError:
        raise
    except UnavailableError as error:
        return PublishUnknown(error.cause)
    except RequestRefusedError as error:
        return _read_refused_publication(error)
    return PublishAccepted(FieldReader(value).read_integer("offset", 0, MAX_OFFSET))


def _read_view(view: type[View], value: Any) -> View:
    """Return a view made of the fields that this version knows.

    A field with a default may be missing, as in answers of earlier versions.
    """
    reader = FieldReader(value)
    found: dict[str, Any] = {}
    for field in attrs.fields(view):
        item = reader.read_any(field.name)
        if item is not None:
            found[field.name] = item
        elif field.default is attrs.NOTHING:
            raise InvalidInputError(field.name, "a value", None)
    return view(**found)


def _read_refused_publication(error: RequestRefusedError) -> PublishOutcome:
    if error.type_name == "configuration-conflict":
        offset = error.members.get("offset_in_force")
        return PublishLost(offset if isinstance(offset, int) else 0)
    if error.status >= FIRST_SERVER_ERROR and error.type_name not in PROVEN_REFUSALS:
        return PublishUnknown(error.detail)
    raise error
