"""Starting one task on one target: refusals, silence, a lost home, lost targets.

An owner has placed one task with a home, which may start it on the targets that the
owner named. The home may die, be cut off from the owner, or be paused between any
two steps. A written request may arrive late. Targets run at most one restart, which
ends their connections and empties their memory of starts and stops.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

NAMED = (0, 1)
UNNAMED = 2

NO_PLACE = (-1, -1)


class Target(NamedTuple):
    """A target's ``state`` of the task is ``none``, ``running`` or ``finished``."""

    incarnation: int = 0
    state: str = "none"
    is_stopped: bool = False


class State(NamedTuple):
    """``place`` is the target and incarnation that the home is connected to."""

    owner: str = "placed"
    words: frozenset[int] = frozenset()
    home: str = "up"
    has_lease: bool = True
    step: str = "queued"
    place: tuple[int, int] = NO_PLACE
    wire: frozenset[tuple[int, int]] = frozenset()
    targets: tuple[Target, ...] = (Target(), Target(), Target())
    restarts_left: int = 0
    starts: int = 0
    told: str = ""


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    if state.home != "dead":
        yield from _home_steps(state, rules)
    if state.home == "up":
        yield "home dies", state._replace(home="dead", has_lease=False)
        yield "home is cut off", state._replace(home="cut")
    if state.home == "cut" and state.has_lease:
        yield "lease lapses", state._replace(has_lease=False)
    yield from _owner_steps(state, rules)
    yield from _target_steps(state)


def _home_steps(state: State, rules: Rules) -> Iterable[Step]:
    may_start = state.has_lease or "lease" not in rules
    checks_late = "check the lease on a standing connection" in rules
    if state.step == "queued" and checks_late:
        yield from _connect(state, rules, "connected")
    if state.step == "connected" and may_start:
        yield "home checks lease", state._replace(step="checked")
    if state.step == "queued" and not checks_late and may_start:
        yield "home checks lease", state._replace(step="checked early")
    if state.step == "checked early":
        yield from _connect(state, rules, "checked")
    if state.step == "checked":
        wire = state.wire | {state.place}
        yield "home writes", state._replace(step="sent", wire=wire)
    if state.step == "sent":
        yield from _silence(state, rules)


def _connect(state: State, rules: Rules, step: str) -> Iterable[Step]:
    allowed = NAMED if "named targets only" in rules else (*NAMED, UNNAMED)
    for name in allowed:
        place = (name, state.targets[name].incarnation)
        yield f"home connects to {name}", state._replace(step=step, place=place)


def _silence(state: State, rules: Rules) -> Iterable[Step]:
    """Return what a home makes of a request without an answer."""
    name, incarnation = state.place
    target = state.targets[name]
    is_same = target.incarnation == incarnation
    has_result = is_same and target.state == "finished"
    if has_result and state.home == "up" and state.owner == "placed":
        done = state._replace(step="ended", owner="ended", told="succeeded")
        yield "home reports success", done
    if "silence is no proof" not in rules:
        yield "home starts elsewhere", state._replace(step="queued")
    if target.state == "none" and (is_same or "same incarnation" not in rules):
        stopped = _stop(state, name, rules)
        yield f"home asks {name}: never started", stopped._replace(step="queued")


def _owner_steps(state: State, rules: Rules) -> Iterable[Step]:
    has_waited = not state.has_lease or "lease" not in rules
    if state.owner == "placed" and state.home != "up" and has_waited:
        yield "owner asks", state._replace(owner="asking")
    if state.owner != "asking":
        return
    for name in NAMED:
        yield from _ask(state, name, rules)
    needed = NAMED if "ask every named target" in rules else NAMED[:1]
    if state.words.issuperset(needed):
        again = state._replace(owner="ended", starts=state.starts + 1)
        yield "owner places again, home two starts", again._replace(told="succeeded")
        yield "owner answers", state._replace(owner="ended", told="not run")
    yield "owner gives up", state._replace(owner="ended", told="unknown")


def _ask(state: State, name: int, rules: Rules) -> Iterable[Step]:
    target = state.targets[name]
    words = state.words | {name}
    is_same = target.incarnation == 0 or "same incarnation" not in rules
    if target.state == "none" and is_same:
        stopped = _stop(state, name, rules)
        yield f"owner asks {name}: never started", stopped._replace(words=words)
    if target.state == "finished":
        ended = state._replace(owner="ended", told="succeeded")
        yield f"owner asks {name}: finished", ended
    if "silence is no proof" not in rules:
        yield f"owner asks {name}: silence", state._replace(words=words)


def _stop(state: State, name: int, rules: Rules) -> State:
    if "stops are remembered" not in rules:
        return state
    return _change(state, name, state.targets[name]._replace(is_stopped=True))


def _target_steps(state: State) -> Iterable[Step]:
    for name, target in enumerate(state.targets):
        if target.state == "running":
            ended = target._replace(state="finished")
            yield f"target {name} finishes", _change(state, name, ended)
        if state.restarts_left and name in NAMED:
            fresh = _change(state, name, Target(target.incarnation + 1))
            left = state.restarts_left - 1
            yield f"target {name} restarts", fresh._replace(restarts_left=left)
    for place in sorted(state.wire):
        after = state._replace(wire=state.wire - {place})
        yield from _arrive(after, place)


def _arrive(state: State, place: tuple[int, int]) -> Iterable[Step]:
    name, incarnation = place
    target = state.targets[name]
    if target.incarnation != incarnation:
        yield f"request to {name} is lost", state
        return
    refused = state
    if state.step == "sent" and state.place == place:
        refused = state._replace(step="queued", place=NO_PLACE)
    if not target.is_stopped:
        started = _change(state, name, target._replace(state="running"))
        yield f"target {name} starts", started._replace(starts=state.starts + 1)
    yield f"target {name} refuses", refused


def _change(state: State, name: int, target: Target) -> State:
    targets = list(state.targets)
    targets[name] = target
    return state._replace(targets=tuple(targets))


def _starts_once(fields: Mapping[str, Any]) -> bool:
    return fields["starts"] <= 1


def _not_run_is_true(fields: Mapping[str, Any]) -> bool:
    return fields["told"] != "not run" or fields["starts"] == 0


SPECIFICATION = Specification(
    name="starts on targets",
    initial={
        "targets stay": State(),
        "one target restarts": State(restarts_left=1),
        "two targets restart": State(restarts_left=2),
        "three restarts": State(restarts_left=3),
    },
    deep=frozenset({"three restarts"}),
    steps=steps,
    properties={"starts once": _starts_once, "not run is true": _not_run_is_true},
    mutations=(
        Mutation("silence is no proof", "starts once", "targets stay"),
        Mutation("stops are remembered", "starts once", "targets stay"),
        Mutation("ask every named target", "starts once", "targets stay"),
        Mutation("named targets only", "starts once", "targets stay"),
        Mutation("same incarnation", "not run is true", "one target restarts"),
        Mutation("lease", "starts once", "one target restarts"),
        Mutation(
            "check the lease on a standing connection",
            "starts once",
            "one target restarts",
        ),
    ),
)
