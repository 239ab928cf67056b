"""Targets no longer listed, which may still run work of another coordinator."""

__all__ = ["UnlistedTargets"]

from collections.abc import Collection

# Independent of ``RECENT_TARGET_RETENTION_MS``, which has the same value.
UNLISTED_RETENTION_MS = 30_000


class UnlistedTargets:
    """Names of unlisted targets at which another coordinator may still have work.

    A target is unlisted once a newer list of targets no longer has it.

    A coordinator that is partitioned together with a target keeps using it for as long
    as the partition lasts, so a name can't be dropped by age alone. It is dropped once
    both conditions hold:

    - all registered hosts have followed one coordinator for ``max_orphan_run_ms``.
      That is the longest time that runs can go on after their host lost its
      coordinator: the time to notice the loss plus the longest lease. In that time the
      leases of all other coordinators expire;
    - the target has been unlisted for more than ``UNLISTED_RETENTION_MS``, in which
      that one coordinator ends the work it still had there.
    """

    def __init__(self, max_orphan_run_ms: float) -> None:
        self._max_orphan_run_ms = max_orphan_run_ms
        self._listed: frozenset[str] = frozenset()
        self._unlisted_since_ms: dict[str, float] = {}
        self._agreed_since_ms: float | None = None

    def __bool__(self) -> bool:
        return bool(self._unlisted_since_ms)

    def names(self) -> list[str]:
        """Return the names of the unlisted targets that are still kept."""
        return list(self._unlisted_since_ms)

    def replace_listed(self, names: Collection[str], now_ms: float) -> None:
        """Apply a newer list of targets, of which ``names`` are the names."""
        listed = frozenset(names)
        for name in sorted(self._listed - listed):
            self._unlisted_since_ms.setdefault(name, now_ms)
        for name in listed:
            self._unlisted_since_ms.pop(name, None)
        self._listed = listed

    def unlisted_before(self, cutoff_ms: float) -> list[str]:
        """Return the names of the targets that were unlisted before ``cutoff_ms``."""
        return [
            name
            for name, since_ms in self._unlisted_since_ms.items()
            if since_ms < cutoff_ms
        ]

    def record_agreement(self, all_follow_one_coordinator: bool, now_ms: float) -> bool:
        """Drop names that are no longer needed, if hosts have agreed for long enough.

        Returns whether they have agreed for ``max_orphan_run_ms`` continuously, so that
        all leases of other coordinators have expired.

        ``all_follow_one_coordinator`` is True only while all registered hosts are known
        to follow one coordinator. It is False whenever this is not known, for example
        during a handover or after a pause of this host. If agreement is lost, the wait
        starts anew.
        """
        if not all_follow_one_coordinator:
            self._agreed_since_ms = None
            return False
        if self._agreed_since_ms is None:
            self._agreed_since_ms = now_ms
        if now_ms - self._agreed_since_ms < self._max_orphan_run_ms:
            return False
        for name in self.unlisted_before(now_ms - UNLISTED_RETENTION_MS):
            del self._unlisted_since_ms[name]
        return True
