"""Records of targets: no run at a target that a new coordinator doesn't know of.

Terms, registrations of hosts and records of one target share one log. Records and
claims of terms are appended on condition of the log's end; an append may be carried
out late, and its answer may be lost. A host learns of its own appends by reading. It
may hear of a term before it has read it, and may be the deputy of any term it knows,
at any time. The entry of the target in the list of targets comes and goes at any time.

Durations aren't counted. A run ends at any time, and surely once all registered hosts
have agreed: by then the leases of all coordinators but the holder have expired. What a
holder hears of another host, it hears in order, at any time.
"""

__all__ = ["SPECIFICATION"]

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from specs.specification import Mutation, Rules, Specification, Step

HOSTS = (0, 1)
NONE = -1

HOLDER = "holder"
DEPUTY = "deputy"

ADD = "add"
RETIRE = "retire"
DELETE = "delete"
RECORDS = {ADD, RETIRE, DELETE}
TERM = "term"
REGISTER = "register"


class Entry(NamedTuple):
    """An entry of the log, appended by a life of ``host``; also one on its way."""

    kind: str
    host: int
    life: int = 0


class Token(NamedTuple):
    """Tokens compare as tuples; the rank of a holder is 0."""

    term: int = NONE
    rank: int = 0


class Host(NamedTuple):
    """One life of a host, which has read the log up to the offset ``read``.

    ``term`` is the newest term that it knows, ``registration`` the offset of its own.
    ``changing_at`` is where its last record of the target was to be appended, until it
    has read beyond. ``has_target`` tells whether, as a holder, it has taken the target
    over. A holder has heard from
    this host that it has read up to ``told``, if that isn't where it has read to now;
    ``has_interrupted`` tells whether the host was a deputy since.
    """

    life: int = 0
    read: int = 0
    term: int = NONE
    registration: int = NONE
    role: str = ""
    token: Token = Token()
    changing_at: int = NONE
    has_target: bool = False
    told: int = NONE
    has_interrupted: bool = False


class State(NamedTuple):
    """``token`` is the highest that the target has seen; ``run`` is its run's.

    ``drafts`` are appends on condition of the present end, ``late`` those without a
    condition. ``agreed_with`` is the host that has found all hosts to follow its term.
    ``claimants``, ``deputies`` and ``restarting`` are the hosts that may become so.
    ``is_missed`` tells that a holder took all recorded targets for held while an
    earlier run was active at a target that it had not taken over.
    """

    capacity: int
    log: tuple[Entry, ...]
    hosts: tuple[Host, ...]
    claimants: frozenset[int] = frozenset()
    deputies: frozenset[int] = frozenset()
    restarting: frozenset[int] = frozenset()
    drafts: frozenset[Entry] = frozenset()
    late: frozenset[Entry] = frozenset()
    token: Token = Token()
    run: Token = Token()
    agreed_with: int = NONE
    is_missed: bool = False


def steps(state: State, rules: Rules) -> Iterable[Step]:
    """Return what may happen next."""
    if len(state.log) < state.capacity:
        for entry in sorted(state.drafts | state.late):
            yield from _append(state, entry)
    if state.run != Token():
        yield "the run ends", state._replace(run=Token())
    for index, host in enumerate(state.hosts):
        if len(state.log) < state.capacity:
            yield from _send_appends(state, index, host, rules)
        yield from _follow(state, index, host)
        if host.role:
            yield from _coordinate(state, index, host, rules)
        if host.role == HOLDER:
            yield from _agree(state, index, host)
        yield from _change_role(state, index, host, rules)
        if index in state.restarting:
            life = Host(
                life=host.life + 1,
                told=_told(host),
                has_interrupted=host.has_interrupted,
            )
            restarted = _with_host(state, index, life)
            restarting = state.restarting - {index}
            yield f"{index} restarts", restarted._replace(restarting=restarting)


def _append(state: State, entry: Entry) -> Iterable[Step]:
    """Return how an append is carried out; its host may be answered."""
    offset = len(state.log)
    log, late = (*state.log, entry), state.late - {entry}
    done = state._replace(log=log, drafts=frozenset(), late=late)
    label = f"append {entry.kind} of {entry.host}"
    yield label, done
    host = state.hosts[entry.host]
    if entry.life != host.life or entry.kind == REGISTER:
        return
    if entry.kind == TERM:
        after = _begin_term(host, offset, is_own=True)
        if host.read == offset:
            after = after._replace(read=offset + 1, changing_at=NONE)
    else:
        after = host._replace(read=offset + 1, changing_at=NONE)
    yield f"{label}, answered", _with_host(done, entry.host, after)


def _with_host(state: State, index: int, host: Host) -> State:
    hosts = (*state.hosts[:index], host, *state.hosts[index + 1 :])
    agreed_with = state.agreed_with
    if agreed_with == index and host.role != HOLDER:
        agreed_with = NONE
    return state._replace(hosts=hosts, agreed_with=agreed_with)


def _send_appends(state: State, index: int, host: Host, rules: Rules) -> Iterable[Step]:
    is_registering = Entry(REGISTER, index, host.life) in state.late
    if host.registration == NONE and not is_registering:
        yield from _send(state, index, REGISTER, is_conditional=False)
    is_conditional = "claim at the read end only" in rules
    if index in state.claimants:
        yield from _send(state, index, TERM, is_conditional)
    if host.role != HOLDER:
        return
    is_conditional = "record at the read end only" in rules
    kind, offset = _newest_record(state, host)
    changing = _with_host(state, index, host._replace(changing_at=host.read))
    if kind != ADD and host.has_target:
        yield from _send(changing, index, ADD, is_conditional)
    if kind == ADD and not host.has_target:
        yield from _send(changing, index, RETIRE, is_conditional)
    may_delete = kind == RETIRE or "retire before the deletion" not in rules
    if kind in {ADD, RETIRE} and may_delete and not host.has_target:
        has_agreed = state.agreed_with == index
        has_agreed |= "delete after agreement only" not in rules
        if has_agreed and _have_all_read(state, index, host, offset, rules):
            yield from _send(changing, index, DELETE, is_conditional)


def _send(state: State, index: int, kind: str, is_conditional: bool) -> Iterable[Step]:
    entry = Entry(kind, index, state.hosts[index].life)
    label = f"{index} sends {kind}"
    if not is_conditional:
        if entry not in state.late:
            yield label, state._replace(late=state.late | {entry})
    elif state.hosts[index].read == len(state.log) and entry not in state.drafts:
        # An append at an earlier offset is refused.
        yield label, state._replace(drafts=state.drafts | {entry})


def _newest_record(state: State, host: Host) -> tuple[str, int]:
    """Return kind and offset of the newest record of the target that ``host`` read."""
    for offset in reversed(range(host.read)):
        if state.log[offset].kind in RECORDS:
            return state.log[offset].kind, offset
    return "", NONE


def _is_recorded(state: State, host: Host, rules: Rules) -> bool:
    if host.changing_at != NONE and "count a record from its sending" in rules:
        return True
    return _newest_record(state, host)[0] in {ADD, RETIRE}


def _is_usable(state: State, host: Host, rules: Rules) -> bool:
    kind, offset = _newest_record(state, host)
    if kind == RETIRE and "start at no retired target" not in rules:
        return True
    return kind == ADD and host.changing_at == NONE


def _have_all_read(
    state: State, index: int, host: Host, offset: int, rules: Rules
) -> bool:
    """Return whether the holder has heard that all hosts have read beyond ``offset``.

    It learns of an interruption before it learns of anything later.
    """
    if "delete after all have read only" not in rules:
        return True
    for other in _registered(state, host) - {index}:
        if _told(state.hosts[other]) <= offset:
            return False
    return True


def _told(host: Host) -> int:
    return host.told if host.has_interrupted else max(host.read, host.told)


def _registered(state: State, host: Host) -> set[int]:
    """Return the registered hosts that ``host`` has read of."""
    return {e.host for e in state.log[: host.read] if e.kind == REGISTER}


def _follow(state: State, index: int, host: Host) -> Iterable[Step]:
    """Return how a host reads the log or hears of the newest term."""
    if host.read < len(state.log):
        entry = state.log[host.read]
        is_own = (entry.host, entry.life) == (index, host.life)
        after = host._replace(read=host.read + 1)
        if host.read >= host.changing_at:
            after = after._replace(changing_at=NONE)
        if entry.kind == TERM and host.read > host.term:
            after = _begin_term(after, host.read, is_own)
        yield f"{index} reads {entry.kind}", _with_host(state, index, after)
    newest = max(o for o, entry in enumerate(state.log) if entry.kind == TERM)
    if newest > host.term and state.log[newest] != Entry(TERM, index, host.life):
        after = _begin_term(host, newest, is_own=False)
        yield f"{index} hears of term {newest}", _with_host(state, index, after)
    if host.registration == NONE:
        for offset, entry in enumerate(state.log):
            if entry == Entry(REGISTER, index, host.life):
                after = host._replace(registration=offset)
                yield f"{index} is registered", _with_host(state, index, after)


def _begin_term(host: Host, term: int, is_own: bool) -> Host:
    if is_own and host.role == HOLDER:
        return host._replace(term=term, token=Token(term))
    host = host._replace(term=term, role="", token=Token(), has_target=False)
    return host._replace(role=HOLDER, token=Token(term)) if is_own else host


def _coordinate(state: State, index: int, host: Host, rules: Rules) -> Iterable[Step]:
    """Return what a coordinator does with the target."""
    if host.role == HOLDER and not host.has_target:
        is_listed_only = "count unlisted targets" not in rules
        has_none = is_listed_only or not _is_recorded(state, host, rules)
        if has_none and NONE < state.run.term <= host.token.term:
            yield f"{index} misses the run", state._replace(is_missed=True)
    is_usable = "start at a recorded target only" not in rules or _is_usable(
        state, host, rules
    )
    may_use = host.has_target or host.role == DEPUTY
    if host.token >= state.token:
        if not may_use:
            taken = _with_host(state, index, host._replace(has_target=True))
            yield f"{index} takes over", taken._replace(token=host.token)
        elif is_usable and state.run != host.token:
            started = state._replace(token=host.token, run=host.token)
            yield f"{index} starts a run", started
    if host.has_target and (state.run == Token() or state.run > host.token):
        dropped = _with_host(state, index, host._replace(has_target=False))
        yield f"{index} drops the target", dropped


def _agree(state: State, index: int, host: Host) -> Iterable[Step]:
    others = [state.hosts[other] for other in _registered(state, host) - {index}]
    if state.agreed_with != index:
        if all(not other.role and other.term == host.term for other in others):
            is_known = host.has_target and state.run <= host.token
            run = state.run if is_known else Token()
            agreed = _hear_others(state, index, host)
            agreed = agreed._replace(agreed_with=index, run=run)
            yield f"{index} finds agreement", agreed
    elif any(other.has_interrupted for other in others):
        heard = _hear_others(state, index, host)
        yield f"{index} finds no agreement", heard._replace(agreed_with=NONE)


def _hear_others(state: State, index: int, host: Host) -> State:
    others = _registered(state, host) - {index}
    hosts = tuple(
        peer._replace(has_interrupted=False) if other in others else peer
        for other, peer in enumerate(state.hosts)
    )
    return state._replace(hosts=hosts)


def _change_role(state: State, index: int, host: Host, rules: Rules) -> Iterable[Step]:
    if host.role == DEPUTY or (host.role and index in state.claimants | state.deputies):
        ended = host._replace(role="", token=Token(), has_target=False)
        yield f"{index} ends as {host.role}", _with_host(state, index, ended)
        return
    is_unable = NONE in (host.term, host.registration)
    if host.role or is_unable or index not in state.deputies:
        return
    has_read = host.read > host.registration
    if not has_read and "a deputy reads to its registration" in rules:
        return
    after = host._replace(role=DEPUTY, token=Token(host.term, 1 + index))
    if "a deputy interrupts agreement" in rules and not host.has_interrupted:
        after = after._replace(has_interrupted=True, told=_told(host))
    yield f"{index} becomes deputy", _with_host(state, index, after)


def _no_run_missed(fields: Mapping[str, Any]) -> bool:
    return not fields["is_missed"]


REGISTERED = (Entry(REGISTER, 0), Entry(REGISTER, 1), Entry(TERM, 0))
HOLDING = Host(read=3, term=2, registration=0, role=HOLDER, token=Token(2))
FOLLOWING = Host(read=3, term=2, registration=1)
RECORDED = (*REGISTERED, Entry(ADD, 0))
JOINED = (Entry(REGISTER, 0), Entry(TERM, 0), Entry(ADD, 0))
HOLDING_ALONE = Host(read=3, term=1, registration=0, role=HOLDER, token=Token(1))

FIRST, SECOND, BOTH = frozenset({0}), frozenset({1}), frozenset({0, 1})

SPECIFICATION = Specification(
    name="records of targets",
    initial={
        "a deputy": State(6, REGISTERED, (HOLDING, FOLLOWING), deputies=SECOND),
        "a successor": State(6, REGISTERED, (HOLDING, FOLLOWING), claimants=SECOND),
        "a host joins": State(6, JOINED, (HOLDING_ALONE, Host()), deputies=SECOND),
        "a deputy restarts": State(
            7,
            RECORDED,
            (HOLDING._replace(read=4), FOLLOWING),
            deputies=SECOND,
            restarting=SECOND,
        ),
        "a successor and a deputy": State(
            6, REGISTERED, (HOLDING, FOLLOWING), claimants=SECOND, deputies=FIRST
        ),
        "two claimants": State(6, REGISTERED, (HOLDING, FOLLOWING), claimants=BOTH),
        "two claimants and a deputy": State(
            6, REGISTERED, (HOLDING, FOLLOWING), claimants=BOTH, deputies=SECOND
        ),
    },
    deep=frozenset({"a deputy restarts", "two claimants and a deputy"}),
    steps=steps,
    properties={"no run missed": _no_run_missed},
    mutations=(
        Mutation("record at the read end only", "no run missed", "a successor"),
        Mutation("claim at the read end only", "no run missed", "a successor"),
        Mutation("count a record from its sending", "no run missed"),
        Mutation("start at a recorded target only", "no run missed"),
        Mutation("start at no retired target", "no run missed"),
        Mutation("retire before the deletion", "no run missed"),
        Mutation("delete after all have read only", "no run missed"),
        Mutation("delete after agreement only", "no run missed"),
        Mutation("a deputy interrupts agreement", "no run missed"),
        Mutation("a deputy reads to its registration", "no run missed", "a host joins"),
        Mutation("count unlisted targets", "no run missed"),
    ),
)
