"""Fencing tokens of coordinators: won in the log, and never held by two.

Two hosts campaign by appending a record on condition of the log's end. The offset of
the record that was appended is the token; an append may be carried out late, and its
answer may be lost. The record names the deputy of the one zone, whose token comes
next to it. A host may restart at any time and is then another holder.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

HOSTS = (0, 1)
COORDINATOR = 0
DEPUTY = 1


class Holder(NamedTuple):
    """One life of a host."""

    host: int
    incarnation: int


class Record(NamedTuple):
    """A campaign of ``holder``, which names ``deputy``."""

    holder: Holder
    deputy: Holder


class Draft(NamedTuple):
    """An append on its way, carried out if the log still ends at ``offset``."""

    offset: int
    record: Record


class Token(NamedTuple):
    """Tokens compare as tuples."""

    offset: int
    rank: int


class State(NamedTuple):
    """``held`` records every use of a token; ``hopes`` are appends unanswered."""

    capacity: int
    restarts_left: int
    log: tuple[Record, ...] = ()
    drafts: frozenset[Draft] = frozenset()
    hopes: frozenset[Draft] = frozenset()
    incarnations: tuple[int, ...] = (0,) * len(HOSTS)
    held: frozenset[tuple[Token, Holder]] = frozenset()


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    if len(state.log) < state.capacity:
        for draft in sorted(state.drafts):
            if draft.offset == len(state.log):
                log = (*state.log, draft.record)
                drafts = state.drafts - {draft}
                yield f"append {draft}", state._replace(log=log, drafts=drafts)
        for host in HOSTS:
            yield from _campaign(state, host)
    for host in HOSTS:
        yield from _take_tokens(state, host, rules)
        if state.restarts_left:
            incarnations = list(state.incarnations)
            incarnations[host] += 1
            restarted = state._replace(
                incarnations=tuple(incarnations),
                hopes=frozenset(h for h in state.hopes if h.record.holder.host != host),
                restarts_left=state.restarts_left - 1,
            )
            yield f"{host} restarts", restarted


def _campaign(state: State, host: int) -> Iterable[Step]:
    holder = Holder(host, state.incarnations[host])
    deputy = Holder(1 - host, state.incarnations[1 - host])
    draft = Draft(len(state.log), Record(holder, deputy))
    if all(hope.record.holder != holder for hope in state.hopes):
        campaigning = state._replace(
            drafts=state.drafts | {draft}, hopes=state.hopes | {draft}
        )
        yield f"{holder} campaigns", campaigning


def _take_tokens(state: State, host: int, rules: Rules) -> Iterable[Step]:
    """Return which tokens a host may take for its own."""
    holder = Holder(host, state.incarnations[host])
    is_strict = "a restart ends the office" in rules
    for offset, record in enumerate(state.log):
        if _is_same(record.holder, holder, is_strict):
            yield from _hold(state, Token(offset, COORDINATOR), holder)
            yield from _name_another(state, offset, record, rules)
        if _is_same(record.deputy, holder, is_strict):
            yield from _hold(state, Token(offset, DEPUTY), holder)
    for hope in sorted(state.hopes):
        if hope.record.holder != holder:
            continue
        is_settled = hope.offset < len(state.log)
        if is_settled:
            yield (
                f"{holder} reads {hope.offset}",
                state._replace(hopes=state.hopes - {hope}),
            )
        if is_settled and "silence is no election" not in rules:
            yield from _hold(state, Token(hope.offset, COORDINATOR), holder)


def _is_same(named: Holder, holder: Holder, is_strict: bool) -> bool:
    return named == holder if is_strict else named.host == holder.host


def _name_another(
    state: State, offset: int, record: Record, rules: Rules
) -> Iterable[Step]:
    """Return how a coordinator names another deputy without a new record."""
    if "the record names the deputy" not in rules:
        other = Holder(record.deputy.host, state.incarnations[record.deputy.host])
        log = list(state.log)
        log[offset] = record._replace(deputy=other)
        if other != record.deputy:
            yield f"{record.holder} names {other}", state._replace(log=tuple(log))


def _hold(state: State, token: Token, holder: Holder) -> Iterable[Step]:
    held = state.held | {(token, holder)}
    if held != state.held:
        yield f"{holder} holds {token}", state._replace(held=held)


def _one_holder(fields: Mapping[str, Any]) -> bool:
    tokens = [token for token, _ in fields["held"]]
    return len(tokens) == len(set(tokens))


SPECIFICATION = Specification(
    name="tokens of coordinators",
    initial={
        "hosts stay": State(capacity=2, restarts_left=0),
        "a host restarts": State(capacity=2, restarts_left=1),
        "two restarts": State(capacity=2, restarts_left=2),
    },
    deep=frozenset({"two restarts"}),
    steps=steps,
    properties={"one holder": _one_holder},
    mutations=(
        Mutation("silence is no election", "one holder", "hosts stay"),
        Mutation("a restart ends the office", "one holder", "a host restarts"),
        Mutation("the record names the deputy", "one holder", "a host restarts"),
    ),
)
