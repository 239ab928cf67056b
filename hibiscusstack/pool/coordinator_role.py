"""The coordinator of a host, while the host has one: as holder of a term or deputy."""

__all__ = ["CoordinatorRole"]

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator import Coordinator, SendAnswer
from hibiscusstack.pool.deputies import deputy_token, term_token
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.held_target import Phase
from hibiscusstack.pool.messages import CancelSubmission, SubmitPoolJob
from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.orders import TargetOrders
from hibiscusstack.pool.recent_targets import RecentTargets
from hibiscusstack.pool.stored.service import StoredJobs
from hibiscusstack.pool.timing import CoordinatorTiming


class CoordinatorRole:
    """Builds the coordinator of the host ``own``, and lets it step down.

    The holder of a term orders all listed targets and keeps the stored jobs; a deputy
    orders the targets of its own data centre, a general one those of all.
    """

    def __init__(
        self,
        *,
        own: HostName,
        clock: Clock,
        orders: TargetOrders,
        send_answer: SendAnswer,
        timing: CoordinatorTiming,
        events: PoolEvents,
        targets: RecentTargets,
        stored: StoredJobs,
        ordering: OrderingPolicy | None = None,
    ) -> None:
        self.coordinator: Coordinator | None = None
        self._orders_all = False
        self._own = own
        self._clock = clock
        self._orders = orders
        self._send_answer = send_answer
        self._timing = timing
        self._events = events
        self._targets = targets
        self._stored = stored
        self._ordering = ordering

    @property
    def is_deputy(self) -> bool:
        """Tell whether this host stands in for the holder of the term."""
        return self.coordinator is not None and self.coordinator.is_deputy

    @property
    def is_holding(self) -> bool:
        """Tell whether this host coordinates as the holder of a term."""
        return self.coordinator is not None and not self.coordinator.is_deputy

    @property
    def is_general(self) -> bool:
        """Tell whether this host stands in for the holder in all data centres."""
        return self.is_deputy and self._orders_all

    @property
    def token(self) -> int:
        """The token under which this host orders targets, 0 while it does not."""
        return 0 if self.coordinator is None else self.coordinator.token

    def is_fenced_everywhere(self) -> bool:
        """Tell whether every target takes orders of another host only."""
        states = self.coordinator.targets() if self.coordinator is not None else []
        return bool(states) and all(state.phase is Phase.FENCED for state in states)

    def begin_term(self, term: Term) -> None:
        """Coordinate for a term of this host, or go on with it after an earlier one."""
        if self.is_holding:
            self.coordinator.renew(term_token(term.offset))
            return
        self.step_down()
        self.coordinator = self._build(
            term_token(term.offset), missing=self._targets.unlisted.names()
        )
        self.coordinator.journal = self._stored.coordinate(
            term.offset + 1, self.coordinator
        )
        self.targets_changed()

    def begin_deputy(
        self, term: Term, registration_offset: int, is_general: bool = False
    ) -> None:
        """Order the targets here, or all, in place of the holder of ``term``."""
        self._orders_all = is_general
        token = deputy_token(term.offset, registration_offset)
        voids_ends = self._stored.has_jobs
        self.coordinator = self._build(token, is_deputy=True, voids_ends=voids_ends)
        self.targets_changed()

    def step_down(self) -> None:
        """Give no orders any more."""
        if self.coordinator is not None:
            self.coordinator.step_down()
            self._stored.stand_down()
            self.coordinator = None

    def targets_changed(self) -> None:
        """Hand the newest list of targets to the coordinator."""
        if self.is_deputy and not self._orders_all:
            here = self._targets.recent_in(self._own.data_centre)
            self.coordinator.replace_targets(here)
        elif self.coordinator is not None:
            self.coordinator.replace_targets(self._targets.listed)

    def handle_message(
        self, owner: HostName, message: SubmitPoolJob | CancelSubmission
    ) -> bool:
        """Act on a message of a receiving host; return whether anyone was there to."""
        if self.coordinator is None:
            return False
        if isinstance(message, SubmitPoolJob):
            self.coordinator.submit(owner, message)
        else:
            self.coordinator.cancel(owner, message.submission)
        return True

    def _build(self, token: int, **terms) -> Coordinator:
        return Coordinator(
            token=token,
            clock=self._clock,
            orders=self._orders,
            send_answer=self._send_answer,
            timing=self._timing,
            events=self._events,
            ordering=self._ordering,
            **terms,
        )
