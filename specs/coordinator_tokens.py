"""Fencing tokens of coordinators and deputies: never held by two.

Two hosts campaign by appending a record on condition of the log's end. The offset of
the record that was appended is the token; an append may be carried out late, and its
answer may be lost. Each host also lists itself in the log. A host that has been told
the offset of its listing may be the deputy of any term that has begun, without another
call of the log: its token is the term's with that offset in the lower bits. Several
hosts may take themselves for the deputy at once. A host may restart at any time and is
then another holder.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

HOSTS = (0, 1)
COORDINATOR = 0
ANYWHERE = -1
UNLISTED = -1


class Holder(NamedTuple):
    """One life of a host."""

    host: int
    incarnation: int


class Record(NamedTuple):
    """A campaign of ``holder``, or its listing."""

    holder: Holder
    is_listing: bool = False


class Draft(NamedTuple):
    """An append on its way, carried out if the log still ends at ``offset``."""

    offset: int
    record: Record


class Token(NamedTuple):
    """Tokens compare as tuples."""

    offset: int
    rank: int


class State(NamedTuple):
    """``held`` records every use of a token; ``hopes`` are appends unanswered.

    ``listings`` holds for each host the offset of its listing, once it was told.
    """

    capacity: int
    restarts_left: int
    log: tuple[Record, ...] = ()
    drafts: frozenset[Draft] = frozenset()
    hopes: frozenset[Draft] = frozenset()
    incarnations: tuple[int, ...] = (0,) * len(HOSTS)
    listings: tuple[int, ...] = (UNLISTED,) * len(HOSTS)
    held: frozenset[tuple[Token, Holder]] = frozenset()


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    if len(state.log) < state.capacity:
        for draft in sorted(state.drafts):
            if draft.offset in {ANYWHERE, len(state.log)}:
                yield from _append(state, draft)
        for host in HOSTS:
            yield from _send_appends(state, host)
    for host in HOSTS:
        yield from _take_tokens(state, host, rules)
        if state.restarts_left:
            yield f"{host} restarts", _restart(state, host, rules)


def _restart(state: State, host: int, rules: Rules) -> State:
    incarnations = list(state.incarnations)
    incarnations[host] += 1
    listings = list(state.listings)
    if "a listing is of one run" in rules:
        listings[host] = UNLISTED
    return state._replace(
        incarnations=tuple(incarnations),
        listings=tuple(listings),
        hopes=frozenset(h for h in state.hopes if h.record.holder.host != host),
        restarts_left=state.restarts_left - 1,
    )


def _append(state: State, draft: Draft) -> Iterable[Step]:
    """Return how an append is carried out; a host may be told of its listing."""
    record, offset = draft.record, len(state.log)
    done = state._replace(log=(*state.log, record), drafts=state.drafts - {draft})
    yield f"append {draft}", done
    host = record.holder.host
    is_current = record.holder.incarnation == state.incarnations[host]
    if record.is_listing and is_current:
        listings = list(state.listings)
        listings[host] = offset
        yield f"append {draft}, answered", done._replace(listings=tuple(listings))


def _send_appends(state: State, host: int) -> Iterable[Step]:
    holder = Holder(host, state.incarnations[host])
    draft = Draft(len(state.log), Record(holder))
    if all(hope.record.holder != holder for hope in state.hopes):
        campaigning = state._replace(
            drafts=state.drafts | {draft}, hopes=state.hopes | {draft}
        )
        yield f"{holder} campaigns", campaigning
    listing = Draft(ANYWHERE, Record(holder, is_listing=True))
    if state.listings[host] == UNLISTED and listing not in state.drafts:
        yield f"{holder} lists", state._replace(drafts=state.drafts | {listing})


def _take_tokens(state: State, host: int, rules: Rules) -> Iterable[Step]:
    """Return which tokens a host may take for its own."""
    holder = Holder(host, state.incarnations[host])
    is_strict = "a restart ends the office" in rules
    for offset, record in enumerate(state.log):
        if record.is_listing:
            continue
        if _is_same(record.holder, holder, is_strict):
            yield from _hold(state, Token(offset, COORDINATOR), holder)
        if state.listings[host] != UNLISTED:
            token = _deputy_token(offset, state.listings[host], rules)
            yield from _hold(state, token, holder)
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


def _deputy_token(term_offset: int, listing: int, rules: Rules) -> Token:
    """Return the token of a deputy, between its term's and the next one's."""
    rank = COORDINATOR + 1
    if "the listing is in the token" in rules:
        rank += listing
    if "a deputy has bits of its own" not in rules:
        return Token(term_offset + rank, COORDINATOR)
    return Token(term_offset, rank)


def _is_same(named: Holder, holder: Holder, is_strict: bool) -> bool:
    return named == holder if is_strict else named.host == holder.host


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
        "hosts stay, three records": State(capacity=3, restarts_left=0),
        "a host restarts": State(capacity=2, restarts_left=1),
        "two restarts": State(capacity=2, restarts_left=2),
    },
    deep=frozenset({"two restarts"}),
    steps=steps,
    properties={"one holder": _one_holder},
    mutations=(
        Mutation("silence is no election", "one holder", "hosts stay"),
        Mutation("a restart ends the office", "one holder", "a host restarts"),
        Mutation("a listing is of one run", "one holder", "a host restarts"),
        Mutation(
            "the listing is in the token", "one holder", "hosts stay, three records"
        ),
        Mutation(
            "a deputy has bits of its own", "one holder", "hosts stay, three records"
        ),
    ),
)
