"""The coordinator of a pool: gives all orders to its targets while its term lasts."""

__all__ = ["Coordinator", "SendAnswer"]

from collections.abc import Callable, Iterable

from eliot import log_message

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.coordination.lives import replace_listing, retake_fenced
from hibiscusstack.pool.coordination.passing_time import pass_time
from hibiscusstack.pool.coordination.replies import (
    take_hold_reply,
    take_start_reply,
    take_stop_reply,
)
from hibiscusstack.pool.coordination.starting import start_waiting
from hibiscusstack.pool.coordination.state import CoordinatorState, SendAnswer
from hibiscusstack.pool.coordination.stored_jobs import (
    cancel_stored_job,
    look_for_end,
    recover_stored_jobs,
    release_stored_jobs,
    take_stored_job,
)
from hibiscusstack.pool.coordination.submissions import (
    cancel_submission,
    cancel_submissions_of,
    take_submission,
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
from hibiscusstack.pool.target_state import TargetState
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming


class Coordinator:
    """Orders all work of one term at the targets of the pools.

    ``token`` is the fencing token of the term. Replies of targets, messages of hosts
    and the passing of time come in as calls; orders go out through ``orders``, answers
    through ``send_answer``. A task is started again only once its earlier run is known
    to have ended, or the lease that it ran under has surely lapsed.

    ``missing`` names targets that were listed earlier and are not now: an earlier
    coordinator may still have work there, until ``forget_missing`` is called. A deputy
    has only some of the targets, and the coordinator that it stands in for may still be
    at work elsewhere: it adopts no run, and waits as long as that one may take to
    notice. With ``voids_ends`` it lets the leases lapse that it finds, so that ends of
    stored jobs, which it does not know, do not count.

    ``ordering`` says in which order jobs get room and when they are given up.

    What it decides is in the modules of ``coordination``.
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
        discards_earlier_ends: bool = False,
        ordering: OrderingPolicy | None = None,
    ) -> None:
        self._state = CoordinatorState(
            token=token,
            clock=clock,
            orders=orders,
            send_answer=send_answer,
            timing=timing or CoordinatorTiming(),
            events=events or PoolEvents(),
            missing=set(missing),
            is_deputy=is_deputy,
            voids_ends=discards_earlier_ends,
            began_ms=clock.now_ms(),
            queue=JobQueue(ordering),
        )

    @property
    def token(self) -> int:
        """The fencing token of the term."""
        return self._state.token

    @property
    def is_superseded(self) -> bool:
        """Whether a later term has begun."""
        return self._state.is_deposed

    @property
    def is_deputy(self) -> bool:
        """Whether this is a deputy in a data centre that is cut off."""
        return self._state.is_deputy

    @property
    def journal(self) -> TaskJournal | None:
        """What keeps the progress of stored jobs, if they are run here."""
        return self._state.journal

    @journal.setter
    def journal(self, journal: TaskJournal | None) -> None:
        self._state.journal = journal

    @property
    def job_count(self) -> int:
        """The number of jobs in progress."""
        return len(self._state.jobs)

    def targets(self) -> list[TargetState]:
        """Return what is known of each target."""
        return list(self._state.targets.values())

    def waiting_jobs(self) -> list[ActiveJob]:
        """Return the jobs with tasks that wait for room, the next one first."""
        return list(self._state.queue.in_order())

    def fenced_since_ms(self) -> dict[str, float]:
        """Return for each data centre since when another one has targets there."""
        since_ms: dict[str, float] = {}
        for target in self._state.targets.values():
            if target.fenced_ms is not None:
                data_centre = target.listing.data_centre
                known_ms = since_ms.get(data_centre, target.fenced_ms)
                since_ms[data_centre] = min(known_ms, target.fenced_ms)
        return since_ms

    def replace_targets(self, listed: Iterable[ListedTarget]) -> None:
        """Take over a newer list of targets."""
        replace_listing(self._state, listed)
        start_waiting(self._state)

    def submit(self, owner: HostName, message: SubmitPoolJob) -> None:
        """Take a job from the host that received it.

        A job that is known already is joined: it stays one job.
        """
        take_submission(self._state, owner, message)

    def cancel(self, owner: HostName, submission: int) -> None:
        """Forget a submission, and stop its job if nobody else waits for it."""
        cancel_submission(self._state, owner, submission)

    def owner_lost(self, owner: HostName) -> None:
        """Stop all work for a host that is gone: its callers will send it again."""
        cancel_submissions_of(self._state, owner)

    def set_unheard_owners(self, owners: Iterable[HostName]) -> None:
        """Start nothing for hosts that were not heard lately.

        They may have handed their jobs to another coordinator.
        """
        self._state.unheard = set(owners)

    @property
    def has_missing(self) -> bool:
        """Whether a target is missing at which others may have work."""
        return bool(self._state.missing)

    def forget_missing(self) -> None:
        """Wait for no target that is missing, since nobody else orders any."""
        self._state.missing.clear()

    def run_stored(self, job: ActiveJob) -> None:
        """Take a stored job; nothing of it starts within this call."""
        take_stored_job(self._state, job)

    def place_stored(self) -> None:
        """Start what was taken, where there is room."""
        start_waiting(self._state)

    def cancel_stored(self, job_id: str) -> None:
        """Stop a stored job."""
        cancel_stored_job(self._state, job_id)

    def look_for_end(self, job_id: str, on_looked: Callable[[], None]) -> None:
        """Look at the targets with the last runs of a job, which may have ended.

        Nothing is looked at where tasks still wait. A target that does not answer lets
        ``on_looked`` wait.
        """
        look_for_end(self._state, job_id, on_looked)

    def release_stored(self) -> None:
        """Leave all stored jobs, and stop their runs.

        Another coordinator may run their tasks once the leases here have lapsed.
        """
        release_stored_jobs(self._state)

    def stored_recovered(self) -> None:
        """Act on the ends and runs of stored jobs that were not known before."""
        recover_stored_jobs(self._state)

    def renew(self, token: int) -> None:
        """Go on with a later term of the same host, and look at what was taken."""
        self._state.token = token
        retake_fenced(self._state)

    def step_down(self) -> None:
        """Give no further orders, since a later term has begun."""
        state = self._state
        if state.is_deposed:
            return
        state.is_deposed = True
        log_message("pool:stepped_down", token=state.token, jobs=len(state.jobs))

    def start_replied(
        self,
        name: str,
        instance_started_ms: int,
        order: StartOrder,
        reply: Started | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Act on the reply to a start."""
        take_start_reply(self._state, name, instance_started_ms, order, reply)

    def stop_replied(
        self,
        name: str,
        instance_started_ms: int,
        order: StopOrder,
        reply: Stopped | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Act on the reply to a stop."""
        take_stop_reply(self._state, name, instance_started_ms, order, reply)

    def hold_replied(
        self,
        name: str,
        instance_started_ms: int,
        order: HoldOrder,
        reply: HoldReply | Refused | FencedOut | NotReached | ReplyLost,
    ) -> None:
        """Act on the reply to a hold, and send the next one."""
        take_hold_reply(self._state, name, instance_started_ms, order, reply)

    def tick(self) -> None:
        """Act on the passing of time; to be called every few milliseconds."""
        if not self._state.is_deposed:
            pass_time(self._state)
            start_waiting(self._state)
