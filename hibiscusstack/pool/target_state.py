"""What a coordinator knows of one life of a target."""

__all__ = ["Run", "RunState", "TakeoverPhase", "TargetState"]

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
_MAX_UNSAVED_ENDS = 300


class TakeoverPhase(Enum):
    """How far the takeover of a target is.

    ``LOOKING``: an earlier coordinator may still give orders. ``CLEARING``: it is
    fenced out, and runs that nobody here asked for are being stopped. ``HELD``: the
    target runs this coordinator's work only. ``FENCED``: a later one has taken it.
    """

    LOOKING = "looking"
    CLEARING = "clearing"
    HELD = "held"
    FENCED = "fenced"


class RunState(Enum):
    """What is known of a run at its target."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """One run of a task. ``job`` is nothing for a run that nobody here asked for."""

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

    def was_confirmed_before(self, sent_ms: float) -> bool:
        """Tell whether the target had this run, or its stop, by ``sent_ms``."""
        readings = (self.confirmed_ms, self.stop_confirmed_ms)
        return any(ms is not None and ms < sent_ms for ms in readings)

    def mark_confirmed(self, now_ms: float) -> None:
        """Take over that the target has this run."""
        self.confirmed_ms = now_ms
        if self.state is RunState.STARTING:
            self.state = RunState.RUNNING

    def is_overdue(self, now_ms: float) -> bool:
        """Tell whether this run of a job in progress has taken too long."""
        return now_ms - self.started_ms > self.job.run_time_limit_ms(self.task)


@attrs.define(eq=False)
class TargetState:
    """One life of a target. Times are on the clock of this host.

    ``lapse_ms`` is when the lease has surely ended, whichever of the extensions sent
    so far arrived. ``clock_offset_ms`` is what the target's clock is ahead, at least.
    Of a life that is not listed yet the capacity isn't known.
    ``unsaved_ends`` are those that the log does not have yet, so that the target has
    to remember them. Until ``lapsing_until_ms`` the lease is left to lapse.
    ``on_room_changed`` is called after each change of the free room.
    """

    listing: ListedTarget
    timing: CoordinatorTiming
    takeover: int = 0
    takeover_started_ms: float = 0.0
    phase: TakeoverPhase = TakeoverPhase.LOOKING
    runs: dict[RunKey, Run] = attrs.field(factory=dict)
    used: Resources = NO_RESOURCES
    processed_through: int = 0
    unsaved_ends: set[int] = attrs.field(factory=set)
    unsaved_since_ms: float = 0.0
    no_renewal_until_ms: float = 0.0
    clock_offset_ms: float | None = None
    lease_expiry_ms: float = 0.0
    reports_instance: bool = False
    is_unlisted_instance: bool = False
    is_hold_in_flight: bool = False
    is_poll_in_flight: bool = False
    poll_waiters: list[tuple[float, Callable[[], None]]] = attrs.field(factory=list)
    next_hold_ms: float = 0.0
    silent_since_ms: float | None = None
    unlisted_since_ms: float | None = None
    fenced_ms: float | None = None
    paused_until_ms: float = 0.0
    health: TargetHealth = attrs.field(factory=TargetHealth)
    on_free_capacity_changed: "Callable[[TargetState], None] | None" = None

    @property
    def free_cpu_milli(self) -> int:
        """Return the processor room that no run takes, in thousandths of a core."""
        return self.listing.capacity.cpu_milli - self.used.cpu_milli

    @property
    def free(self) -> Resources:
        """Return the room that no run takes."""
        return self.listing.capacity.minus(self.used)

    @property
    def acked_through(self) -> int:
        """Return the last end that the target may forget, with all before it.

        While it is silent it may begin another life, which counts its ends anew.
        """
        if self.silent_since_ms is not None:
            return 0
        if self.unsaved_ends:
            return min(self.unsaved_ends) - 1
        return self.processed_through

    def note_unsaved(self, number: int, now_ms: float) -> None:
        """Let the target remember an end until it is saved."""
        if not self.unsaved_ends:
            self.unsaved_since_ms = now_ms
        self.unsaved_ends.add(number)

    def next_hold_delay_ms(self, now_ms: float) -> float:
        """Return how long to wait with a hold, which ends at once meanwhile.

        A hold does not wait for an end while the target remembers others.
        """
        if not self.unsaved_ends:
            return 0.0
        waited_ms = now_ms - self.unsaved_since_ms
        return max(_MIN_HOLD_DELAY_MS, min(_MAX_HOLD_DELAY_MS, waited_ms / 2))

    def may_start(self, now_ms: float) -> bool:
        """Tell whether new work may be started here."""
        return (
            self.phase is TakeoverPhase.HELD
            and not self.listing.is_leaving
            and not self.is_unlisted_instance
            and self.silent_since_ms is None
            and self.unlisted_since_ms is None
            and now_ms >= self.paused_until_ms
            and now_ms >= self.no_renewal_until_ms
            and len(self.unsaved_ends) < _MAX_UNSAVED_ENDS
            and not self.has_overdue_stop(now_ms)
        )

    def add(self, run: Run) -> None:
        """Count a run and its share of the room."""
        self.runs[run.name, run.number] = run
        self._set_used(self.used.plus(run.needs))

    def remove(self, run: Run) -> None:
        """Forget a run that has ended."""
        del self.runs[run.name, run.number]
        self._set_used(self.used.minus(run.needs))

    def replace_listing(self, listing: ListedTarget) -> None:
        """Take over what the target now says of this life."""
        self.listing = listing
        self._set_used(self.used)

    def note_clock(self, clock_ms: int | None, now_ms: float) -> None:
        """Take over a reading of the target's clock that has just arrived."""
        if clock_ms is None:
            return
        offset_ms = clock_ms - now_ms
        known = self.clock_offset_ms
        if known is None or offset_ms > known:
            self.clock_offset_ms = offset_ms
        else:
            # The clocks drift apart, so an old reading must not count for ever.
            self.clock_offset_ms = known + (offset_ms - known) / 16

    def extend_lease(self, now_ms: float) -> int:
        """Return the lease's new end on the target's clock, counted as sent."""
        self.lease_expiry_ms = max(
            self.lease_expiry_ms, now_ms + self.timing.max_lease_ms
        )
        return int(now_ms + self.clock_offset_ms + self.timing.lease_ms)

    def is_replaced_by(self, listed: ListedTarget) -> bool:
        """Tell whether ``listed`` is another life, which no start for this one reaches.

        At the same address it may; then the target's own lists tell the lives apart.
        """
        if listed.instance_started_ms == self.listing.instance_started_ms:
            return False
        return listed.address != self.listing.address or not self.reports_instance

    def pop_poll_waiters(self, sent_ms: float) -> list[Callable[[], None]]:
        """Return whom to tell that a look of ``sent_ms`` or later has come back."""
        found = [each for asked_ms, each in self.poll_waiters if asked_ms <= sent_ms]
        self.poll_waiters = [each for each in self.poll_waiters if each[0] > sent_ms]
        return found

    def has_overdue_stop(self, now_ms: float) -> bool:
        """Tell whether a stop was ordered a while ago and is not confirmed.

        The lease must not be extended then, since it is all that ends the run.
        """
        return any(
            run.state is RunState.STOPPING
            and run.stop_confirmed_ms is None
            and now_ms - run.stop_requested_ms > self.timing.stop_notice_ms
            for run in self.runs.values()
        )

    def _set_used(self, used: Resources) -> None:
        self.used = used
        if self.on_free_capacity_changed is not None:
            self.on_free_capacity_changed(self)
