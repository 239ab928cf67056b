"""Forwarding queries of callers about stored jobs to the coordinator."""

__all__ = ["QueryForwarder", "SendQuery"]

from collections.abc import Callable, Iterator
from itertools import count

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.messages import AskStored, StoredAnswer, StoredRequest

SendQuery = Callable[[HostName, AskStored], bool]
OnAnswer = Callable[[StoredAnswer | None], None]

MAX_WAIT_MS = 4_000


@attrs.define(eq=False)
class _PendingQuery:
    message: AskStored
    deadline_ms: float
    answer: OnAnswer
    sent_to: HostName | None = None


class QueryForwarder:
    """Forwards queries to the coordinator, and again to a new one after a change.

    Each query gets the next of ``numbers``. Every query is idempotent. One that is not
    answered before its deadline is answered with None.
    """

    def __init__(
        self, clock: Clock, send: SendQuery, numbers: Iterator[int] | None = None
    ) -> None:
        self._clock = clock
        self._send = send
        self._coordinator: HostName | None = None
        self._pending: dict[int, _PendingQuery] = {}
        self._numbers = numbers or count(1)

    def __len__(self) -> int:
        return len(self._pending)

    def ask(
        self,
        request: StoredRequest,
        queue: str,
        job_id: str,
        timeout_ms: float | None,
        answer: OnAnswer,
    ) -> Callable[[], None]:
        """Forward a query; return a function that discards it when the caller left."""
        number = next(self._numbers)
        wait_ms = MAX_WAIT_MS if timeout_ms is None else min(timeout_ms, MAX_WAIT_MS)
        message = AskStored(number, request, queue, job_id)
        self._pending[number] = _PendingQuery(
            message, self._clock.now_ms() + wait_ms, answer
        )
        self._forward(self._pending[number])
        return lambda: self._discard(number)

    def coordinator_changed(self, coordinator: HostName | None) -> None:
        """Forward all pending queries to a new coordinator."""
        self._coordinator = coordinator
        for query in list(self._pending.values()):
            if query.sent_to != coordinator:
                query.sent_to = None
                self._forward(query)

    def handle_answer(self, sender: HostName, message: StoredAnswer) -> None:
        """Complete a query, unless the sender is not the coordinator it was sent to."""
        query = self._pending.get(message.question)
        if query is not None and query.sent_to == sender:
            del self._pending[message.question]
            query.answer(message)

    def tick(self) -> None:
        """Time out overdue queries, and forward again those that could not be sent."""
        now_ms = self._clock.now_ms()
        for number, query in list(self._pending.items()):
            if now_ms >= query.deadline_ms:
                del self._pending[number]
                query.answer(None)
            elif query.sent_to is None:
                self._forward(query)

    def _forward(self, query: _PendingQuery) -> None:
        if self._coordinator is None:
            return
        query.sent_to = self._coordinator
        if not self._send(self._coordinator, query.message):
            query.sent_to = None

    def _discard(self, number: int) -> None:
        self._pending.pop(number, None)
