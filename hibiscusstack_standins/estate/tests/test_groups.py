"""Tests of groups: distribution, hand-over, expiry and commits."""

import itertools
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstack_standins.estate.groups import Group, distribute
from hibiscusstack_standins.estate.log_store import LogStore, StoreLimits
from hibiscusstack_standins.estate.messages import Request

TTL_MS = 1_000


class Members:
    """Members of one group that keep the generation they received last."""

    def __init__(self, parts=4):
        self.group = Group()
        self.parts = parts
        self.generations = Counter()

    def join(self, member, now_ms=0):
        """Join and return the numbers of the listed partitions."""
        generation = self.generations[member]
        rows = self.group.join(now_ms, member, {"t": self.parts}, TTL_MS, generation)
        self.generations[member] = self.group.generation
        return [part for _, part, _ in rows]

    def commit(self, member, part, offset, now_ms=0, generation=None):
        """Commit with a generation, the last received if none is given."""
        if generation is None:
            generation = self.generations[member]
        return self.group.commit(now_ms, member, generation, ("t", part), offset)

    def owners(self):
        """Return the holder of each partition."""
        return {part: member for _, part, member, _ in self.group.owners()}


def test_the_only_member_holds_all():
    assert Members().join("a") == [0, 1, 2, 3]


def test_a_partition_moves_when_its_holder_has_learnt_of_it():
    members = Members()
    members.join("a")
    assert members.join("b") == []
    assert set(members.owners().values()) == {"a"}
    assert members.commit("a", 3, 5)
    assert len(members.join("a")) == 2
    assert len(members.join("a")) == 2
    gained = members.join("b")
    assert len(gained) == 2
    assert all(members.owners()[part] == "b" for part in gained)
    assert not members.commit("a", gained[0], 9)


def test_a_generation_from_before_the_partition_was_held_commits_nothing():
    members = Members()
    members.join("a")
    members.join("b")
    before = members.generations["b"]
    members.join("a")
    members.join("a")
    part = members.join("b")[0]
    assert not members.commit("b", part, 1, generation=before)
    assert members.commit("b", part, 1)


def test_a_leaving_member_frees_its_partitions_at_once():
    members = Members()
    members.join("a")
    members.join("b")
    members.group.leave("a")
    assert members.join("b") == [0, 1, 2, 3]


def test_a_silent_member_loses_its_partitions():
    members = Members()
    members.join("a", 0)
    members.join("b", 500)
    members.group.expire(999)
    assert set(members.owners().values()) == {"a"}
    members.group.expire(1_000)
    assert set(members.owners().values()) == {"b"}
    assert not members.commit("a", 0, 1)


def test_every_change_raises_the_generation():
    members = Members()
    seen = []
    for step in (
        lambda: members.join("a"),
        lambda: members.join("b"),
        lambda: [members.join("a"), members.join("a")],
        members.group.reassign_all,
        lambda: members.group.leave("b"),
    ):
        step()
        seen.append(members.group.generation)
    assert all(one < other for one, other in itertools.pairwise(seen))


def test_all_partitions_can_be_reassigned_at_once():
    members = Members()
    members.join("a")
    members.join("b")
    members.join("a")
    members.join("a")
    before = members.owners()
    members.group.reassign_all()
    after = members.owners()
    assert all(before[part] != after[part] for part in before)
    assert not members.commit("a", 0, 1) and not members.commit("b", 0, 1)


def test_commits_can_move_back():
    members = Members()
    members.join("a")
    members.commit("a", 0, 5, now_ms=100)
    members.commit("a", 0, 9, now_ms=200)
    members.group.rewind_commits(150)
    assert members.group.owners()[0] == ["t", 0, "a", 5]


names = st.sampled_from("abcde")


@given(
    st.sets(names), st.dictionaries(st.tuples(st.just("t"), st.integers(0, 8)), names)
)
def test_distributions_are_even_and_keep_what_they_can(members, now):
    parts = [("t", part) for part in range(9)]
    shares = distribute(parts, members, now)
    assert set(shares) == set(parts)
    counts = Counter(dict.fromkeys(members, 0))
    counts.update(shares.values())
    if members:
        assert max(counts.values()) - min(counts.values()) <= 1
        kept = Counter(m for p, m in shares.items() if now.get(p) == m)
        held = Counter(m for m in now.values() if m in members)
        assert all(kept[m] >= min(held[m], len(parts) // len(members)) for m in members)


@given(st.lists(st.tuples(st.sampled_from(["join", "leave"]), names), max_size=40))
def test_settled_members_share_all_partitions(steps):
    members = Members(parts=7)
    for verb, member in steps:
        if verb == "join":
            members.join(member)
        else:
            members.group.leave(member)
            members.generations[member] = 0
    members.join("z")
    alive = [*dict.fromkeys(m for _, m in steps), "z"]
    alive = [m for m in alive if m in members.group._members]
    for _ in range(3):
        listed = {member: members.join(member) for member in alive}
    assert sorted(itertools.chain(*listed.values())) == list(range(7))
    assert all(members.owners()[p] == m for m, ps in listed.items() for p in ps)


def test_the_store_speaks_of_groups():
    store = LogStore(StoreLimits(parts=2))
    body = {
        "group": "g",
        "member": "a",
        "topics": ["t"],
        "ttl_ms": 1_000,
        "generation": 0,
    }
    joined = store.handle(0, Request("/log-join", body)).body
    assert joined == {"generation": 1, "parts": [["t", 0, 0], ["t", 1, 0]]}
    commit = {
        "group": "g",
        "member": "a",
        "generation": 1,
        "topic": "t",
        "part": 1,
        "offset": 7,
    }
    assert store.handle(0, Request("/log-commit", commit)).status == 200
    owners = Request("/log-owners", query={"group": "g"}, method="GET")
    rows = [["t", 0, "a", 0], ["t", 1, "a", 7]]
    assert store.handle(0, owners).body == {"owners": rows}
    assert store.handle(1_000, Request("/log-commit", commit)).status == 409
    short = {**body, "ttl_ms": 999}
    assert store.handle(0, Request("/log-join", short)).status == 400
    leave = Request("/log-leave", {"group": "g", "member": "a"})
    assert store.handle(0, leave).status == 200


def test_a_join_counts_a_tenth():
    store = LogStore(StoreLimits(writes_per_s=1))
    body = {"group": "g", "member": "a", "topics": ["t"], "ttl_ms": 1_000}
    statuses = [store.handle(0, Request("/log-join", body)).status for _ in range(11)]
    assert statuses == [200] * 10 + [429]
