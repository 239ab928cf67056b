"""Tasks that crash the targets that start them, in a whole fleet.

Guards against incident 4b62: a task took down target after target, and a change of the
coordinator, of the receiving host or of the caller's connection began the count anew.
"""

import json
from collections import Counter

import pytest

from hibiscusstack.http.server import HttpRequest
from hibiscusstack.pool.tests.fleet import Fleet
from hibiscusstack_standins.estate.edges import CallerConnection
from hibiscusstack_standins.estate.events import LifeEnded, RunStarted
from hibiscusstack_standins.estate.jobs import Step
from hibiscusstack_standins.estate.queues import QUEUE_HOST, job_path

SEEDS = range(4)
RETURN_MS = 3_000
MAX_CRASHES = 5
# A culprit that starts beside others crashes three targets. Each coordinator that is
# lost may cost one more start.
MAX_STARTS = 3
NEEDS = {"cpu": 500, "mem_mb": 64}
CRASHING = Step(count=2, work_ms=100, crashing=(0,), **NEEDS)
every_seed = pytest.mark.parametrize("seed", SEEDS)


class CrashFleet(Fleet):
    """A fleet whose crashed workers return ``RETURN_MS`` later, by default renamed."""

    def __init__(self, seed=0, *, workers=8, keeps_names=False, **options):
        super().__init__(seed, workers=workers, **options)
        self.keeps_names = keeps_names
        self._down_since_ms = {}

    def run(self, duration_ms):
        """Let time pass, and replace crashed workers."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            super().run(min(50, end_ms - self.now_ms))
            if hasattr(self, "_down_since_ms"):
                self._replace_crashed()

    def _replace_crashed(self):
        for name, worker in list(self.workers.items()):
            if worker.is_up:
                continue
            since_ms = self._down_since_ms.setdefault(name, self.now_ms)
            if since_ms is None or self.now_ms < since_ms + RETURN_MS:
                continue
            if self.keeps_names:
                worker.restart(self.now_ms)
                del self._down_since_ms[name]
            else:
                self._down_since_ms[name] = None
                self.join(f"{name}x")

    def keep_busy(self, duration_ms, every_ms=100, jobs=1, **step):
        """Submit ordinary jobs every ``every_ms``; return their callers."""
        callers = []
        for _ in range(0, duration_ms, every_ms):
            callers += self.submit_jobs(jobs, **step)
            self.run(every_ms)
        return callers

    def crash_count(self):
        """Return how often workers crashed."""
        return sum(isinstance(event, LifeEnded) for event in self.events())

    def starts_of(self, caller):
        """Return the number of starts of each task of a job."""
        return Counter(
            event.task
            for event in self.events()
            if isinstance(event, RunStarted) and event.task.startswith(caller.job.id)
        )

    def state_of(self, caller):
        """Return the state of a stored job, as a caller reads it."""
        answers = []
        connection = CallerConnection(
            lambda status, body: answers.append((status, json.loads(body or b"{}")))
        )
        headers = {"host": QUEUE_HOST}
        request = HttpRequest("GET", job_path(caller.job), headers, b"", 0, connection)
        next(iter(self.edges.values())).front.handle_caller_request(request)
        self.run(500)
        return answers[0][1].get("state") if answers else None


def max_starts(fleet, caller):
    """Return the starts of the task of a job that was started most often."""
    return max(fleet.starts_of(caller).values())


@every_seed
@pytest.mark.parametrize("keeps_names", [True, False])
def test_a_task_that_crashes_its_targets_is_given_up(seed, keeps_names):
    fleet = CrashFleet(seed, keeps_names=keeps_names)
    fleet.wait_ms = 20_000
    before = fleet.submit_jobs(6)
    caller = fleet.submit(CRASHING)
    others = [*before, *fleet.keep_busy(8_000)]
    fleet.recover_and_verify()
    assert caller.state == "failed"
    assert max_starts(fleet, caller) <= MAX_STARTS
    assert {other.state for other in others} == {"completed"}


@every_seed
def test_neighbours_of_crashing_tasks_are_not_given_up(seed):
    fleet = CrashFleet(seed)
    fleet.wait_ms = 30_000
    crashing, others = [], []
    for _ in range(10):
        crashing.append(fleet.submit(CRASHING))
        others += fleet.keep_busy(500, 50, work_ms=150)
    fleet.recover_and_verify(60_000)
    assert {caller.state for caller in crashing} == {"failed"}
    assert {other.state for other in others} == {"completed"}


@every_seed
def test_no_task_is_given_up_where_targets_crash_at_random(seed):
    fleet = CrashFleet(seed, workers=20)
    fleet.wait_ms = 30_000
    others = []
    for _ in range(12):
        others += fleet.keep_busy(1_000, 50, 3, work_ms=400)
        alive = [name for name, worker in fleet.workers.items() if worker.is_up]
        for name in fleet.random.sample(alive, len(alive) // 10):
            fleet.workers[name].crash(fleet.now_ms)
    fleet.recover_and_verify(60_000)
    assert {other.state for other in others} == {"completed"}


@every_seed
def test_no_task_is_given_up_where_targets_are_cut_off_at_random(seed):
    fleet = CrashFleet(seed, workers=10)
    fleet.wait_ms = 30_000
    others = []
    for _ in range(10):
        others += fleet.keep_busy(1_000, 50, 2, work_ms=400)
        fleet.mend()
        for name in fleet.random.sample(list(fleet.workers), 3):
            for host in fleet.host_names:
                fleet.cut(host, [name])
    fleet.recover_and_verify(60_000)
    assert {other.state for other in others} == {"completed"}


@every_seed
def test_crashes_count_after_the_loss_of_coordinator_and_receiving_host(seed):
    fleet = CrashFleet(seed)
    first = fleet.coordinator()
    caller = fleet.submit(CRASHING, host=first)
    fleet.run(300 + 200 * seed)
    fleet.kill(first)
    fleet.run(3_000)
    fleet.start(first)
    fleet.run(15_000)
    assert caller.state == "failed"
    assert max_starts(fleet, caller) <= MAX_STARTS + 1
    assert fleet.violations() == []


@every_seed
def test_crashes_count_while_coordinators_are_lost_one_after_the_other(seed):
    fleet = CrashFleet(seed, hosts=4, workers=12)
    callers = [fleet.submit(CRASHING) for _ in range(4)]
    for _ in range(5):
        lost = fleet.coordinator()
        if lost:
            fleet.kill(lost)
        fleet.keep_busy(2_000, 200)
        if lost:
            fleet.start(lost)
    fleet.recover_and_verify(40_000)
    assert {caller.state for caller in callers} == {"failed"}
    assert max(max_starts(fleet, caller) for caller in callers) <= MAX_CRASHES


# Guards against starts that are forgotten, because each coordinator is lost before it
# has noticed the crash.
@every_seed
def test_starts_of_suspects_count_if_the_coordinator_is_lost_at_once(seed):
    fleet = CrashFleet(seed, hosts=4, workers=12)
    fleet.wait_ms = 60_000
    caller = fleet.submit(CRASHING)
    seen_crashes, restarts_ms = 1, {}
    while not caller.is_done and fleet.now_ms < 60_000:
        fleet.run(10)
        for name, restart_ms in list(restarts_ms.items()):
            if fleet.now_ms >= restart_ms:
                fleet.start(name)
                del restarts_ms[name]
        first = fleet.coordinator()
        if fleet.crash_count() > seen_crashes and first:
            seen_crashes = fleet.crash_count()
            fleet.kill(first)
            restarts_ms[first] = fleet.now_ms + 1_500
    assert caller.state == "failed"
    assert max_starts(fleet, caller) <= MAX_CRASHES
    assert fleet.violations() == []


@every_seed
def test_crashes_count_for_stored_jobs_read_again_from_the_log(seed):
    fleet = CrashFleet(seed)
    caller = fleet.submit(CRASHING, is_stored=True)
    fleet.run(250 + 200 * seed)
    first = fleet.coordinator()
    fleet.kill(first)
    fleet.keep_busy(4_000)
    fleet.start(first)
    fleet.run(15_000)
    assert fleet.state_of(caller) == "failed"
    assert max_starts(fleet, caller) <= MAX_CRASHES
    assert fleet.violations() == []


@every_seed
def test_crashes_count_for_the_deputy_of_a_data_centre_that_is_cut_off(seed):
    zones = {"y": ("h1", "h2", "w0", "w1", "w2", "w3")}
    fleet = CrashFleet(seed, hosts=5, zones=zones)
    caller = fleet.submit(CRASHING, zone="y")
    fleet.run(200 + 100 * seed)
    fleet.cut_zone("y")
    fleet.run(6_000)
    fleet.recover_and_verify(30_000)
    assert caller.state == "failed"
    assert max_starts(fleet, caller) <= MAX_CRASHES


@every_seed
def test_a_job_that_was_given_up_is_answered_alike_when_it_is_sent_again(seed):
    fleet = CrashFleet(seed)
    caller = fleet.submit(CRASHING)
    fleet.run(6_000)
    assert caller.state == "failed"
    starts = fleet.starts_of(caller)
    for host in fleet.host_names:
        answers = []
        fleet.edges[host].post(
            caller.job, lambda status, body, to=answers: to.append((status, body))
        )
        fleet.run(100)
        assert [(s, json.loads(b)["state"]) for s, b in answers] == [(200, "failed")]
    assert fleet.starts_of(caller) == starts


def test_jobs_that_crash_nothing_add_no_records_to_the_log():
    fleet = CrashFleet(0)
    fleet.run(3_000)
    host = fleet.edges[fleet.coordinator()].host
    log_end = host.build_heartbeat().log_end
    callers = fleet.submit_jobs(20)
    fleet.run(3_000)
    assert {caller.state for caller in callers} == {"completed"}
    assert host.build_heartbeat().log_end == log_end


# Guards against a sixth start of a task of a stored job: crashes that only lost
# coordinators knew of are forgotten, and crashes at the same time show less.
@every_seed
@pytest.mark.parametrize("culprits", [1, 3])
def test_crashes_of_stored_jobs_count_while_two_coordinators_forget_one(seed, culprits):
    fleet = CrashFleet(seed, hosts=5, workers=12, max_attempts=2)
    step = Step(work_ms=900, crashing=(0,), crash_delay_ms=300, **NEEDS)
    callers = [fleet.submit(step, is_stored=True) for _ in range(culprits)]
    for _ in range(2):
        seen_crashes = fleet.crash_count()
        while fleet.crash_count() == seen_crashes:
            fleet.run(10)
        lost = fleet.coordinator()
        fleet.kill(lost)
        fleet.run(3_000)
        fleet.start(lost)
    fleet.recover_and_verify(20_000)
    assert {fleet.state_of(caller) for caller in callers} == {"failed"}
    assert max(max_starts(fleet, caller) for caller in callers) <= MAX_CRASHES
