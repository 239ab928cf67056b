"""Tests of stored jobs from their submission to their end, in virtual time."""

import attrs
import pytest

from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.stored.manager import StoredJobTiming
from hibiscusstack_standins.estate.events import EndsAcked
from hibiscusstack_standins.estate.jobs import Step
from hibiscusstack_standins.estate.store_service import LostAnswers, Outage
from hibiscusstack_standins.estate.tests.stored_site import Site, capacity


def test_a_job_is_accepted_run_and_shown_by_any_host():
    site = Site()
    client = site.new_job(Step(2, 60, cpu=1_000), Step(3, 80, cpu=500, after=(0,)))
    site.submit(client, "h1")
    site.network.run(40)
    assert client.statuses == [200]
    site.network.run(1_000)
    for host in ("h0", "h1", "h2"):
        site.read(client, host)
    site.network.run(100)
    assert client.states == [StoredState.COMPLETED] * 3
    assert len(site.starts(client)) == 5
    assert [event.run for event in site.starts(client)] == [1] * 5
    assert site.violations() == []


def run_load(site, count=30, every_ms=40, hosts=("h0", "h1", "h2"), **terms):
    """Submit jobs one after the other to random hosts, without waiting for them."""
    clients = []
    for number in range(count):
        first = Step(1 + number % 3, 60 + 10 * (number % 5), cpu=700)
        later = Step(2, 50, cpu=500, after=(0,))
        steps = (first, later) if number % 2 else (first,)
        client = site.new_job(*steps, **terms)
        clients.append(client)

        def send(client=client):
            host = site.random.choice(hosts)
            if host in site.hosts:
                site.submit(client, host)

        site.network.after("clients", number * every_ms, send)
    return clients


def assert_all_kept(site, clients):
    """Check that all accepted jobs completed and that no rule was broken."""
    assert site.violations() == []
    states = site.states()
    accepted = [client for client in clients if client.is_accepted]
    assert accepted
    assert {states[client.job.id] for client in accepted} == {StoredState.COMPLETED}
    for client in clients:
        if client.record().is_rejected:
            assert site.starts(client) == []


def test_two_sites_with_one_seed_do_the_same():
    histories = []
    for _ in range(2):
        site = Site(7)
        run_load(site, 10)
        site.network.run(5_000)
        histories.append(site.events())
    assert histories[0] == histories[1]


def test_the_same_job_at_many_hosts_and_after_its_answer_is_one_job():
    site = Site()
    client = site.new_job(Step(2, 100, cpu=1_000))
    for host in ("h0", "h1", "h1", "h2"):
        site.submit(client, host)
    site.network.run(2_000)
    site.submit(client, "h0")
    site.network.run(5_000)
    site.submit(client, "h2")
    site.network.run(3_000)
    assert client.statuses == [200] * 6
    assert len(site.starts(client)) == 2
    assert site.violations() == []
    site.take_over("h1")
    site.network.run(3_000)
    assert len(site.starts(client)) == 2
    assert site.states()[client.job.id] is StoredState.COMPLETED


def test_a_late_repeat_after_the_end_stays_ended_after_a_takeover():
    site = Site()
    client = site.new_job(Step(1, 50, cpu=100))
    site.submit(client)
    site.network.run(4_000)
    site.submit(client, "h2")
    site.network.run(50)
    site.kill("h0", "h1", "h2")
    site.network.run(500)
    site.take_over("h2")
    site.network.run(3_000)
    assert len(site.starts(client)) == 1
    assert site.states("h1")[client.job.id] is StoredState.COMPLETED


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("after_ms", [30, 200, 700])
def test_all_hosts_are_killed_and_all_accepted_jobs_complete(seed, after_ms):
    site = Site(seed)
    clients = run_load(site)
    site.network.run(after_ms)
    site.kill("h0", "h1", "h2")
    site.network.run(1_500)
    site.take_over("h1")
    site.network.run(15_000)
    assert_all_kept(site, clients)


def test_a_job_that_waits_while_no_host_lives_is_run_later():
    site = Site(workers=0)
    client = site.new_job(Step(1, 50))
    site.submit(client, "h0")
    site.network.run(100)
    assert client.statuses == [200]
    site.kill("h0", "h1", "h2")
    site.store.store.forget_history(site.network.now_ms)
    site.network.run(60_000)
    site.add_worker("w9")
    site.take_over("h2")
    site.network.run(5_000)
    assert site.states("h0")[client.job.id] is StoredState.COMPLETED


@pytest.mark.parametrize("seed", range(12))
def test_takeovers_in_the_middle_start_nothing_twice(seed):
    site = Site(seed)
    clients = run_load(site, 40)
    for number in range(4):
        site.network.run(site.random.randint(100, 600))
        site.take_over(f"h{number % 3}", is_told=site.random.random() < 0.5)
    site.network.run(15_000)
    assert_all_kept(site, clients)


@pytest.mark.parametrize("seed", range(8))
def test_the_coordinator_is_killed_and_its_runs_are_adopted(seed):
    site = Site(seed)
    client = site.new_job(Step(4, 1_500, cpu=1_000))
    site.submit(client, "h1")
    site.run_until(lambda: len(site.starts(client)) == 4)
    site.network.run(site.random.randint(20, 300))
    site.kill("h0")
    site.network.run(150)
    site.take_over("h2")
    site.network.run(6_000)
    assert len(site.starts(client)) == 4
    assert_all_kept(site, [client])


@pytest.mark.parametrize("slow_ms", [30, 90])
def test_runs_are_adopted_also_when_the_log_is_slow(slow_ms):
    site = Site()
    client = site.new_job(Step(4, 1_500, cpu=1_000))
    site.submit(client, "h1")
    site.run_until(lambda: len(site.starts(client)) == 4)
    site.store.slow_ms = slow_ms
    site.kill("h0")
    site.network.run(50)
    site.take_over("h2")
    site.network.run(6_000)
    assert len(site.starts(client)) == 4
    assert_all_kept(site, [client])


def test_ends_that_come_before_the_jobs_are_read_count():
    site = Site()
    client = site.new_job(Step(4, 100, cpu=1_000), Step(1, 50, after=(0,)))
    site.submit(client, "h1")
    site.run_until(lambda: len(site.starts(client)) == 4)
    site.kill("h0")
    site.network.run(150)
    site.store.slow_ms = 200
    site.take_over("h2")
    site.network.run(6_000)
    assert len(site.starts(client)) == 5
    assert_all_kept(site, [client])


def test_a_failure_that_is_saved_but_not_acknowledged_counts_once():
    site = Site(workers=1)
    client = site.new_job(Step(1, 50, cpu=100, fails=True), max_attempts=3)
    site.submit(client)
    key = client.job.id
    site.run_until(lambda: key in site.newest("keyed.hibiscus.progress"))
    assert not [event for event in site.events() if isinstance(event, EndsAcked)]
    site.kill("h0")
    site.network.run(100)
    site.take_over("h1")
    site.network.run(3_000)
    assert len(site.starts(client)) == 3
    assert site.states()[key] is StoredState.FAILED


@pytest.mark.parametrize("takeovers", [1, 2, 3])
def test_a_run_that_nobody_knows_of_any_more_has_a_lower_number(takeovers):
    site = Site(workers=1)
    client = site.new_job(Step(1, 800, cpu=100))
    site.submit(client)
    for number in range(takeovers):
        site.run_until(lambda number=number: len(site.starts(client)) == number + 1)
        site.kill("h0", "h1", "h2")
        site.network.kill("w0")
        site.network.run(300)
        site.network.revive("w0")
        site.take_over("h1")
    site.network.run(3_000)
    runs = [event.run for event in site.starts(client)]
    assert len(runs) == takeovers + 1
    assert runs == sorted(set(runs))


def test_an_earlier_coordinator_keeps_nothing_after_a_takeover():
    site = Site()
    client = site.new_job(Step(1, 300))
    site.submit(client)
    site.run_until(lambda: len(site.starts(client)) == 1)
    earlier = site.hosts["h0"]
    site.take_over("h1", is_told=False)
    site.network.run(50)
    earlier.stored.manager.cancel("q", client.job.id, client.cancels.append)
    site.network.run(100)
    assert client.cancels == []
    assert earlier.coordinator.is_superseded
    site.network.run(3_000)
    assert_all_kept(site, [client])


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("after_ms", [10, 700, 3_000])
def test_a_coordinator_that_is_cut_off_leaves_its_jobs_in_time(seed, after_ms):
    site = Site(seed, workers=6)
    long = site.new_job(Step(12, 6_000, cpu=1_000))
    site.submit(long, "h1")
    clients = [long, *run_load(site, 20, hosts=("h1", "h2"))]
    site.run_until(lambda: len(site.starts(long)) == 12)
    site.network.run(site.random.randint(0, 500))
    site.cut_off("h0", "w0", "w1")
    site.network.run(after_ms)
    site.take_over("h1", is_told=False)
    site.network.run(7_000)
    site.mend()
    site.network.run(15_000)
    assert_all_kept(site, clients)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("after_ms", [50, 500, 900])
def test_a_deputy_loses_no_end_of_a_stored_job(seed, after_ms):
    site = Site(seed, workers=6)
    clients = run_load(site, 40, every_ms=30, hosts=("h0", "h2"))
    long = site.new_job(Step(6, 1_500, cpu=1_000))
    site.submit(long, "h0")
    clients.append(long)
    site.network.run(site.random.randint(200, 900))
    site.cut_off("h1", "w0", "w1")
    site.network.run(after_ms)
    site.stand_in("h1", "w0", "w1")
    site.network.run(site.random.randint(300, 4_000))
    site.retake()
    site.network.run(15_000)
    assert_all_kept(site, clients)


def test_a_coordinator_that_is_cut_off_alone_takes_its_jobs_up_again():
    site = Site(workers=3)
    client = site.new_job(Step(4, 2_000, cpu=1_000))
    site.submit(client, "h1")
    site.run_until(lambda: len(site.starts(client)) == 4)
    site.cut_off("h0", "w0", "w1", "w2")
    site.network.run(8_000)
    assert not any(worker.running() for worker in site.workers)
    site.mend()
    site.network.run(8_000)
    assert_all_kept(site, [client])


def test_an_outage_of_the_log_alone_stops_nothing():
    site = Site()
    client = site.new_job(Step(4, 8_000, cpu=1_000))
    site.submit(client, "h1")
    site.run_until(lambda: len(site.starts(client)) == 4)
    site.store.set_outages(site.network.now_ms, [Outage("silent")])
    site.network.run(10_000)
    site.store.set_outages(site.network.now_ms, [])
    site.network.run(3_000)
    assert len(site.starts(client)) == 4
    assert_all_kept(site, [client])


def test_an_earlier_coordinator_is_fenced_before_its_records_are_read():
    site = Site()
    client = site.new_job(Step(1, 2_000))
    site.submit(client)
    site.run_until(lambda: len(site.starts(client)) == 1)
    earlier = site.hosts["h0"]
    site.store.slow_ms = 200
    site.take_over("h1", is_told=False)
    site.network.run(50)
    earlier.stored.manager.cancel("q", client.job.id, client.cancels.append)
    site.network.run(5_000)
    assert client.cancels == []
    assert_all_kept(site, [client])


def test_a_late_repeat_does_not_bring_a_job_back_once_its_end_is_dropped():
    site = Site(timing=StoredJobTiming(retention_ms=8_000))
    client = site.new_job(Step(1, 50))
    site.submit(client)
    site.network.run(5_000)
    site.submit(client, "h2")
    site.network.run(8_000)
    site.kill("h0")
    site.network.run(300)
    site.take_over("h1")
    site.network.run(3_000)
    assert len(site.starts(client)) == 1
    assert site.newest_keys("keyed.hibiscus.jobs") == []


@pytest.mark.parametrize("seed", range(8))
def test_failures_count_over_takeovers(seed):
    site = Site(seed)
    client = site.new_job(Step(1, 150, cpu=100, fails=True), max_attempts=4)
    site.submit(client)
    for number in (1, 2, 0, 1):
        site.network.run(site.random.randint(80, 400))
        site.take_over(f"h{number}")
    site.network.run(10_000)
    assert site.states()[client.job.id] is StoredState.FAILED
    failed = [event for event in site.events() if getattr(event, "how", "") == "failed"]
    assert len(failed) == 4
    assert site.violations() == []


def test_run_numbers_rise_over_takeovers():
    site = Site(3)
    client = site.new_job(Step(2, 300, cpu=100, fails=True), max_attempts=6)
    site.submit(client)
    for number in (1, 2, 0):
        site.network.run(400)
        site.take_over(f"h{number}")
    site.network.run(10_000)
    by_task = {}
    for event in sorted(site.starts(client), key=lambda event: event.at_ms):
        by_task.setdefault(event.task, []).append(event.run)
    assert len(by_task) == 2
    for runs in by_task.values():
        assert runs == sorted(set(runs))


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("late_share", [0.0, 0.5, 1.0])
def test_lost_answers_of_the_log_lose_and_double_nothing(seed, late_share):
    site = Site(seed)
    site.store.lost_answers = LostAnswers(0.3, late_share)
    clients = run_load(site)
    site.network.run(1_000)
    site.take_over("h1")
    site.network.run(3_000)
    site.store.lost_answers = None
    site.network.run(15_000)
    assert_all_kept(site, clients)


@pytest.mark.parametrize("kind", ["busy", "rejecting", "reset", "silent"])
def test_a_job_is_refused_only_when_it_never_runs(kind):
    site = Site()
    site.store.set_outages(site.network.now_ms, [Outage(kind)])
    client = site.new_job(Step(1, 50))
    site.submit(client, timeout_ms=4_000)
    site.network.run(5_000)
    site.store.set_outages(site.network.now_ms, [])
    site.network.run(5_000)
    is_sure = kind in ("busy", "rejecting")
    assert client.statuses == ([503] if is_sure else [None])
    if is_sure:
        assert site.starts(client) == []
    assert site.violations() == []


def test_an_append_that_is_carried_out_late_is_not_refused():
    site = Site()
    site.store.lost_answers = LostAnswers(1.0, 1.0, frozenset({"h1"}))
    client = site.new_job(Step(1, 50))
    site.submit(client, "h1")
    site.network.run(2_000)
    assert client.statuses == [None]
    site.submit(client, "h2")
    site.network.run(12_000)
    assert client.statuses == [None, 200]
    assert len(site.starts(client)) == 1
    assert site.violations() == []


@pytest.mark.parametrize("kind", ["busy", "silent"])
@pytest.mark.parametrize("seed", range(5))
def test_an_outage_of_the_log_keeps_what_was_accepted(kind, seed):
    site = Site(seed)
    clients = run_load(site, 30)
    site.network.run(400)
    site.store.set_outages(site.network.now_ms, [Outage(kind)])
    site.network.run(3_000)
    site.store.set_outages(site.network.now_ms, [])
    site.network.run(15_000)
    assert_all_kept(site, clients)


@pytest.mark.parametrize("seed", range(5))
def test_the_coordinator_is_lost_in_an_outage_of_the_log(seed):
    site = Site(seed)
    clients = run_load(site, 30)
    site.network.run(500)
    site.store.set_outages(site.network.now_ms, [Outage("reset")])
    site.network.run(700)
    site.kill("h0")
    site.network.run(300)
    site.take_over("h1")
    site.network.run(2_000)
    site.store.set_outages(site.network.now_ms, [])
    site.network.run(15_000)
    assert_all_kept(site, clients)


def test_ends_are_acknowledged_only_once_they_are_in_the_log():
    site = Site()
    client = site.new_job(Step(2, 100))
    site.submit(client)
    site.run_until(lambda: len(site.starts(client)) == 2)
    site.store.set_outages(site.network.now_ms, [Outage("busy")])
    site.network.run(2_000)
    assert not [event for event in site.events() if isinstance(event, EndsAcked)]
    site.read(client)
    site.network.run(100)
    assert client.states == [StoredState.RUNNING]
    site.store.set_outages(site.network.now_ms, [])
    site.network.run(2_000)
    assert [event for event in site.events() if isinstance(event, EndsAcked)]
    assert site.states()[client.job.id] is StoredState.COMPLETED


def test_forgotten_history_of_the_log_costs_nothing():
    site = Site()
    clients = run_load(site, 20)
    for _ in range(6):
        site.network.run(150)
        site.store.store.forget_history(site.network.now_ms)
    site.take_over("h2")
    site.network.run(10_000)
    assert_all_kept(site, clients)


@pytest.mark.parametrize("seed", range(12))
def test_cancels_race_with_everything(seed):
    site = Site(seed)
    clients = run_load(site, 30)
    for number, client in enumerate(clients):
        delay_ms = number * 40 + site.random.randint(0, 250)

        def cancel(client=client):
            site.cancel(client, site.random.choice(("h0", "h1", "h2")))

        if number % 2:
            site.network.after("clients", delay_ms, cancel)
    site.network.run(700)
    site.take_over("h1")
    site.network.run(15_000)
    assert site.violations() == []
    states = site.states()
    for client in clients:
        was_cancelled = StoredState.CANCELLED in client.cancels
        shown = states[client.job.id]
        if was_cancelled:
            assert shown is StoredState.CANCELLED
        elif client.is_accepted and StoredState.UNKNOWN not in client.cancels:
            assert shown is StoredState.COMPLETED


def test_a_cancelled_job_stops_and_stays_cancelled():
    site = Site()
    client = site.new_job(Step(3, 5_000))
    site.submit(client)
    site.run_until(lambda: len(site.starts(client)) == 3)
    site.cancel(client)
    site.network.run(200)
    assert client.cancels == [StoredState.CANCELLED]
    assert not any(worker.running() for worker in site.workers)
    site.cancel(client, "h1")
    site.kill("h0")
    site.network.run(300)
    site.take_over("h1")
    site.network.run(3_000)
    assert site.states()[client.job.id] is StoredState.CANCELLED
    assert len(site.starts(client)) == 3
    assert site.violations() == []


def test_a_question_right_after_the_acceptance_finds_the_job():
    site = Site(timing=StoredJobTiming(read_pause_ms=2_000))
    first, read, cancelled = (site.new_job(Step(1, 500)) for _ in range(3))
    site.submit(first)
    site.network.run(100)
    site.submit(read)
    site.submit(cancelled)
    site.run_until(lambda: read.statuses == cancelled.statuses == [200], 1_000)
    site.read(read)
    site.cancel(cancelled)
    site.network.run(100)
    assert read.states[0] in (StoredState.QUEUED, StoredState.RUNNING)
    assert cancelled.cancels == [StoredState.CANCELLED]


def test_unknown_jobs_are_not_there_and_queues_are_apart():
    site = Site()
    client = site.new_job(Step(1, 50))
    site.read(client)
    site.cancel(client)
    site.network.run(100)
    assert client.states == client.cancels == [StoredState.UNKNOWN]
    site.submit(client)
    site.network.run(500)
    other = attrs.evolve(client.job, queue="other")
    client.job = other
    site.read(client)
    site.network.run(100)
    assert client.states[-1] is StoredState.UNKNOWN


def test_pending_counts_jobs_that_have_not_begun():
    site = Site(workers=1, capacity=capacity(1_000))
    clients = [site.new_job(Step(1, 400, cpu=1_000)) for _ in range(5)]
    for client in clients:
        site.submit(client)
    site.network.run(100)
    assert site.pending() == 4
    site.cancel(clients[4])
    site.network.run(100)
    assert site.pending() == 2
    site.take_over("h1")
    site.network.run(3_000)
    assert site.pending("h0") == 0


def test_a_question_without_a_coordinator_waits_for_the_next():
    site = Site()
    client = site.new_job(Step(1, 50))
    site.submit(client)
    site.network.run(1_000)
    site.kill("h0")
    site.read(client, "h2")
    site.network.run(300)
    assert client.states == []
    site.take_over("h1")
    site.network.run(300)
    assert client.states == [StoredState.COMPLETED]


def test_what_has_ended_is_dropped_from_the_log_in_time():
    site = Site(timing=StoredJobTiming(retention_ms=10_000))
    clients = run_load(site, 10)
    site.network.run(8_000)
    assert set(site.states().values()) == {StoredState.COMPLETED}
    keys = site.newest_keys("keyed.hibiscus.jobs")
    assert keys == []
    site.network.run(20_000)
    assert site.newest_keys("keyed.hibiscus.progress") == ["terms"]
    assert set(site.states().values()) == {StoredState.UNKNOWN}
    assert len({client.job.id for client in clients}) == 10


def test_a_crash_of_workers_runs_only_what_had_not_ended():
    site = Site(5)
    clients = run_load(site, 30)
    site.network.run(600)
    site.network.kill("w1")
    site.network.run(900)
    site.network.revive("w1")
    site.network.run(15_000)
    assert_all_kept(site, clients)


def test_calls_and_bytes_of_a_job_stay_small():
    site = Site(workers=8)
    site.network.run(3_000)
    before = site.store.store.calls.copy()
    clients = run_load(site, 200, every_ms=15)
    site.network.run(4_500)
    calls = site.store.store.calls - before
    assert_all_kept(site, clients)
    assert calls["/log-append"] < 3 * 200
    assert calls["/log-read"] < 200
