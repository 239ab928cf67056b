"""Which hosts the log lists, and the terms that stand beside them there."""

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
    """Return what all runs of a host have in common: data centre and name.

    >>> host_id(HostName("dc1", "a", 7))
    ('dc1', 'a')
    """
    return host.data_centre, host.name


class HostRegistry:
    """The newest record of each host, as read from the log."""

    def __init__(self, own: HostName) -> None:
        self._own = own
        self._hosts: dict[str, tuple[HostRecord, int]] = {}

    def apply_records(
        self, records: Iterable[KeyedRecord], is_snapshot: bool
    ) -> list[Term]:
        """Return the terms among the records, and take over the hosts among them.

        With ``is_snapshot`` they replace everything before. A record that cannot be
        decoded is left out.
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
        """Return the data centre and the name of each listed host."""
        return {host_id(host.name) for host, _ in self._hosts.values()}

    def registration_offsets(self) -> dict[HostName, int]:
        """Return for each listed run the offset of its record."""
        return {host.name: offset for host, offset in self._hosts.values()}

    def peer_addresses(self) -> list[PeerAddress]:
        """Return where the listed hosts other than this run accept their peers."""
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
