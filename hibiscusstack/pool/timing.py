"""Timeouts and intervals of the coordinator."""

__all__ = ["CoordinatorTiming"]

import attrs


@attrs.frozen
class CoordinatorTiming:
    """Durations in milliseconds.

    A start that gets no reply within ``start_timeout_ms`` is stopped, and the task is
    started elsewhere. A target that hasn't replied to a hold ``overdue_ms`` after its
    wait, or is silent, is polled every ``overdue_ms``. A stop of a run whose job goes
    on may be unconfirmed for ``max_doubt_ms`` before the lease of its target is no
    longer renewed. ``clock_drift`` is the fraction by which the clock of a target
    may run slower than that of this host. A coordinator stops the work of a lost host
    within ``notice_ms`` after losing it. Runs of unknown jobs are stopped
    ``adoption_ms`` after the takeover began, or ``recovery_ms`` while the stored jobs
    are being read. A coordinator that cannot tell whether its term is over gives up
    its stored jobs within ``seclusion_ms``. A coordinator that was not ticked for
    longer than ``longest_pause_ms`` may have been replaced. Resuming from a checkpoint
    takes ``restore_ms``, so the checkpoint of a shorter run saves nothing.

    Callers resubmit a job some time after their connection broke. The lease and
    ``notice_ms`` together must be shorter than that time. Otherwise the first runs may
    still be active when the job is resubmitted.
    """

    lease_ms: int = 600
    notice_ms: int = 620
    stop_notice_ms: int = 50
    hold_wait_ms: int = 200
    clearing_wait_ms: int = 20
    start_timeout_ms: int = 60
    order_retry_ms: int = 100
    overdue_ms: int = 60
    max_doubt_ms: int = 1_000
    adoption_ms: int = 60
    recovery_ms: int = 500
    seclusion_ms: int = 3_500
    unlisted_ms: int = 2_500
    restore_ms: int = 600
    clock_drift: float = 0.03
    lapse_margin_ms: int = 30
    longest_pause_ms: int = 700

    @property
    def max_lease_ms(self) -> float:
        """Longest time that a lease can last, by the clock of this host.

        >>> CoordinatorTiming().max_lease_ms
        648.0
        """
        return self.lease_ms * (1 + self.clock_drift) + self.lapse_margin_ms

    @property
    def max_orphan_run_ms(self) -> float:
        """Longest time that runs can continue for a host that lost its coordinator.

        >>> CoordinatorTiming().max_orphan_run_ms
        1268.0
        """
        return self.notice_ms + self.max_lease_ms
