"""State that a coordinator keeps about one target instance and its runs."""

__all__ = ["Run", "RunKey", "RunState", "TakeoverPhase", "TargetState"]

import math
from collections.abc import Callable
from enum import Enum

import attrs

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask
from hibiscusstack.pool.health import TargetHealth
from hibiscusstack.pool.jobs import NO_RESOURCES, Resources
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming

RunKey = tuple[str, int]

_MIN_HOLD_DELAY_MS = 20.0
_MAX_HOLD_DELAY_MS = 200.0
_MAX_UNACKNOWLEDGED_ENDS = 300


class TakeoverPhase(Enum):
    """Progress of the takeover of a target.

    ``UNCONFIRMED``: the target has not confirmed the token of this coordinator yet, so
    an earlier coordinator may still send orders. ``RECONCILING``: the earlier
    coordinator is fenced out. Its runs are adopted if their jobs are known or become
    known; the others are stopped. ``HELD``: the target runs only work of this
    coordinator. ``FENCED``: the target has accepted another coordinator with a higher
    token.
    """

    UNCONFIRMED = "looking"
    RECONCILING = "clearing"
    HELD = "held"
    FENCED = "fenced"


class RunState(Enum):
    """State of a run, as far as the coordinator knows."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """One run of a task.

    ``job`` and ``task`` are ``None`` for a run that belongs to no known job.
    ``started_ms`` is when the start was sent, or when a run of an earlier coordinator
    was first reported, which ``is_reported`` tells. ``confirmed_ms`` is when the target
    last reported the run, and ``stop_confirmed_ms`` when it confirmed the stop. Times
    are on the clock of this host. While a run ``is_isolated``, its target gets no
    other. A run ``has_unknown_needs`` if its job isn't known.
    """

    name: str
    number: int
    job: ActiveJob | None
    task: PoolTask | None
    needs: Resources
    state: RunState
    started_ms: float
    confirmed_ms: float | None = None
    stop_requested_ms: float | None = None
    stop_sent_ms: float | None = None
    stop_confirmed_ms: float | None = None
    is_reported: bool = False
    is_isolated: bool = False
    has_unknown_needs: bool = False

    def was_confirmed_before(self, sent_ms: float) -> bool:
        """Return whether the run or its stop was confirmed before ``sent_ms``."""
        readings = (self.confirmed_ms, self.stop_confirmed_ms)
        return any(ms is not None and ms < sent_ms for ms in readings)

    def mark_confirmed(self, now_ms: float) -> None:
        """Record that the target has reported this run."""
        self.confirmed_ms = now_ms
        if self.state is RunState.STARTING:
            self.state = RunState.RUNNING

    def is_overdue(self) -> bool:
        """Return whether the run has exceeded its time limit; ``job`` must be set.

        Its target must have reported it after the limit: it may have ended since the
        last report.
        """
        if self.confirmed_ms is None:
            return False
        ran_ms = self.confirmed_ms - self.started_ms
        return ran_ms > self.job.run_time_limit_ms(self.task)


@attrs.define(eq=False)
class TargetState:
    """State of one target instance. Times are on the clock of this host.

    An instance is one lifetime of the target process. The capacity of an instance
    that is not listed yet is unknown, so no runs are started there until it is listed.

    ``takeover_number`` counts the takeovers by this coordinator, so that late replies
    to an earlier takeover can be ignored.

    ``lease_expiry_ms`` is when the lease has certainly expired, whichever of the
    renewals sent so far arrived. The lease is not renewed before
    ``no_renewal_until_ms``. ``clock_offset_ms`` is how far the target's clock was
    ahead at least at ``clock_read_ms``; it is ``None`` until a reading arrives.

    ``processed_through`` is the number of the last run end that was handled.
    ``unacknowledged_ends`` are the numbers of ends that the target must keep: they are
    not saved in the journal yet, they may belong to stored jobs that have not been read
    yet, or a deputy may not let them count. ``unacknowledged_since_ms`` is when the
    first of them arrived.

    ``reports_instance`` tells whether the last list of runs from the target named its
    instance. ``is_unlisted_instance`` is set if the instance has answered, but was not
    the listed one. ``unlisted_since_ms`` is since when the list has no target of this
    name. ``silent_since_ms`` is when an order failed after which the target has not
    listed its runs again, and ``fenced_ms`` when it was found to have accepted a higher
    token; both are ``None`` otherwise. No runs are started before ``paused_until_ms``,
    the end of a pause after a failed run, an overdue run or a refused start.

    ``is_recorded`` tells whether the target is recorded in the log, where a later
    coordinator will read of it. No runs are started before, nor while the data centre
    of the target ``is_evacuated``. ``listed_ms`` is when ``listing`` was read.

    ``is_refusing`` tells whether the address refused the connection for the last
    order. ``isolated_run`` is a run that must be the only one. Until
    ``reserved_until_ms`` only isolated runs are started. ``unknown_needs_count`` is the
    number of runs whose needs aren't known, beside which nothing is started.

    ``newest_connection`` is the number of the latest connection on which this instance
    has listed its runs, ``None`` if it isn't known, and ``last_heard_ms`` when the
    newest order was sent to which it has replied so.

    ``last_failure`` tells how the last failed order failed, empty if none did. It is
    only logged.

    ``last_probe_ms`` is when it was last polled for want of a reply.

    ``hold_sent_ms`` is when the last hold was sent, which waits for ``hold_wait_ms``.

    ``poll_waiters`` are callbacks that wait for a poll, each with the time at which it
    was requested. ``on_free_capacity_changed`` is called after each change of the free
    capacity.
    """

    listing: ListedTarget
    timing: CoordinatorTiming
    takeover_number: int = 0
    takeover_started_ms: float = 0.0
    phase: TakeoverPhase = TakeoverPhase.UNCONFIRMED
    runs: dict[RunKey, Run] = attrs.field(factory=dict)
    used: Resources = NO_RESOURCES
    processed_through: int = 0
    unacknowledged_ends: set[int] = attrs.field(factory=set)
    unacknowledged_since_ms: float = 0.0
    no_renewal_until_ms: float = 0.0
    clock_offset_ms: float | None = None
    clock_read_ms: float = 0.0
    lease_expiry_ms: float = 0.0
    reports_instance: bool = False
    is_unlisted_instance: bool = False
    is_recorded: bool = True
    is_evacuated: bool = False
    listed_ms: float = 0.0
    is_hold_in_flight: bool = False
    hold_sent_ms: float = 0.0
    hold_wait_ms: float = 0.0
    is_poll_in_flight: bool = False
    poll_waiters: list[tuple[float, Callable[[], None]]] = attrs.field(factory=list)
    next_hold_ms: float = 0.0
    silent_since_ms: float | None = None
    newest_connection: int | None = None
    last_heard_ms: float = -math.inf
    last_probe_ms: float = -math.inf
    last_failure: str = ""
    is_refusing: bool = False
    isolated_run: Run | None = None
    unknown_needs_count: int = 0
    reserved_until_ms: float = 0.0
    unlisted_since_ms: float | None = None
    fenced_ms: float | None = None
    paused_until_ms: float = 0.0
    health: TargetHealth = attrs.field(factory=TargetHealth)
    on_free_capacity_changed: "Callable[[TargetState], None] | None" = None

    @property
    def instance_key(self) -> tuple[str, int]:
        """The name and the start time of the instance."""
        return self.listing.name, self.listing.instance_started_ms

    @property
    def free_cpu_milli(self) -> int:
        """Return the CPU that no run uses, in thousandths of a core."""
        return self.listing.capacity.cpu_milli - self.used.cpu_milli

    @property
    def free(self) -> Resources:
        """Return the resources that no run uses."""
        return self.listing.capacity.minus(self.used)

    @property
    def acked_through(self) -> int:
        """Return the number of the last run end that the target may forget.

        All earlier ends may be forgotten with it. A silent target may have restarted,
        and a new instance numbers its ends from the start, so nothing is acknowledged.
        """
        if self.silent_since_ms is not None:
            return 0
        if self.unacknowledged_ends:
            return min(self.unacknowledged_ends) - 1
        return self.processed_through

    def note_unacknowledged(self, number: int, now_ms: float) -> None:
        """Leave an end unacknowledged, so that the target keeps it."""
        if not self.unacknowledged_ends:
            self.unacknowledged_since_ms = now_ms
        self.unacknowledged_ends.add(number)

    def next_hold_delay_ms(self, now_ms: float) -> float:
        """Return the delay before the next hold.

        While the target keeps unacknowledged ends, it answers every hold at once
        instead of waiting for a new end. The delay limits the rate of these holds. It
        is half the time that the ends have waited so far, within fixed bounds.
        """
        if not self.unacknowledged_ends:
            return 0.0
        waited_ms = now_ms - self.unacknowledged_since_ms
        return max(_MIN_HOLD_DELAY_MS, min(_MAX_HOLD_DELAY_MS, waited_ms / 2))

    def may_start(self, now_ms: float) -> bool:
        """Return whether new runs may be started on this target.

        Its free capacity is not considered. Starts pause while too many ends are
        unacknowledged, and while the target is kept for isolated runs.
        """
        return now_ms >= self.reserved_until_ms and self.may_start_suspect(now_ms)

    def may_start_suspect(self, now_ms: float) -> bool:
        """Return whether a run that is to be isolated may be started on this target."""
        return (
            self.isolated_run is None
            and not self.unknown_needs_count
            and self.phase is TakeoverPhase.HELD
            and self.is_recorded
            and not self.is_evacuated
            and not self.listing.is_leaving
            and not self.is_unlisted_instance
            and self.silent_since_ms is None
            and self.unlisted_since_ms is None
            and now_ms >= self.paused_until_ms
            and now_ms >= self.no_renewal_until_ms
            and len(self.unacknowledged_ends) < _MAX_UNACKNOWLEDGED_ENDS
            and not self.has_unconfirmed_stop(now_ms)
        )

    def reason_not_to_start(self, now_ms: float) -> str:
        """Return why no run may be started here, for the log; empty if one may."""
        if self.may_start(now_ms):
            return ""
        reasons = {
            "takeover": self.phase is not TakeoverPhase.HELD or not self.is_recorded,
            "evacuated": self.is_evacuated,
            "leaving": self.listing.is_leaving or self.unlisted_since_ms is not None,
            "silent": self.silent_since_ms is not None,
            "paused": now_ms < self.paused_until_ms,
            "isolated": self.isolated_run is not None
            or now_ms < self.reserved_until_ms,
            "unknown_needs": bool(self.unknown_needs_count),
            "stopping": self.has_unconfirmed_stop(now_ms),
            "other": True,
        }
        return next(reason for reason, applies in reasons.items() if applies)

    def add(self, run: Run) -> None:
        """Add a run and count the resources that it uses."""
        self.runs[run.name, run.number] = run
        self.unknown_needs_count += run.has_unknown_needs
        if run.is_isolated:
            self.isolated_run = run
            self.reserved_until_ms = 0.0
        self._set_used(self.used.plus(run.needs))

    def remove(self, run: Run) -> None:
        """Remove a run and free its resources."""
        del self.runs[run.name, run.number]
        self.unknown_needs_count -= run.has_unknown_needs
        if self.isolated_run is run:
            self.isolated_run = None
        self._set_used(self.used.minus(run.needs))

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the target is still slow after its start."""
        return bool(self.listing.cold_ms) and (
            now_ms < self.listed_ms + self.listing.cold_ms
        )

    def replace_listing(self, listing: ListedTarget) -> None:
        """Apply a newer listing of this instance."""
        self.listing = listing
        self._set_used(self.used)

    def note_clock(self, clock_ms: int | None, now_ms: float) -> None:
        """Update the clock offset from a reading that has just arrived.

        A reading is too low by the delay of the reply. An earlier one, less what the
        clock may have lost since then, replaces it if it is larger. So the estimate is
        never too high, and a lease ends no later than it counts as expired.
        """
        if clock_ms is None:
            return
        offset_ms = clock_ms - now_ms
        if self.clock_offset_ms is not None:
            offset_ms = max(offset_ms, self._lowest_clock_offset_ms(now_ms))
        self.clock_offset_ms, self.clock_read_ms = offset_ms, now_ms

    def _lowest_clock_offset_ms(self, now_ms: float) -> float:
        """Return the clock offset if the clock has been as slow as it may be."""
        age_ms = now_ms - self.clock_read_ms
        return self.clock_offset_ms - self.timing.clock_drift * age_ms

    def plan_lease_renewal(self, now_ms: float) -> int:
        """Return the end of a renewed lease, on the target's clock.

        Nothing is sent. ``lease_expiry_ms`` is set as if the renewal arrived, since the
        caller is about to send it.
        """
        self.lease_expiry_ms = max(
            self.lease_expiry_ms, now_ms + self.timing.max_lease_ms
        )
        offset_ms = self._lowest_clock_offset_ms(now_ms)
        return int(now_ms + offset_ms + self.timing.lease_ms)

    def is_replaced_by(self, listed: ListedTarget) -> bool:
        """Return whether to drop this instance at once for the instance ``listed``.

        A new instance at another address gets no starts that were sent to this one, so
        the result is true. At the same address it may have got such starts. If the
        target reports its instance, the result is then false: its next reply shows
        which instance answers and which runs it has. If it does not, no reply could
        show that, so the result is true.
        """
        if listed.instance_started_ms == self.listing.instance_started_ms:
            return False
        return listed.address != self.listing.address or not self.reports_instance

    def pop_poll_waiters(self, sent_ms: float) -> list[Callable[[], None]]:
        """Remove and return the callbacks that a poll sent at ``sent_ms`` satisfies.

        These are the callbacks requested at that time or earlier.
        """
        satisfied = [
            callback
            for requested_ms, callback in self.poll_waiters
            if requested_ms <= sent_ms
        ]
        self.poll_waiters = [
            waiter for waiter in self.poll_waiters if waiter[0] > sent_ms
        ]
        return satisfied

    def has_unconfirmed_stop(self, now_ms: float) -> bool:
        """Return whether a stop has been unconfirmed for too long.

        The lease must not be renewed then, because only its expiry ends the run. That
        is after ``stop_notice_ms`` if nobody waits for the run any more. If its job
        goes on, the task just can't start elsewhere meanwhile, so the other runs of
        the target get ``max_doubt_ms``.
        """
        return any(
            run.state is RunState.STOPPING
            and run.stop_confirmed_ms is None
            and now_ms - run.stop_requested_ms
            > (
                self.timing.stop_notice_ms
                if run.job is None
                else self.timing.max_doubt_ms
            )
            for run in self.runs.values()
        )

    def _set_used(self, used: Resources) -> None:
        self.used = used
        if self.on_free_capacity_changed is not None:
            self.on_free_capacity_changed(self)
