"""Issued ids: claims at their owner, forwards, resubmissions and refusals.

One id, issued by the first incarnation of one owner. Its caller submits it twice,
through hosts that forward it, and another caller tries the same id. A forward is
written once; it may arrive late, and its answer may be lost. The owner may be
restarted, and may forget the claim after the id has expired.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

CALLERS = ("mine", "mine", "other")

IDLE = "idle"
WRITTEN = "written"
WAITING = "waiting"
NOT_RUN = "not run"
NOT_FORWARDED = "not forwarded"
UNKNOWN = "unknown"
REFUSED = "refused as not issued"


class State(NamedTuple):
    """``attempts`` holds what each submission knows, ``arriving`` the late forwards.

    ``job`` is ``none``, ``running``, ``ended`` or ``refused``; ``starts`` counts.
    """

    attempts: tuple[str, ...] = (IDLE,) * len(CALLERS)
    arriving: frozenset[int] = frozenset()
    incarnation: int = 0
    is_expired: bool = False
    is_forgotten: bool = False
    claimed_by: str = ""
    job: str = "none"
    starts: int = 0
    started_for: str = ""


def _tell(state: State, attempt: int, word: str) -> State:
    attempts = list(state.attempts)
    attempts[attempt] = word
    return state._replace(attempts=tuple(attempts))


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    yield from _owner_steps(state, rules)
    for attempt, word in enumerate(state.attempts):
        if word == IDLE:
            yield f"forward {attempt}", _forward(state, attempt)
            told = NOT_FORWARDED if "unreached is not refused" in rules else NOT_RUN
            yield f"cannot reach owner {attempt}", _tell(state, attempt, told)
        if word in (WRITTEN, WAITING):
            told = UNKNOWN if "silence is unknown" in rules else NOT_RUN
            yield f"no answer {attempt}", _tell(state, attempt, told)
        if word == WAITING and state.job in ("ended", "refused"):
            told = _answer(state)
            yield f"answer {attempt}", _tell(state, attempt, told)
    for attempt in sorted(state.arriving):
        after = state._replace(arriving=state.arriving - {attempt})
        for label, successor in _arrive(after, attempt, rules):
            yield f"{label} {attempt}", successor


def _owner_steps(state: State, rules: Rules) -> Iterable[Step]:
    if state.incarnation == 0:
        lost = state._replace(incarnation=1, claimed_by="", job="none")
        yield "owner restarts", lost
    if not state.is_expired:
        yield "id expires", state._replace(is_expired=True)
    may_forget = state.is_expired or "forget after expiry only" not in rules
    if may_forget and not state.is_forgotten and state.incarnation == 0:
        forgotten = state._replace(is_forgotten=True, claimed_by="", job="none")
        yield "owner forgets", forgotten
    if state.job == "running":
        yield "job ends", state._replace(job="ended")


def _forward(state: State, attempt: int) -> State:
    written = _tell(state, attempt, WRITTEN)
    return written._replace(arriving=state.arriving | {attempt})


def _answer(state: State) -> str:
    if state.job == "refused":
        return NOT_RUN
    return f"answer of {state.claimed_by}"


def _arrive(state: State, attempt: int, rules: Rules) -> Iterable[Step]:
    """Return what the owner may do with a forward."""
    caller = CALLERS[attempt]
    if state.incarnation != 0 and "own incarnation only" in rules:
        yield "owner was restarted", _reply(state, attempt, UNKNOWN)
    elif state.claimed_by == caller and "claim once" in rules:
        yield "join", _reply(state, attempt, WAITING)
    elif state.claimed_by not in ("", caller):
        if "own caller only" in rules:
            yield "other caller", _reply(state, attempt, REFUSED)
        else:
            yield "join", _reply(state, attempt, WAITING)
    elif state.is_expired:
        is_proven = not state.is_forgotten or "forgotten is unknown" not in rules
        yield "expired", _reply(state, attempt, NOT_RUN if is_proven else UNKNOWN)
    else:
        yield "admit", _admit(state, attempt)
        yield "refuse", _refuse(state, attempt, rules)


def _reply(state: State, attempt: int, word: str) -> State:
    """Tell a submission, unless it has given up waiting."""
    if state.attempts[attempt] != WRITTEN:
        return state
    return _tell(state, attempt, word)


def _admit(state: State, attempt: int) -> State:
    caller = CALLERS[attempt]
    admitted = state._replace(
        claimed_by=caller, job="running", starts=state.starts + 1, started_for=caller
    )
    return _reply(admitted, attempt, WAITING)


def _refuse(state: State, attempt: int, rules: Rules) -> State:
    """Refuse for want of capacity; the refusal claims the id as a start would."""
    if "refusal claims" in rules:
        refused = state._replace(claimed_by=CALLERS[attempt], job="refused")
        return _reply(refused, attempt, WAITING)
    return _reply(state, attempt, NOT_RUN)


def _starts_once(fields: Mapping[str, Any]) -> bool:
    return fields["starts"] <= 1


def _not_run_is_true(fields: Mapping[str, Any]) -> bool:
    told = zip(CALLERS, fields["attempts"], strict=True)
    return not any(
        word in (NOT_RUN, REFUSED) and caller == fields["started_for"]
        for caller, word in told
    )


def _answers_are_own(fields: Mapping[str, Any]) -> bool:
    told = zip(CALLERS, fields["attempts"], strict=True)
    return not any(
        word.startswith("answer of") and word != f"answer of {caller}"
        for caller, word in told
    )


SPECIFICATION = Specification(
    name="issued ids",
    initial={"one id, three submissions": State()},
    steps=steps,
    properties={
        "starts once": _starts_once,
        "not run is true": _not_run_is_true,
        "answers are the caller's own": _answers_are_own,
    },
    mutations=(
        Mutation("claim once", "starts once"),
        Mutation("own incarnation only", "starts once"),
        Mutation("forget after expiry only", "starts once"),
        Mutation("forgotten is unknown", "not run is true"),
        Mutation("silence is unknown", "not run is true"),
        Mutation("unreached is not refused", "not run is true"),
        Mutation("refusal claims", "not run is true"),
        Mutation("own caller only", "answers are the caller's own"),
    ),
)
