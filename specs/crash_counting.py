"""Tasks that crash their targets: bounded starts, and no neighbour that pays for them.

Two culprits crash each target that starts them, at any time after the start; a third
task is innocent. Tasks may share a target, and all that run there are lost with it. The
coordinator notes each loss and appends it to the log. It may be lost between any two
steps; its successor knows what the log has, and no run goes on.

Targets that crash for another reason aren't part of this model.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from itertools import combinations
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

CULPRITS = (0, 1)
INNOCENT = 2
TASKS = (*CULPRITS, INNOCENT)

MAX_LOSSES = 5
MAX_ALONE_LOSSES = 2
# The model counts no further starts.
MAX_STARTS = 7


class Losses(NamedTuple):
    """How often a task was lost with its target, and how often it was alone there."""

    count: int = 0
    alone_count: int = 0


NOTHING = (Losses(), Losses(), Losses())


class State(NamedTuple):
    """``runs`` are the groups of tasks that share a target.

    ``lost`` are the groups whose target has crashed, as long as nobody has noted it.
    ``known`` is what the coordinator knows of each task, and ``saved`` what the log
    has. ``starts`` counts those of the first culprit.
    """

    runs: frozenset[frozenset[int]] = frozenset()
    lost: frozenset[frozenset[int]] = frozenset()
    known: tuple[Losses, ...] = NOTHING
    saved: tuple[Losses, ...] = NOTHING
    given_up: frozenset[int] = frozenset()
    is_done: bool = False
    starts: int = 0
    lost_coordinators: int = 0
    max_lost_coordinators: int = 0


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    yield from _start(state, rules)
    for group in sorted(state.runs, key=sorted):
        if group & set(CULPRITS):
            crashed = state._replace(runs=state.runs - {group})
            yield (
                f"target of {_names(group)} crashes",
                crashed._replace(lost=state.lost | {group}),
            )
        else:
            done = state._replace(runs=state.runs - {group}, is_done=True)
            yield "the innocent task ends", done
    for group in sorted(state.lost, key=sorted):
        known = state.known
        if "losses are counted" in rules:
            known = tuple(
                _add(losses, len(group) == 1) if task in group else losses
                for task, losses in enumerate(known)
            )
        noted = state._replace(lost=state.lost - {group}, known=known)
        yield f"the loss of {_names(group)} is noted", noted
    if state.saved != state.known:
        yield "the losses are saved", state._replace(saved=state.known)
    for task in TASKS:
        if task not in state.given_up and _is_responsible(state, task, rules):
            given_up = state.given_up | {task}
            yield f"{task} is given up", state._replace(given_up=given_up)
    if state.lost_coordinators < state.max_lost_coordinators:
        yield (
            "the coordinator is lost",
            state._replace(
                runs=frozenset(),
                lost=frozenset(),
                known=state.saved,
                lost_coordinators=state.lost_coordinators + 1,
            ),
        )


def _start(state: State, rules: Rules) -> Iterable[Step]:
    """Return the starts of single tasks, and of two tasks on one target."""
    ready = [task for task in TASKS if _may_start(state, task, rules)]
    for size in (1, 2):
        for group in combinations(ready, size):
            if size == 1 or _may_share(state, group, rules):
                yield (
                    f"{_names(group)} start",
                    state._replace(
                        runs=state.runs | {frozenset(group)},
                        starts=state.starts + (0 in group),
                    ),
                )


def _may_start(state: State, task: int, rules: Rules) -> bool:
    is_busy = any(task in group for group in state.runs | state.lost)
    is_over = task in state.given_up or (task == INNOCENT and state.is_done)
    is_saved = state.saved[task] == state.known[task]
    if "losses are saved before a restart" not in rules:
        is_saved = True
    return (
        not is_busy
        and not is_over
        and is_saved
        and not _is_responsible(state, task, rules)
        and (task != 0 or state.starts < MAX_STARTS)
    )


def _may_share(state: State, group: tuple[int, ...], rules: Rules) -> bool:
    if "suspects are kept apart" not in rules:
        return True
    counts = sorted(state.known[task].count for task in group)
    return counts[0] == 0 and counts[1] <= 1


def _is_responsible(state: State, task: int, rules: Rules) -> bool:
    count, alone_count = state.known[task]
    if "only a task that was alone is responsible" not in rules:
        alone_count = count
    return count >= MAX_LOSSES or alone_count >= MAX_ALONE_LOSSES


def _add(losses: Losses, is_alone: bool) -> Losses:
    return Losses(
        min(losses.count + 1, MAX_LOSSES),
        min(losses.alone_count + is_alone, MAX_ALONE_LOSSES),
    )


def _names(group: Iterable[int]) -> str:
    return " and ".join(map(str, sorted(group)))


def _starts_are_bounded(fields: Mapping[str, Any]) -> bool:
    """Return whether each lost coordinator has cost one more start at most."""
    return fields["starts"] <= 4 + fields["lost_coordinators"]


def _innocent_is_kept(fields: Mapping[str, Any]) -> bool:
    return INNOCENT not in fields["given_up"]


SPECIFICATION = Specification(
    name="crashes of targets",
    initial={
        "one coordinator": State(),
        "a successor": State(max_lost_coordinators=1),
        "two successors": State(max_lost_coordinators=2),
    },
    deep=frozenset({"two successors"}),
    steps=steps,
    properties={
        "starts are bounded": _starts_are_bounded,
        "the innocent task is kept": _innocent_is_kept,
    },
    mutations=(
        Mutation("losses are counted", "starts are bounded", "one coordinator"),
        Mutation("suspects are kept apart", "starts are bounded", "one coordinator"),
        Mutation(
            "losses are saved before a restart", "starts are bounded", "two successors"
        ),
        Mutation(
            "only a task that was alone is responsible",
            "the innocent task is kept",
            "one coordinator",
        ),
    ),
)
