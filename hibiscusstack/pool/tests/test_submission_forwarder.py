"""Forwarding of jobs to the coordinator, across changes of coordinator."""

from random import Random

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import (
    CancelSubmission,
    JobEnd,
    SubmissionAnswer,
    SubmitPoolJob,
)
from hibiscusstack.pool.submission_forwarder import ReceivedJob, SubmissionForwarder

C1, C2 = HostName("dc", "c", 1), HostName("dc", "d", 1)
COMPLETED = JobEnd.COMPLETED


class ForwarderHarness:
    """A forwarder with the messages it sent, its callers' answers and a fake network.

    ``unreached`` are the hosts to which sending fails.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.sent, self.answers, self.unreached = [], {}, set()
        self.forwarder = SubmissionForwarder(self.clock, self._send)

    def _send(self, to, message):
        if to in self.unreached:
            return False
        self.sent.append((to, message))
        return True

    def submit(self, name="j", deadline_ms=None):
        """Submit one job with a latency objective of 1,000 ms."""
        job = PoolJob(name, "p", "", (Step(1, Resources()),), target_latency_ms=1_000)
        answers = self.answers.setdefault(name, [])
        now_ms = self.clock.now_ms()
        return self.forwarder.submit(
            ReceivedJob(job, now_ms, deadline_ms, answers.append)
        )

    def submissions(self):
        """Return (host, job id, is_resubmitted) of each job that was sent."""
        return [
            (to, message.job.job_id, message.is_resubmitted)
            for to, message in self.sent
            if isinstance(message, SubmitPoolJob)
        ]

    def pass_time(self, duration_ms):
        """Advance the clock in steps of 10 ms, with a tick after each."""
        for _ in range(duration_ms // 10):
            self.clock.advance(10)
            self.forwarder.tick()


def test_a_job_is_resubmitted_to_a_new_coordinator_and_cancelled_at_the_old():
    harness = ForwarderHarness()
    harness.forwarder.coordinator_changed(C1)
    number = harness.submit()
    harness.pass_time(100)
    harness.forwarder.coordinator_changed(C2)
    assert harness.submissions() == [(C1, "j", False), (C2, "j", True)]
    assert (C1, CancelSubmission(number)) in harness.sent
    assert harness.sent[-1][1].waited_ms == 100
    harness.forwarder.answer_received(C1, SubmissionAnswer(number, COMPLETED))
    assert harness.answers["j"] == [] and len(harness.forwarder) == 1
    harness.forwarder.answer_received(C2, SubmissionAnswer(number, COMPLETED))
    harness.forwarder.answer_received(C2, SubmissionAnswer(number, JobEnd.FAILED))
    assert [answer.end for answer in harness.answers["j"]] == [COMPLETED]


def test_jobs_are_withdrawn_from_a_host_that_stepped_down():
    harness = ForwarderHarness()
    harness.forwarder.coordinator_changed(C1)
    number = harness.submit()
    harness.forwarder.coordinator_stepped_down(C2)
    assert harness.submissions() == [(C1, "j", False)]
    harness.forwarder.coordinator_stepped_down(C1)
    assert harness.sent[-1] == (C1, CancelSubmission(number))
    harness.forwarder.coordinator_changed(C1)
    assert harness.submissions() == [(C1, "j", False), (C1, "j", True)]


def test_a_job_that_was_forwarded_is_never_refused():
    harness = ForwarderHarness()
    harness.forwarder.coordinator_changed(C1)
    harness.submit("sent")
    harness.forwarder.coordinator_changed(None)
    harness.submit("kept")
    harness.pass_time(400)
    ends = {
        name: [answer.end for answer in answers]
        for name, answers in harness.answers.items()
    }
    assert ends == {"sent": [JobEnd.UNKNOWN], "kept": [JobEnd.REFUSED]}


def test_jobs_are_resent_when_the_connection_to_the_coordinator_is_replaced():
    harness = ForwarderHarness()
    harness.forwarder.coordinator_changed(C1)
    harness.submit("one")
    harness.forwarder.coordinator_changed(None)
    harness.forwarder.coordinator_changed(C2)
    harness.submit("two")
    harness.pass_time(50)
    sent = len(harness.sent)
    harness.forwarder.connection_replaced(C1)
    assert harness.sent[sent:] == []
    harness.forwarder.connection_replaced(C2)
    assert harness.submissions()[-2:] == [(C2, "one", True), (C2, "two", True)]
    assert [message.submission for _, message in harness.sent[sent:]] == [1, 2]
    assert [message.unheard_ms for _, message in harness.sent[sent:]] == [50, 0]


def test_a_deadline_cancels_at_the_coordinator():
    harness = ForwarderHarness()
    harness.forwarder.coordinator_changed(C1)
    number = harness.submit(deadline_ms=300)
    harness.pass_time(1_000)
    assert harness.sent[-1] == (C1, CancelSubmission(number))
    assert [answer.end for answer in harness.answers["j"]] == [JobEnd.UNKNOWN]


def test_forwarding_is_retried_while_the_coordinator_is_unreachable():
    harness = ForwarderHarness()
    harness.unreached.add(C1)
    harness.forwarder.coordinator_changed(C1)
    harness.submit()
    harness.pass_time(50)
    harness.unreached.clear()
    harness.pass_time(10)
    assert harness.submissions() == [(C1, "j", False)]


def test_each_of_many_jobs_is_answered_once_under_random_events():
    rng, harness = Random(7), ForwarderHarness()
    numbers = []
    for step in range(3_000):
        kind = rng.randrange(5)
        if kind == 0:
            harness.forwarder.coordinator_changed(rng.choice([C1, C2, None]))
        elif kind == 1 and numbers:
            answer = SubmissionAnswer(rng.choice(numbers), COMPLETED)
            harness.forwarder.answer_received(rng.choice([C1, C2]), answer)
        elif kind == 2:
            harness.unreached = set(rng.sample([C1, C2], rng.randrange(3)))
        else:
            numbers.append(harness.submit(f"j{step}", harness.clock.now_ms() + 500))
        harness.pass_time(10)
    harness.pass_time(2_000)
    assert len(harness.forwarder) == 0
    assert {len(answers) for answers in harness.answers.values()} == {1}
    forwarded = {job_id for _, job_id, _ in harness.submissions()}
    refused = {
        name
        for name, answers in harness.answers.items()
        if answers[0].end is JobEnd.REFUSED
    }
    assert refused and forwarded and not refused & forwarded
