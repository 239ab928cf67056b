"""State of a coordinator during one term, shared by all its decisions."""

__all__ = ["CoordinatorState", "SendAnswer"]

import math
from collections import Counter
from collections.abc import Callable, Iterator

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask
from hibiscusstack.pool.capacity_index import FreeCapacityIndex
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.messages import SubmissionAnswer
from hibiscusstack.pool.ordering import JobQueue
from hibiscusstack.pool.orders import RunEnd, TargetOrders
from hibiscusstack.pool.room_kinds import RoomLimits
from hibiscusstack.pool.stored.interfaces import TaskJournal
from hibiscusstack.pool.target_losses import TargetLosses
from hibiscusstack.pool.target_records import RecordedTargets
from hibiscusstack.pool.target_state import TargetState
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming

SendAnswer = Callable[[HostName, SubmissionAnswer], None]


@attrs.define(eq=False)
class CoordinatorState:
    """Targets and jobs of one term, with the outputs to targets and hosts.

    ``room_limits`` are the sizes of the targets that may get runs, ``None`` after they
    have changed. ``evacuated`` are the data centres at whose targets nothing starts,
    and ``unemptied`` those of them where runs haven't ended yet.
    ``listed`` maps names to the newest list of targets. ``targets`` maps names to the
    target instances whose takeover has begun, ``free_capacity`` indexes them by free
    CPU, and ``takeover_count`` is the number of takeovers begun so far.
    ``losses`` are the lost targets that this host knows of.
    ``records`` are the targets that are recorded in the log; if there are none, all
    count as recorded. ``unrecorded`` names the targets that aren't usable yet.

    ``jobs`` maps ids to the jobs in progress. ``queue`` contains those with tasks that
    wait for capacity, and ``by_submission`` those that a submission waits for.
    ``stray_run_counts`` counts the stray runs of each job id: runs at targets that
    belong to no job in progress. ``deferred_ends`` are ends of runs whose stored jobs
    the journal may not have read yet. ``unheard_owners`` are the hosts for which
    no task is started. No later term had begun at ``term_confirmed_ms``, and
    ``presumed_end_ms`` is when a run of a stored job was last presumed to have ended.
    ``check_count`` counts the periodic checks of targets,
    and ``last_check_ms`` is when the last one took place. ``punctual_since_ms`` is
    since when they have come on time, so that a late loop isn't taken for silence.
    """

    token: int
    clock: Clock
    orders: TargetOrders
    send_answer: SendAnswer
    timing: CoordinatorTiming
    events: PoolEvents
    is_deputy: bool
    term_started_ms: float
    queue: JobQueue
    losses: TargetLosses
    records: RecordedTargets | None = None
    unrecorded: set[str] = attrs.field(factory=set)
    check_count: int = 0
    has_stepped_down: bool = False
    last_check_ms: float = attrs.field(
        default=attrs.Factory(lambda self: self.term_started_ms, takes_self=True)
    )
    punctual_since_ms: float = attrs.field(
        default=attrs.Factory(lambda self: self.term_started_ms, takes_self=True)
    )
    journal: TaskJournal | None = None
    listed: dict[str, ListedTarget] = attrs.field(factory=dict)
    targets: dict[str, TargetState] = attrs.field(factory=dict)
    free_capacity: FreeCapacityIndex = attrs.field(factory=FreeCapacityIndex)
    room_limits: RoomLimits | None = None
    evacuated: frozenset[str] = frozenset()
    unemptied: set[str] = attrs.field(factory=set)
    takeover_count: int = 0
    jobs: dict[str, ActiveJob] = attrs.field(factory=dict)
    by_submission: dict[tuple[HostName, int], ActiveJob] = attrs.field(factory=dict)
    stray_run_counts: Counter[str] = attrs.field(factory=Counter)
    deferred_ends: list[tuple[TargetState, RunEnd]] = attrs.field(factory=list)
    unheard_owners: set[HostName] = attrs.field(factory=set)
    term_confirmed_ms: float = -math.inf
    presumed_end_ms: float = -math.inf

    @property
    def is_superseded(self) -> bool:
        """Whether a later term has begun, or may have begun during a pause.

        Replies that waited during a pause are handled before the next tick, at which
        the host notices the pause.
        """
        paused_ms = self.clock.now_ms() - self.last_check_ms
        return self.has_stepped_down or paused_ms > self.timing.longest_pause_ms

    @property
    def needs_term_confirmation(self) -> bool:
        """Whether a task waits until it is known that its term had not ended."""
        return self.presumed_end_ms > self.term_confirmed_ms

    def may_run_elsewhere(self, task: PoolTask) -> bool:
        """Return whether a later coordinator may have taken over a run of the task.

        A run that was presumed to have ended may go on, or have ended with a result,
        only if a later term had begun by then.
        """
        ended_ms = task.presumed_end_ms
        return ended_ms is not None and ended_ms > self.term_confirmed_ms

    def set_target(self, target: TargetState) -> None:
        """Add a target instance; it replaces an earlier instance of the same name."""
        self.drop_target(target.listing.name)
        self.targets[target.listing.name] = target
        self.free_capacity.add(target)
        self.room_limits = None
        self.update_recorded(target)
        self.update_evacuated(target)

    def drop_target(self, name: str) -> None:
        """Remove the target instance of that name, if there is one."""
        target = self.targets.pop(name, None)
        if target is not None:
            self.room_limits = None
            self.free_capacity.discard(target)
            self.unrecorded.discard(name)

    def update_recorded(self, target: TargetState) -> None:
        """Update whether the target is recorded in the log."""
        name = target.listing.name
        target.is_recorded = self.records is None or self.records.is_usable(name)
        if target.is_recorded:
            self.unrecorded.discard(name)
        else:
            self.unrecorded.add(name)

    def update_evacuated(self, target: TargetState) -> None:
        """Update whether the target is in a data centre that is evacuated.

        Such a target is not in the index of free capacity.
        """
        is_evacuated = target.listing.data_centre in self.evacuated
        if is_evacuated == target.is_evacuated:
            return
        target.is_evacuated = is_evacuated
        if is_evacuated:
            self.free_capacity.discard(target)
        else:
            self.free_capacity.add(target)

    def usable_listings(self) -> Iterator[ListedTarget]:
        """Yield the listings of the targets that aren't evacuated."""
        return (t.listing for t in self.targets.values() if not t.is_evacuated)

    def missing_names(self) -> Iterator[str]:
        """Yield the recorded targets that this coordinator has not taken over."""
        names = () if self.records is None else self.records.names()
        return (name for name in names if name not in self.targets)
