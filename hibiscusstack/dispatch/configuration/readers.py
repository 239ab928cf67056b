"""Selection of the hosts that read the configuration log for their data centre."""

__all__ = ["configuration_readers", "is_configuration_reader", "reader_rank"]

from collections.abc import Iterable
from hashlib import blake2b

from hibiscusstack.dispatch.messages import HostName

READERS_PER_DATA_CENTRE = 2


def configuration_readers(members: Iterable[HostName]) -> list[HostName]:
    """Return the members of one data centre that read the log, highest rank first.

    Rendezvous hashing selects them, so the loss of a member replaces that reader only.
    There are two readers, so that changes are not delayed when one of them is cut off
    from the log alone.

    >>> hosts = [HostName("dc1", f"h{number}", 1) for number in range(5)]
    >>> [host.name for host in configuration_readers(hosts)]
    ['h3', 'h1']
    """
    ranked = sorted(members, key=reader_rank, reverse=True)
    return ranked[:READERS_PER_DATA_CENTRE]


def is_configuration_reader(host: HostName, members: Iterable[HostName]) -> bool:
    """Return whether ``host`` reads the log for its data centre.

    >>> hosts = [HostName("dc1", f"h{number}", 1) for number in range(5)]
    >>> is_configuration_reader(hosts[3], hosts)
    True
    """
    others = {m for m in members if m.data_centre == host.data_centre}
    return host in configuration_readers(others | {host})


def reader_rank(host: HostName) -> int:
    """Return the rank of ``host`` in the selection; the highest ranks read the log.

    >>> reader_rank(HostName("dc1", "h1", 1)) == reader_rank(HostName("dc1", "h1", 1))
    True
    """
    text = f"{host.data_centre}~{host.name}~{host.incarnation}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
