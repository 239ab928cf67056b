"""Who orders targets where the coordinator is not heard and no term can be claimed.

Such a deputy needs no call of the log: its token is the term's with the offset of its
own listing in the lower bits. So it is above the coordinator's, below that of any
later term, and no other run of a host has it.
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
    """Return the token of the host listed at ``registration_offset`` within a term."""
    return (
        term_token(term_offset)
        + 1
        + registration_offset % ((1 << REGISTRATION_OFFSET_BITS) - 1)
    )


def choose_deputy(
    own: HostName,
    listed: Collection[tuple[str, str]],
    connected: Collection[HostName],
) -> HostName | None:
    """Return the deputy of the data centre of ``own``, if it is cut off as a whole.

    ``listed`` are the data centre and the name of each known host, ``connected`` the
    peers that are heard and don't hear the coordinator. More than half of the data
    centre has to be there, and nobody of another one, though there are others.

    >>> a, b = HostName("x", "a", 1), HostName("x", "b", 1)
    >>> choose_deputy(b, [("x", "a"), ("x", "b"), ("y", "c")], [a]) == a
    True
    >>> choose_deputy(b, [("x", "a"), ("x", "b")], [a]) is None
    True
    """
    data_centre = own.data_centre
    elsewhere = any(listed_at != data_centre for listed_at, _ in listed)
    if not elsewhere or any(peer.data_centre != data_centre for peer in connected):
        return None
    members = {own, *connected}
    known = {name for listed_at, name in listed if listed_at == data_centre}
    known |= {member.name for member in members}
    here = {member.name for member in members}
    return min(members) if 2 * len(here) > len(known) else None


def choose_general_deputy(
    members: Collection[HostName],
    listed: Collection[tuple[str, str]],
    tokens: Mapping[HostName, int],
    highest_token: int,
) -> HostName | None:
    """Return the deputy for all data centres while the log is away, if there is one.

    ``members`` are this host and the peers that are heard, ``tokens`` those that hosts
    would have as deputies. More than half of the listed hosts have to be there. The one
    with the lowest token comes first, and none after one that was higher: so each next
    deputy is obeyed, and none takes turns with another.

    >>> a, b = HostName("x", "a", 1), HostName("y", "b", 1)
    >>> listed = [("x", "a"), ("y", "b"), ("y", "c")]
    >>> choose_general_deputy([a, b], listed, {a: 9, b: 8}, 0) == b
    True
    >>> choose_general_deputy([a, b], listed, {a: 9, b: 8}, 8) == a
    True
    >>> choose_general_deputy([a], listed, {a: 9, b: 8}, 0) is None
    True
    """
    here = {(member.data_centre, member.name) for member in members}
    if 2 * len(here) <= len(here.union(listed)):
        return None
    candidates = {
        member: tokens[member]
        for member in members
        if tokens.get(member, 0) > highest_token
    }
    return min(candidates, key=candidates.get, default=None)
