"""The published policy: labels, placement, classes, teams and limits."""

__all__ = [
    "DEFAULT_CLASS",
    "Limits",
    "Placement",
    "Policy",
    "CurrentPolicy",
    "Team",
    "WorkClass",
    "matching_targets",
    "with_policy_labels",
]

from collections.abc import Iterable, Mapping, Sequence

import attrs

from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.policy.labels import labels_of_target, labels_of_work
from hibiscusstack.dispatch.policy.selectors import Selector, parse_selector
from hibiscusstack.dispatch.targets import TargetInfo

MAX_CACHED_SETS = 256


@attrs.frozen
class Placement:
    """Restricts tasks that match ``work`` to targets that match ``targets``."""

    name: str
    work: Selector
    targets: Selector


@attrs.frozen
class WorkClass:
    """A class of work, with its urgency and guaranteed fraction of the slot time.

    When slots are scarce, each class first gets its ``guaranteed_part``, a fraction
    of the slot time from 0 to 1. The remaining slots go to the classes with the
    highest ``urgency``.
    """

    name: str
    work: Selector
    urgency: int = 0
    guaranteed_part: float = 0.0


@attrs.frozen
class Team:
    """A team's weight within its classes, and its limits in one data centre.

    ``quota_part`` is the weight: the teams that wait in a class get slot time in
    proportion to it.
    """

    name: str
    quota_part: float = 1.0
    max_running: int | None = None
    max_queued: int | None = None


@attrs.frozen
class Limits:
    """Limits on queues and ejections that keep an overloaded data centre responsive."""

    max_queue_ms: int = 2_000
    max_queued_tasks: int = 100_000
    max_jobs_per_caller: int = 1_000
    max_tasks_per_caller: int = 20_000
    eject_failure_part: float = 0.5
    max_ejected_part: float = 0.3


DEFAULT_CLASS = WorkClass("default", parse_selector(""))


@attrs.define(eq=False)
class _MatchCache:
    """A cache of the targets that satisfy each combination of placements.

    ``by_placements`` is filled on demand, keyed by the indexes of the placements.
    """

    targets: Mapping[str, TargetInfo]
    labels: dict[str, dict[str, str]]
    by_placements: dict[tuple[int, ...], frozenset[str]] = attrs.field(factory=dict)


@attrs.frozen(eq=False)
class Policy:
    """One parsed version of the configuration; immutable apart from a cache."""

    target_labels: Mapping[str, Mapping[str, str]] = attrs.field(factory=dict)
    placements: tuple[Placement, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    teams: Mapping[str, Team] = attrs.field(factory=dict)
    limits: Limits = Limits()
    _match_cache: list[_MatchCache] = attrs.field(factory=list, init=False, repr=False)
    _classes_by_name: Mapping[str, WorkClass] = attrs.field(init=False, repr=False)

    @_classes_by_name.default
    def _index_classes(self) -> dict[str, WorkClass]:
        return {each.name: each for each in self.classes}

    def class_of(self, job: Job) -> str:
        """Return the name of the class that ``job`` belongs to.

        A task belongs to the first class that matches it, or else to ``default``. A
        job whose tasks belong to several classes gets the least urgent of them, so
        that one urgent task doesn't raise the urgency of the others. The cost is one
        match for each class and each distinct set of task labels.
        """
        found = [self._class_of_work(work) for work in _distinct_work_labels(job)]
        return min(found, key=lambda each: each.urgency, default=DEFAULT_CLASS).name

    def matching_targets(
        self, job: Job, task: Task, targets: Mapping[str, TargetInfo]
    ) -> frozenset[str]:
        """Return the names of the targets that ``task`` of ``job`` may run on."""
        return matching_targets(self, job, task, targets)

    def _class_of_work(self, work: Mapping[str, str]) -> WorkClass:
        matching = (each for each in self.classes if each.work.matches(work))
        return next(matching, DEFAULT_CLASS)

    def class_named(self, name: str) -> WorkClass:
        """Return the class called ``name``, or the default class if there is none."""
        return self._classes_by_name.get(name, DEFAULT_CLASS)

    def team_named(self, name: str) -> Team:
        """Return the team called ``name``, with defaults if it isn't published."""
        return self.teams.get(name) or Team(name)


def with_policy_labels(policy: Policy, target: TargetInfo) -> TargetInfo:
    """Return ``target`` with the labels that ``policy`` publishes for it added.

    A published label overrides one from the platform's list of targets.

    >>> policy = Policy(target_labels={"w1": {"zone": "north"}})
    >>> with_policy_labels(policy, TargetInfo("w1", "127.0.0.1", 1, "dc1")).labels
    {'zone': 'north'}
    """
    published = policy.target_labels.get(target.name)
    if not published:
        return target
    return attrs.evolve(target, labels={**target.labels, **published})


def matching_targets(
    policy: Policy, job: Job, task: Task, targets: Mapping[str, TargetInfo]
) -> frozenset[str]:
    """Return the names of the targets that ``task`` of ``job`` may run on.

    A target must satisfy every placement whose work selector matches the task. If
    there is no such placement, all targets match. The labels that the policy
    publishes are added to those of the targets.

    Targets that are leaving are included, since leaving changes more often than
    labels do. The code that places work must exclude them.

    >>> placement = Placement("p", parse_selector(""), parse_selector("gpu"))
    >>> target = TargetInfo("w1", "127.0.0.1", 1, "dc1", labels={"gpu": "a"})
    >>> job = Job("j1", "desk", (Task(0, "check"),))
    >>> policy = Policy(placements=(placement,))
    >>> sorted(matching_targets(policy, job, job.tasks[0], {"w1": target}))
    ['w1']

    The result for each combination of placements is cached for the policy and the
    mapping of targets. The first call matches all targets; later calls match only the
    task against each placement. Pass the same mapping object while the targets are
    unchanged, since a new one clears the cache.
    """
    cache = _match_cache_for(policy, targets)
    if not policy.placements:
        return _find_cached(policy, (), cache)
    work = labels_of_work(job, task)
    indexes = enumerate(policy.placements)
    key = tuple(index for index, each in indexes if each.work.matches(work))
    return _find_cached(policy, key, cache)


def _match_cache_for(policy: Policy, targets: Mapping[str, TargetInfo]) -> _MatchCache:
    cached = policy._match_cache
    if not cached or cached[0].targets is not targets:
        labels = {
            name: labels_of_target(with_policy_labels(policy, target))
            for name, target in targets.items()
        }
        cached[:] = [_MatchCache(targets, labels)]
    return cached[0]


def _find_cached(
    policy: Policy, key: tuple[int, ...], cache: _MatchCache
) -> frozenset[str]:
    found = cache.by_placements.get(key)
    if found is None:
        found = _find_targets([policy.placements[index] for index in key], cache)
        if len(cache.by_placements) >= MAX_CACHED_SETS:
            cache.by_placements.clear()
        cache.by_placements[key] = found
    return found


def _find_targets(
    placements: Iterable[Placement], cache: _MatchCache
) -> frozenset[str]:
    selectors: Sequence[Selector] = [each.targets for each in placements]
    return frozenset(
        name
        for name, labels in cache.labels.items()
        if all(selector.matches(labels) for selector in selectors)
    )


def _distinct_work_labels(job: Job) -> list[dict[str, str]]:
    seen = {}
    for task in job.tasks:
        key = (task.kind, task.idempotent, tuple(sorted(task.labels.items())))
        if key not in seen:
            seen[key] = labels_of_work(job, task)
    return list(seen.values())


@attrs.define
class CurrentPolicy:
    """Holds the current policy, which the components of one host share.

    A later version replaces ``policy``, and all components then use it.
    """

    policy: Policy = attrs.field(factory=Policy)

    def class_of(self, job: Job) -> str:
        """Return the name of the class that ``job`` belongs to."""
        return self.policy.class_of(job)

    def matching_targets(
        self, job: Job, task: Task, targets: Mapping[str, TargetInfo]
    ) -> frozenset[str]:
        """Return the names of the targets that ``task`` may run on."""
        return matching_targets(self.policy, job, task, targets)
