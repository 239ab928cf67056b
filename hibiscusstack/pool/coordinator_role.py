"""The role of a host as coordinator: holder of a term, deputy, or neither."""

__all__ = ["CoordinatorRole"]

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator import Coordinator, SendAnswer
from hibiscusstack.pool.deputies import deputy_token, term_token
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.messages import CancelSubmission, SubmitPoolJob
from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.orders import TargetOrders
from hibiscusstack.pool.recent_targets import RecentTargets
from hibiscusstack.pool.stored.service import StoredJobService
from hibiscusstack.pool.target_losses import TargetLosses
from hibiscusstack.pool.target_records import TargetRecords
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.timing import CoordinatorTiming


class CoordinatorRole:
    """Creates the coordinator of the host ``own`` and ends it on step-down.

    The holder of a term, whose claim began it, controls all listed targets and manages
    the stored jobs. There are two kinds of deputy: the deputy of a data centre controls
    the targets there, and the general deputy those of all data centres.

    ``records`` are the targets that are recorded in the log. Coordinators of all kinds
    start tasks only at these. ``losses`` are the lost targets that the host knows of.
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
        records: TargetRecords,
        losses: TargetLosses,
        stored: StoredJobService,
        ordering: OrderingPolicy | None = None,
    ) -> None:
        self.coordinator: Coordinator | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._orders_all = False
        self._own = own
        self._clock = clock
        self._orders = orders
        self._send_answer = send_answer
        self._timing = timing
        self._events = events
        self._targets = targets
        self._records = records
        self._losses = losses
        self._stored = stored
        self._ordering = ordering

    @property
    def is_deputy(self) -> bool:
        """Whether this host coordinates as a deputy of either kind."""
        return self.coordinator is not None and self.coordinator.is_deputy

    @property
    def is_holding(self) -> bool:
        """Whether this host coordinates as the holder of a term.

        ``Election.is_holder`` tells whether it holds the newest term that it knows.
        """
        return self.coordinator is not None and not self.coordinator.is_deputy

    @property
    def is_general(self) -> bool:
        """Whether this host is the general deputy, for all data centres."""
        return self.is_deputy and self._orders_all

    @property
    def token(self) -> int:
        """The fencing token of this host's coordinator, 0 without one."""
        return 0 if self.coordinator is None else self.coordinator.token

    def is_fenced_everywhere(self) -> bool:
        """Return whether there are targets and all of them have fenced this host."""
        states = self.coordinator.targets() if self.coordinator is not None else []
        return bool(states) and all(
            state.phase is TakeoverPhase.FENCED for state in states
        )

    def begin_term(self, term: Term) -> None:
        """Coordinate for a term; a holder of an earlier term only renews its token."""
        if self.is_holding:
            self.coordinator.adopt_token(term_token(term.offset))
            return
        self.step_down()
        self.coordinator = self._build(term_token(term.offset))
        self.coordinator.journal = self._stored.start_manager(
            term.offset + 1, self.coordinator
        )
        self.targets_changed()
        recorded = map(self._targets.as_last_listed, self._records.targets())
        self.coordinator.take_over_unlisted(recorded)

    def begin_deputy(
        self, term: Term, registration_offset: int, is_general: bool = False
    ) -> None:
        """Become a deputy for the holder of ``term``.

        With ``is_general`` it is the general deputy and controls the targets of all
        data centres, otherwise those of its own data centre. ``registration_offset``
        is the log offset of this host's registration.
        """
        self._orders_all = is_general
        token = deputy_token(term.offset, registration_offset)
        self.coordinator = self._build(token, is_deputy=True)
        self.targets_changed()

    def step_down(self) -> None:
        """Stop coordinating, as holder or as deputy."""
        if self.coordinator is not None:
            self.coordinator.step_down()
            self._stored.stop_manager()
            self.coordinator = None

    def targets_changed(self) -> None:
        """Pass the newest list of targets to the coordinator, if there is one."""
        if self.is_deputy and not self._orders_all:
            local_targets = self._targets.recent_in(self._own.data_centre)
            self.coordinator.replace_targets(local_targets)
        elif self.coordinator is not None:
            self.coordinator.replace_targets(self._targets.listed)

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Start nothing at targets of these data centres, now and in later terms."""
        self._evacuated = data_centres
        if self.coordinator is not None:
            self.coordinator.set_evacuated(data_centres)

    def handle_message(
        self, owner: HostName, message: SubmitPoolJob | CancelSubmission
    ) -> bool:
        """Handle a message of a receiving host; return False without a coordinator."""
        if self.coordinator is None:
            return False
        if isinstance(message, SubmitPoolJob):
            self.coordinator.submit(owner, message)
        else:
            self.coordinator.cancel(owner, message.submission)
        return True

    def _build(self, token: int, **terms) -> Coordinator:
        coordinator = Coordinator(
            token=token,
            clock=self._clock,
            orders=self._orders,
            send_answer=self._send_answer,
            timing=self._timing,
            events=self._events,
            ordering=self._ordering,
            records=self._records,
            losses=self._losses,
            **terms,
        )
        coordinator.set_evacuated(self._evacuated)
        return coordinator
