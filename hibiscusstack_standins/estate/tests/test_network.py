"""Tests of calls in virtual time and of all that goes wrong with them."""

import pytest

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.estate.auditor import Auditor
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.messages import Answer, Request, Unanswered
from hibiscusstack_standins.estate.network import Lateness, Network
from hibiscusstack_standins.estate.outbox import Outbox
from hibiscusstack_standins.estate.records import frame
from hibiscusstack_standins.estate.store_service import LostAnswers, StoreService
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan

JOB = "5c0e7a21d94b36f8"


class Echo:
    """A service that answers every call with its path, and keeps what it got."""

    def __init__(self):
        self.got = []
        self.lives = 1
        self._outbox = Outbox()

    def submit(self, now_ms, ticket, request):
        """Take a call."""
        self.got.append((now_ms, request.path, request.is_late))
        self._outbox.put(now_ms, ticket, Answer(200, {"path": request.path}))

    def advance(self, now_ms):
        """Return the answers that are due."""
        return self._outbox.take_due(now_ms)

    def next_due_ms(self):
        """Return when an answer is due."""
        return self._outbox.next_due_ms()

    def crash(self, now_ms):
        """Lose the answers."""
        self._outbox = Outbox()

    def restart(self, now_ms):
        """Begin again."""
        self.lives += 1


class Bench:
    """A network with one service ``b``, and what callers were answered."""

    def __init__(self, seed=0, delay_ms=(1, 1)):
        self.network = Network(seed, delay_ms)
        self.echo = Echo()
        self.network.add("b", self.echo)
        self.answers = []

    def call(self, path="/x", caller="a", timeout_ms=100, connection=0):
        """Call ``b`` and keep when and how the call ended."""

        def note(outcome):
            ended = outcome.cause if isinstance(outcome, Unanswered) else outcome.status
            self.answers.append((self.network.now_ms, path, ended))

        request = Request(path)
        self.network.call(caller, "b", request, note, timeout_ms, connection=connection)

    def ends(self):
        """Return how the calls ended, in order."""
        return [ended for _, _, ended in self.answers]


def test_a_call_takes_the_delay_of_both_directions():
    bench = Bench(delay_ms=(3, 3))
    bench.call()
    bench.network.run(5)
    assert bench.answers == []
    bench.network.run(1)
    assert bench.answers == [(6, "/x", 200)]
    assert bench.echo.got == [(3, "/x", False)]


def test_one_seed_gives_one_run():
    def play(seed):
        bench = Bench(seed, delay_ms=(1, 50))
        bench.network.set_lateness("b", Lateness(share=0.5))
        for number in range(50):
            bench.call(f"/{number}", connection=number)
        bench.network.run(10_000)
        return bench.answers, bench.echo.got

    assert play(1) == play(1)
    assert play(1) != play(2)


def test_answers_may_overtake_each_other():
    bench = Bench(delay_ms=(1, 40))
    for number in range(20):
        bench.call(f"/{number}", connection=number)
    bench.network.run(100)
    paths = [path for _, path, _ in bench.answers]
    assert sorted(paths) == sorted(f"/{n}" for n in range(20))
    assert paths != [f"/{n}" for n in range(20)]


def test_a_cut_holds_calls_up_until_it_is_mended():
    bench = Bench()
    bench.network.cut("a", "b")
    bench.call()
    bench.network.run(50)
    bench.network.mend("a", "b")
    bench.network.run(10)
    assert bench.answers == [(52, "/x", 200)]


def test_what_a_cut_held_up_is_lost_with_its_sender_s_patience():
    bench = Bench()
    bench.network.cut("a", "b")
    bench.call()
    bench.network.run(200)
    bench.network.mend("b", "a")
    bench.network.run(200)
    assert bench.answers == [(100, "/x", "timeout")]
    assert bench.echo.got == []


def test_a_cut_of_the_way_back_leaves_the_call_done():
    bench = Bench()
    bench.network.cut("b", "a", one_way=True)
    bench.call()
    bench.call(caller="c")
    bench.network.run(200)
    assert bench.ends() == [200, "timeout"]
    assert len(bench.echo.got) == 2


def test_a_silent_connection_carries_nothing_until_it_is_given_up():
    bench = Bench()
    bench.call()
    bench.network.run(10)
    bench.network.silence_connections("b")
    bench.call("/lost")
    bench.call("/other", connection=1)
    bench.network.run(100)
    bench.call("/new")
    bench.network.run(10)
    assert [ended for _, _, ended in bench.answers] == [200, 200, "timeout", 200]
    assert [path for _, path, _ in bench.echo.got] == ["/x", "/other", "/new"]


def test_a_reset_ends_open_calls_that_may_have_been_done():
    bench = Bench(delay_ms=(5, 5))
    bench.call()
    bench.network.run(4)
    bench.network.reset_connections("a")
    bench.network.run(20)
    assert bench.answers == [(9, "/x", "reset")]
    assert bench.echo.got == [(5, "/x", False)]


def test_orders_are_carried_out_late_and_stay_unanswered():
    bench = Bench()
    bench.network.set_lateness("b", Lateness(paths=frozenset({"/run-start"})))
    bench.call("/run-start")
    bench.call("/hold", connection=1)
    bench.network.run(900)
    assert bench.ends() == [200, "timeout"]
    bench.network.set_lateness("b", None)
    bench.call("/run-start")
    bench.network.run(6_000)
    (_, on_time, late) = bench.echo.got
    assert on_time[2] is False and late[2] is True
    assert 1_000 <= late[0] <= 6_001
    assert len(bench.answers) == 3


def test_a_late_order_dies_with_its_party():
    bench = Bench()
    bench.network.set_lateness("b", Lateness())
    bench.call()
    bench.network.run(500)
    bench.network.kill("b")
    bench.network.revive("b")
    bench.network.run(7_000)
    assert bench.echo.got == []
    assert bench.echo.lives == 2


def test_a_frozen_party_catches_up():
    bench = Bench()
    ticks = []
    bench.network.after("a", 20, lambda: ticks.append(bench.network.now_ms))
    bench.call()
    bench.network.freeze("a")
    bench.network.run(500)
    assert (bench.answers, ticks) == ([], [])
    bench.network.thaw("a")
    bench.network.run(1)
    assert bench.answers == [(500, "/x", 200)]
    assert ticks == [500]


def test_a_frozen_callee_answers_when_it_is_thawed():
    bench = Bench()
    bench.network.freeze("b")
    bench.call(timeout_ms=1_000)
    bench.network.run(500)
    bench.network.thaw("b")
    bench.network.run(10)
    assert bench.answers == [(501, "/x", 200)]


def test_a_killed_callee_resets_and_refuses():
    bench = Bench(delay_ms=(5, 5))
    bench.call()
    bench.network.run(2)
    bench.network.kill("b")
    bench.network.run(20)
    bench.call()
    bench.network.run(20)
    assert bench.ends() == ["reset", "refused"]
    bench.network.revive("b")
    bench.call()
    bench.network.run(20)
    assert bench.ends()[-1] == 200


def test_a_callee_without_power_says_nothing():
    bench = Bench()
    bench.network.kill("b", resets=False)
    bench.call()
    bench.network.run(200)
    assert bench.answers == [(100, "/x", "timeout")]


def test_a_killed_caller_hears_nothing_and_its_timers_are_gone():
    bench = Bench()
    ticks = []
    bench.call()
    bench.network.after("a", 10, lambda: ticks.append("old"))
    bench.network.kill("a")
    with pytest.raises(InvalidInputError):
        bench.call()
    bench.network.revive("a")
    bench.network.after("a", 10, lambda: ticks.append("new"))
    bench.network.run(200)
    assert bench.answers == []
    assert ticks == ["new"]
    assert len(bench.echo.got) == 1


def test_a_timer_can_be_cancelled():
    bench = Bench()
    ticks = []
    bench.network.after("a", 10, lambda: ticks.append(1)).cancel()
    bench.network.run(20)
    assert ticks == []


def test_a_call_is_answered_once():
    bench = Bench(delay_ms=(1, 30))
    for number in range(200):
        bench.call(f"/{number}", timeout_ms=25, connection=number)
    bench.network.run(20)
    bench.network.reset_connections()
    bench.network.run(200)
    assert sorted(p for _, p, _ in bench.answers) == sorted(f"/{n}" for n in range(200))


def test_a_conditional_append_whose_answer_is_lost():
    network, store = Network(seed=4), StoreService(LogStore(), seed=4)
    network.add("store", store)
    store.lost_answers = LostAnswers(share=1.0)
    outcomes = []
    query = {"topic": "t", "part": 0, "at": 0}
    request = Request("/log-append", frame([b"a"]), query)
    network.call("a", "store", request, outcomes.append, 200)
    network.run(300)
    store.lost_answers = None
    network.call("a", "store", request, outcomes.append, 200)
    network.run(300)
    assert outcomes == [Unanswered("timeout"), Answer(412, {"end": 1})]


def estate_of(workers=2, work_ms=8_000):
    """Return a network of workers, and what judges them."""
    catalog = Catalog(Job(JOB, steps=(Step(work_ms=work_ms),)))
    network, machines = Network(seed=2), []
    for number in range(workers):
        plan = WorkerPlan(f"w{number}", hold_max_ms=10_000)
        machines.append(Worker(plan, catalog))
        network.add(plan.id, machines[-1])
    return network, machines, catalog


def start_on(network, worker, run, outcomes, until_ms=9_500):
    body = {"task": f"{JOB}.0.0.0", "run": run, "until_ms": until_ms}
    network.call("a", worker, Request("/run-start", body), outcomes.append, 200)


def test_a_task_that_is_sent_elsewhere_after_silence_runs_twice():
    network, workers, catalog = estate_of()
    outcomes = []
    network.set_lateness("w0", Lateness())
    start_on(network, "w0", 1, outcomes)
    network.run(300)
    start_on(network, "w1", 2, outcomes)
    network.run(8_000)
    assert outcomes[0] == Unanswered("timeout") and outcomes[1].status == 200
    events = [event for worker in workers for event in worker.events]
    assert [found.rule for found in Auditor(catalog).audit(events)] == ["TWICE"]


def test_a_late_start_whose_time_has_passed_does_not_run():
    network, workers, catalog = estate_of(work_ms=500)
    outcomes = []
    network.set_lateness("w0", Lateness())
    start_on(network, "w0", 1, outcomes, until_ms=900)
    network.run(1_000)
    start_on(network, "w1", 2, outcomes)
    network.run(8_000)
    events = [event for worker in workers for event in worker.events]
    assert Auditor(catalog).audit(events) == []
    assert [(e.worker, e.run) for e in events] == [("w1", 2), ("w1", 2)]
