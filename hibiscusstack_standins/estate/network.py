"""Calls between named parties in virtual time, and what goes wrong with them."""

__all__ = ["Lateness", "Network", "OnAnswer", "Timer"]

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.estate.messages import (
    Outcome,
    Request,
    Service,
    Unanswered,
)

OnAnswer = Callable[[Outcome], None]
Action = Callable[[], None]
Pair = tuple[str, str]


@attrs.frozen
class Lateness:
    """A party leaves a share of the calls unanswered and carries them out late.

    With ``paths`` this concerns only these calls.
    """

    share: float = 1.0
    paths: frozenset[str] | None = None
    least_ms: int = 1_000
    most_ms: int = 6_000


@attrs.define(eq=False)
class Timer:
    """Something that a party does later, unless it is cancelled."""

    is_cancelled: bool = False

    def cancel(self) -> None:
        """Do it not."""
        self.is_cancelled = True


@attrs.define(eq=False)
class _Party:
    service: Service | None = None
    incarnation: int = 0
    is_up: bool = True
    resets: bool = True
    is_frozen: bool = False
    lateness: Lateness | None = None
    backlog: list[Action] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Connection:
    number: int
    peer_born: int
    is_silent: bool = False


@attrs.define(eq=False)
class _Call:
    caller: str
    callee: str
    request: Request
    on_answer: OnAnswer
    label: int
    connection: _Connection
    incarnation: int
    is_open: bool = True


@attrs.define(eq=False)
class _Held:
    """Bytes that wait for the end of a cut."""

    pair: Pair
    call: _Call
    action: Action


class Network:
    """Carries calls between parties; the same seed gives the same run.

    ``delay_ms`` bounds the delay in each direction. A party is known from its first
    use on; one that is called needs a service. A call on a connection that went
    silent ends with its timeout, and the next one uses a new connection. ``calls``
    counts the calls by path.

    >>> network = Network()
    >>> network.call("a", "nobody", Request("/hold"), print, timeout_ms=100)
    >>> network.run(10)
    Unanswered(cause='refused')
    """

    def __init__(
        self, seed: int = 0, delay_ms: tuple[int, int] = (1, 1), start_ms: int = 0
    ) -> None:
        self.now_ms = start_ms
        self.delay_ms = delay_ms
        self.calls: Counter[str] = Counter()
        self._random = Random(seed)
        self._parties: dict[str, _Party] = {}
        self._events: list[tuple[int, int, Action]] = []
        self._order = itertools.count()
        self._tickets = itertools.count(1)
        self._numbers = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._connections: dict[tuple[str, str, int], _Connection] = {}
        self._cuts: set[Pair] = set()
        self._held: list[_Held] = []

    def add(self, name: str, service: Service) -> None:
        """Let a service be called under a name."""
        self._party(name).service = service

    def call(
        self,
        caller: str,
        callee: str,
        request: Request,
        on_answer: OnAnswer,
        timeout_ms: int,
        *,
        connection: int = 0,
    ) -> None:
        """Send a request, and call ``on_answer`` once while the caller lives."""
        self.calls[request.path] += 1
        party = self._party(caller)
        if not party.is_up:
            raise InvalidInputError("caller", "a party that is up", caller)
        key = (caller, callee, connection)
        link = self._connection(key)
        request = attrs.evolve(request, caller=caller)
        call = _Call(
            caller, callee, request, on_answer, connection, link, party.incarnation
        )
        ticket = next(self._tickets)
        self._calls[ticket] = call
        self.after(caller, timeout_ms, lambda: self._time_out(ticket, call))
        if not link.is_silent:
            self._carry((caller, callee), call, lambda: self._arrive(ticket, call))

    def connection_number(self, caller: str, callee: str, label: int) -> int:
        """Return the number of a connection, higher for one that is opened later.

        A connection ends with the life of the service that it leads to.
        """
        return self._connection((caller, callee, label)).number

    def after(self, party: str, delay_ms: int, action: Action) -> Timer:
        """Let a party do something later, if it is then alive and not frozen."""
        timer = Timer()

        def fire() -> None:
            if not timer.is_cancelled:
                action()

        self._schedule(delay_ms, self._within(party, fire))
        return timer

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self._step(end_ms):
            pass
        self.now_ms = end_ms

    def cut(self, sender: str, receiver: str, one_way: bool = False) -> None:
        """Hold up all bytes between two parties, also those that are on their way."""
        self._cuts.add((sender, receiver))
        if not one_way:
            self._cuts.add((receiver, sender))

    def mend(self, sender: str, receiver: str) -> None:
        """End a cut; what was held up arrives, if its sender still waits."""
        pairs = {(sender, receiver), (receiver, sender)}
        self._cuts -= pairs
        freed = [held for held in self._held if held.pair in pairs]
        self._held = [held for held in self._held if held.pair not in pairs]
        for held in freed:
            if held.call.is_open:
                self._carry(held.pair, held.call, held.action)

    def reset_connections(self, *parties: str) -> None:
        """Break all open calls from and to these parties, or all if none is named."""
        for ticket, call in list(self._calls.items()):
            if call.is_open and _concerns(call, parties):
                self._reset(ticket, call)

    def silence_connections(self, *parties: str) -> None:
        """Let all connections of these parties, or all, carry nothing any more."""
        for (caller, callee, _), connection in self._connections.items():
            if not parties or caller in parties or callee in parties:
                connection.is_silent = True

    def set_lateness(self, callee: str, lateness: Lateness | None) -> None:
        """Let a party carry calls out late from now on."""
        self._party(callee).lateness = lateness

    def freeze(self, name: str) -> None:
        """Stop a party; what reaches it waits until it is thawed."""
        self._party(name).is_frozen = True

    def thaw(self, name: str) -> None:
        """Let a frozen party go on, first with all that waits for it."""
        party = self._party(name)
        party.is_frozen = False
        backlog, party.backlog = party.backlog, []
        for action in backlog:
            self._schedule(0, action)

    def kill(self, name: str, resets: bool = True) -> None:
        """End a party with its timers and calls.

        Its peers see their connections reset, or nothing where ``resets`` is off, as
        after a loss of power.
        """
        party = self._party(name)
        party.is_up, party.resets, party.is_frozen = False, resets, False
        party.incarnation += 1
        party.backlog.clear()
        if party.service is not None:
            party.service.crash(self.now_ms)
        for ticket, call in list(self._calls.items()):
            if call.caller == name:
                self._close(ticket, call)
            elif call.callee == name and call.is_open and resets:
                self._reset(ticket, call)

    def revive(self, name: str) -> None:
        """Start a killed party again; it knows nothing of before."""
        party = self._party(name)
        if party.is_up:
            raise InvalidInputError("party", "one that was killed", name)
        party.is_up = True
        if party.service is not None:
            party.service.restart(self.now_ms)

    def _connection(self, key: tuple[str, str, int]) -> _Connection:
        born = getattr(self._party(key[1]).service, "born", 0)
        known = self._connections.get(key)
        if known is None or known.peer_born != born:
            known = self._connections[key] = _Connection(next(self._numbers), born)
        return known

    def _party(self, name: str) -> _Party:
        return self._parties.setdefault(name, _Party())

    def _schedule(self, delay_ms: int, action: Action) -> None:
        event = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._events, event)

    def _within(self, name: str, action: Action) -> Action:
        """Return an action that waits for a frozen party and dies with it."""
        party = self._party(name)
        incarnation = party.incarnation

        def act() -> None:
            if party.incarnation != incarnation:
                return
            if party.is_frozen:
                party.backlog.append(act)
            else:
                action()

        return act

    def _step(self, end_ms: int) -> bool:
        """Do what is due next, and return whether there was anything."""
        due = self._next_service()
        event_ms = self._events[0][0] if self._events else None
        if due is not None and (event_ms is None or due[0] <= event_ms):
            due_ms, party = due
            if due_ms > end_ms:
                return False
            self.now_ms = max(self.now_ms, due_ms)
            self._advance(party)
            return True
        if event_ms is None or event_ms > end_ms:
            return False
        self.now_ms = max(self.now_ms, event_ms)
        heapq.heappop(self._events)[2]()
        return True

    def _next_service(self) -> tuple[int, _Party] | None:
        found = None
        for party in self._parties.values():
            if party.service is None or party.is_frozen or not party.is_up:
                continue
            due_ms = party.service.next_due_ms()
            if due_ms is not None and (found is None or due_ms < found[0]):
                found = (due_ms, party)
        return found

    def _advance(self, party: _Party) -> None:
        for ticket, outcome in party.service.advance(self.now_ms):
            call = self._calls.get(ticket)
            if call is None or call.connection.is_silent:
                continue
            if outcome == Unanswered("silent"):
                call.connection.is_silent = True
            else:
                self._reply(ticket, call, outcome)

    def _carry(self, pair: Pair, call: _Call, action: Action) -> None:
        """Do something at the far end of a link, after its delay."""

        def arrive() -> None:
            if pair in self._cuts:
                self._held.append(_Held(pair, call, action))
            else:
                action()

        self._schedule(self._random.randint(*self.delay_ms), arrive)

    def _arrive(self, ticket: int, call: _Call) -> None:
        party = self._party(call.callee)
        if not party.is_up or party.service is None:
            if party.resets:
                self._reply(ticket, call, Unanswered("refused"))
            return
        lateness = party.lateness
        if lateness is not None and self._is_late(lateness, call.request):
            call.connection.is_silent = True
            delay_ms = self._random.randint(lateness.least_ms, lateness.most_ms)
            late = attrs.evolve(call.request, is_late=True)
            action = self._submission(party, next(self._tickets), late)
            self._schedule(delay_ms, self._within(call.callee, action))
        else:
            self._within(call.callee, self._submission(party, ticket, call.request))()

    def _submission(self, party: _Party, ticket: int, request: Request) -> Action:
        return lambda: party.service.submit(self.now_ms, ticket, request)

    def _is_late(self, lateness: Lateness, request: Request) -> bool:
        if lateness.paths is not None and request.path not in lateness.paths:
            return False
        return self._random.random() < lateness.share

    def _reply(self, ticket: int, call: _Call, outcome: Outcome) -> None:
        def answer() -> None:
            if call.is_open:
                self._close(ticket, call)
                call.on_answer(outcome)

        arrive = self._within(call.caller, answer)
        self._carry((call.callee, call.caller), call, arrive)

    def _reset(self, ticket: int, call: _Call) -> None:
        # Answers that come later find the connection closed.
        call.connection.is_silent = True
        self._forget_connection(call)
        self._reply(ticket, call, Unanswered("reset"))

    def _time_out(self, ticket: int, call: _Call) -> None:
        if call.is_open:
            self._forget_connection(call)
            self._close(ticket, call)
            call.on_answer(Unanswered("timeout"))

    def _forget_connection(self, call: _Call) -> None:
        key = (call.caller, call.callee, call.label)
        if self._connections.get(key) is call.connection:
            del self._connections[key]

    def _close(self, ticket: int, call: _Call) -> None:
        call.is_open = False
        self._calls.pop(ticket, None)


def _concerns(call: _Call, parties: tuple[str, ...]) -> bool:
    return not parties or call.caller in parties or call.callee in parties
