"""Groups of members that share partitions."""

__all__ = ["Group", "PartitionId", "distribute"]

from collections.abc import Iterable, Mapping

import attrs

PartitionId = tuple[str, int]


@attrs.define
class _Member:
    topics: frozenset[str]
    ttl_ms: int
    joined_ms: int


@attrs.define
class _Share:
    """Who holds a partition, who is to have it, and what was committed."""

    holder: str = ""
    target: str = ""
    held_from: int = 0
    revoked_at: int = 0
    commits: list[tuple[int, int]] = attrs.field(factory=list)

    @property
    def committed(self) -> int:
        return self.commits[-1][1] if self.commits else 0


def distribute(
    parts: Iterable[PartitionId], members: Iterable[str], now: Mapping[PartitionId, str]
) -> dict[PartitionId, str]:
    """Return an even distribution that moves few partitions.

    >>> parts = [("t", number) for number in range(3)]
    >>> distribute(parts, ["a", "b"], {("t", 0): "b", ("t", 1): "b", ("t", 2): "b"})
    {('t', 0): 'b', ('t', 1): 'b', ('t', 2): 'a'}
    """
    parts, members = sorted(parts), sorted(members)
    if not members:
        return dict.fromkeys(parts, "")
    held = {m: [p for p in parts if now.get(p) == m] for m in members}
    least, extra = divmod(len(parts), len(members))
    by_held = sorted(members, key=lambda m: -len(held[m]))
    quota = {m: least + (rank < extra) for rank, m in enumerate(by_held)}
    kept = {p: m for m in members for p in held[m][: quota[m]]}
    room = {m: quota[m] - len(held[m][: quota[m]]) for m in members}
    vacancies = (m for m in members for _ in range(room[m]))
    return {p: kept[p] if p in kept else next(vacancies) for p in parts}


class Group:
    """The members of one group and their partitions.

    A partition that is taken from a member stays with it until the member has shown,
    by a join with the new generation, that it knows.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._members: dict[str, _Member] = {}
        self._shares: dict[PartitionId, _Share] = {}

    def join(
        self,
        now_ms: int,
        member: str,
        topics: Mapping[str, int],
        ttl_ms: int,
        generation: int,
    ) -> list[list]:
        """Keep a member in the group; return its rows of topic, partition, offset.

        ``topics`` gives the number of partitions of each.
        """
        for topic, parts in topics.items():
            for part in range(parts):
                self._shares.setdefault((topic, part), _Share())
        known = self._members.get(member)
        self._members[member] = _Member(frozenset(topics), ttl_ms, now_ms)
        if known is None or known.topics != frozenset(topics):
            self._rebalance()
        self._release(member, generation)
        return [
            [topic, part, share.committed]
            for (topic, part), share in sorted(self._shares.items())
            if share.holder == share.target == member
        ]

    def leave(self, member: str) -> None:
        """Let a member go; its partitions are free at once."""
        if self._members.pop(member, None) is not None:
            self._drop_holder(member)
            self._rebalance()

    def expire(self, now_ms: int) -> None:
        """Let the members go that have been silent for their time."""
        late = [m for m, e in self._members.items() if e.joined_ms + e.ttl_ms <= now_ms]
        for member in late:
            del self._members[member]
            self._drop_holder(member)
        if late:
            self._rebalance()

    def next_expiry_ms(self) -> int | None:
        """Return when the next member is due to be let go."""
        ends = (m.joined_ms + m.ttl_ms for m in self._members.values())
        return min(ends, default=None)

    def postpone(self, by_ms: int) -> None:
        """Move every member's expiry, as for a pause of the store."""
        for member in self._members.values():
            member.joined_ms += by_ms

    def commit(
        self, now_ms: int, member: str, generation: int, part: PartitionId, offset: int
    ) -> bool:
        """Return whether the member may commit, and do it."""
        share = self._shares.get(part)
        if share is None or share.holder != member or generation < share.held_from:
            return False
        share.commits.append((now_ms, offset))
        return True

    def rewind_commits(self, to_ms: int) -> None:
        """Forget the commits that are newer than ``to_ms``."""
        for share in self._shares.values():
            share.commits = [c for c in share.commits if c[0] <= to_ms]

    def reassign_all(self) -> None:
        """Give every partition to another member at once."""
        members = sorted(self._members)
        if len(members) < 2:
            return
        self.generation += 1
        following = dict(zip(members, members[1:] + members[:1], strict=True))
        for (topic, _), share in self._shares.items():
            heir = following.get(share.target, "")
            while heir and topic not in self._members[heir].topics:
                heir = following[heir]
            share.target = share.holder = heir
            share.held_from = self.generation

    def owners(self) -> list[list]:
        """Return rows of topic, partition, member and committed offset."""
        return [
            [topic, part, share.holder, share.committed]
            for (topic, part), share in sorted(self._shares.items())
            if share.holder
        ]

    def _rebalance(self) -> None:
        self.generation += 1
        for topic in {topic for topic, _ in self._shares}:
            members = [m for m, e in self._members.items() if topic in e.topics]
            now = {p: s.target for p, s in self._shares.items() if p[0] == topic}
            for part, member in distribute(now, members, now).items():
                self._retarget(self._shares[part], member)

    def _retarget(self, share: _Share, member: str) -> None:
        if member != share.target and share.holder == share.target:
            share.revoked_at = self.generation
        share.target = member
        if not share.holder:
            self._hand_over(share)

    def _release(self, member: str, generation: int) -> None:
        given_up = [
            share
            for share in self._shares.values()
            if share.holder == member != share.target and generation >= share.revoked_at
        ]
        if given_up:
            self.generation += 1
        for share in given_up:
            self._hand_over(share)

    def _hand_over(self, share: _Share) -> None:
        share.holder = share.target
        share.held_from = self.generation

    def _drop_holder(self, member: str) -> None:
        for share in self._shares.values():
            if share.holder == member:
                share.holder = ""
            if share.target == member:
                share.target = ""
