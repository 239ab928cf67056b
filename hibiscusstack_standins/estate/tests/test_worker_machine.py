"""Any sequence of calls to a worker keeps what the protocol promises."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack_standins.estate.auditor import Auditor
from hibiscusstack_standins.estate.events import LifeEnded, RunEnded, RunStarted
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step
from hibiscusstack_standins.estate.messages import Request
from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.worker import Worker, WorkerFaults, WorkerPlan

JOB = "5c0e7a21d94b36f8"
CAPACITY = Capacity(cpu=1_000)
STEPS = (
    Step(count=4, work_ms=70, cpu=400),
    Step(count=2, work_ms=50, cpu=300, gang=True),
    Step(count=1, work_ms=3_000, cpu=100, checkpointing=True),
)
tasks = st.sampled_from(
    [f"{JOB}.0.{s}.{i}" for s, i in ((0, 0), (0, 1), (1, 0), (1, 1), (2, 0))]
)
runs = st.integers(1, 3)
tokens = st.integers(0, 3)
ahead = st.integers(-50, 1_500)
steps = st.one_of(
    st.tuples(st.just("pass"), st.integers(1, 800)),
    st.tuples(st.just("start"), tasks, runs, ahead, tokens),
    st.tuples(st.just("stop"), tasks, runs, tokens),
    st.tuples(st.just("hold"), ahead, st.integers(0, 6), tokens),
    st.tuples(st.just("faults"), st.sampled_from([0.5, 1.0, 4.0]), st.booleans()),
    st.tuples(st.just("restart")),
)


class Driver:
    """Plays steps against one worker, and collects its answers."""

    def __init__(self):
        catalog = Catalog(Job(JOB, steps=STEPS))
        self.worker = Worker(WorkerPlan("w1", capacity=CAPACITY), catalog)
        self.catalog = catalog
        self.now_ms = 0
        self.tickets = 0
        self.answered = Counter()

    def play(self, verb, *arguments):
        """Do one step, and let the worker do all that is due."""
        getattr(self, verb)(*arguments)
        self.advance()

    def advance(self):
        """Take what is due, and check that nothing stays due."""
        self.answered.update(t for t, _ in self.worker.advance(self.now_ms))
        due_ms = self.worker.next_due_ms()
        assert due_ms is None or due_ms > self.now_ms

    def submit(self, path, **body):
        """Send one call."""
        self.tickets += 1
        self.worker.submit(self.now_ms, self.tickets, Request(path, body))

    def until(self, ahead_ms):
        """Return a time on the worker's clock."""
        return max(0, self.worker.clock_ms(self.now_ms) + ahead_ms)

    def start(self, task, run, ahead_ms, token):
        """Start a run."""
        body = {"task": task, "run": run, "fencing_token": token}
        self.submit("/run-start", until_ms=self.until(ahead_ms), **body)

    def stop(self, task, run, token):
        """Stop a run."""
        self.submit("/run-stop", task=task, run=run, fencing_token=token)

    def hold(self, ahead_ms, acked_through, token):
        """Hold the lease, and wait for an end."""
        body = {"acked_through": acked_through, "fencing_token": token}
        self.submit("/hold", until_ms=self.until(ahead_ms), wait_ms=200, **body)

    def faults(self, slow_factor, stalls):
        """Set faults."""
        self.worker.set_faults(self.now_ms, WorkerFaults(slow_factor, stalls))

    def restart(self):
        """Begin a new life."""
        self.worker.restart(self.now_ms)

    def pass_(self, duration_ms):
        """Let time pass from one due time to the next."""
        end_ms = self.now_ms + duration_ms
        due_ms = self.worker.next_due_ms()
        while due_ms is not None and due_ms <= end_ms:
            self.now_ms = max(due_ms, self.now_ms)
            self.advance()
            due_ms = self.worker.next_due_ms()
        self.now_ms = end_ms


def played(sequence):
    """Return a driver after a sequence, with all leases run out."""
    driver = Driver()
    for verb, *arguments in sequence:
        driver.play("pass_" if verb == "pass" else verb, *arguments)
    driver.play("pass_", 5_000)
    return driver


@settings(max_examples=150, deadline=None)
@given(st.lists(steps, max_size=30))
def test_a_worker_keeps_its_promises(sequence):
    driver = played(sequence)
    assert driver.answered == dict.fromkeys(range(1, driver.tickets + 1), 1)
    assert driver.worker.running() == []
    events = driver.worker.events
    assert [event.at_ms for event in events] == sorted(event.at_ms for event in events)
    began = Counter()
    numbers = Counter()
    for event in events:
        if isinstance(event, RunStarted):
            assert not event.is_overfull
            began[event.born, event.task, event.run] += 1
        elif isinstance(event, RunEnded):
            began[event.born, event.task, event.run] -= 1
            numbers[event.born] += 1
            assert event.number == numbers[event.born]
        elif isinstance(event, LifeEnded):
            began.clear()
    assert set(began.values()) <= {0}


@settings(max_examples=150, deadline=None)
@given(st.lists(steps, max_size=30))
def test_an_audit_finds_a_guarded_worker_within_its_limits(sequence):
    driver = played(sequence)
    found = Auditor(driver.catalog).audit(driver.worker.events)
    assert {violation.rule for violation in found} <= {"TWICE"}
