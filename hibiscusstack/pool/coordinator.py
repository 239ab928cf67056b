"""The pool coordinator, which sends all orders to targets during one term."""

__all__ = ["Coordinator", "SendAnswer"]

from collections.abc import Callable, Collection, Iterable

from eliot import log_message

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.coordination.adoption import adopt_stray_runs
from hibiscusstack.pool.coordination.evacuating import (
    refuse_stranded_jobs,
    set_evacuated,
)
from hibiscusstack.pool.coordination.lost_targets import mark_suspects
from hibiscusstack.pool.coordination.periodic_checks import run_periodic_checks
from hibiscusstack.pool.coordination.replies import (
    handle_hold_reply,
    handle_start_reply,
    handle_stop_reply,
)
from hibiscusstack.pool.coordination.starting import start_waiting_tasks
from hibiscusstack.pool.coordination.state import CoordinatorState, SendAnswer
from hibiscusstack.pool.coordination.stored_jobs import (
    add_stored_job,
    cancel_stored_job,
    poll_for_end,
    recover_stored_jobs,
    release_stored_jobs,
)
from hibiscusstack.pool.coordination.submissions import (
    add_submission,
    cancel_submission,
    cancel_submissions_of,
)
from hibiscusstack.pool.coordination.target_instances import (
    apply_target_list,
    reclaim_fenced_targets,
    take_over_unlisted,
)
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.messages import SubmitPoolJob
from hibiscusstack.pool.ordering import JobQueue, OrderingPolicy
from hibiscusstack.pool.orders import (
    FencedOut,
    HoldOrder,
    HoldReply,
    NotReached,
    Refused,
    ReplyLost,
    Started,
    StartOrder,
    StopOrder,
    Stopped,
    TargetOrders,
)
from hibiscusstack.pool.stored.interfaces import TaskJournal
from hibiscusstack.pool.target_losses import TargetLosses
from hibiscusstack.pool.target_records import RecordedTargets
from hibiscusstack.pool.target_state import TargetState
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming


class Coordinator:
    """Schedules the jobs of the pools on their targets during one term.

    ``token`` is the fencing token of the term. Target replies, host messages and clock
    ticks come in as method calls. Orders go out through ``orders`` and answers through
    ``send_answer``. A task is started again only after its previous run is known to
    have ended, or after the lease of that run has certainly expired.

    ``records`` are the targets that are recorded in the log, where a later coordinator
    reads them. Tasks are started only at these, and an earlier coordinator may have
    work only at these. Without ``records``, all listed targets count as recorded.
    ``losses`` are the targets that were lost with their runs, also during earlier
    terms; tasks that crash their targets are given up.

    A deputy controls only some of the targets, and the coordinator that it replaces may
    still be running elsewhere. The deputy therefore adopts no runs. Before it starts
    tasks of a resubmitted job, it waits until that coordinator must have noticed the
    loss of its hosts and ended its work. A deputy does not know the stored jobs, so an
    end of an unknown job's run must not count. It leaves such ends unacknowledged, does
    not renew the lease that it finds on their target until that has expired, and
    discards them afterwards.

    ``ordering`` sets the order in which waiting jobs get capacity, and when a job is
    rejected.

    The decisions are made by the modules of ``coordination``.
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
        records: RecordedTargets | None = None,
        losses: TargetLosses | None = None,
        is_deputy: bool = False,
        ordering: OrderingPolicy | None = None,
    ) -> None:
        self._state = CoordinatorState(
            token=token,
            clock=clock,
            orders=orders,
            send_answer=send_answer,
            timing=timing or CoordinatorTiming(),
            events=events or PoolEvents(),
            records=records,
            losses=losses or TargetLosses(clock),
            is_deputy=is_deputy,
            term_started_ms=clock.now_ms(),
            queue=JobQueue(ordering),
        )

    @property
    def token(self) -> int:
        """The fencing token of the term."""
        return self._state.token

    @property
    def is_superseded(self) -> bool:
        """Whether a later term has or may have begun, so no more orders are sent."""
        return self._state.is_superseded

    @property
    def is_deputy(self) -> bool:
        """Whether this is a deputy, which runs in an isolated data centre."""
        return self._state.is_deputy

    @property
    def journal(self) -> TaskJournal | None:
        """The journal of the progress of stored jobs; ``None`` if none run here."""
        return self._state.journal

    @journal.setter
    def journal(self, journal: TaskJournal | None) -> None:
        self._state.journal = journal

    @property
    def job_count(self) -> int:
        """The number of jobs in progress."""
        return len(self._state.jobs)

    def targets(self) -> list[TargetState]:
        """Return the state of each target."""
        return list(self._state.targets.values())

    def waiting_jobs(self) -> list[ActiveJob]:
        """Return the jobs with tasks that wait for capacity, in queue order."""
        return list(self._state.queue.in_order())

    def fenced_since_ms(self) -> dict[str, float]:
        """Return by data centre when the first of its fenced targets was fenced.

        A fenced target has accepted another coordinator with a higher token.
        """
        since_ms: dict[str, float] = {}
        for target in self._state.targets.values():
            if target.fenced_ms is not None:
                data_centre = target.listing.data_centre
                known_ms = since_ms.get(data_centre, target.fenced_ms)
                since_ms[data_centre] = min(known_ms, target.fenced_ms)
        return since_ms

    def replace_targets(self, listed: Iterable[ListedTarget]) -> None:
        """Apply a newer list of targets."""
        apply_target_list(self._state, listed)
        start_waiting_tasks(self._state)

    def set_evacuated(self, data_centres: Collection[str]) -> None:
        """Start nothing more at the targets of these data centres, unlike all others.

        Data centres that were set before and are missing get work again.
        """
        set_evacuated(self._state, data_centres)
        start_waiting_tasks(self._state)
        refuse_stranded_jobs(self._state)

    def take_over_unlisted(self, recorded: Iterable[ListedTarget]) -> None:
        """Poll the recorded targets that are not listed, for runs that go on there."""
        take_over_unlisted(self._state, recorded)

    def unrecorded_targets(self) -> list[ListedTarget]:
        """Return the listed targets that must be recorded before they are used."""
        state = self._state
        unrecorded = (state.targets[name] for name in sorted(state.unrecorded))
        return [t.listing for t in unrecorded if t.unlisted_since_ms is None]

    def records_changed(self) -> None:
        """Use the targets that have been recorded in the log."""
        for target in self._state.targets.values():
            self._state.update_recorded(target)
        adopt_stray_runs(self._state)
        start_waiting_tasks(self._state)

    def losses_changed(self) -> None:
        """Use what has been read about lost targets."""
        for job in self._state.jobs.values():
            mark_suspects(self._state, job)
            self._state.queue.update_kinds(job)

    def missing_targets(self) -> list[str]:
        """Return the names of the recorded targets that are not under control here."""
        return list(self._state.missing_names())

    def submit(self, owner: HostName, message: SubmitPoolJob) -> None:
        """Accept a job from the host that received it.

        A second submission of a known job is attached to that job.
        """
        add_submission(self._state, owner, message)

    def cancel(self, owner: HostName, submission: int) -> None:
        """Drop a submission, and stop its job if no other submission waits for it."""
        cancel_submission(self._state, owner, submission)

    def owner_lost(self, owner: HostName) -> None:
        """Cancel all submissions of a lost host; its callers will send them again."""
        cancel_submissions_of(self._state, owner)

    def set_unheard_owners(self, owners: Iterable[HostName]) -> None:
        """Set the owners that have not been heard from recently.

        The owner of a job is the host that received it from its caller. No tasks are
        started for these owners, because they may have sent their jobs to another
        coordinator.
        """
        self._state.unheard_owners = set(owners)

    @property
    def needs_term_confirmation(self) -> bool:
        """Whether stored tasks wait for :meth:`confirm_term`."""
        return self._state.needs_term_confirmation

    def confirm_term(self, as_of_ms: float) -> None:
        """Note that no later term had begun at ``as_of_ms``.

        Tasks whose runs were presumed to have ended before then may start again.
        """
        self._state.term_confirmed_ms = max(self._state.term_confirmed_ms, as_of_ms)

    def add_stored_job(self, job: ActiveJob) -> None:
        """Queue a stored job; none of its tasks start within this call."""
        add_stored_job(self._state, job)

    def start_stored_jobs(self) -> None:
        """Start waiting tasks of all queued jobs where there is capacity."""
        start_waiting_tasks(self._state)

    def cancel_stored_job(self, job_id: str) -> None:
        """Stop a stored job."""
        cancel_stored_job(self._state, job_id)

    def poll_for_end(self, job_id: str, on_polled: Callable[[], None]) -> None:
        """Poll the targets that run the last tasks of a job, which may have ended.

        If tasks of the job still wait, no target is polled. ``on_polled`` is called
        once every polled target has replied, so an unresponsive target delays it.
        """
        poll_for_end(self._state, job_id, on_polled)

    def release_stored_jobs(self) -> None:
        """Give up all stored jobs and stop their runs.

        Another coordinator may run their tasks once the leases here have expired.
        """
        release_stored_jobs(self._state)

    def stored_jobs_recovered(self) -> None:
        """Handle ends and runs whose stored jobs have become known."""
        recover_stored_jobs(self._state)

    def adopt_token(self, token: int) -> None:
        """Continue with the token of a later term of the same host.

        Targets that were fenced by another coordinator are taken over again.
        """
        self._state.token = token
        reclaim_fenced_targets(self._state)

    def step_down(self) -> None:
        """Send no further orders: this coordinator is superseded by a later term."""
        state = self._state
        if state.has_stepped_down:
            return
        state.has_stepped_down = True
        log_message(
            "pool:stepped_down",
            token=state.token,
            jobs=len(state.jobs),
            listed=len(state.listed),
        )
        self.log_open_runs("stepped down")

    def log_open_runs(self, cause: str) -> None:
        """Log the runs that are open at the targets, as this coordinator ends."""
        self._state.events.coordination_ending(
            self.token,
            cause,
            (
                (run, target.listing.name)
                for target in self._state.targets.values()
                for run in target.runs.values()
            ),
        )

    def start_replied(
        self,
        name: str,
        instance_started_ms: int,
        order: StartOrder,
        reply: Started | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Handle the reply to a start order."""
        handle_start_reply(self._state, name, instance_started_ms, order, reply)

    def stop_replied(
        self,
        name: str,
        instance_started_ms: int,
        order: StopOrder,
        reply: Stopped | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Handle the reply to a stop order."""
        handle_stop_reply(self._state, name, instance_started_ms, order, reply)

    def hold_replied(
        self,
        name: str,
        instance_started_ms: int,
        order: HoldOrder,
        reply: HoldReply | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Handle the reply to a hold, and send the next hold."""
        handle_hold_reply(self._state, name, instance_started_ms, order, reply)

    def tick(self) -> None:
        """Handle timeouts and start tasks; to be called every few milliseconds."""
        if not self._state.has_stepped_down:
            run_periodic_checks(self._state)
            start_waiting_tasks(self._state)
