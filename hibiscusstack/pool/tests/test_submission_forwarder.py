"""Jobs on their way to one coordinator after another."""

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
    """A receiver, what it sent to whom, and what its callers were answered."""

    def __init__(self):
        self.clock = ManualClock()
        self.sent, self.answers, self.unreached = [], {}, set()
        self.receiver = SubmissionForwarder(self.clock, self._send)

    def _send(self, to, message):
        if to in self.unreached:
            return False
        self.sent.append((to, message))
        return True

    def submit(self, name="j", deadline_ms=None):
        """Take one job whose objective is 1,000 ms."""
        job = PoolJob(name, "p", "", (Step(1, Resources()),), target_latency_ms=1_000)
        got = self.answers.setdefault(name, [])
        now_ms = self.clock.now_ms()
        return self.receiver.submit(ReceivedJob(job, now_ms, deadline_ms, got.append))

    def submissions(self):
        """Return which jobs went where, and whether as resubmitted ones."""
        return [
            (to, message.job.job_id, message.is_resubmitted)
            for to, message in self.sent
            if isinstance(message, SubmitPoolJob)
        ]

    def pass_time(self, duration_ms):
        """Let time pass in ticks."""
        for _ in range(duration_ms // 10):
            self.clock.advance(10)
            self.receiver.tick()


def test_a_job_moves_on_as_a_resubmitted_one_and_is_cancelled_at_the_old():
    host = ForwarderHarness()
    host.receiver.coordinator_changed(C1)
    number = host.submit()
    host.pass_time(100)
    host.receiver.coordinator_changed(C2)
    assert host.submissions() == [(C1, "j", False), (C2, "j", True)]
    assert (C1, CancelSubmission(number)) in host.sent
    assert host.sent[-1][1].waited_ms == 100
    host.receiver.answer_received(C1, SubmissionAnswer(number, COMPLETED))
    assert host.answers["j"] == [] and len(host.receiver) == 1
    host.receiver.answer_received(C2, SubmissionAnswer(number, COMPLETED))
    host.receiver.answer_received(C2, SubmissionAnswer(number, JobEnd.FAILED))
    assert [answer.end for answer in host.answers["j"]] == [COMPLETED]


def test_jobs_are_taken_back_from_a_host_that_ceased_to_coordinate():
    host = ForwarderHarness()
    host.receiver.coordinator_changed(C1)
    number = host.submit()
    host.receiver.coordinator_stepped_down(C2)
    assert host.submissions() == [(C1, "j", False)]
    host.receiver.coordinator_stepped_down(C1)
    assert host.sent[-1] == (C1, CancelSubmission(number))
    host.receiver.coordinator_changed(C1)
    assert host.submissions() == [(C1, "j", False), (C1, "j", True)]


def test_a_job_that_was_handed_on_is_never_refused():
    host = ForwarderHarness()
    host.receiver.coordinator_changed(C1)
    host.submit("sent")
    host.receiver.coordinator_changed(None)
    host.submit("kept")
    host.pass_time(400)
    ends = {name: [answer.end for answer in got] for name, got in host.answers.items()}
    assert ends == {"sent": [JobEnd.UNKNOWN], "kept": [JobEnd.REFUSED]}


def test_a_job_goes_again_to_a_coordinator_whose_connection_was_replaced():
    host = ForwarderHarness()
    host.receiver.coordinator_changed(C1)
    host.submit("one")
    host.receiver.coordinator_changed(None)
    host.receiver.coordinator_changed(C2)
    host.submit("two")
    host.pass_time(50)
    sent = len(host.sent)
    host.receiver.connection_replaced(C1)
    assert host.sent[sent:] == []
    host.receiver.connection_replaced(C2)
    assert host.submissions()[-2:] == [(C2, "one", True), (C2, "two", True)]
    assert [message.submission for _, message in host.sent[sent:]] == [1, 2]
    assert [message.unheard_ms for _, message in host.sent[sent:]] == [50, 0]


def test_a_deadline_cancels_at_the_coordinator():
    host = ForwarderHarness()
    host.receiver.coordinator_changed(C1)
    number = host.submit(deadline_ms=300)
    host.pass_time(1_000)
    assert host.sent[-1] == (C1, CancelSubmission(number))
    assert [answer.end for answer in host.answers["j"]] == [JobEnd.UNKNOWN]


def test_a_coordinator_that_is_not_reached_gets_the_job_later():
    host = ForwarderHarness()
    host.unreached.add(C1)
    host.receiver.coordinator_changed(C1)
    host.submit()
    host.pass_time(50)
    host.unreached.clear()
    host.pass_time(10)
    assert host.submissions() == [(C1, "j", False)]


def test_each_of_many_jobs_is_answered_once_whatever_happens():
    rng, host = Random(7), ForwarderHarness()
    numbers = []
    for step in range(3_000):
        kind = rng.randrange(5)
        if kind == 0:
            host.receiver.coordinator_changed(rng.choice([C1, C2, None]))
        elif kind == 1 and numbers:
            answer = SubmissionAnswer(rng.choice(numbers), COMPLETED)
            host.receiver.answer_received(rng.choice([C1, C2]), answer)
        elif kind == 2:
            host.unreached = set(rng.sample([C1, C2], rng.randrange(3)))
        else:
            numbers.append(host.submit(f"j{step}", host.clock.now_ms() + 500))
        host.pass_time(10)
    host.pass_time(2_000)
    assert len(host.receiver) == 0
    assert {len(got) for got in host.answers.values()} == {1}
    handed_on = {job_id for _, job_id, _ in host.submissions()}
    refused = {
        name for name, got in host.answers.items() if got[0].end is JobEnd.REFUSED
    }
    assert refused and handed_on and not refused & handed_on
