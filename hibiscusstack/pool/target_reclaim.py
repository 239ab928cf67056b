"""Decides when a coordinator reclaims targets that fence it off for a deputy."""

__all__ = ["is_reclaim_due"]

from collections.abc import Collection, Mapping

RECLAIM_DELAY_MS = 100
MAX_FENCED_MS = 1_500


def is_reclaim_due(
    fenced_since_ms: Mapping[str, float],
    following_data_centres: Collection[str],
    now_ms: float,
) -> bool:
    """Return whether to claim a new term in order to reclaim fenced targets.

    The fencing token of a new term is higher than the deputy's. ``fenced_since_ms``
    maps each data centre to the time since which targets there refuse the coordinator.
    ``following_data_centres`` are those in which hosts hear the holder again; targets
    there are reclaimed after ``RECLAIM_DELAY_MS``, others after ``MAX_FENCED_MS``.

    >>> is_reclaim_due({"x": 0}, ["x"], 99), is_reclaim_due({"x": 0}, ["x"], 100)
    (False, True)
    >>> is_reclaim_due({"x": 0}, [], 1_499), is_reclaim_due({"x": 0}, [], 1_500)
    (False, True)
    """
    return any(
        now_ms - since_ms
        >= (
            RECLAIM_DELAY_MS if data_centre in following_data_centres else MAX_FENCED_MS
        )
        for data_centre, since_ms in fenced_since_ms.items()
    )
