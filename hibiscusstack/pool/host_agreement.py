"""How long all hosts have followed one coordinator."""

__all__ = ["HostAgreement"]


class HostAgreement:
    """Tells when no earlier coordinator can have work any more.

    That is so once all registered hosts have followed one coordinator continuously for
    ``max_orphan_run_ms``, the longest time that runs can go on after their host lost
    its coordinator: the time to notice the loss plus the longest lease. In that time
    the leases of all other coordinators expire.
    """

    def __init__(self, max_orphan_run_ms: float) -> None:
        self._max_orphan_run_ms = max_orphan_run_ms
        self._since_ms: float | None = None

    def record(self, all_follow_one_coordinator: bool, now_ms: float) -> bool:
        """Return whether all hosts have followed one coordinator for long enough.

        ``all_follow_one_coordinator`` is True only while all registered hosts are known
        to follow one coordinator. It is False whenever this is not known, for example
        during a handover or after a pause of this host. If agreement is lost, the wait
        starts anew.

        >>> agreement = HostAgreement(1_000)
        >>> [agreement.record(agrees, ms) for agrees, ms in ((True, 0), (True, 1_000))]
        [False, True]
        >>> agreement.record(False, 1_100), agreement.record(True, 2_000)
        (False, False)
        """
        if not all_follow_one_coordinator:
            self._since_ms = None
            return False
        if self._since_ms is None:
            self._since_ms = now_ms
        return now_ms - self._since_ms >= self._max_orphan_run_ms
