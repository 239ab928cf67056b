"""Targets that were lost while tasks ran there, and what that says of the tasks."""

__all__ = [
    "MAX_LOSSES",
    "MAX_STORED_LOSSES",
    "MIN_CRASHES",
    "LossEvidence",
    "TargetLoss",
    "TargetLosses",
    "has_crashed_targets",
    "job_id_of",
]

from collections.abc import Collection, Iterable
from enum import IntEnum

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.pool.active_jobs import parse_task_name

MAX_LOSSES = 5
MAX_STORED_LOSSES = 4
MIN_CRASHES = 2
_MAX_CRASHES = 3
_UNRELATED_LOSS_MS = 60_000


class LossEvidence(IntEnum):
    """What shows that a target was lost, from weak to strong.

    ``STARTED``: nothing yet; the start of a suspect was recorded beforehand, and counts
    as a loss until the target has survived it. ``SILENT``: the target did not answer
    until its lease had expired, so it may have been cut off. ``REFUSING``: its address
    refused connections all that time. ``REPLACED``: a new instance answered or was
    listed.
    """

    STARTED = 0
    SILENT = 1
    REFUSING = 2
    REPLACED = 3


@attrs.frozen
class TargetLoss:
    """The loss of one target instance, with the names of the tasks that ran there.

    ``is_single`` tells whether no other target was lost at the same time.
    """

    target: str
    instance_started_ms: int
    tasks: frozenset[str]
    evidence: LossEvidence
    is_single: bool = True

    @property
    def key(self) -> tuple[str, int]:
        """The target's name and instance; each instance is lost at most once."""
        return self.target, self.instance_started_ms

    @property
    def is_crash(self) -> bool:
        """Whether the target has probably crashed, and was not just cut off."""
        return self.evidence > LossEvidence.SILENT


def job_id_of(task: str) -> str:
    """Return the id of the job of a task, empty if it is no name of a task.

    >>> job_id_of("5c0e.0.1.17")
    '5c0e'
    """
    parsed = parse_task_name(task)
    return parsed[0] if parsed else ""


def has_crashed_targets(
    losses: Collection[TargetLoss],
    *,
    is_stored: bool = False,
    is_careful: bool = False,
) -> bool:
    """Return whether a task that was at all these losses has to be given up.

    Targets crash for other reasons as well, and all tasks that run there are lost with
    them. So only crashes at which a task was alone are held against it. Two are enough
    if each was that of a single target, and three otherwise. For the task of a stored
    job, two are enough with any third loss, and so are three crashes, as tasks that
    were lost twice run alone. With ``is_careful`` it is always three at which it was
    alone.
    After a number of losses a task is given up in any case, as its starts must be
    bounded. For stored jobs the number is lower, since each coordinator that is lost
    may have known of a further loss.

    >>> def lost(target, *tasks):
    ...     return TargetLoss(target, 1, frozenset(tasks), LossEvidence.REFUSING)
    >>> has_crashed_targets([lost("t1", "a", "b"), lost("t2", "a")])
    False
    >>> has_crashed_targets([lost("t1", "a", "b"), lost("t2", "a"), lost("t3", "a")])
    True
    """
    if len(losses) >= (MAX_STORED_LOSSES if is_stored else MAX_LOSSES):
        return True
    crashes = [loss for loss in losses if loss.is_crash]
    alone = [loss for loss in crashes if len(loss.tasks) == 1]
    if len(alone) >= _MAX_CRASHES or is_careful:
        return len(alone) >= _MAX_CRASHES
    if is_stored:
        has_crashed_alone = len(alone) >= MIN_CRASHES
        return len(losses) >= _MAX_CRASHES and (
            has_crashed_alone or len(crashes) >= _MAX_CRASHES
        )
    return sum(loss.is_single for loss in alone) >= MIN_CRASHES


class TargetLosses:
    """The losses of targets that all coordinators know of, and jobs given up for them.

    A host keeps them beyond its terms as coordinator. If they are recorded in the log,
    from which other hosts learn them, ``unsaved`` maps each loss and job id that is to
    be appended there to the time of its last change.
    """

    def __init__(self, clock: Clock, is_recorded: bool = False) -> None:
        self.unsaved: dict[tuple[str, int] | str, float] = {}
        self._is_recorded = is_recorded
        self._clock = clock
        self._losses: dict[tuple[str, int], TargetLoss] = {}
        self._by_job: dict[str, set[tuple[str, int]]] = {}
        self._given_up: dict[str, str] = {}
        self._noted_ms: dict[tuple[str, int] | str, float] = {}
        self._cleared: set[str] = set()
        self._last_unrelated_ms: float | None = None

    def loss(self, key: tuple[str, int]) -> TargetLoss | None:
        """Return the loss of a target instance, if it is known."""
        return self._losses.get(key)

    def losses_of(self, task: str) -> list[TargetLoss]:
        """Return the losses of targets at which a task ran that has not ended since."""
        if task in self._cleared:
            return []
        losses = (self._losses[key] for key in self._by_job.get(job_id_of(task), ()))
        return [loss for loss in losses if task in loss.tasks]

    def suspects_of(self, job_id: str) -> set[str]:
        """Return the names of the tasks of a job that ran at lost targets."""
        losses = (self._losses[key] for key in self._by_job.get(job_id, ()))
        tasks = {task for loss in losses for task in loss.tasks - self._cleared}
        return {task for task in tasks if job_id_of(task) == job_id}

    def must_isolate(self, task: str) -> bool:
        """Return whether a task has to run alone, as it may crash its target.

        One loss of a target that was only silent is no reason, since targets that are
        cut off are lost in that way.
        """
        losses = self.losses_of(task)
        return len(losses) > 1 or any(loss.is_crash for loss in losses)

    def responsible_losses(
        self, task: str, is_stored: bool, pending: tuple[str, int] | None = None
    ) -> list[TargetLoss]:
        """Return the losses for which a task is given up, none if it isn't.

        The recorded start ``pending``, which has not been made, doesn't count.
        More is required if the job is stored, or while targets are lost for other
        reasons.
        """
        losses = [loss for loss in self.losses_of(task) if loss.key != pending]
        is_responsible = has_crashed_targets(
            losses, is_stored=is_stored, is_careful=self._targets_fail_otherwise()
        )
        return losses if is_responsible else []

    def may_restart(self, task: str, max_wait_ms: float, max_unsaved: int) -> bool:
        """Return whether other hosts can know of all losses at which a task ran.

        If the log does not answer, up to ``max_unsaved`` losses need not be recorded
        once ``max_wait_ms`` have passed since each of them.
        """
        now_ms = self._clock.now_ms()
        noted_ms = [
            self.unsaved[loss.key]
            for loss in self.losses_of(task)
            if loss.key in self.unsaved
        ]
        return len(noted_ms) <= max_unsaved and all(
            now_ms >= each + max_wait_ms for each in noted_ms
        )

    def note(self, loss: TargetLoss) -> None:
        """Add a loss, unless one of the same instance is known with such evidence.

        A recorded start is replaced, since other tasks may have run at the target.
        """
        known = self._losses.get(loss.key)
        if known is not None and known.evidence >= loss.evidence:
            return
        if known is None or known.evidence is LossEvidence.STARTED:
            self.mark_unsaved(loss.key)
        self.apply(loss)

    def apply(self, loss: TargetLoss) -> None:
        """Add or replace a loss as read from the log."""
        self._drop_from_index(loss.key)
        self._losses[loss.key] = loss
        self._noted_ms.setdefault(loss.key, self._clock.now_ms())
        for task in loss.tasks:
            self._by_job.setdefault(job_id_of(task), set()).add(loss.key)

    def refute(self, key: tuple[str, int]) -> None:
        """Drop a loss, because the target instance has answered again."""
        if key in self._losses:
            self.discard(key)
            self.mark_unsaved(key)

    def withdraw_start(self, key: tuple[str, int], task: str) -> None:
        """Drop the recorded start of ``task``, unless the target was lost since."""
        loss = self._losses.get(key)
        is_start = loss is not None and loss.evidence is LossEvidence.STARTED
        if is_start and loss.tasks == {task}:
            self.refute(key)

    def discard(self, key: tuple[str, int]) -> None:
        """Drop a loss, if it is known."""
        self._drop_from_index(key)
        self._losses.pop(key, None)
        self._noted_ms.pop(key, None)
        self._cleared = {
            task for task in self._cleared if job_id_of(task) in self._by_job
        }

    def clear(self, task: str) -> None:
        """Note that a run of a task ended at its target, which survived it.

        A loss all of whose tasks are cleared had another reason.
        """
        losses = self.losses_of(task)
        self._cleared.add(task)
        if any(loss.tasks <= self._cleared for loss in losses):
            self._last_unrelated_ms = self._clock.now_ms()

    def given_up_cause(self, job_id: str) -> str | None:
        """Return why a job was given up, ``None`` if it was not."""
        return self._given_up.get(job_id)

    def give_up(self, job_id: str, cause: str) -> None:
        """Note that a job was given up."""
        self.mark_unsaved(job_id)
        self.apply_given_up(job_id, cause)

    def apply_given_up(self, job_id: str, cause: str) -> None:
        """Add a job that was given up, as read from the log."""
        self._given_up[job_id] = cause
        self._noted_ms.setdefault(job_id, self._clock.now_ms())

    def discard_given_up(self, job_id: str) -> None:
        """Forget that a job was given up."""
        self._given_up.pop(job_id, None)
        self._noted_ms.pop(job_id, None)

    def replace_saved(
        self, losses: Iterable[TargetLoss], given_up: Iterable[tuple[str, str]]
    ) -> None:
        """Replace all that was read from the log; keep what is not saved yet."""
        for key in [key for key in self._losses if key not in self.unsaved]:
            self.discard(key)
        for job_id in [
            job_id for job_id in self._given_up if job_id not in self.unsaved
        ]:
            self.discard_given_up(job_id)
        for loss in losses:
            self.apply(loss)
        for job_id, cause in given_up:
            self.apply_given_up(job_id, cause)

    def mark_unsaved(self, entry: tuple[str, int] | str) -> None:
        """Let the record of a loss or a given-up job be appended or deleted."""
        if self._is_recorded:
            self.unsaved[entry] = self._clock.now_ms()

    def expired(self, age_ms: float, max_count: int) -> list[tuple[str, int] | str]:
        """Return the entries noted longer ago than ``age_ms``, and those too many."""
        limit_ms = self._clock.now_ms() - age_ms
        keys = list(self._noted_ms)
        excess = max(0, len(keys) - max_count)
        return [
            key
            for index, key in enumerate(keys)
            if index < excess or self._noted_ms[key] < limit_ms
        ]

    def _targets_fail_otherwise(self) -> bool:
        """Return whether a target was lost recently for none of its tasks."""
        last_ms = self._last_unrelated_ms
        return (
            last_ms is not None and self._clock.now_ms() < last_ms + _UNRELATED_LOSS_MS
        )

    def _drop_from_index(self, key: tuple[str, int]) -> None:
        loss = self._losses.get(key)
        for job_id in {job_id_of(task) for task in loss.tasks} if loss else ():
            keys = self._by_job[job_id]
            keys.discard(key)
            if not keys:
                del self._by_job[job_id]
