"""The durations that govern the orders to targets."""

__all__ = ["CoordinatorTiming"]

import attrs


@attrs.frozen
class CoordinatorTiming:
    """Durations in milliseconds; the longest lease is what a target grants at most.

    A start without a reply for ``start_timeout_ms`` is stopped and made elsewhere. A
    target may run its clock ``clock_drift`` slower than this host. Runs that nobody
    asked for are stopped after ``adoption_ms``, or after ``recovery_ms`` while the
    stored jobs are being read.
    """

    lease_ms: int = 900
    longest_lease_ms: int = 1_000
    hold_wait_ms: int = 300
    clearing_wait_ms: int = 20
    start_timeout_ms: int = 60
    order_retry_ms: int = 100
    adoption_ms: int = 60
    recovery_ms: int = 500
    unlisted_ms: int = 2_500
    clock_drift: float = 0.03
    lapse_margin_ms: int = 30

    def lapse_bound_ms(self, lease_ms: float) -> float:
        """Return how long a lease of ``lease_ms`` lasts at most on this host's clock.

        >>> CoordinatorTiming().lapse_bound_ms(1_000)
        1060.0
        """
        return lease_ms * (1 + self.clock_drift) + self.lapse_margin_ms
