"""State-machine tests of whole engines: answers are correct under any faults."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hibiscusstack.dispatch.answers import Outcome
from hibiscusstack.dispatch.submission.ids import parse_issued_id
from hibiscusstack.dispatch.tests.fleets import Fleet, make_job

HOSTS = 3
TARGETS = 6
HOST = st.integers(0, HOSTS - 1)
FAULTY_TARGET = st.integers(0, TARGETS // 2 - 1).map(lambda number: f"t{number}")
TIMEOUT_MS = 2_000
ANSWER_TIMEOUT_MS = 30_000
STEP_MS = 1_000
PAUSE_MS = 2_000


class EngineMachine(RuleBasedStateMachine):
    """Three hosts, six targets with two slots each, and callers that resubmit."""

    data_centres = 1

    @initialize()
    def boot_all(self):
        """Start every host."""
        self.fleet = Fleet(
            hosts=HOSTS, targets=TARGETS, slots=2, data_centres=self.data_centres
        )
        self.jobs = {}
        self.requests = {}
        self.cut_links = set()
        self.paused = None

    def alive(self):
        """Return the hosts that were not killed."""
        fleet = self.fleet
        return [n for n in range(HOSTS) if fleet.names[n] not in fleet.crashed]

    @rule(
        owner=HOST,
        host=HOST,
        times=st.lists(st.integers(1, 400), min_size=1, max_size=12),
    )
    def submit(self, owner, host, times):
        """Submit a new job to any host."""
        if not {owner, host} <= set(self.alive()):
            return
        job_id = self.fleet.mint(owner)
        fields = {"timeout_ms": TIMEOUT_MS, "is_first_attempt": True}
        job = make_job(job_id, *times, caller=f"caller of {job_id}", **fields)
        self.jobs[job_id] = job
        self.requests[self.fleet.submit(host, job)] = (job_id, job.caller)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), host=HOST, is_other=st.booleans())
    def resubmit(self, data, host, is_other):
        """Submit a job again to any host, for its own caller or another one."""
        job_id = data.draw(st.sampled_from(sorted(self.jobs)))
        outcomes = self.outcomes_told(job_id)
        if host not in self.alive() or Outcome.NOT_RUN in outcomes:
            return
        first = self.jobs[job_id]
        times = [task.payload for task in first.tasks]
        is_other = is_other and self.is_claimed(first)
        caller = "another caller" if is_other else first.caller
        job = make_job(job_id, *times, caller=caller, timeout_ms=TIMEOUT_MS)
        self.requests[self.fleet.submit(host, job)] = (job_id, caller)

    def is_claimed(self, job):
        """Tell whether the job is in progress at its owner, for its own caller."""
        owner = parse_issued_id(job.job_id).ok.owner
        engine = self.fleet.engines[owner]
        return engine.progress_of(job.job_id, job.caller) is not None

    def outcomes_told(self, job_id):
        """Return the outcomes of all answers that the caller of a job received."""
        return {
            self.fleet.answers[request].outcome
            for request, (other, caller) in self.requests.items()
            if other == job_id
            and request in self.fleet.answers
            and caller == self.jobs[job_id].caller
        }

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), host=HOST)
    def cancel(self, data, host):
        """Cancel a job for its own caller at any host."""
        job_id = data.draw(st.sampled_from(sorted(self.jobs)))
        self.fleet.call(host, "cancel", job_id, self.jobs[job_id].caller)

    @rule(duration_ms=st.sampled_from([1, 2, 10, 50, 200]))
    def run(self, duration_ms):
        """Advance virtual time."""
        self.fleet.run(duration_ms)

    @precondition(lambda self: len(self.jobs) > 2 and len(self.alive()) > 1)
    @rule(host=HOST)
    def kill(self, host):
        """Crash a host."""
        if host in self.alive():
            self.fleet.kill(host)

    @precondition(lambda self: len(self.jobs) > 2)
    @rule(host=HOST)
    def drain(self, host):
        """Start to drain a host."""
        self.fleet.call(host, "drain")

    @precondition(lambda self: self.paused is None and len(self.alive()) > 1)
    @rule(host=HOST, is_lost=st.booleans())
    def pause(self, host, is_lost):
        """Pause a host for ``PAUSE_MS``; if ``is_lost``, others declare it lost."""
        if host not in self.alive():
            return
        self.paused = host
        self.fleet.pause(host)
        name = self.fleet.names[host]
        for other in self.alive():
            if other != host:
                self.fleet.call(other, "peer_disconnected", name)
        self.fleet.run(PAUSE_MS)
        for other in self.alive():
            if other != host and is_lost:
                self.fleet.call(other, "peer_lost", name)

    @precondition(lambda self: self.paused is not None)
    @rule()
    def resume(self):
        """Resume the paused host and reconnect it to hosts that are not cut off."""
        host, self.paused = self.paused, None
        if host not in self.alive():
            return
        self.fleet.resume(host)
        for other in self.alive():
            if other != host and not {(host, other), (other, host)} & self.cut_links:
                self.fleet.restore_link(host, other)

    @rule(first=HOST, second=HOST)
    def cut_link(self, first, second):
        """Cut the network between two hosts."""
        if first == second or not {first, second} <= set(self.alive()):
            return
        self.fleet.cut_link(first, second)
        self.cut_links.add((first, second))
        one, other = self.fleet.names[first], self.fleet.names[second]
        self.fleet.call(first, "peer_disconnected", other)
        self.fleet.call(second, "peer_disconnected", one)

    @precondition(lambda self: self.cut_links)
    @rule(data=st.data(), is_mutual=st.booleans())
    def lose_peer(self, data, is_mutual):
        """Let one side of a cut, or both, declare the other host lost."""
        first, second = data.draw(st.sampled_from(sorted(self.cut_links)))
        one, other = self.fleet.names[first], self.fleet.names[second]
        self.fleet.call(first, "peer_lost", other)
        if is_mutual:
            self.fleet.call(second, "peer_lost", one)

    @precondition(lambda self: self.cut_links)
    @rule(data=st.data())
    def mend_link(self, data):
        """Restore the network between two hosts."""
        first, second = data.draw(st.sampled_from(sorted(self.cut_links)))
        self.cut_links -= {(first, second), (second, first)}
        if {first, second} <= set(self.alive()):
            self.fleet.restore_link(first, second)

    @rule(
        name=FAULTY_TARGET,
        fault=st.sampled_from(["is_cut", "lose_answers", "fails"]),
        is_on=st.sampled_from([False, False, True]),
    )
    def set_target_fault(self, name, fault, is_on):
        """Turn one fault of a target on or off."""
        setattr(self.fleet.targets[name], fault, is_on)

    @rule(name=FAULTY_TARGET, reason=st.sampled_from(["", "", "busy", "leaving"]))
    def let_target_refuse(self, name, reason):
        """Let a target refuse every start, or none."""
        self.fleet.targets[name].refuses = reason

    @rule(name=FAULTY_TARGET)
    def restart_target(self, name):
        """Restart a target, which forgets all tasks."""
        self.fleet.restart_target(name)

    @invariant()
    def answers_match_starts(self):
        """Check that no task started twice and that answers match the starts."""
        starts = self.starts()
        assert all(count == 1 for count in starts.values())
        for request, answer in self.fleet.answers.items():
            job_id, caller = self.requests[request]
            assert answer.job_id == job_id
            if caller != self.jobs[job_id].caller:
                assert answer.results == ()
                continue
            self.check(answer, self.jobs[job_id], starts)

    def starts(self):
        """Return how often each task was started, over all targets."""
        starts = Counter()
        for target in self.fleet.targets.values():
            for task_id, count in target.starts.items():
                starts[task_id.rsplit("/", 1)[0]] += count
        return starts

    def check(self, answer, job, starts):
        """Check one answer against the starts of its tasks."""
        names = [f"{job.job_id}/{task.index}" for task in job.tasks]
        if answer.outcome is Outcome.NOT_RUN:
            assert not any(starts[name] for name in names)
        if answer.outcome is Outcome.SUCCEEDED:
            assert [result.index for result in answer.results] == list(
                range(len(job.tasks))
            )
            assert {r.outcome for r in answer.results} <= {Outcome.SUCCEEDED}
        for result in answer.results:
            started = starts[names[result.index]]
            if result.outcome is Outcome.NOT_RUN:
                assert not started
            if result.outcome in (Outcome.SUCCEEDED, Outcome.FAILED):
                assert started
            if result.outcome is Outcome.SUCCEEDED:
                assert result.value.startswith(f"{names[result.index]}/")

    def teardown(self):
        """Check that every request at a running host is answered in time."""
        if not hasattr(self, "fleet"):
            return
        if self.paused is not None:
            self.resume()
        for _ in range(ANSWER_TIMEOUT_MS // STEP_MS):
            if not self.unanswered():
                break
            self.fleet.run(STEP_MS)
        self.fleet.run(STEP_MS)
        self.answers_match_starts()
        assert self.unanswered() == []

    def unanswered(self):
        """Return the requests at running hosts that have no answer yet."""
        fleet = self.fleet
        return [
            request
            for request, host in fleet.submitted_to.items()
            if fleet.names[host] not in fleet.crashed and request not in fleet.answers
        ]


EngineMachine.TestCase.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)
TestEngineMachine = EngineMachine.TestCase


class DataCentresMachine(EngineMachine):
    """The same machine with hosts and targets in two data centres."""

    data_centres = 2


DataCentresMachine.TestCase.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)
TestDataCentresMachine = DataCentresMachine.TestCase
