"""Stored jobs for which no target has room, in a whole fleet."""

import attrs

from hibiscusstack.pool.tests.fleet import Fleet
from hibiscusstack_standins.estate.jobs import Step

# For that long a job may have nothing running while targets are idle.
MAX_WAIT_MS = 3_000
UNPLACEABLE_JOBS = 200


class LabelledFleet(Fleet):
    """A fleet whose worker ``w0`` alone has the label ``b``."""

    def _worker(self, name):
        worker = super()._worker(name)
        return attrs.evolve(worker, labels=("b",)) if name == "w0" else worker


def submit_stored(fleet, count, *steps):
    """Submit stored jobs at a steady rate; return their callers."""
    callers = []
    for _ in range(count):
        callers.append(fleet.submit(*steps, is_stored=True))
        fleet.run(5)
    return callers


def started_jobs(fleet):
    """Return the ids of the jobs of which a worker has begun a task."""
    events = (event for name in fleet.workers for event in fleet.starts_on(name))
    return {event.task.partition(".")[0] for event in events}


# Guards against stored jobs that are larger than every target, and that keep out jobs
# of about their size.
def test_jobs_larger_than_every_target_delay_no_smaller_ones():
    fleet = Fleet()
    large = Step(1, 100, cpu=2_040, mem_mb=64)
    submit_stored(fleet, UNPLACEABLE_JOBS, large)
    caller = fleet.submit(attrs.evolve(large, cpu=1_950), is_stored=True)
    fleet.run(MAX_WAIT_MS)
    assert started_jobs(fleet) == {caller.job.id}


# Guards against started jobs whose next step needs a label that is lost, and that keep
# out all others once a new coordinator reads them again.
def test_jobs_that_lack_a_label_for_their_next_step_delay_no_others():
    fleet = LabelledFleet()
    first = Step(1, 20, cpu=100, mem_mb=64)
    second = Step(1, 100, cpu=100, mem_mb=64, after=(0,), requires="b")
    fleet.run(5_000)
    fleet.workers["w0"].crash(fleet.now_ms)
    fleet.run(3_000)
    submit_stored(fleet, UNPLACEABLE_JOBS, first, second)
    fleet.run(1_000)
    fleet.kill(fleet.coordinator())
    fleet.run(3_000)
    caller = fleet.submit(first, is_stored=True)
    fleet.run(MAX_WAIT_MS)
    assert caller.job.id in started_jobs(fleet)
