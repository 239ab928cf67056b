"""Registry of hosts, read from the log topic that also holds the terms."""

__all__ = ["HostRegistry", "host_id"]

from collections.abc import Iterable

from eliot import log_message

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.host import PeerAddress
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.host_records import HostRecord, decode_host, decode_term
from hibiscusstack.pool.interfaces import KeyedRecord


def host_id(host: HostName) -> tuple[str, str]:
    """Return the data centre and name, which all incarnations of a host share.

    >>> host_id(HostName("dc1", "a", 7))
    ('dc1', 'a')
    """
    return host.data_centre, host.name


class HostRegistry:
    """The newest registration of each host, as read from the log."""

    def __init__(self, own: HostName) -> None:
        self._own = own
        self._hosts: dict[str, tuple[HostRecord, int]] = {}

    def apply_records(
        self, records: Iterable[KeyedRecord], is_snapshot: bool
    ) -> list[Term]:
        """Apply the host registrations among the records and return the terms.

        A snapshot replaces all earlier registrations. Records that cannot be decoded
        are logged and skipped.
        """
        if is_snapshot:
            self._hosts.clear()
        terms = []
        for record in records:
            try:
                holder = decode_term(record)
                if holder is not None:
                    terms.append(Term(record.offset, holder))
                else:
                    self._apply_host_record(record)
            except DecodeError as error:
                log_message("pool:record_refused", level="warning", cause=str(error))
        return terms

    def host_ids(self) -> set[tuple[str, str]]:
        """Return the data centre and name of each registered host."""
        return {host_id(host.name) for host, _ in self._hosts.values()}

    def count(self) -> int:
        """Return the number of registered hosts."""
        return len(self._hosts)

    def registration_offsets(self) -> dict[HostName, int]:
        """Return the log offset of each registered host's record."""
        return {host.name: offset for host, offset in self._hosts.values()}

    def address_of(self, host: HostName) -> PeerAddress | None:
        """Return where exactly this run of a host is registered, None if it isn't."""
        for registered, _ in self._hosts.values():
            if registered.name == host:
                return PeerAddress(registered.address, registered.port)
        return None

    def peer_addresses(self) -> list[PeerAddress]:
        """Return the peer addresses of all registrations except this run's own.

        The registration of an earlier run of this host is included.
        """
        return [
            PeerAddress(host.address, host.port)
            for host, _ in self._hosts.values()
            if host.name != self._own
        ]

    def _apply_host_record(self, record: KeyedRecord) -> None:
        host = decode_host(record)
        if host is not None:
            self._hosts[record.key] = host, record.offset
        elif record.value is None:
            self._hosts.pop(record.key, None)
