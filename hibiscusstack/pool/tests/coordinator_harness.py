"""A coordinator with recorded orders and target replies given by the test."""

__all__ = [
    "OWNER",
    "PEER",
    "CoordinatorHarness",
    "RecordedNames",
    "make_job",
    "make_target",
]

import attrs

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import SubmitPoolJob
from hibiscusstack.pool.orders import HoldReply, RunEnd, Started, Stopped
from hibiscusstack.pool.targets import ListedTarget

OWNER = HostName("dc1", "a", 1)
PEER = HostName("dc1", "b", 1)
BORN_MS = 5
NEEDS = Resources(500, 64)


def make_target(name="t1", **fields):
    """Return a listed target with CPU for four tasks of ``make_job``."""
    capacity = Resources(2_000, 512)
    target = ListedTarget(name, "p", f"{name}:1", BORN_MS, capacity, "dc1")
    return attrs.evolve(target, **fields)


def make_job(name="j", *counts, **terms):
    """Return a job of sequential steps of 50 ms; ``counts`` gives tasks per step."""
    steps = tuple(
        Step(count, NEEDS, 50, tuple(range(number)))
        for number, count in enumerate(counts or (1,))
    )
    terms = {"max_attempts": 2, "target_latency_ms": 10_000} | terms
    return PoolJob(name, "p", "", steps, **terms)


class RecordedNames:
    """Records of targets: those of ``usable`` and, beside these, of ``retired``."""

    def __init__(self, usable=(), retired=()):
        self.usable, self.retired = set(usable), set(retired)

    def names(self):
        """Return the names of all recorded targets."""
        return self.usable | self.retired

    def is_usable(self, name):
        """Return whether runs may be started at the target."""
        return name in self.usable


class CoordinatorHarness:
    """Records the orders and answers of a coordinator.

    ``starts``, ``stops`` and ``holds`` contain pairs of target and order, and
    ``open_holds`` the holds without a reply. ``closed`` contains the addresses whose
    connections were closed. ``answers`` contains the answers to
    submissions in the order in which they were sent. While ``confirms_term`` is set, no
    later term begins.
    """

    def __init__(self, *names, **options):
        self.confirms_term = True
        self.clock = ManualClock(10_000)
        self.starts, self.stops, self.holds, self.answers = [], [], [], []
        self.open_holds, self.closed = [], []
        self.submissions = 0
        self.coordinator = Coordinator(
            token=3,
            clock=self.clock,
            orders=self,
            send_answer=lambda _, answer: self.answers.append(answer),
            **options,
        )
        self.targets = [make_target(name) for name in names]
        self.coordinator.replace_targets(self.targets)

    def start(self, target, order):
        """Keep the order."""
        self.starts.append((target, order))

    def stop(self, target, order):
        """Keep the order."""
        self.stops.append((target, order))

    def hold(self, target, order):
        """Keep the order."""
        self.holds.append((target, order))
        self.open_holds.append((target, order))

    def close_connections(self, target):
        """Keep the address."""
        self.closed.append(target.address)

    def state(self, name):
        """Return the coordinator's state of a target."""
        known = self.coordinator.targets()
        return next(state for state in known if state.listing.name == name)

    def last_hold(self, name):
        """Return the most recent hold sent to a target."""
        return next(sent for sent in reversed(self.holds) if sent[0].name == name)

    def reply_to_hold(self, name, active=(), *, sent=None, **fields):
        """Reply to the open holds of a target, or to the hold ``sent``."""
        for target, order in self._take_open(name) if sent is None else [sent]:
            reply = HoldReply(
                self.clock.now_ms(), target.instance_started_ms, tuple(active), ()
            )
            reply = attrs.evolve(reply, **fields)
            self.coordinator.hold_replied(
                name, target.instance_started_ms, order, reply
            )

    def report_runs_twice(self, name, active=()):
        """Reply to the open holds, and 10 ms later to the holds sent after them."""
        for _ in range(2):
            self.reply_to_hold(name, active)
            self.pass_time(10)

    def fail_hold(self, name, reply):
        """Reply to the open holds with ``reply``, a failure."""
        for target, order in self._take_open(name):
            self.coordinator.hold_replied(
                name, target.instance_started_ms, order, reply
            )

    def _take_open(self, name):
        found = [sent for sent in self.open_holds if sent[0].name == name]
        self.open_holds = [sent for sent in self.open_holds if sent not in found]
        return found

    def report_run_end(self, name, run, how="done", number=1, active=()):
        """Report the end of a run in reply to the open holds."""
        self.reply_to_hold(name, active, ended=(RunEnd(number, *run, how),))

    def complete_takeover(self, *names):
        """Complete the takeover of targets without runs."""
        for name in names:
            self.reply_to_hold(name)

    def reply_to_start(self, reply=None, sent=None):
        """Reply to the start ``sent``, by default the most recent one."""
        target, order = sent or self.starts[-1]
        reply = reply or Started(self.clock.now_ms())
        self.coordinator.start_replied(
            target.name, target.instance_started_ms, order, reply
        )

    def reply_to_stop(self, sent=None):
        """Confirm the stop ``sent``, by default the most recent one."""
        target, order = sent or self.stops[-1]
        reply = Stopped(self.clock.now_ms())
        self.coordinator.stop_replied(
            target.name, target.instance_started_ms, order, reply
        )

    def submit(self, job=None, owner=OWNER, unheard_ms=None):
        """Submit a job, as a resubmitted one if ``unheard_ms`` is given."""
        self.submissions += 1
        message = SubmitPoolJob(
            self.submissions,
            job or make_job(),
            0,
            unheard_ms is not None,
            unheard_ms or 0,
        )
        self.coordinator.submit(owner, message)
        return self.submissions

    def submit_and_start(self, name="t1", job=None):
        """Submit a job and confirm its start, which must go to target ``name``."""
        self.submit(job)
        target, order = self.starts[-1]
        assert target.name == name
        self.reply_to_start()
        return order.task, order.run

    def pass_time(self, duration_ms):
        """Advance the clock and call ``tick`` every 10 ms."""
        while duration_ms > 0:
            self.clock.advance(min(10, duration_ms))
            duration_ms -= 10
            if self.confirms_term:
                self.coordinator.confirm_term(self.clock.now_ms())
            self.coordinator.tick()

    def started_runs(self):
        """Return target name, task and run number of each start."""
        return [(target.name, order.task, order.run) for target, order in self.starts]

    def ends(self):
        """Return the end of each answered submission."""
        return [answer.end for answer in self.answers]
