"""The store as a service: reads that wait, outages and answers that are lost."""

__all__ = ["LostAnswers", "Outage", "StoreService"]

from random import Random

import attrs

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.messages import Answer, Outcome, Request, Unanswered
from hibiscusstack_standins.estate.outbox import Outbox

_BARE_PAGE_BYTES = 16
_LATE_MS = (1_000, 6_000)
_REFUSALS: dict[str, Outcome] = {
    "busy": Answer(503),
    "rejecting": Answer(429),
    "reset": Unanswered("reset"),
    "silent": Unanswered("silent"),
}


def _is_kind(_: object, field: attrs.Attribute, value: str) -> None:
    if value not in _REFUSALS:
        raise InvalidInputError(field.name, f"one of {sorted(_REFUSALS)}", value)


@attrs.frozen
class Outage:
    """The store does nothing for ``callers``, or for anyone where that is ``None``."""

    kind: str = attrs.field(validator=_is_kind)
    callers: frozenset[str] | None = None

    def concerns(self, caller: str) -> bool:
        """Return whether a caller is turned away."""
        return self.callers is None or caller in self.callers


@attrs.frozen
class LostAnswers:
    """The share of calls whose answer is lost, and of these, the share done late."""

    share: float
    late_share: float = 0.0
    callers: frozenset[str] | None = None

    def concerns(self, caller: str) -> bool:
        """Return whether a caller's answers may be lost."""
        return self.callers is None or caller in self.callers


@attrs.frozen
class _WaitingRead:
    request: Request
    ticket: int
    until_ms: int


class StoreService:
    """A :class:`LogStore` that is called over a network.

    ``outages`` and ``lost_answers`` are in force until they are changed. While the
    store is down for everyone, members of groups expire unless ``pauses_members``.
    """

    def __init__(
        self, store: LogStore, seed: int = 0, pauses_members: bool = True
    ) -> None:
        self.store = store
        self.outages: list[Outage] = []
        self.lost_answers: LostAnswers | None = None
        self.slow_ms = 0
        self._pauses_members = pauses_members
        self._down_since_ms: int | None = None
        self._random = Random(seed)
        self._outbox = Outbox()
        self._late = Outbox()
        self._waiting: list[_WaitingRead] = []

    @property
    def is_down(self) -> bool:
        """Return whether the store does nothing for anyone."""
        return self._down_since_ms is not None

    def set_outages(self, now_ms: int, outages: list[Outage]) -> None:
        """Put these outages in the place of those there were."""
        self.outages = list(outages)
        is_down = any(outage.callers is None for outage in outages)
        if is_down and self._down_since_ms is None:
            self._down_since_ms = now_ms
        elif not is_down and self._down_since_ms is not None:
            self._come_back(now_ms - self._down_since_ms)

    def submit(self, now_ms: int, ticket: int, request: Request) -> None:
        """Take a call."""
        beyond_rates = self.store.charge(now_ms, request)
        refusal = self._refusal_of(request.caller) or beyond_rates
        if refusal is not None:
            self._outbox.put(now_ms, ticket, refusal)
        elif self._loses_answer_to(request.caller):
            self._lose(now_ms, ticket, request)
        else:
            self._answer(now_ms, ticket, request)
        self._serve_waiting(now_ms)

    def advance(self, now_ms: int) -> list[tuple[int, Outcome]]:
        """Do what is due, and return what is to be sent now."""
        if self._down_since_ms is None:
            self.store.expire_members(now_ms)
            for _, request in self._late.take_due(now_ms):
                self.store.perform(now_ms, request)
        self._serve_waiting(now_ms)
        return self._outbox.take_due(now_ms)

    def next_due_ms(self) -> int | None:
        """Return when something is due next."""
        times = [read.until_ms for read in self._waiting]
        times.append(self._outbox.next_due_ms())
        if self._down_since_ms is None:
            times.append(self._late.next_due_ms())
            times += [group.next_expiry_ms() for group in self.store.groups.values()]
        return min((time for time in times if time is not None), default=None)

    def crash(self, now_ms: int) -> None:
        """Forget the calls that are not answered; the store itself loses nothing."""
        self._outbox = Outbox()
        self._waiting.clear()

    def restart(self, now_ms: int) -> None:
        """Begin again after a crash."""

    def _refusal_of(self, caller: str) -> Outcome | None:
        kinds = (outage.kind for outage in self.outages if outage.concerns(caller))
        kind = next(kinds, None)
        return None if kind is None else _REFUSALS[kind]

    def _loses_answer_to(self, caller: str) -> bool:
        lost = self.lost_answers
        if lost is None or not lost.concerns(caller):
            return False
        return self._random.random() < lost.share

    def _lose(self, now_ms: int, ticket: int, request: Request) -> None:
        self._outbox.put(now_ms, ticket, Unanswered("silent"))
        if self._random.random() < self.lost_answers.late_share:
            self._late.put(now_ms + self._random.randint(*_LATE_MS), ticket, request)
        else:
            self.store.perform(now_ms, request)

    def _answer(self, now_ms: int, ticket: int, request: Request) -> None:
        answer = self.store.perform(now_ms, request)
        wait_ms = int(request.query.get("wait_ms", 0)) if _is_bare_page(answer) else 0
        if wait_ms:
            self._waiting.append(_WaitingRead(request, ticket, now_ms + wait_ms))
        else:
            self._send(now_ms, ticket, answer)

    def _serve_waiting(self, now_ms: int) -> None:
        waiting, self._waiting = self._waiting, []
        for read in waiting:
            refusal = self._refusal_of(read.request.caller)
            if refusal is not None:
                self._outbox.put(now_ms, read.ticket, refusal)
                continue
            answer = self.store.perform(now_ms, read.request)
            if _is_bare_page(answer) and now_ms < read.until_ms:
                self._waiting.append(read)
            else:
                self._send(now_ms, read.ticket, answer)

    def _send(self, now_ms: int, ticket: int, answer: Answer) -> None:
        self._outbox.put(now_ms + answer.delay_ms + self.slow_ms, ticket, answer)

    def _come_back(self, outage_ms: int) -> None:
        self._down_since_ms = None
        if self._pauses_members:
            for group in self.store.groups.values():
                group.postpone(outage_ms)


def _is_bare_page(answer: Answer) -> bool:
    is_page = answer.status == 200 and isinstance(answer.body, bytes)
    return is_page and len(answer.body) == _BARE_PAGE_BYTES
