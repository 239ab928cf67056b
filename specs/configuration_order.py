"""The order of configuration versions: racing operators, expiry, checkpoints, peers.

Two hosts read one log and tell each other what they accepted. Each publishes one
change on top of the version that it has. Appends and pages may be late and doubled,
answers to appends may be lost, and the oldest records expire at any time.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

HOSTS = (0, 1)


class Change(NamedTuple):
    """A record that puts the change of ``publisher`` in place of ``parent``."""

    publisher: int
    parent: int


class Checkpoint(NamedTuple):
    """The statement that ``version`` was in force after the offset ``after``.

    ``kind`` keeps it apart from a change, since equal tuples are equal states.
    """

    version: int
    after: int
    kind: str = "checkpoint"


class Reader(NamedTuple):
    """A host's version in force, proven up to the offset ``proven``."""

    version: int = 0
    proven: int = 0


class State(NamedTuple):
    """``drafts`` and ``checkpoint`` may be appended at any time and repeatedly.

    So may ``page``, the latest word to a peer, be delivered. ``parents`` holds the
    parent of each host's publication, ``told`` its outcome.
    """

    capacity: int
    log: tuple[Change | Checkpoint, ...] = ()
    first: int = 1
    readers: tuple[Reader, ...] = (Reader(),) * len(HOSTS)
    parents: tuple[int | None, ...] = (None,) * len(HOSTS)
    told: tuple[str, ...] = ("",) * len(HOSTS)
    drafts: frozenset[Change] = frozenset()
    checkpoint: Checkpoint | None = None
    page: tuple[int, Reader] | None = None
    went_back: bool = False


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    if len(state.log) < state.capacity:
        for draft in sorted(state.drafts):
            log = (*state.log, draft)
            yield f"append {draft}", state._replace(log=log)
        if state.checkpoint:
            log = (*state.log, state.checkpoint)
            yield f"append {state.checkpoint}", state._replace(log=log)
    if state.first <= len(state.log):
        yield "oldest expires", state._replace(first=state.first + 1)
    for host in HOSTS:
        yield from _publish(state, host, rules)
        yield from _read(state, host, rules)
        yield from _tell_peer(state, host)
    if state.page:
        host, page = state.page
        yield f"{host} takes {page}", _take(state, host, page, rules)


def _publish(state: State, host: int, rules: Rules) -> Iterable[Step]:
    reader = state.readers[host]
    parent = state.parents[host]
    if parent is None:
        drafted = _set(state, "parents", host, reader.version)
        drafts = state.drafts | {Change(host, reader.version)}
        yield f"{host} publishes", drafted._replace(drafts=drafts)
    may_redraft = "repeat with the same parent" not in rules
    if may_redraft and parent is not None and not state.told[host]:
        drafts = state.drafts | {Change(host, reader.version)}
        yield f"{host} publishes again", state._replace(drafts=drafts)
    if "a lost answer is not a lost race" not in rules and parent is not None:
        yield f"{host} gets no answer", _set(state, "told", host, "lost")
    checkpoint = Checkpoint(reader.version, reader.proven)
    if reader.proven and checkpoint != state.checkpoint:
        yield f"{host} drafts checkpoint", state._replace(checkpoint=checkpoint)


def _read(state: State, host: int, rules: Rules) -> Iterable[Step]:
    reader = state.readers[host]
    is_gapped = state.first > reader.proven + 1
    if not is_gapped or "no step across a gap" not in rules:
        offset = max(reader.proven + 1, state.first)
        if offset <= len(state.log):
            yield f"{host} reads {offset}", _apply(state, host, offset, rules)
    if is_gapped:
        for offset in range(state.first, len(state.log) + 1):
            record = state.log[offset - 1]
            if isinstance(record, Checkpoint):
                states = "replay from the statement" in rules
                after = record.after if states else offset
                page = Reader(record.version, after)
                taken = _take(state, host, page, rules)
                yield f"{host} starts from checkpoint {offset}", taken


def _apply(state: State, host: int, offset: int, rules: Rules) -> State:
    record = state.log[offset - 1]
    reader = state.readers[host]
    is_change = isinstance(record, Change)
    counts = is_change and record.parent == reader.version
    if is_change and "parent in force" not in rules:
        counts = True
    version = offset if counts else reader.version
    return _move(state, host, Reader(version, offset), record if counts else None)


def _tell_peer(state: State, host: int) -> Iterable[Step]:
    page = (1 - host, state.readers[host])
    if state.readers[host].version and page != state.page:
        yield f"{host} tells peer", state._replace(page=page)


def _take(state: State, host: int, page: Reader, rules: Rules) -> State:
    """Take over the statement of a peer or of a checkpoint if it is news."""
    reader = state.readers[host]
    is_news = page.proven > reader.proven and page.version >= reader.version
    if not is_news and "later statements only" in rules:
        return state
    return _move(state, host, page, None)


def _move(state: State, host: int, reader: Reader, accepted: Change | None) -> State:
    before = state.readers[host]
    moved = _set(state, "readers", host, reader)
    if reader.version < before.version:
        moved = moved._replace(went_back=True)
    parent = state.parents[host]
    if accepted is None or parent is None or state.told[host]:
        return moved
    if accepted.publisher == host:
        return _set(moved, "told", host, "in force")
    if accepted.parent == parent:
        return _set(moved, "told", host, "lost")
    return moved


def _set(state: State, field: str, host: int, value: Any) -> State:
    values = list(getattr(state, field))
    values[host] = value
    return state._replace(**{field: tuple(values)})


def _accepted(log: tuple[Change | Checkpoint, ...]) -> list[int]:
    """Return the offsets that a reader of all records accepts, in order."""
    version = 0
    offsets = []
    for offset, record in enumerate(log, 1):
        if isinstance(record, Change) and record.parent == version:
            version = offset
            offsets.append(offset)
    return offsets


def _hosts_agree(fields: Mapping[str, Any]) -> bool:
    accepted = _accepted(fields["log"])
    for reader in fields["readers"]:
        expected = max((v for v in accepted if v <= reader.proven), default=0)
        if reader.version != expected:
            return False
    return True


def _never_back(fields: Mapping[str, Any]) -> bool:
    return not fields["went_back"]


def _publishers_are_told_the_truth(fields: Mapping[str, Any]) -> bool:
    log = fields["log"]
    winners = {log[offset - 1].publisher for offset in _accepted(log)}
    return all(
        not word or (word == "in force") == (host in winners)
        for host, word in enumerate(fields["told"])
    )


def _published_once(fields: Mapping[str, Any]) -> bool:
    log = fields["log"]
    winners = [log[offset - 1].publisher for offset in _accepted(log)]
    return len(winners) == len(set(winners))


SPECIFICATION = Specification(
    name="order of configuration",
    initial={
        "three records": State(capacity=3),
        "four records": State(capacity=4),
    },
    deep=frozenset({"four records"}),
    steps=steps,
    properties={
        "hosts agree": _hosts_agree,
        "never back": _never_back,
        "publishers are told the truth": _publishers_are_told_the_truth,
        "published once": _published_once,
    },
    mutations=(
        Mutation("parent in force", "hosts agree"),
        Mutation("no step across a gap", "hosts agree"),
        Mutation("replay from the statement", "hosts agree"),
        Mutation("later statements only", "never back"),
        Mutation("a lost answer is not a lost race", "publishers are told the truth"),
        Mutation("repeat with the same parent", "published once"),
    ),
)
