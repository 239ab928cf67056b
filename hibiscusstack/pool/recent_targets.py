"""The listed targets, and those that were unlisted recently."""

__all__ = ["RecentTargets"]

from collections.abc import Iterable

import attrs

from hibiscusstack.pool.targets import ListedTarget

RECENT_TARGET_RETENTION_MS = 30_000


@attrs.define
class _RecentTarget:
    """The last listing of a target, and since when it is unlisted, if it is."""

    target: ListedTarget
    unlisted_since_ms: float | None = None


class RecentTargets:
    """The newest list of targets, and those recently removed from it.

    The deputy of a data centre controls both. Targets are dropped once they have been
    unlisted for longer than ``RECENT_TARGET_RETENTION_MS``.
    """

    def __init__(self) -> None:
        self.listed: tuple[ListedTarget, ...] = ()
        self._recent: dict[str, _RecentTarget] = {}

    def replace(self, targets: Iterable[ListedTarget], now_ms: float) -> None:
        """Apply a newer list, and drop targets that have been unlisted for too long."""
        self.listed = tuple(targets)
        for recent in self._recent.values():
            if recent.unlisted_since_ms is None:
                recent.unlisted_since_ms = now_ms
        for target in self.listed:
            self._recent[target.name] = _RecentTarget(target)
        for name, recent in list(self._recent.items()):
            since_ms = recent.unlisted_since_ms
            if since_ms is not None and now_ms - since_ms > RECENT_TARGET_RETENTION_MS:
                del self._recent[name]

    def as_last_listed(self, target: ListedTarget) -> ListedTarget:
        """Return a target as it was last listed, if that is known of its instance."""
        recent = self._recent.get(target.name)
        started_ms = target.instance_started_ms
        if recent is None or recent.target.instance_started_ms != started_ms:
            return target
        return recent.target

    def recent_in(self, data_centre: str) -> list[ListedTarget]:
        """Return the targets of a data centre that are listed or recently unlisted."""
        return [
            recent.target
            for recent in self._recent.values()
            if recent.target.data_centre == data_centre
        ]
