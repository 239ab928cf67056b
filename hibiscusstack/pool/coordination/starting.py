"""Starting of waiting tasks on targets with free capacity."""

__all__ = ["start_waiting_tasks"]

from collections import Counter
from collections.abc import Callable
from heapq import heapify, heappop, heapreplace

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask, task_name
from hibiscusstack.pool.coordination.isolation import choose_suspect_target
from hibiscusstack.pool.coordination.job_tracking import (
    activate_task,
    has_only_unheard_owners,
)
from hibiscusstack.pool.coordination.lost_targets import fail_if_given_up
from hibiscusstack.pool.coordination.start_explanations import (
    note_delay,
    note_resubmitted_start,
)
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.ordering import KindQueue
from hibiscusstack.pool.orders import StartOrder
from hibiscusstack.pool.placement import choose_target
from hibiscusstack.pool.room_kinds import RoomLimits, UnmetNeeds
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState

# Jobs of one kind of room that are tried in a pass although they don't fit: the first
# ones in order, and others in turn.
MAX_UNPLACED_FIRST = 4
MAX_UNPLACED_IN_TURN = 2


def start_waiting_tasks(state: CoordinatorState) -> None:
    """Start waiting tasks in queue order, on targets with free capacity.

    Each task that is tried costs a search for capacity, also among targets that have
    capacity and may not start anything. To bound the cost, nothing is tried that needs
    as much as a task for which there was no room in this call, and only a few jobs of
    each kind of room are tried once the first of them did not fit. Behind these, each
    call goes on where the last one ended, so that no job is passed over.
    """
    if state.is_superseded or not len(state.queue):
        return
    _update_room_limits(state)
    placement_pass = _Pass(state)
    # The position of the next job of each kind; the kinds are merged in queue order.
    heads = [
        (first[0], number, first[1], queue)
        for number, queue in enumerate(state.queue.kinds())
        if placement_pass.may_fit(queue) and (first := queue.first()) is not None
    ]
    heapify(heads)
    while heads:
        key, number, job, queue = heads[0]
        if not placement_pass.may_fit(queue):
            heappop(heads)
            continue
        has_room = placement_pass.try_job(job, queue)
        following = queue.after(key) if has_room else None
        if following is None:
            heappop(heads)
        else:
            heapreplace(heads, (following[0], number, following[1], queue))
        if not has_room:
            for other in queue.take_turns(key, MAX_UNPLACED_IN_TURN):
                placement_pass.try_job(other, queue)
    _report_jobs_without_room(state)


def _report_jobs_without_room(state: CoordinatorState) -> None:
    """Tell the journal which stored jobs wait for a target that has room for them."""
    for job in state.queue.pop_newly_dormant():
        if job.is_stored and state.journal is not None:
            state.journal.job_lacks_room(job.job.job_id)


def _update_room_limits(state: CoordinatorState) -> None:
    if state.room_limits is None:
        state.room_limits = RoomLimits(state.usable_listings())
        state.queue.wake_kinds()


class _Pass:
    """One pass over the waiting jobs; what can't change meanwhile is found out once."""

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state
        self._now_ms = state.clock.now_ms()
        self._unplaced: Counter[KindQueue] = Counter()
        self._unmet = UnmetNeeds()
        self._barred: set[TargetState] = set()
        self._are_targets_held: bool | None = None

    def may_fit(self, queue: KindQueue) -> bool:
        """Return whether a target may have the least room of a kind free.

        A kind for which no target has room, idle or not, becomes dormant.
        """
        kind, state = queue.kind, self._state
        if kind.is_for_suspects:
            return True
        if queue.checked_limits is not state.room_limits:
            queue.checked_limits = state.room_limits
            if not state.room_limits.may_fit(kind):
                state.queue.put_to_sleep(kind)
                return False
        if kind.least.cpu_milli > state.free_capacity.most_free_cpu(kind.pool):
            return False
        return not self._unmet.cover(kind.pool, kind.requires, kind.least)

    def try_job(self, job: ActiveJob, queue: KindQueue) -> bool:
        """Start ready tasks of a job; return whether to go on with others of its kind.

        A job that must wait for another reason doesn't count, nor does one that is
        larger than every target.
        """
        state, now_ms = self._state, self._now_ms
        if _must_delay_start(state, job, now_ms, self._all_targets_held):
            note_delay(state, job, now_ms)
            return True
        if not self._start_job_tasks(job):
            if not job.needs_exact_room and not state.room_limits.may_run_ready_task(
                job
            ):
                state.queue.require_exact_room(job)
                return True
            self._unplaced[queue] += 1
        elif queue.kind.is_for_suspects and job.ready:
            self._unplaced[queue] += 1
        return self._unplaced[queue] < MAX_UNPLACED_FIRST

    def _start_job_tasks(self, job: ActiveJob) -> bool:
        """Start ready tasks of a job; return whether all of them were started.

        Suspects that wait for a target of their own, and tasks that may run elsewhere,
        count as started, since they don't show that capacity is short. Once a task of a
        step did not fit or has to wait, the others of the step aren't tried.
        """
        state, now_ms = self._state, self._now_ms
        if job.is_stored and any(task.is_suspect for task in job.ready):
            if fail_if_given_up(state, job):
                return True
        elif self._is_unmet(job):
            return False
        is_first, ready_before = job.first_start_ms is None, len(job.ready)
        unplaced_steps: set[tuple[int, bool]] = set()
        for task in list(job.ready):
            kind = task.key[0], task.is_suspect
            if kind in unplaced_steps or state.may_run_elsewhere(task):
                continue
            if task.is_suspect:
                target = choose_suspect_target(state, job, task, now_ms)
            else:
                target = self._choose_target(job, task)
            if target is None:
                unplaced_steps.add(kind)
                continue
            _start_task(state, target, job, task, now_ms)
        if not job.ready:
            state.queue.discard(job)
            return True
        if len(job.ready) < ready_before:
            state.queue.update_kinds(job)
        if is_first and job.first_start_ms is not None:
            # Move the job in the queue: started jobs come first.
            state.queue.add(job, now_ms)
        return all(
            task.is_suspect or state.may_run_elsewhere(task) for task in job.ready
        )

    def _is_unmet(self, job: ActiveJob) -> bool:
        """Return whether no task of a job of one step can have room in this pass."""
        steps = job.job.steps
        if len(steps) > 1 or any(task.is_suspect for task in job.ready):
            return False
        step = steps[0]
        return self._unmet.cover(job.job.pool, step.requires, step.needs)

    def _choose_target(self, job: ActiveJob, task: PoolTask) -> TargetState | None:
        """Return a target for a task; without one, note that its needs are unmet."""
        pool, step = job.job.pool, task.step
        if self._unmet.cover(pool, step.requires, step.needs):
            return None
        index = self._state.free_capacity
        target = choose_target(job, task, index, self._now_ms, self._barred)
        # With anti-affinity, room that is left may be barred for this job alone.
        if target is None and not step.anti_affinity:
            self._unmet.add(pool, step.requires, step.needs)
        return target

    def _all_targets_held(self) -> bool:
        if self._are_targets_held is None:
            state = self._state
            self._are_targets_held = not any(state.missing_names()) and all(
                target.phase is TakeoverPhase.HELD and target.silent_since_ms is None
                for target in state.targets.values()
            )
        return self._are_targets_held


def _must_delay_start(
    state: CoordinatorState,
    job: ActiveJob,
    now_ms: float,
    are_all_targets_held: Callable[[], bool],
) -> bool:
    """Return whether no task of the job may start now.

    The job waits while stray runs of it exist or while none of the hosts that submitted
    it have been heard from recently. An earlier run of a resubmitted job may still be
    active at a target that is silent, not held or not under control here. No other
    target comes into question, since coordinators use only recorded targets. Such a job
    waits for these targets, and a deputy always lets it wait, but no longer than
    ``max_orphan_run_ms`` after the earlier coordinator was last heard from.
    """
    if job.job.job_id in state.stray_run_counts or has_only_unheard_owners(state, job):
        return True
    if not job.is_resubmitted:
        return False
    if now_ms >= job.earlier_coordinator_last_seen_ms + state.timing.max_orphan_run_ms:
        return False
    return state.is_deputy or not are_all_targets_held()


def _start_task(
    state: CoordinatorState,
    target: TargetState,
    job: ActiveJob,
    task: PoolTask,
    now_ms: float,
) -> None:
    """Start a run of a task on a target, and renew the lease of the target."""
    activate_task(state, job, task, now_ms)
    name = task_name(job.job.job_id, task.key)
    number, task.next_run = task.next_run, task.next_run + 1
    run = Run(name, number, job, task, task.step.needs, RunState.STARTING, now_ms)
    run.is_isolated = task.is_suspect and not target.runs
    task.isolation_wait_since_ms = task.recorded_start = None
    target.add(run)
    state.events.run_started(run, target.listing.name, state.token, now_ms)
    if job.is_resubmitted:
        note_resubmitted_start(state, run, target, now_ms)
    lease_end_on_target_ms = target.plan_lease_renewal(now_ms)
    order = StartOrder(
        name,
        number,
        job.job.payload,
        lease_end_on_target_ms,
        state.token,
        target.takeover_number,
        task.checkpoint,
    )
    state.orders.start(target.listing, order)
