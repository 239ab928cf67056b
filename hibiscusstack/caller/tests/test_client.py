"""Tests of the client library against entry hosts in memory."""

import random

import attrs
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hibiscusstack.caller.client import CallerClient
from hibiscusstack.caller.client_settings import ClientSettings
from hibiscusstack.caller.tests.fakes import FakeJobService
from hibiscusstack.caller.tests.network import FakeNetwork, Fault, TwistedClock
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Reason,
    not_run,
    outcome_unknown,
)
from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.exceptions import RequestRefusedError

TASKS = (Task(0, "licence", {"play": 7}, idempotent=False),)


@attrs.frozen
class Bench:
    """One client, its clock, and a network of hosts that share one service."""

    client: CallerClient
    clock: Clock
    network: FakeNetwork
    service: FakeJobService

    def submit(self, **options: object) -> Deferred[JobAnswer]:
        """Submit one job of one task."""
        answer = Deferred.fromCoroutine(self.client.submit(TASKS, **options))
        self.run_for(0)
        return answer

    def run_for(self, duration_ms: int) -> None:
        """Let virtual time pass and all bytes arrive."""
        for _ in range(duration_ms // 10 + 5):
            self.network.flush()
            self.clock.advance(0.01)


def make_bench(names: tuple[str, ...] = ("a", "b"), **settings: int) -> Bench:
    clock = Clock()
    service = FakeJobService()
    network = FakeNetwork(dict.fromkeys(names, service))
    client = CallerClient(
        clock,
        network,
        entries=[f"http://{name}:80" for name in names],
        caller="guard-1",
        settings=ClientSettings(id_batch=4, attempt_timeout_ms=1_000, **settings),
        clock=TwistedClock(clock),
        chance=random.Random(1),
    )
    return Bench(client, clock, network, service)


def result_of(answer: Deferred[JobAnswer]) -> JobAnswer:
    assert answer.called
    return answer.result


def started_ids(bench: Bench) -> list[str]:
    return list(bench.service.jobs)


def test_each_submission_gets_its_own_answer() -> None:
    bench = make_bench()
    first, second = bench.submit(), bench.submit()
    first_id, second_id = started_ids(bench)
    bench.service.succeed(second_id)
    bench.service.succeed(first_id)
    bench.run_for(100)
    assert result_of(first).job_id == first_id
    assert result_of(second).job_id == second_id
    assert result_of(first).results[0].value == {"play": 7}


def test_an_answer_to_another_job_is_not_taken() -> None:
    bench = make_bench()
    answer = bench.submit(timeout_ms=3_000)
    (job_id,) = started_ids(bench)
    other = JobAnswer("j-other", Outcome.SUCCEEDED)
    bench.service.answers[job_id] = other
    for waiter in bench.service.waiters[job_id]:
        waiter.callback(other)
    bench.run_for(6_000)
    assert result_of(answer).job_id == job_id
    assert result_of(answer).outcome is Outcome.UNKNOWN


def test_ids_are_not_used_near_their_expiry() -> None:
    bench = make_bench()
    warm_up(bench)
    held_id = f"dc1.h1.1.{bench.service.issued}"
    bench.clock.advance(56)
    bench.submit()
    assert held_id not in started_ids(bench)
    paths = [path for _, path in bench.network.requests]
    assert paths.count("/v1/ids") == 2 * len(bench.network.services)


def test_ids_come_ahead_and_with_answers() -> None:
    bench = make_bench()
    for _ in range(20):
        answer = bench.submit()
        bench.service.succeed(started_ids(bench)[-1])
        bench.run_for(10)
        assert result_of(answer).outcome is Outcome.SUCCEEDED
    paths = [path for _, path in bench.network.requests]
    assert paths.count("/v1/ids") == len(bench.network.services)
    assert paths.count("/v1/jobs") == 20
    assert len(set(started_ids(bench))) == 20


@pytest.mark.parametrize("fault", [Fault.LOSE_ANSWER, Fault.LOSE_REQUEST])
def test_a_lost_exchange_is_resubmitted_with_the_same_id(fault: Fault) -> None:
    bench = make_bench()
    warm_up(bench)
    bench.network.faults = {"a": fault, "b": fault}
    answer = bench.submit()
    bench.run_for(500)
    bench.network.faults = {}
    bench.run_for(2_000)
    job_id = started_ids(bench)[-1]
    assert len(started_ids(bench)) == 2
    was_delivered = fault is Fault.LOSE_ANSWER
    assert bench.service.jobs[job_id].is_first_attempt is was_delivered
    bench.service.succeed(job_id)
    bench.run_for(2_000)
    assert result_of(answer).outcome is Outcome.SUCCEEDED
    assert result_of(answer).job_id == job_id


def test_a_job_without_any_answer_ends_unknown() -> None:
    bench = make_bench()
    warm_up(bench)
    bench.network.faults = dict.fromkeys("ab", Fault.LOSE_ANSWER)
    answer = bench.submit(timeout_ms=5_000)
    bench.run_for(20_000)
    assert result_of(answer).outcome is Outcome.UNKNOWN
    assert result_of(answer).problem.reason is Reason.NO_ANSWER
    assert len(started_ids(bench)) == 2


def test_not_run_of_an_attempt_after_a_lost_one_takes_no_fresh_id() -> None:
    bench = make_bench()
    warm_up(bench)
    bench.network.faults = dict.fromkeys("ab", Fault.LOSE_ANSWER)
    answer = bench.submit(timeout_ms=5_000)
    job_id = started_ids(bench)[-1]
    bench.service.answers[job_id] = not_run(job_id, Reason.OWNER_UNREACHABLE)
    bench.network.faults = {}
    bench.run_for(20_000)
    assert result_of(answer).outcome is Outcome.UNKNOWN
    assert len(started_ids(bench)) == 2


def submit_to_each_owner(bench: Bench, count: int) -> list[str]:
    """Submit jobs one after the other and return the hosts that were asked."""
    del bench.network.requests[:]
    for _ in range(count):
        answer = bench.submit()
        for service in bench.network.services.values():
            for job_id in list(service.waiters):
                service.succeed(job_id)
        bench.run_for(10)
        assert result_of(answer).outcome is Outcome.SUCCEEDED
    return [name for name, path in bench.network.requests if path == "/v1/jobs"]


def make_bench_of_owners() -> Bench:
    bench = make_bench()
    services = {name: FakeJobService(name=name) for name in "ab"}
    network = FakeNetwork(services)
    bench.network.services = services
    bench.network._stubs = network._stubs  # noqa: SLF001
    return bench


def test_each_id_goes_to_the_host_that_issued_it_and_hosts_take_turns() -> None:
    bench = make_bench_of_owners()
    asked = submit_to_each_owner(bench, 40)
    for name, service in bench.network.services.items():
        assert all(job_id.startswith(f"dc1.{name}.") for job_id in service.jobs)
        assert asked.count(name) == 20


def test_ids_of_a_host_that_failed_wait_until_it_is_trusted_again() -> None:
    bench = make_bench_of_owners()
    submit_to_each_owner(bench, 4)
    bench.network.faults = {"a": Fault.REFUSE_CONNECTION}
    asked = submit_to_each_owner(bench, 10)
    assert asked.count("a") == 1
    bench.network.faults = {}
    bench.run_for(3_000)
    assert submit_to_each_owner(bench, 10).count("a") >= 3


def test_a_proven_not_run_takes_a_fresh_id() -> None:
    bench = make_bench()
    answer = bench.submit()
    (first_id,) = started_ids(bench)
    bench.service.answer(not_run(first_id, Reason.OWNER_UNREACHABLE))
    bench.run_for(2_000)
    second_id = started_ids(bench)[-1]
    assert second_id != first_id
    bench.service.succeed(second_id)
    bench.run_for(100)
    assert result_of(answer).job_id == second_id


def test_ids_of_a_lost_owner_are_not_used() -> None:
    bench = make_bench()
    answer = bench.submit()
    (first_id,) = started_ids(bench)
    bench.service.answer(not_run(first_id, Reason.OWNER_UNREACHABLE))
    bench.run_for(2_000)
    paths = [path for _, path in bench.network.requests]
    assert paths.count("/v1/ids") == 2
    assert not answer.called


def test_an_unknown_answer_starts_nothing_again() -> None:
    bench = make_bench()
    answer = bench.submit()
    (job_id,) = started_ids(bench)
    bench.service.answer(outcome_unknown(job_id, Reason.OWNER_LOST))
    bench.run_for(60_000)
    assert result_of(answer).outcome is Outcome.UNKNOWN
    assert started_ids(bench) == [job_id]


def test_a_refused_connection_moves_to_the_next_host() -> None:
    bench = make_bench()
    bench.network.faults = {"a": Fault.REFUSE_CONNECTION}
    answers = [bench.submit() for _ in range(6)]
    bench.run_for(1_000)
    assert len(started_ids(bench)) == 6
    for job_id in started_ids(bench):
        bench.service.succeed(job_id)
    bench.run_for(100)
    assert all(result_of(a).outcome is Outcome.SUCCEEDED for a in answers)


def test_no_reachable_host_is_not_run() -> None:
    bench = make_bench()
    bench.network.faults = dict.fromkeys("ab", Fault.REFUSE_CONNECTION)
    answer = bench.submit()
    bench.run_for(100)
    assert result_of(answer).outcome is Outcome.NOT_RUN


def test_retry_after_is_honoured() -> None:
    bench = make_bench()
    bench.submit()
    (first_id,) = started_ids(bench)
    bench.service.answer(not_run(first_id, Reason.OVERLOADED, retry_after_ms=700))
    bench.run_for(600)
    assert started_ids(bench) == [first_id]
    bench.run_for(400)
    assert len(started_ids(bench)) == 2


def test_a_retry_after_beyond_the_deadline_ends_at_once() -> None:
    bench = make_bench()
    answer = bench.submit(timeout_ms=500)
    (job_id,) = started_ids(bench)
    bench.service.answer(not_run(job_id, Reason.QUOTA, retry_after_ms=800))
    bench.run_for(10)
    assert result_of(answer).outcome is Outcome.NOT_RUN
    assert result_of(answer).problem.retry_after_ms == 800


def test_retries_stay_within_their_budget() -> None:
    bench = make_bench(max_retries=100)
    answers = [bench.submit(timeout_ms=600_000) for _ in range(30)]
    for _ in range(50):
        for job_id in list(bench.service.waiters):
            bench.service.answer(not_run(job_id, Reason.OVERLOADED, retry_after_ms=1))
        bench.run_for(10)
    assert all(answer.called for answer in answers)
    assert len(started_ids(bench)) <= 30 + 10 + 6


def test_a_key_is_resubmitted_as_it_is() -> None:
    bench = make_bench()
    warm_up(bench)
    bench.network.faults = dict.fromkeys("ab", Fault.LOSE_ANSWER)
    answer = bench.submit(key="booking-1234")
    bench.network.faults = {}
    bench.run_for(2_000)
    assert started_ids(bench)[1:] == ["key.guard-1.booking-1234"]
    bench.service.succeed("key.guard-1.booking-1234")
    bench.run_for(100)
    assert result_of(answer).outcome is Outcome.SUCCEEDED


def test_a_job_that_breaks_a_rule_raises() -> None:
    bench = make_bench()
    answer = Deferred.fromCoroutine(bench.client.submit(()))
    bench.run_for(10)
    failure = answer.result
    answer.addErrback(lambda _: None)
    assert failure.check(RequestRefusedError)
    assert failure.value.type_name == "invalid-input"


def test_status_and_cancel() -> None:
    bench = make_bench()
    bench.submit()
    (job_id,) = started_ids(bench)
    status = Deferred.fromCoroutine(bench.client.fetch_status(job_id))
    cancelled = Deferred.fromCoroutine(bench.client.cancel(job_id))
    bench.run_for(10)
    assert status.result.job_id == job_id
    assert cancelled.called
    assert bench.service.cancelled == [job_id]


def warm_up(bench: Bench) -> None:
    """Let the client take a batch of ids before anything fails."""
    answer = bench.submit()
    bench.service.succeed(started_ids(bench)[-1])
    bench.run_for(10)
    assert answer.called
