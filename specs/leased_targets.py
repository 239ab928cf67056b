"""Orders at targets that keep leases and fencing tokens, while coordinators change.

One job of one task. Its caller sent it to host H, which handed it to the coordinator
O. A successor N is either elected, with a higher token from the log, or the deputy of
the zone of target 1, while O still coordinates. N receives the job from H once H has
lost O, or from the caller, which sends it again after its connection broke.

Durations are counted in ticks. Starts may be carried out late, up to their ``until``;
a stop or hold that gets lost is a step not taken. A pause is time between two steps.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

NONE = -1
TARGETS = (0, 1)

NOTICE_TICKS = 1
LEASE_TICKS = 2
CLEAR_TICKS = NOTICE_TICKS + LEASE_TICKS

TOKEN_OF_O = 10
TOKENS_OF_N = {"deputy": 11, "elected": 20}
RUN_OF_N = 3


class Target(NamedTuple):
    """``run`` is what runs and ``done`` a run of O that ended, 0 for none.

    Runs up to ``refused`` have ended here or are to be stopped.
    """

    incarnation: int = 0
    token: int = 0
    lease: int = 0
    run: int = 0
    refused: int = 0
    done: int = 0


class Start(NamedTuple):
    """A start on its way; ``left`` is the time to its ``until``."""

    target: int
    incarnation: int
    token: int
    run: int
    left: int


class Place(NamedTuple):
    """Where a run of O may be, and the time to the last ``until`` given there."""

    target: int
    incarnation: int
    run: int
    left: int


class State(NamedTuple):
    """``caller_gone`` is the time since the caller's connection to H broke.

    ``host_gone`` and ``successor_gone`` are those since H lost O and N, and
    ``took_over`` is the age of N's office. ``known`` holds the incarnations that O
    orders, ``clean`` those that N found clean.
    """

    office: str
    runs_left: int = 1
    may_restart: bool = False
    may_be_unlisted: bool = False
    is_unlisted: bool = False
    caller_gone: int = NONE
    host_gone: int = NONE
    successor_gone: int = NONE
    took_over: int = NONE
    targets: tuple[Target, ...] = (Target(token=TOKEN_OF_O),) * len(TARGETS)
    wire: frozenset[Start] = frozenset()
    known: tuple[int, ...] = (0,) * len(TARGETS)
    places: frozenset[Place] = frozenset()
    is_resent_to_o: bool = False
    is_back_at_o: bool = False
    answer: str = ""
    clean: tuple[int, ...] = (NONE,) * len(TARGETS)
    received: str = ""
    has_n_started: bool = False
    started_after_answer: bool = False


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    yield "tick", _tick(state)
    yield from _host_steps(state, rules)
    yield from _coordinator_steps(state, rules)
    if state.took_over != NONE:
        yield from _successor_steps(state, rules)
    yield from _target_steps(state, rules)


def _tick(state: State) -> State:
    targets = []
    for target in state.targets:
        lease = max(target.lease - 1, 0)
        run = target.run if lease else 0
        refused = target.refused if lease else max(target.refused, target.run)
        targets.append(target._replace(lease=lease, run=run, refused=refused))
    return state._replace(
        caller_gone=_older(state.caller_gone),
        host_gone=_older(state.host_gone),
        successor_gone=_older(state.successor_gone),
        took_over=min(_older(state.took_over), LEASE_TICKS),
        targets=tuple(targets),
        wire=frozenset(s._replace(left=s.left - 1) for s in state.wire if s.left > 1),
        places=frozenset(
            p._replace(left=p.left - 1) for p in state.places if p.left > 1
        ),
    )


def _older(age: int) -> int:
    return age if age == NONE else min(age + 1, CLEAR_TICKS)


def _host_steps(state: State, rules: Rules) -> Iterable[Step]:
    has_caller = state.caller_gone == NONE and state.answer != "given"
    if has_caller:
        yield "caller breaks", state._replace(caller_gone=0)
    if state.host_gone == NONE:
        yield "H loses O", state._replace(host_gone=0)
    if state.took_over == NONE and state.office:
        yield "N takes office", state._replace(took_over=0)
    may_hand_on = has_caller and not state.received
    if may_hand_on and NONE not in (state.host_gone, state.took_over):
        yield "H hands the job to N", state._replace(received="from H")
    if state.received == "from H" and "hand to higher tokens only" not in rules:
        if state.successor_gone == NONE:
            yield "H loses N", state._replace(successor_gone=0)
        elif has_caller and not state.is_back_at_o:
            yield "H hands the job back to O", state._replace(is_back_at_o=True)
    is_short = "the lease ends before the resend" in rules
    resend_ticks = CLEAR_TICKS if is_short else CLEAR_TICKS - 1
    is_resent = state.is_resent_to_o or state.received == "from caller"
    if state.caller_gone >= resend_ticks and not is_resent:
        yield "caller sends again to O", state._replace(is_resent_to_o=True)
        if state.took_over != NONE and not state.received:
            yield "caller sends again to N", state._replace(received="from caller")
    is_heard = state.host_gone == NONE
    is_heard = is_heard or "no answer from a lost coordinator" not in rules
    if state.answer == "on its way" and has_caller and is_heard:
        yield "H answers", state._replace(answer="given")


def _is_wanted(state: State, rules: Rules) -> bool:
    """Return whether O still takes the job that H handed in for wanted."""
    if state.is_resent_to_o:
        return True
    is_lost = state.host_gone > NOTICE_TICKS and not state.is_back_at_o
    if is_lost and "notice a lost host" in rules:
        return False
    return state.caller_gone <= NOTICE_TICKS or "notice a lost caller" not in rules


def _coordinator_steps(state: State, rules: Rules) -> Iterable[Step]:
    is_wanted = _is_wanted(state, rules)
    may_start = not state.places or "end the earlier run first" not in rules
    if is_wanted and may_start and state.runs_left and not state.answer:
        for name in TARGETS:
            run = RUN_OF_N - state.runs_left
            place = Place(name, state.known[name], run, LEASE_TICKS)
            start = Start(name, state.known[name], TOKEN_OF_O, run, LEASE_TICKS)
            yield (
                f"O starts run {run} on {name}",
                state._replace(
                    runs_left=state.runs_left - 1,
                    places=state.places | {place},
                    wire=state.wire | {start},
                ),
            )
    for name in TARGETS:
        yield from _learn(state, name, rules)
    if "count from the check" not in rules:
        for start in sorted(state.wire):
            fresh = state.wire - {start} | {start._replace(left=LEASE_TICKS)}
            yield f"run {start.run} is written late", state._replace(wire=fresh)
    for place in sorted(state.places):
        yield from _follow_up(state, place, is_wanted, rules)


def _learn(state: State, name: int, rules: Rules) -> Iterable[Step]:
    """Return how O takes in a target that has started again."""
    incarnation = state.targets[name].incarnation
    reads_log = "read the log before a new target" in rules
    is_deposed = state.took_over != NONE and state.office == "elected"
    if state.known[name] != incarnation and not (reads_log and is_deposed):
        known = tuple(
            incarnation if other == name else state.known[other] for other in TARGETS
        )
        yield f"O takes in {name}", state._replace(known=known)


def _follow_up(
    state: State, place: Place, is_wanted: bool, rules: Rules
) -> Iterable[Step]:
    """Return how O holds and ends a run."""
    name = place.target
    target = state.targets[name]
    forgotten = state._replace(places=state.places - {place})
    if target.incarnation != place.incarnation:
        yield f"O learns that {name} restarted", forgotten
        return
    if target.token > TOKEN_OF_O:
        if "a fenced stop is no end" not in rules:
            yield f"O takes run {place.run} for ended", forgotten
        return
    if is_wanted or "no extension before the stop" not in rules:
        held = target._replace(lease=LEASE_TICKS)
        places = forgotten.places | {place._replace(left=LEASE_TICKS)}
        yield f"O holds {name}", _change(state, name, held)._replace(places=places)
    is_refused = target.refused >= place.run
    if not is_refused:
        stopping = target._replace(refused=place.run)
        yield f"O stops run {place.run}", _change(state, name, stopping)
    is_over = target.run != place.run or "a stop is no end" not in rules
    if is_over and (is_refused or "absence is no end" not in rules):
        yield f"O takes run {place.run} for ended", forgotten
    if target.done == place.run and not state.answer:
        noted = _change(forgotten, name, target._replace(done=0))
        label = f"O notes the end of run {place.run}"
        yield label, noted._replace(answer="on its way")


def _successor_steps(state: State, rules: Rules) -> Iterable[Step]:
    token = TOKENS_OF_N[state.office]
    is_partial = state.office == "deputy" or state.is_unlisted
    for name in TARGETS[1:] if is_partial else TARGETS:
        target = state.targets[name]
        if state.clean[name] != target.incarnation:
            yield from _look(state, name, rules)
        may_extend = state.clean[name] == target.incarnation
        may_extend = may_extend or "extend only clean targets" not in rules
        may_extend = may_extend and target.run and target.token <= token
        if may_extend and _is_wanted_by_n(state, rules):
            held = target._replace(lease=LEASE_TICKS, token=token)
            yield f"N holds {name}", _change(state, name, held)
        if state.clean[name] != NONE and _may_start(state, rules):
            start = Start(name, state.clean[name], token, RUN_OF_N, LEASE_TICKS)
            started = state._replace(wire=state.wire | {start}, has_n_started=True)
            yield f"N starts run {RUN_OF_N} on {name}", started


def _look(state: State, name: int, rules: Rules) -> Iterable[Step]:
    """Return how N fences the others off a target and finds it clean.

    The stops that it sends are left out: a run ends sooner or later without them.
    """
    target = state.targets[name]
    token = TOKENS_OF_N[state.office]
    clean = tuple(
        target.incarnation if other == name else state.clean[other] for other in TARGETS
    )
    if "look with the own token" not in rules:
        if not target.run:
            yield f"N sees {name} clean", state._replace(clean=clean)
        return
    if target.token < token:
        looked = _change(state, name, target._replace(token=token))
        if "wait until clean" not in rules:
            looked = looked._replace(clean=clean)
        yield f"N looks at {name}", looked
    elif not target.run:
        yield f"N sees {name} clean", state._replace(clean=clean)


def _is_wanted_by_n(state: State, rules: Rules) -> bool:
    if state.received != "from H":
        return True
    if state.successor_gone > NOTICE_TICKS and "notice a lost host" in rules:
        return False
    return state.caller_gone <= NOTICE_TICKS or "notice a lost caller" not in rules


def _may_start(state: State, rules: Rules) -> bool:
    """Return whether N may start the job on a clean target."""
    if not state.received or state.has_n_started or not _is_wanted_by_n(state, rules):
        return False
    if state.received == "from caller" or NONE not in state.clean:
        return True
    if state.is_unlisted and "count unlisted targets" not in rules:
        return True
    if "count from the loss" in rules:
        return state.host_gone >= CLEAR_TICKS
    return state.took_over >= LEASE_TICKS


def _target_steps(state: State, rules: Rules) -> Iterable[Step]:
    for name, target in enumerate(state.targets):
        if target.run:
            is_awaited = target.run < RUN_OF_N and not state.answer
            ended = target._replace(
                lease=0,
                run=0,
                refused=max(target.refused, target.run),
                done=target.run if is_awaited else 0,
            )
            yield f"run {target.run} ends", _change(state, name, ended)
    if state.may_restart:
        fresh = _change(state, 0, Target(incarnation=1))
        yield "0 restarts", fresh._replace(may_restart=False)
    if state.may_be_unlisted and state.took_over == NONE:
        unlisted = state._replace(is_unlisted=True, may_be_unlisted=False)
        yield "0 leaves the list", unlisted
    for start in sorted(state.wire):
        after = state._replace(wire=state.wire - {start})
        yield f"run {start.run} reaches {start.target}", _arrive(after, start, rules)


def _arrive(state: State, start: Start, rules: Rules) -> State:
    target = state.targets[start.target]
    is_other = target.incarnation != start.incarnation
    if is_other and "name the incarnation" in rules:
        return state
    if start.token < target.token or start.run <= target.refused:
        return state
    running = target._replace(
        token=start.token, lease=max(target.lease, start.left), run=start.run
    )
    started = _change(state, start.target, running)
    return started._replace(started_after_answer=state.answer == "given")


def _change(state: State, name: int, target: Target) -> State:
    targets = list(state.targets)
    targets[name] = target
    return state._replace(targets=tuple(targets))


def _one_run_at_a_time(fields: Mapping[str, Any]) -> bool:
    return sum(target.run > 0 for target in fields["targets"]) <= 1


def _no_start_after_the_answer(fields: Mapping[str, Any]) -> bool:
    return not fields["started_after_answer"]


def _nothing_for_a_caller_that_left(fields: Mapping[str, Any]) -> bool:
    if fields["caller_gone"] < CLEAR_TICKS:
        return True
    runs = {target.run for target in fields["targets"]} - {0}
    if RUN_OF_N in runs and fields["received"] == "from H":
        return False
    return fields["is_resent_to_o"] or runs <= {RUN_OF_N}


SPECIFICATION = Specification(
    name="leased targets",
    initial={
        "one coordinator": State(office="", runs_left=2),
        "a deputy": State(office="deputy", runs_left=2),
        "a successor": State(office="elected"),
        "a target restarts": State(office="elected", may_restart=True),
        "a target leaves the list": State(office="elected", may_be_unlisted=True),
    },
    steps=steps,
    properties={
        "one run at a time": _one_run_at_a_time,
        "no start after the answer": _no_start_after_the_answer,
        "nothing for a caller that left": _nothing_for_a_caller_that_left,
    },
    mutations=(
        Mutation(
            "the lease ends before the resend", "one run at a time", "a successor"
        ),
        Mutation("count from the loss", "one run at a time", "a successor"),
        Mutation("no extension before the stop", "one run at a time", "a successor"),
        Mutation("notice a lost host", "one run at a time", "a successor"),
        Mutation(
            "notice a lost caller", "nothing for a caller that left", "one coordinator"
        ),
        Mutation(
            "no answer from a lost coordinator",
            "no start after the answer",
            "a successor",
        ),
        Mutation("look with the own token", "one run at a time", "a successor"),
        Mutation("wait until clean", "one run at a time", "a successor"),
        Mutation("extend only clean targets", "one run at a time", "a successor"),
        Mutation("end the earlier run first", "one run at a time", "one coordinator"),
        Mutation("a stop is no end", "one run at a time", "one coordinator"),
        Mutation("absence is no end", "one run at a time", "one coordinator"),
        Mutation("a fenced stop is no end", "one run at a time", "a deputy"),
        Mutation(
            "count from the check", "nothing for a caller that left", "one coordinator"
        ),
        Mutation("hand to higher tokens only", "one run at a time", "a successor"),
        Mutation("name the incarnation", "one run at a time", "a target restarts"),
        Mutation(
            "read the log before a new target", "one run at a time", "a target restarts"
        ),
        Mutation(
            "count unlisted targets", "one run at a time", "a target leaves the list"
        ),
    ),
)
