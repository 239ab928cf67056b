"""Caller-chosen keys: who may admit a key while the list of members changes.

One key belongs to A under the first list and to C under every later one. B is a
member that only answers. Hosts read the log and hear each other at any speed, so a
cut is a step that is not taken, and a pause is time that passes between two steps.
Every duration runs from the sending of a question, counted in ticks up to one more
than the lease.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

NONE = -1
LEASE_TICKS = 1
LAPSED = LEASE_TICKS + 1

GROWN = (frozenset("AB"), frozenset("ABC"))
MOVED = (frozenset("AB"), frozenset("BC"))
REPLACED = (frozenset("AB"), frozenset("C"))
MOVED_ON = (frozenset("AB"), frozenset("BC"), frozenset("C"))
IN_TURN = (frozenset("AB"), frozenset("ABC"), frozenset("C"))


class Question(NamedTuple):
    """A question on its way: its age, and the list that its answer will name."""

    age: int = NONE
    answer: int = NONE


class State(NamedTuple):
    """``known`` is the newest list that each host has seen, by its number.

    ``lease`` is the age of A's last proof that its list is the newest. C holds the
    acknowledgements ``acked`` (the newest list that A and B named to it) and waits
    for ``waited`` ticks before the list ``effective`` + 1 takes effect there.
    """

    lists: tuple[frozenset[str], ...]
    published: int = 0
    known_a: int = 0
    known_b: int = 0
    known_c: int = 0
    lease: int = LAPSED
    to_log: Question = Question()
    to_b: Question = Question()
    acked_a: int = 0
    acked_b: int = 0
    effective: int = 0
    waited: int = NONE
    is_minted: bool = False
    is_older: bool = False
    admitted_by_a: bool = False
    admitted_by_c: bool = False


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    yield "tick", _tick(state)
    if state.published + 1 < len(state.lists):
        yield "publish a list", state._replace(published=state.published + 1)
    if not state.is_minted:
        is_older = state.effective == 0
        yield "key is minted", state._replace(is_minted=True, is_older=is_older)
    yield from _member_a(state, rules)
    if state.known_b < state.published:
        yield "B reads log", state._replace(known_b=state.published)
    yield from _member_c(state, rules)


def _tick(state: State) -> State:
    waited = state.waited
    return state._replace(
        lease=min(state.lease + 1, LAPSED),
        to_log=_older(state.to_log),
        to_b=_older(state.to_b),
        waited=waited if waited == NONE else min(waited + 1, LAPSED + 1),
    )


def _older(question: Question) -> Question:
    if question.age == NONE:
        return question
    return question._replace(age=min(question.age + 1, LAPSED))


def _member_a(state: State, rules: Rules) -> Iterable[Step]:
    """Return what A may do: ask the log, ask B, and admit the key."""
    for field, current in (("to_log", state.published), ("to_b", state.known_b)):
        question = getattr(state, field)
        if question.age == NONE:
            yield f"A asks {field}", state._replace(**{field: Question(age=0)})
        elif question.answer == NONE:
            answered = question._replace(answer=current)
            yield f"answer {field}", state._replace(**{field: answered})
        else:
            heard = state._replace(**{field: Question()})
            yield f"A hears {field}", _hear(heard, question, rules)
    if state.is_minted and not state.admitted_by_a and _may_admit_a(state, rules):
        yield "A admits key", state._replace(admitted_by_a=True)


def _hear(state: State, question: Question, rules: Rules) -> State:
    if question.answer > state.known_a:
        return state._replace(known_a=question.answer, lease=LAPSED)
    counts_from_sending = "count from sending" in rules
    age = question.age if counts_from_sending else 0
    return state._replace(lease=min(state.lease, age))


def _may_admit_a(state: State, rules: Rules) -> bool:
    if "A" not in state.lists[state.known_a] or state.known_a > 0:
        return False
    return state.lease <= LEASE_TICKS or "lease" not in rules


def _member_c(state: State, rules: Rules) -> Iterable[Step]:
    """Return what C may do: read, hear acknowledgements, take effect and admit."""
    if state.known_c < state.published:
        yield "C reads log", state._replace(known_c=state.published)
    if state.acked_a < state.known_a:
        yield "C hears A", state._replace(acked_a=state.known_a)
    if state.acked_b < state.known_b:
        yield "C hears B", state._replace(acked_b=state.known_b)
    if state.effective < state.known_c:
        yield from _take_effect(state, rules)
    is_owner = state.effective > 0 and "C" in state.lists[state.effective]
    may_admit = not state.is_older or "refuse older keys" not in rules
    if is_owner and may_admit and state.is_minted and not state.admitted_by_c:
        yield "C admits key", state._replace(admitted_by_c=True)


def _take_effect(state: State, rules: Rules) -> Iterable[Step]:
    in_order = "lists take effect in order" in rules
    following = state.effective + 1 if in_order else state.known_c
    before = state.lists[following - 1]
    continuing = before & state.lists[following]
    if not continuing and "one member continues" in rules:
        return
    if not _is_acknowledged(state, continuing, following, rules):
        return
    if state.waited == NONE:
        yield "C starts to wait", state._replace(waited=0)
    needed = LAPSED if "wait for the lease" in rules else 0
    if state.waited >= needed:
        taken = state._replace(effective=following, waited=NONE)
        yield f"list {following} takes effect", taken


def _is_acknowledged(
    state: State, continuing: frozenset[str], number: int, rules: Rules
) -> bool:
    if "every continuing member acknowledges" not in rules:
        return True
    acked = {"A": state.acked_a, "B": state.acked_b, "C": state.known_c}
    return all(acked[member] >= number for member in continuing)


def _admitted_once(fields: Mapping[str, Any]) -> bool:
    return not (fields["admitted_by_a"] and fields["admitted_by_c"])


SPECIFICATION = Specification(
    name="keyed ownership",
    initial={
        "a member joins": State(lists=GROWN),
        "the owner leaves": State(lists=MOVED),
        "all are replaced": State(lists=REPLACED),
        "two changes in turn": State(lists=IN_TURN),
        "both leave in turn": State(lists=MOVED_ON),
    },
    deep=frozenset({"two changes in turn", "both leave in turn"}),
    steps=steps,
    properties={"admitted once": _admitted_once},
    mutations=(
        Mutation("lease", "admitted once", "the owner leaves"),
        Mutation("count from sending", "admitted once", "the owner leaves"),
        Mutation("wait for the lease", "admitted once", "the owner leaves"),
        Mutation(
            "every continuing member acknowledges", "admitted once", "a member joins"
        ),
        Mutation("one member continues", "admitted once", "all are replaced"),
        Mutation("lists take effect in order", "admitted once", "two changes in turn"),
        Mutation("refuse older keys", "admitted once", "a member joins"),
    ),
)
