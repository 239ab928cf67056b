"""The durations that govern the orders to targets."""

__all__ = ["CoordinatorTiming"]

import attrs


@attrs.frozen
class CoordinatorTiming:
    """Durations in milliseconds.

    A start without a reply for ``start_timeout_ms`` is stopped and made elsewhere. A
    target may run its clock ``clock_drift`` slower than this host. A coordinator stops
    the work of a host within ``notice_ms`` after it lost that host. Runs that nobody
    asked for are stopped after ``adoption_ms``, or after ``recovery_ms`` while the
    stored jobs are being read. A coordinator that cannot tell whether its term is over
    leaves stored jobs within ``seclusion_ms``. A run takes ``restore_ms`` to go on from
    a checkpoint, so that of a shorter run is of no use.

    Callers send a job again some time after their connection broke. The lease and
    ``notice_ms`` together have to be shorter, or the first runs may still go on then.
    """

    lease_ms: int = 600
    notice_ms: int = 620
    stop_notice_ms: int = 50
    hold_wait_ms: int = 200
    clearing_wait_ms: int = 20
    start_timeout_ms: int = 60
    order_retry_ms: int = 100
    adoption_ms: int = 60
    recovery_ms: int = 500
    seclusion_ms: int = 3_500
    unlisted_ms: int = 2_500
    restore_ms: int = 600
    clock_drift: float = 0.03
    lapse_margin_ms: int = 30

    @property
    def max_lease_ms(self) -> float:
        """How long a lease lasts at most on this host's clock.

        >>> CoordinatorTiming().max_lease_ms
        648.0
        """
        return self.lease_ms * (1 + self.clock_drift) + self.lapse_margin_ms

    @property
    def max_orphan_run_ms(self) -> float:
        """How long work may go on at most for a host that lost its coordinator.

        >>> CoordinatorTiming().max_orphan_run_ms
        1268.0
        """
        return self.notice_ms + self.max_lease_ms
