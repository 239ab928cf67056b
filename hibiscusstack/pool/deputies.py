"""Choice of deputies, which coordinate in place of the holder of the term.

There are two kinds. The deputy of a data centre coordinates there while the data centre
is partitioned from all others. The general deputy coordinates all data centres while
the log is unavailable. It supersedes the holder and all deputies with lower tokens.

A deputy takes over from an unreachable holder without using the log. Its fencing token
is the term's token with the log offset of its own registration in the lower bits. So
the token is higher than the holder's, lower than that of any later term, and unique to
one run of one host. The offset is taken modulo 2**24 - 1, so two runs share a token
only if their registrations are a multiple of that many offsets apart.
"""

__all__ = ["choose_deputy", "choose_general_deputy", "deputy_token", "term_token"]

from collections.abc import Collection, Mapping

from hibiscusstack.dispatch.messages import HostName

REGISTRATION_OFFSET_BITS = 24


def term_token(offset: int) -> int:
    """Return the fencing token of the term that began at ``offset``.

    >>> term_token(0) < deputy_token(0, 5) < deputy_token(0, 6) < term_token(1)
    True
    """
    return (offset + 1) << REGISTRATION_OFFSET_BITS


def deputy_token(term_offset: int, registration_offset: int) -> int:
    """Return the deputy token of the host registered at ``registration_offset``."""
    return (
        term_token(term_offset)
        + 1
        + registration_offset % ((1 << REGISTRATION_OFFSET_BITS) - 1)
    )


def choose_deputy(
    own: HostName,
    registered: Collection[tuple[str, str]],
    connected: Collection[HostName],
) -> HostName | None:
    """Return the deputy for the data centre of ``own`` while it is partitioned.

    Call this only if this host doesn't hear the holder. Connected peers are expected
    not to hear it either, which is not checked here. ``registered`` holds the data
    centre and name of each registered host, ``connected`` the connected peers that are
    not draining, without ``own``.

    There is a deputy only if other data centres exist, none of their hosts is
    connected, and ``own`` with the connected peers is more than half of the known
    hosts of this data centre. The deputy is the first by name of ``own`` and these
    peers.

    >>> a, b = HostName("x", "a", 1), HostName("x", "b", 1)
    >>> choose_deputy(b, [("x", "a"), ("x", "b"), ("y", "c")], [a]) == a
    True
    >>> choose_deputy(b, [("x", "a"), ("x", "b")], [a]) is None
    True
    """
    data_centre = own.data_centre
    has_other_data_centres = any(
        host_data_centre != data_centre for host_data_centre, _ in registered
    )
    if not has_other_data_centres or any(
        peer.data_centre != data_centre for peer in connected
    ):
        return None
    reachable_hosts = {own, *connected}
    known_names = {
        name for host_data_centre, name in registered if host_data_centre == data_centre
    }
    known_names |= {host.name for host in reachable_hosts}
    reachable_names = {host.name for host in reachable_hosts}
    return min(reachable_hosts) if 2 * len(reachable_names) > len(known_names) else None


def choose_general_deputy(
    reachable_hosts: Collection[HostName],
    registered: Collection[tuple[str, str]],
    tokens: Mapping[HostName, int],
    highest_general_token: int,
) -> HostName | None:
    """Return the deputy for all data centres while the log is unavailable, or None.

    ``reachable_hosts`` are this host and its connected peers, without draining ones.
    ``tokens`` are the fencing tokens that hosts would have as deputies, and
    ``highest_general_token`` is the highest token of any general deputy so far. The
    reachable hosts must be more than half of all reachable or registered hosts.

    Of the reachable hosts whose token exceeds ``highest_general_token``, the one with
    the lowest token is chosen; without such a host there is no general deputy. Targets
    refuse lower tokens than they have seen, and they accept those of each successor. A
    replaced general deputy is not chosen again for the same term in the same run, so
    the role never alternates between two hosts.

    >>> a, b = HostName("x", "a", 1), HostName("y", "b", 1)
    >>> registered = [("x", "a"), ("y", "b"), ("y", "c")]
    >>> choose_general_deputy([a, b], registered, {a: 9, b: 8}, 0) == b
    True
    >>> choose_general_deputy([a, b], registered, {a: 9, b: 8}, 8) == a
    True
    >>> choose_general_deputy([a], registered, {a: 9, b: 8}, 0) is None
    True
    """
    reachable_ids = {(host.data_centre, host.name) for host in reachable_hosts}
    if 2 * len(reachable_ids) <= len(reachable_ids.union(registered)):
        return None
    candidates = {
        host: tokens[host]
        for host in reachable_hosts
        if tokens.get(host, 0) > highest_general_token
    }
    return min(candidates, key=candidates.get, default=None)
