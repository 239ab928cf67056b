"""The coordinator of a pool: gives all orders to its targets while its term lasts."""

__all__ = ["Coordinator", "SendAnswer"]

import math
from collections import Counter
from collections.abc import Callable, Iterable

import attrs
from eliot import log_message

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.held_target import HeldTarget, Phase, Run, RunState
from hibiscusstack.pool.jobs import NO_RESOURCES
from hibiscusstack.pool.messages import JobEnd, SubmissionAnswer, SubmitPoolJob
from hibiscusstack.pool.ordering import JobQueue
from hibiscusstack.pool.orders import (
    FencedOut,
    HoldOrder,
    HoldReply,
    NotReached,
    Refused,
    ReplyLost,
    RunEnd,
    Started,
    StartOrder,
    StopOrder,
    Stopped,
    TargetOrders,
)
from hibiscusstack.pool.placing import choose_target
from hibiscusstack.pool.room import RoomIndex
from hibiscusstack.pool.stored.interfaces import TaskJournal
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.work import (
    ActiveJob,
    PoolTask,
    TaskState,
    parse_task_name,
    task_name,
)

SendAnswer = Callable[[HostName, SubmissionAnswer], None]

_DONE = "done"
_FAILED = "failed"
_RETRY_MS = 1_000
_MOST_MISFITS = 12


class Coordinator:
    """Orders all work of one term at the targets of the pools.

    ``token`` is the fencing token of the term. Replies of targets, messages of hosts
    and the passing of time come in as calls; orders go out through ``orders``, answers
    through ``send_answer``. A task is started again only once its earlier run is known
    to have ended, or the lease that it ran under has surely lapsed.

    ``missing`` names targets that were listed earlier and are not now: an earlier
    coordinator may still have work there. A deputy has only some of the targets, and
    the coordinator that it stands in for may still be at work elsewhere: it adopts no
    run, and waits as long as that one may take to notice. With ``voids_ends`` it lets
    the leases lapse that it finds, so that ends of stored jobs, which it does not know,
    do not count.
    """

    def __init__(
        self,
        *,
        token: int,
        clock: Clock,
        orders: TargetOrders,
        send_answer: SendAnswer,
        timing: CoordinatorTiming | None = None,
        events: PoolEvents | None = None,
        missing: Iterable[str] = (),
        is_deputy: bool = False,
        voids_ends: bool = False,
    ) -> None:
        self.token = token
        self.is_deposed = False
        self.is_deputy = is_deputy
        self._voids_ends = voids_ends
        self.journal: TaskJournal | None = None
        self._clock = clock
        self._orders = orders
        self._send_answer = send_answer
        self._timing = timing or CoordinatorTiming()
        self._events = events or PoolEvents()
        self._listed: dict[str, ListedTarget] = {}
        self._targets: dict[str, HeldTarget] = {}
        self._jobs: dict[str, ActiveJob] = {}
        self._by_submission: dict[tuple[HostName, int], ActiveJob] = {}
        self._ending: Counter[str] = Counter()
        self._queue = JobQueue()
        self._room = RoomIndex()
        self._early_ends: list[tuple[HeldTarget, RunEnd]] = []
        self._missing = set(missing)
        self._began_ms = clock.now_ms()
        self._unheard: set[HostName] = set()
        self._takeovers = 0

    @property
    def job_count(self) -> int:
        """The number of jobs in progress."""
        return len(self._jobs)

    def targets(self) -> list[HeldTarget]:
        """Return what is known of each target."""
        return list(self._targets.values())

    def waiting_jobs(self) -> list[ActiveJob]:
        """Return the jobs with tasks that wait for room, the next one first."""
        return list(self._queue.in_order())

    def replace_targets(self, listed: Iterable[ListedTarget]) -> None:
        """Take over a newer list of targets."""
        now_ms = self._clock.now_ms()
        self._listed = by_name = {target.name: target for target in listed}
        for name, state in list(self._targets.items()):
            target = by_name.get(name)
            if target is None:
                if state.unlisted_since_ms is None:
                    state.unlisted_since_ms = now_ms
            elif state.is_surely_gone(target):
                self._end_life(state, "restarted")
            elif target.born_ms != state.listing.born_ms:
                # Only its own lists tell which starts reached the new life.
                self._look(state)
            else:
                state.unlisted_since_ms = None
                state.is_unlisted_life = False
                state.replace_listing(target)
        for name, target in by_name.items():
            if name not in self._targets:
                self._missing.discard(name)
                self._take_target(target, now_ms)
        self._place()

    def submit(self, owner: HostName, message: SubmitPoolJob) -> None:
        """Take a job from the host that received it.

        A job that is known already is joined: it stays one job.
        """
        now_ms = self._clock.now_ms()
        submission = (owner, message.submission)
        if submission in self._by_submission:
            return
        job = self._jobs.get(message.job.job_id)
        if job is None:
            received_ms = now_ms - message.waited_ms
            job = ActiveJob(
                message.job,
                received_ms,
                message.is_resubmitted,
                unheard_since_ms=now_ms - message.unheard_ms,
            )
            self._jobs[message.job.job_id] = job
        job.submissions.append(submission)
        self._by_submission[submission] = job
        if job.is_complete:
            self._close(job, JobEnd.COMPLETED)
            return
        self._enqueue(job)
        self._place()

    def cancel(self, owner: HostName, submission: int) -> None:
        """Forget a submission, and stop its job if nobody else waits for it."""
        job = self._by_submission.pop((owner, submission), None)
        if job is None:
            return
        job.submissions.remove((owner, submission))
        if not job.submissions and not job.is_stored:
            self._close(job, JobEnd.REFUSED, "cancelled")
            self._place()

    def owner_lost(self, owner: HostName) -> None:
        """Stop all work for a host that is gone: its callers will send it again."""
        for host, submission in list(self._by_submission):
            if host == owner:
                self.cancel(host, submission)

    def run_stored(self, job: ActiveJob) -> None:
        """Take a stored job; nothing of it starts within this call."""
        if self.is_deposed or job.job.job_id in self._jobs:
            return
        self._jobs[job.job.job_id] = job
        job.unheard_since_ms = self._began_ms + self._timing.seclusion_ms
        if not self._complete_if_done(job):
            self._enqueue(job)

    def place_stored(self) -> None:
        """Start what was taken, where there is room."""
        self._place()

    def cancel_stored(self, job_id: str) -> None:
        """Stop a stored job."""
        job = self._jobs.get(job_id)
        if job is not None:
            self._close(job, JobEnd.REFUSED, "cancelled")
            self._place()

    def release_stored(self) -> None:
        """Leave all stored jobs, and stop their runs.

        Where any of them ran or has ended unsaved, the lease lapses as well: ends of
        before then do not count, so that another coordinator may run the tasks anew.
        """
        lapsed_ms = self._clock.now_ms() + self._timing.lapse_bound_ms
        for state in self._targets.values():
            runs = [run for run in state.runs.values() if run.job is not None]
            if state.unsaved_ends or any(run.job.is_stored for run in runs):
                state.lapsing_until_ms = lapsed_ms
        for job in [job for job in self._jobs.values() if job.is_stored]:
            del self._jobs[job.job.job_id]
            self._queue.discard(job)
            self._abandon_runs(job)

    def stored_recovered(self) -> None:
        """Act on the ends and runs of stored jobs that were not known before."""
        now_ms = self._clock.now_ms()
        early, self._early_ends = self._early_ends, []
        for state, end in early:
            state.unsaved_ends.discard(end.number)
            self._run_ended(state, end, now_ms)
        for state in self._targets.values():
            for run in list(state.runs.values()):
                if run.job is None and run.state is not RunState.STOPPING:
                    self._adopt(state, run)

    def note_unheard(self, owners: Iterable[HostName]) -> None:
        """Start nothing for hosts that were not heard lately.

        They may have handed their jobs to another coordinator.
        """
        self._unheard = set(owners)

    def fenced_since_ms(self) -> dict[str, float]:
        """Return for each data centre since when another one has targets there."""
        since_ms: dict[str, float] = {}
        for state in self._targets.values():
            if state.fenced_ms is not None:
                data_centre = state.listing.data_centre
                known_ms = since_ms.get(data_centre, state.fenced_ms)
                since_ms[data_centre] = min(known_ms, state.fenced_ms)
        return since_ms

    def renew(self, token: int) -> None:
        """Go on with a later term of the same host, and look at what was taken."""
        self.token = token
        now_ms = self._clock.now_ms()
        for state in list(self._targets.values()):
            if state.phase is Phase.FENCED:
                self._leave_runs(state)
                self._take_target(state.listing, now_ms)

    def step_down(self) -> None:
        """Give no further orders, since a later term has begun."""
        if self.is_deposed:
            return
        self.is_deposed = True
        log_message("pool:stepped_down", token=self.token, jobs=len(self._jobs))

    def start_replied(
        self,
        name: str,
        born_ms: int,
        order: StartOrder,
        reply: Started | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Act on the reply to a start."""
        self._events.start_replied(reply)
        state = self._state(name, born_ms, order.takeover)
        if state is None:
            return
        now_ms = self._clock.now_ms()
        run = state.runs.get((order.task, order.run))
        if isinstance(reply, FencedOut):
            self._fence(state)
        elif isinstance(reply, Started):
            state.note_clock(reply.clock_ms, now_ms)
            if run is not None and run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            if run is not None:
                run.known_ms = now_ms
        elif run is None or run.state is not RunState.STARTING:
            return
        elif isinstance(reply, ReplyLost):
            self._note_trouble(state, now_ms, reply.cause)
            self._stop(state, run)
        else:
            self._start_failed(state, run, reply, now_ms)
        self._place()

    def stop_replied(
        self,
        name: str,
        born_ms: int,
        order: StopOrder,
        reply: Stopped | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Act on the reply to a stop."""
        state = self._state(name, born_ms, order.takeover)
        if state is None:
            return
        now_ms = self._clock.now_ms()
        if isinstance(reply, FencedOut):
            self._fence(state)
            return
        run = state.runs.get((order.task, order.run))
        if run is None or not isinstance(reply, Stopped):
            return
        state.note_clock(reply.clock_ms, now_ms)
        if run.stopped_ms is None:
            run.stopped_ms = now_ms
            self._look(state)

    def hold_replied(
        self,
        name: str,
        born_ms: int,
        order: HoldOrder,
        reply: HoldReply | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Act on the reply to a hold, and send the next one."""
        state = self._state(name, born_ms, order.takeover)
        if state is None:
            return
        now_ms = self._clock.now_ms()
        if order.wait_ms == 0:
            state.is_looking = False
        else:
            state.is_holding = False
        if isinstance(reply, HoldReply):
            state = self._take_lists(state, reply, order.sent_ms, now_ms)
            if state.unsaved_ends:
                state.next_hold_ms = now_ms + state.hold_pause_ms(now_ms)
        elif isinstance(reply, FencedOut):
            self._fence(state)
        else:
            self._hold_failed(state, reply, now_ms)
        # A target that is fenced goes on to refuse.
        is_due = state.phase is not Phase.FENCED and now_ms >= state.next_hold_ms
        if is_due and not state.is_holding:
            self._hold(state)
        self._place()

    def tick(self) -> None:
        """Act on the passing of time; to be called every few milliseconds."""
        if self.is_deposed:
            return
        now_ms = self._clock.now_ms()
        for state in list(self._targets.values()):
            self._tick_target(state, now_ms)
        self._queue.demote_late(now_ms)
        capacity_milli = sum(
            state.listing.capacity.cpu_milli
            for state in self._targets.values()
            if state.may_start(now_ms)
        )
        for job in self._queue.out_of_reach(now_ms, capacity_milli):
            self._close(job, JobEnd.REFUSED, "no room in time")
        for job in self._queue.hopeless(now_ms):
            self._close(job, JobEnd.REFUSED, "no room in time")
        self._place()

    def _state(self, name: str, born_ms: int, takeover: int) -> HeldTarget | None:
        state = self._targets.get(name)
        if self.is_deposed or state is None or state.listing.born_ms != born_ms:
            return None
        return state if state.takeover == takeover else None

    def _take_target(self, target: ListedTarget, now_ms: float) -> None:
        self._takeovers += 1
        state = HeldTarget(target, self._timing, self._takeovers, now_ms)
        if self._voids_ends:
            state.lapsing_until_ms = math.inf
        self._set_target(state)
        self._hold(state)

    def _set_target(self, state: HeldTarget) -> None:
        earlier = self._targets.get(state.listing.name)
        if earlier is not None:
            self._room.discard(earlier)
        self._targets[state.listing.name] = state
        self._room.add(state)

    def _leave_runs(self, state: HeldTarget) -> None:
        """Give up the jobs with runs at a target that another coordinator took."""
        for run in list(state.runs.values()):
            if run.job is not None and run.job.is_stored:
                run.job.is_resubmitted = True
                run.job.unheard_since_ms = self._clock.now_ms()
                self._vanished(state, run, self._clock.now_ms())
            elif run.job is not None and run.job.job.job_id in self._jobs:
                self._close(run.job, JobEnd.UNKNOWN, "another host took its target")
        for run in list(state.runs.values()):
            state.remove(run)
            self._note_gone(run)

    def _hold(self, state: HeldTarget) -> None:
        """Send the next hold, which extends the lease of a target that answers."""
        now_ms = self._clock.now_ms()
        is_held = state.phase is Phase.HELD and not state.owes_stop(now_ms)
        is_held = is_held and now_ms >= state.lapsing_until_ms
        is_sound = state.silent_since_ms is None and state.clock_offset_ms is not None
        until_ms = state.extend_lease(now_ms) if is_held and is_sound else None
        timing = self._timing
        wait_ms = timing.hold_wait_ms if is_held else timing.clearing_wait_ms
        state.is_holding = True
        self._events.counters.holds += 1
        order = HoldOrder(
            self.token,
            state.acked_through,
            wait_ms,
            until_ms,
            state.takeover,
            now_ms,
        )
        self._orders.hold(state.listing, order)

    def _look(self, state: HeldTarget) -> None:
        """Ask for the lists at once, beside a hold that waits."""
        if state.is_looking:
            return
        state.is_looking = True
        order = HoldOrder(
            self.token,
            state.acked_through,
            wait_ms=0,
            takeover=state.takeover,
            sent_ms=self._clock.now_ms(),
        )
        self._events.counters.holds += 1
        self._orders.hold(state.listing, order)

    def _take_lists(
        self, state: HeldTarget, reply: HoldReply, sent_ms: float, now_ms: float
    ) -> HeldTarget:
        """Take over what a target lists; return the state of the life that did."""
        state.tells_life = reply.born_ms is not None
        if reply.born_ms is not None and reply.born_ms != state.listing.born_ms:
            state = self._begin_life(state, reply, sent_ms)
        state.note_clock(reply.clock_ms, now_ms)
        state.silent_since_ms = None
        for end in reply.ended:
            if end.number > state.processed_through:
                state.processed_through = end.number
                self._run_ended(state, end, now_ms)
        active = set(reply.active)
        for key in active:
            if key not in state.runs:
                self._take_unknown(state, key, now_ms)
        for key, run in list(state.runs.items()):
            if key in active:
                self._confirm(state, run, now_ms)
            elif reply.has_more:
                continue
            elif run.was_known_before(sent_ms):
                self._vanished(state, run, now_ms)
        self._advance(state, now_ms)
        return state

    def _confirm(self, state: HeldTarget, run: Run, now_ms: float) -> None:
        run.known_ms = now_ms
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING

    def _take_unknown(
        self, state: HeldTarget, key: tuple[str, int], now_ms: float
    ) -> None:
        """Adopt a run of a job that is known and waits for it; list any other."""
        name, number = key
        job, task = self._find_task(name)
        is_wanted = task is not None and task in job.ready
        if is_wanted and not self.is_deputy and not self._is_unheard(job):
            run = Run(
                name, number, job, task, task.step.needs, RunState.RUNNING, now_ms
            )
            self._activate(job, task, now_ms)
            # A job that has begun goes first, and is not given up for being late.
            self._queue.discard(job)
            self._enqueue(job)
            task.next_run = max(task.next_run, number + 1)
        else:
            run = Run(name, number, None, None, NO_RESOURCES, RunState.RUNNING, now_ms)
            parsed = parse_task_name(name)
            if parsed:
                self._ending[parsed[0]] += 1
        run.known_ms = now_ms
        state.add(run)

    def _find_task(self, name: str) -> tuple[ActiveJob | None, PoolTask | None]:
        """Return the job and the task of that name, as far as they are known."""
        parsed = parse_task_name(name)
        if parsed is None:
            return None, None
        if self.journal is not None and parsed[0] not in self._jobs:
            self.journal.offer(parsed[0])
        job = self._jobs.get(parsed[0])
        return job, job.tasks.get(parsed[1]) if job else None

    def _adopt(self, state: HeldTarget, run: Run) -> None:
        """Take over a run of a stored job that has become known after the run."""
        job, task = self._find_task(run.name)
        if task is None or not job.is_stored or task not in job.ready:
            return
        self._note_gone(run)
        state.remove(run)
        run.job, run.task, run.needs = job, task, task.step.needs
        state.add(run)
        self._activate(job, task, run.started_ms)
        task.next_run = max(task.next_run, run.number + 1)

    def _advance(self, state: HeldTarget, now_ms: float) -> None:
        """Move a target on towards being held."""
        if state.phase is Phase.LOOKING:
            state.phase = Phase.CLEARING
            if self._voids_ends:
                state.lapsing_until_ms = now_ms + self._timing.lapse_bound_ms
        if state.phase is not Phase.CLEARING and state.phase is not Phase.HELD:
            return
        strangers = [run for run in state.runs.values() if run.job is None]
        if state.phase is Phase.HELD or self._is_adoption_over(state, now_ms):
            for run in strangers:
                if run.state is not RunState.STOPPING:
                    self._stop(state, run)
        if state.phase is Phase.CLEARING and not strangers:
            state.phase = Phase.HELD

    def _is_adoption_over(self, state: HeldTarget, now_ms: float) -> bool:
        is_recovering = self.journal is not None and self.journal.is_recovering
        timing = self._timing
        wait_ms = timing.recovery_ms if is_recovering else timing.adoption_ms
        return now_ms >= state.looking_since_ms + wait_ms

    def _run_ended(self, state: HeldTarget, end: RunEnd, now_ms: float) -> None:
        """Act on an end, which its target forgets once what it means is saved."""
        journal = self.journal
        parsed = parse_task_name(end.task)
        job_id = parsed[0] if parsed else ""
        if journal is None:
            if now_ms < state.lapsing_until_ms and job_id not in self._jobs:
                state.note_unsaved(end.number, now_ms)
            self._act_on_end(state, end, now_ms)
            return
        if journal.is_recovering and job_id not in self._jobs:
            # It may be the end of a stored job that has not been read yet.
            state.note_unsaved(end.number, now_ms)
            self._early_ends.append((state, end))
            return
        self._act_on_end(state, end, now_ms)
        if journal.is_unsaved(job_id):
            state.note_unsaved(end.number, now_ms)
            journal.when_saved(job_id, lambda: self._end_saved(state, end.number))

    def _end_saved(self, state: HeldTarget, number: int) -> None:
        state.unsaved_ends.discard(number)
        if not state.unsaved_ends and state.silent_since_ms is None:
            state.next_hold_ms = 0.0
            if self._targets.get(state.listing.name) is state:
                self._hold_if_due(state)

    def _hold_if_due(self, state: HeldTarget) -> None:
        is_idle = not state.is_holding and not self.is_deposed
        if is_idle and self._clock.now_ms() >= state.next_hold_ms:
            self._hold(state)

    def _act_on_end(self, state: HeldTarget, end: RunEnd, now_ms: float) -> None:
        run = state.runs.get((end.task, end.run))
        if run is None:
            self._credit_earlier_end(end)
            return
        state.remove(run)
        job, task = run.job, run.task
        if job is None or task is None:
            self._note_gone(run)
            job, task = self._find_task(run.name)
            if task is not None and job.is_stored:
                self._credit_stored_end(job, task, end)
            return
        if end.how == _DONE:
            if job.is_stored:
                self.journal.task_done(job.job.job_id, task.key)
            self._note_done(state, run, now_ms)
        elif end.how == _FAILED:
            if job.is_stored:
                self.journal.task_failed(job.job.job_id, task.key, run.number)
            self._note_failed(state, run, now_ms)
        else:
            self._requeue(run, now_ms, end.how)

    def _credit_earlier_end(self, end: RunEnd) -> None:
        """Count an end that an earlier coordinator has not acknowledged."""
        job, task = self._find_task(end.task)
        if task is None:
            return
        task.next_run = max(task.next_run, end.run + 1)
        if job.is_stored:
            self._credit_stored_end(job, task, end)
        elif end.how == _DONE and task in job.ready:
            job.ready.remove(task)
            job.note_done(task)
            self._complete_if_done(job)

    def _credit_stored_end(self, job: ActiveJob, task: PoolTask, end: RunEnd) -> None:
        """Count an end for good, also one of a task that runs again."""
        job_id = job.job.job_id
        if task.state is TaskState.DONE:
            return
        if end.how == _FAILED and self.journal.task_failed(job_id, task.key, end.run):
            task.failures += 1
            if task.failures >= job.job.max_attempts:
                self._close(job, JobEnd.FAILED, "a task failed too often")
        if end.how != _DONE:
            return
        self.journal.task_done(job_id, task.key)
        if task.state is TaskState.ACTIVE:
            self._abandon_task(task)
        elif task in job.ready:
            job.ready.remove(task)
        job.note_done(task)
        if not self._complete_if_done(job):
            self._enqueue(job)

    def _abandon_task(self, task: PoolTask) -> None:
        for state in self._targets.values():
            for run in list(state.runs.values()):
                if run.task is task:
                    self._abandon(state, run)

    def _note_done(self, state: HeldTarget, run: Run, now_ms: float) -> None:
        state.health.note_success()
        job, task = run.job, run.task
        job.active_count -= 1
        job.note_run_time(task, now_ms - run.started_ms)
        job.note_done(task)
        if job.job.job_id not in self._jobs:
            return
        self._complete_if_done(job)
        if job.ready:
            self._enqueue(job)

    def _complete_if_done(self, job: ActiveJob) -> bool:
        if job.is_complete:
            self._close(job, JobEnd.COMPLETED)
        return job.is_complete

    def _note_failed(self, state: HeldTarget, run: Run, now_ms: float) -> None:
        state.paused_until_ms = max(
            state.paused_until_ms, state.health.note_failure(now_ms)
        )
        run.task.failures += 1
        run.task.barred.add(state.listing.name)
        if run.task.failures >= run.job.job.max_attempts:
            run.job.active_count -= 1
            self._close(run.job, JobEnd.FAILED, "a task failed too often")
            return
        self._requeue(run, now_ms, "failed")

    def _vanished(
        self,
        state: HeldTarget,
        run: Run,
        now_ms: float,
        cause: str = "not listed by the target",
    ) -> None:
        """Take a run that its target lists no longer as ended."""
        state.remove(run)
        if run.job is None:
            self._note_gone(run)
        else:
            self._requeue(run, now_ms, cause)

    def _note_gone(self, run: Run) -> None:
        parsed = parse_task_name(run.name)
        if parsed is None:
            return
        self._ending[parsed[0]] -= 1
        if self._ending[parsed[0]] <= 0:
            del self._ending[parsed[0]]

    def _requeue(self, run: Run, now_ms: float, cause: str) -> None:
        """Let the task of a run that ended without a result run again."""
        job, task = run.job, run.task
        job.active_count -= 1
        task.state = TaskState.WAITING
        if self._jobs.get(job.job.job_id) is not job:
            return
        self._events.run_again(run, cause, now_ms)
        job.ready.insert(0, task)
        self._enqueue(job)

    def _enqueue(self, job: ActiveJob) -> None:
        if job.ready and job not in self._queue:
            self._queue.add(job, self._clock.now_ms())

    def _start_failed(
        self, state: HeldTarget, run: Run, reply: Refused | NotReached, now_ms: float
    ) -> None:
        state.remove(run)
        if isinstance(reply, NotReached):
            self._note_trouble(state, now_ms, reply.cause)
        elif reply.reason == "room":
            state.paused_until_ms = now_ms + 20
            self._look(state)
        elif reply.reason == "instance":
            self._note_trouble(state, now_ms, reply.reason)
            self._look(state)
        elif reply.reason == "late":
            state.clock_offset_ms = None
            self._look(state)
        elif reply.reason == "unhealthy":
            pause_ms = state.health.note_fault(now_ms)
            state.paused_until_ms = max(state.paused_until_ms, pause_ms)
        elif reply.reason != "old":
            log_message("pool:start_refused", level="warning", reason=reply.reason)
            run.job.active_count -= 1
            if self._jobs.get(run.job.job.job_id) is run.job:
                self._close(run.job, JobEnd.FAILED, f"target: {reply.reason}")
            return
        cause = "unreached" if isinstance(reply, NotReached) else reply.reason
        self._requeue(run, now_ms, cause)

    def _note_trouble(self, state: HeldTarget, now_ms: float, cause: str) -> None:
        """Look at a target that did not answer before it gets more work."""
        if state.silent_since_ms is None:
            state.silent_since_ms = now_ms
            self._events.counters.silent_targets += 1
            log_message("pool:target_silent", target=state.listing.name, cause=cause)
        self._look(state)

    def _hold_failed(
        self, state: HeldTarget, reply: Refused | NotReached | ReplyLost, now_ms: float
    ) -> None:
        if state.silent_since_ms is None:
            state.silent_since_ms = now_ms
            self._events.counters.silent_targets += 1
            log_message(
                "pool:target_silent",
                target=state.listing.name,
                cause=getattr(reply, "cause", None) or reply.reason,
            )
        state.next_hold_ms = now_ms + self._timing.order_retry_ms

    def _stop(self, state: HeldTarget, run: Run) -> None:
        """Order the end of a run, until the target confirms it."""
        run.state = RunState.STOPPING
        run.stop_sent_ms = self._clock.now_ms()
        if run.stop_wanted_ms is None:
            run.stop_wanted_ms = run.stop_sent_ms
        order = StopOrder(run.name, run.number, self.token, state.takeover)
        self._events.counters.stops += 1
        self._orders.stop(state.listing, order)

    def _fence(self, state: HeldTarget) -> None:
        if state.phase is not Phase.FENCED:
            state.phase = Phase.FENCED
            state.fenced_ms = self._clock.now_ms()
            log_message("pool:target_fenced", target=state.listing.name)

    def _tick_target(self, state: HeldTarget, now_ms: float) -> None:
        timing = self._timing
        if state.phase is Phase.FENCED:
            self._lapse_fenced(state, now_ms)
            return
        if state.lapse_ms <= now_ms and state.silent_since_ms is not None:
            self._lapse(state, now_ms)
        if self._voids_ends and now_ms >= state.lapsing_until_ms:
            state.unsaved_ends.clear()
        for run in list(state.runs.values()):
            if run.state is RunState.STOPPING:
                if (
                    run.stopped_ms is None
                    and now_ms - run.stop_sent_ms >= timing.order_retry_ms
                ):
                    self._stop(state, run)
            elif run.job is not None and self._is_overdue(run, now_ms):
                self._give_up_run(state, run, now_ms)
        if not state.is_holding and now_ms >= state.next_hold_ms:
            self._hold(state)
        unlisted_ms = state.unlisted_since_ms
        is_gone = unlisted_ms is not None and now_ms - unlisted_ms > timing.unlisted_ms
        if is_gone and not state.runs:
            self._end_life(state, "not listed any more")

    def _is_overdue(self, run: Run, now_ms: float) -> bool:
        return now_ms - run.started_ms > run.job.longest_run_ms(run.task)

    def _give_up_run(self, state: HeldTarget, run: Run, now_ms: float) -> None:
        """Stop a run that hangs, to make it elsewhere."""
        run.task.barred.add(state.listing.name)
        run.task.overdue += 1
        self._events.counters.overdue_runs += 1
        pause_ms = state.health.note_fault(now_ms)
        state.paused_until_ms = max(state.paused_until_ms, pause_ms)
        log_message(
            "pool:run_overdue",
            target=state.listing.name,
            task=run.name,
            ran_ms=int(now_ms - run.started_ms),
            estimate_ms=run.task.step.estimate_ms,
        )
        self._stop(state, run)

    def _lapse(
        self, state: HeldTarget, now_ms: float, cause: str = "the lease lapsed"
    ) -> None:
        """Take all runs of a target whose lease has surely ended as ended."""
        for run in list(state.runs.values()):
            self._vanished(state, run, now_ms, cause)

    def _begin_life(
        self, state: HeldTarget, reply: HoldReply, sent_ms: float
    ) -> HeldTarget:
        """Return the state of a new life, with the runs that may have reached it.

        A start for the earlier life, sent before its end was noticed, may have been
        taken by the new one, or still be on its way there.
        """
        now_ms = self._clock.now_ms()
        log_message(
            "pool:target_gone", target=state.listing.name, cause="another life answered"
        )
        listing = self._listed.get(state.listing.name)
        is_listed = listing is not None and listing.born_ms == reply.born_ms
        if not is_listed:
            listing = attrs.evolve(state.listing, born_ms=reply.born_ms)
        self._takeovers += 1
        new = HeldTarget(listing, self._timing, self._takeovers, now_ms)
        new.is_unlisted_life = not is_listed
        new.lapse_ms = now_ms + self._timing.quiet_bound_ms
        self._set_target(new)
        active = set(reply.active)
        for key, run in list(state.runs.items()):
            is_open = run.known_ms is None or run.known_ms >= sent_ms
            if key in active or is_open:
                state.remove(run)
                new.add(run)
            if key not in active and is_open:
                run.known_ms = None
                self._stop(new, run)
        self._lapse(state, now_ms, "another life answered")
        return new

    def _lapse_fenced(self, state: HeldTarget, now_ms: float) -> None:
        """Take the runs of a target as ended that whoever took it may have adopted.

        If a later term has taken stored jobs over, this host knows by ``seclusion_ms``.
        """
        over_ms = now_ms - state.fenced_ms - self._timing.quiet_bound_ms
        if over_ms < 0:
            return
        for run in list(state.runs.values()):
            is_stored = run.job is not None and run.job.is_stored
            if not is_stored or over_ms >= self._timing.seclusion_ms:
                self._vanished(state, run, now_ms, "the lease lapsed")

    def _end_life(self, state: HeldTarget, cause: str) -> None:
        """Forget a life of a target that is over, with all that ran there."""
        now_ms = self._clock.now_ms()
        log_message("pool:target_gone", target=state.listing.name, cause=cause)
        self._room.discard(self._targets.pop(state.listing.name))
        if state.silent_since_ms is not None or state.phase is Phase.LOOKING:
            self._missing.add(state.listing.name)
        self._orders.forget(state.listing)
        self._lapse(state, now_ms, cause)

    def _close(self, job: ActiveJob, end: JobEnd, cause: str = "") -> None:
        """Answer everyone who waits for a job, and stop what still runs of it."""
        self._jobs.pop(job.job.job_id, None)
        self._queue.discard(job)
        if job.is_stored:
            self.journal.job_ended(job.job.job_id, end)
        may_have_run = job.first_start_ms is not None or job.is_resubmitted
        if end is JobEnd.REFUSED and may_have_run:
            # A refusal would say that nothing has run.
            end = JobEnd.UNKNOWN
        self._events.job_closed(job, end, cause, self._clock.now_ms())
        retry_ms = _RETRY_MS if end is JobEnd.REFUSED else 0
        for owner, submission in job.submissions:
            self._by_submission.pop((owner, submission), None)
            answer = SubmissionAnswer(submission, end, cause, retry_ms)
            self._send_answer(owner, answer)
        job.submissions.clear()
        self._abandon_runs(job)

    def _abandon_runs(self, job: ActiveJob) -> None:
        if not job.active_count:
            return
        for state in self._targets.values():
            for run in list(state.runs.values()):
                if run.job is job:
                    self._abandon(state, run)

    def _abandon(self, state: HeldTarget, run: Run) -> None:
        run.job.active_count -= 1
        run.job = run.task = None
        self._ending[parse_task_name(run.name)[0]] += 1
        if run.state is not RunState.STOPPING:
            self._stop(state, run)

    def _place(self) -> None:
        """Start waiting tasks, in the order of the queue, where there is room."""
        if self.is_deposed or not len(self._queue):
            return
        now_ms = self._clock.now_ms()
        misfits = 0
        for job in list(self._queue.in_order()):
            if misfits >= _MOST_MISFITS:
                return
            if self._must_wait(job, now_ms):
                continue
            misfits += not self._place_job(job, now_ms)

    def _must_wait(self, job: ActiveJob, now_ms: float) -> bool:
        """Tell whether an earlier run of the job may still be going on somewhere."""
        if job.job.job_id in self._ending or self._is_unheard(job):
            return True
        if not job.is_resubmitted:
            return False
        if now_ms >= job.unheard_since_ms + self._timing.quiet_bound_ms:
            return False
        return (
            self.is_deputy
            or bool(self._missing)
            or any(
                state.phase is not Phase.HELD or state.silent_since_ms is not None
                for state in self._targets.values()
            )
        )

    def _is_unheard(self, job: ActiveJob) -> bool:
        return bool(job.submissions) and all(
            owner in self._unheard for owner, _ in job.submissions
        )

    def _place_job(self, job: ActiveJob, now_ms: float) -> bool:
        """Start tasks of one job; return whether none of them waits for room."""
        is_first = job.first_start_ms is None
        for task in list(job.ready):
            state = choose_target(job, task, self._room, now_ms)
            if state is None:
                break
            self._start(state, job, task, now_ms)
        if not job.ready:
            self._queue.discard(job)
            return True
        if is_first and job.first_start_ms is not None:
            self._queue.add(job, now_ms)
        return False

    def _activate(self, job: ActiveJob, task: PoolTask, now_ms: float) -> None:
        task.state = TaskState.ACTIVE
        job.ready.remove(task)
        job.active_count += 1
        if job.first_start_ms is None:
            job.first_start_ms = now_ms
            if job.is_stored:
                self.journal.task_started(job.job.job_id)

    def _start(
        self, state: HeldTarget, job: ActiveJob, task: PoolTask, now_ms: float
    ) -> None:
        self._activate(job, task, now_ms)
        name = task_name(job.job.job_id, task.key)
        number, task.next_run = task.next_run, task.next_run + 1
        run = Run(name, number, job, task, task.step.needs, RunState.STARTING, now_ms)
        state.add(run)
        self._events.run_started(run, state.listing.name, now_ms)
        until_ms = state.extend_lease(now_ms)
        order = StartOrder(
            name, number, job.job.payload, until_ms, self.token, state.takeover
        )
        self._orders.start(state.listing, order)
