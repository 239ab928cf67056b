"""Admission of a job, and the targets and homes on which its tasks are placed.

A home is the host that queues and starts the tasks of its targets.
"""

__all__ = ["Matches", "Planner"]

from collections.abc import Collection, Mapping, Sequence

from hibiscusstack.dispatch.answers import Problem, Reason
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.planning.estimates import Backlog, estimate_wait_ms
from hibiscusstack.dispatch.planning.placement import HomeAssignment, split_over_homes
from hibiscusstack.dispatch.planning.policy_components import PolicyComponents
from hibiscusstack.dispatch.targets import TargetInfo

MAX_OTHER_DATA_CENTRES = 2

Matches = Mapping[int, frozenset[str]]


class Planner:
    """Admits and places the jobs of an owner, by known targets, homes and loads.

    The engine updates ``loads`` from the reports of the homes.
    """

    def __init__(self, name: HostName, components: PolicyComponents) -> None:
        self.loads: dict[HostName, HomeLoad] = {}
        self.policy = components.current_policy
        self.admission = components.admission
        self._run_times = components.run_times
        self._name = name
        self._targets: Mapping[str, TargetInfo] = {}
        self._home_of: Mapping[str, HostName] = {}
        self._targets_cache: dict[tuple[frozenset[str], str], frozenset[str]] = {}
        self._targets_of_home: dict[HostName, list[str]] = {}
        self._other_data_centres: list[str] = []

    def replace_targets(
        self, targets: Mapping[str, TargetInfo], home_of: Mapping[str, HostName]
    ) -> None:
        """Replace the targets and their homes."""
        self._targets = targets
        self._home_of = home_of
        self._targets_cache = {}
        self._targets_of_home = {}
        for name in sorted(home_of):
            self._targets_of_home.setdefault(home_of[name], []).append(name)
        data_centres = {home.data_centre for home in home_of.values()}
        self._other_data_centres = sorted(data_centres - {self._name.data_centre})

    def match_nearest(self, job: Job) -> Matches:
        """Return the targets of each task in the first data centre that has any.

        Data centres are tried in the order of preference, this one first.
        """
        return self._match(job, self._data_centres())

    def split(
        self, job: Job, class_name: str, matches: Matches
    ) -> list[HomeAssignment]:
        """Assign the tasks to homes, and add them to the expected loads."""
        expected_ms = {
            index: self._run_times.expected_ms(job.tasks[index]) for index in matches
        }
        assignments = split_over_homes(
            matches,
            self._home_of,
            self._load_for,
            own_host=self._name,
            expected_ms=expected_ms,
            estimate_wait_ms=lambda load: estimate_wait_ms(
                self.policy.policy, Backlog.sum_of([load]), class_name
            ),
        )
        for assignment in assignments:
            self._add_expected_load(class_name, assignment, expected_ms)
        return assignments

    def plan(self, job: Job, class_name: str, now_ms: int) -> Matches | Problem:
        """Return the targets of each task, or why the job is refused.

        This data centre is tried first. Another one is tried if some task has no
        target here, or if this one is overloaded. If no single data centre has
        targets for all tasks, each task is matched on its own.
        """
        refusal = None
        for data_centre in self._data_centres():
            matches = self._match(job, (data_centre,))
            if not all(matches.values()):
                continue
            problem = self._admit(job, class_name, matches, now_ms)
            if problem is None:
                return matches
            refusal = refusal or problem
            if problem.reason is not Reason.OVERLOADED:
                break
        return refusal or self._plan_across(job, class_name, now_ms)

    def _plan_across(self, job: Job, class_name: str, now_ms: int) -> Matches | Problem:
        """Return the targets of a job that spans data centres, or why it is refused."""
        matches = self.match_nearest(job)
        unmatched = [index for index, names in matches.items() if not names]
        if unmatched:
            detail = f"no reachable target may run task {unmatched[0]}"
            return Problem(Reason.NO_MATCHING_TARGET, detail)
        return self._admit(job, class_name, matches, now_ms) or matches

    def _admit(
        self, job: Job, class_name: str, matches: Matches, now_ms: int
    ) -> Problem | None:
        """Ask admission control, with the loads limited to the targets of the job."""
        usable: dict[HostName, list[str]] = {}
        for name in frozenset().union(*set(matches.values())):
            usable.setdefault(self._home_of[name], []).append(name)
        loads = {}
        for home, names in usable.items():
            load = self._load_for(home, names)
            if load is not None:
                loads[home] = load
        return self.admission.admit(job, class_name, loads, now_ms)

    def _load_for(self, home: HostName, names: Collection[str]) -> HomeLoad | None:
        """Return a home's load for work that may use only the targets ``names``."""
        load = self.loads.get(home)
        if load is None:
            return None
        return load.restricted(self._targets_of_home.get(home, ()), names)

    def _data_centres(self) -> list[str]:
        """Return this data centre, then others by decreasing free slots.

        At most ``MAX_OTHER_DATA_CENTRES`` others with homes are returned.
        """
        free = dict.fromkeys(self._other_data_centres, 0)
        for host, load in self.loads.items():
            if host.data_centre in free:
                free[host.data_centre] += load.free_slots
        ranked = sorted(self._other_data_centres, key=lambda name: -free[name])
        return [self._name.data_centre, *ranked[:MAX_OTHER_DATA_CENTRES]]

    def _match(self, job: Job, data_centres: Sequence[str]) -> Matches:
        """Return the targets of each task in the first of the data centres with any."""
        matches = {}
        for task in job.tasks:
            names = self.policy.matching_targets(job, task, self._targets)
            found = (self._targets_in(names, each) for each in data_centres)
            matches[task.index] = next(filter(None, found), frozenset())
        return matches

    def _targets_in(self, names: frozenset[str], data_centre: str) -> frozenset[str]:
        key = (names, data_centre)
        found = self._targets_cache.get(key)
        if found is None:
            homes = ((name, self._home_of.get(name)) for name in names)
            found = frozenset(
                name
                for name, home in homes
                if home is not None and home.data_centre == data_centre
            )
            self._targets_cache[key] = found
        return found

    def _add_expected_load(
        self,
        class_name: str,
        assignment: HomeAssignment,
        expected_ms: Mapping[int, float],
    ) -> None:
        load = self.loads.get(assignment.home)
        if load is None:
            return
        work_ms = sum(expected_ms[index] for index in assignment.task_indexes)
        names = self._targets_of_home.get(assignment.home, ())
        expected = load.with_batch(
            names, assignment.targets, class_name, len(assignment.task_indexes), work_ms
        )
        self.loads[assignment.home] = expected
