"""Questions of callers about stored jobs, on their way to the coordinator."""

__all__ = ["Asker", "SendQuestion"]

from collections.abc import Callable

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.messages import AskStored, StoredAnswer, StoredRequest

SendQuestion = Callable[[HostName, AskStored], bool]
OnAnswer = Callable[[StoredAnswer | None], None]

PATIENCE_MS = 4_000


@attrs.define(eq=False)
class _Open:
    message: AskStored
    give_up_ms: float
    answer: OnAnswer
    asked: HostName | None = None


class Asker:
    """Asks the coordinator, and the next one again after a change.

    Every question may be asked twice without harm. One that nobody has answered in
    time is answered by nothing.
    """

    def __init__(self, clock: Clock, send: SendQuestion) -> None:
        self._clock = clock
        self._send = send
        self._coordinator: HostName | None = None
        self._open: dict[int, _Open] = {}
        self._next = 0

    def __len__(self) -> int:
        return len(self._open)

    def ask(
        self,
        request: StoredRequest,
        queue: str,
        job_id: str,
        timeout_ms: float | None,
        answer: OnAnswer,
    ) -> Callable[[], None]:
        """Ask; return what to call when the caller has gone."""
        self._next += 1
        number = self._next
        wait_ms = PATIENCE_MS if timeout_ms is None else min(timeout_ms, PATIENCE_MS)
        message = AskStored(number, request, queue, job_id)
        self._open[number] = _Open(message, self._clock.now_ms() + wait_ms, answer)
        self._forward(self._open[number])
        return lambda: self._forget(number)

    def coordinator_changed(self, coordinator: HostName | None) -> None:
        """Ask a new coordinator everything that is open."""
        self._coordinator = coordinator
        for question in list(self._open.values()):
            if question.asked != coordinator:
                question.asked = None
                self._forward(question)

    def answered(self, sender: HostName, message: StoredAnswer) -> None:
        """Pass on the answer of the coordinator that was asked."""
        question = self._open.get(message.question)
        if question is not None and question.asked == sender:
            del self._open[message.question]
            question.answer(message)

    def tick(self) -> None:
        """Give up what nobody has answered in time."""
        now_ms = self._clock.now_ms()
        for number, question in list(self._open.items()):
            if now_ms >= question.give_up_ms:
                del self._open[number]
                question.answer(None)
            elif question.asked is None:
                self._forward(question)

    def _forward(self, question: _Open) -> None:
        if self._coordinator is None:
            return
        question.asked = self._coordinator
        if not self._send(self._coordinator, question.message):
            question.asked = None

    def _forget(self, number: int) -> None:
        self._open.pop(number, None)
