"""What a coordinator knows during its term, shared by all its decisions."""

__all__ = ["CoordinatorState", "SendAnswer"]

from collections import Counter
from collections.abc import Callable

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.capacity_index import FreeCapacityIndex
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.messages import SubmissionAnswer
from hibiscusstack.pool.ordering import JobQueue
from hibiscusstack.pool.orders import RunEnd, TargetOrders
from hibiscusstack.pool.stored.interfaces import TaskJournal
from hibiscusstack.pool.target_state import TargetState
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming

SendAnswer = Callable[[HostName, SubmissionAnswer], None]


@attrs.define(eq=False)
class CoordinatorState:
    """Targets and jobs of one term, and the ways out to targets and hosts.

    ``listed`` are the targets as last listed, ``targets`` the lives that were taken
    over, both by name, ``room`` has the latter by their room, and ``takeovers`` counts
    them. ``missing`` names the
    targets at which an earlier coordinator may still have work.

    ``jobs`` are those in progress by id, ``queue`` those of them with tasks that wait
    for room, and ``by_submission`` those that somebody waits for. ``ending`` counts
    for each id the runs at targets that belong to no job in progress, ``early_ends``
    are ends of jobs that may not have been read yet, and ``unheard`` are the hosts
    for which nothing is started. ``turn`` counts the looks at the targets.
    """

    token: int
    clock: Clock
    orders: TargetOrders
    send_answer: SendAnswer
    timing: CoordinatorTiming
    events: PoolEvents
    missing_targets: set[str]
    is_deputy: bool
    discards_earlier_ends: bool
    term_started_ms: float
    queue: JobQueue
    check_count: int = 0
    is_superseded: bool = False
    journal: TaskJournal | None = None
    listed: dict[str, ListedTarget] = attrs.field(factory=dict)
    targets: dict[str, TargetState] = attrs.field(factory=dict)
    free_capacity: FreeCapacityIndex = attrs.field(factory=FreeCapacityIndex)
    takeover_count: int = 0
    jobs: dict[str, ActiveJob] = attrs.field(factory=dict)
    by_submission: dict[tuple[HostName, int], ActiveJob] = attrs.field(factory=dict)
    stray_run_counts: Counter[str] = attrs.field(factory=Counter)
    deferred_ends: list[tuple[TargetState, RunEnd]] = attrs.field(factory=list)
    unheard_owners: set[HostName] = attrs.field(factory=set)

    def set_target(self, target: TargetState) -> None:
        """Let ``target`` be the life of its name, in place of an earlier one."""
        self.drop_target(target.listing.name)
        self.targets[target.listing.name] = target
        self.free_capacity.add(target)

    def drop_target(self, name: str) -> None:
        """Forget the life of that name, if there is one."""
        target = self.targets.pop(name, None)
        if target is not None:
            self.free_capacity.discard(target)
