"""Stored jobs under faults of every kind, in a random order for each seed."""

import pytest

from hibiscusstack.pool.messages import StoredState
from hibiscusstack_standins.estate.jobs import Step
from hibiscusstack_standins.estate.network import Lateness
from hibiscusstack_standins.estate.store_service import LostAnswers, Outage
from hibiscusstack_standins.estate.tests.stored_site import Site
from hibiscusstack_standins.estate.worker import WorkerFaults

JOBS = 60
OUTAGES = ("busy", "rejecting", "reset", "silent")


class Faults:
    """Faults that end by themselves; after each one a host coordinates."""

    def __init__(self, site):
        self.site = site
        self.random = site.random
        self.kinds = (
            self.kill_one,
            self.kill_all,
            self.take_over,
            self.lose_answers,
            self.stop_the_log,
            self.crash_a_worker,
            self.forget_history,
            self.slow_the_log,
            self.break_connections,
            self.cut_off_the_coordinator,
            self.carry_out_late,
            self.fail_tasks,
        )

    def strike(self):
        """Let one fault happen."""
        self.random.choice(self.kinds)()

    def wait(self, least_ms, most_ms):
        """Let a random time pass."""
        self.site.network.run(self.random.randint(least_ms, most_ms))

    def kill_one(self):
        """Kill one host; another coordinates if need be."""
        name = self.random.choice(sorted(self.site.hosts))
        was_holder = self.site.holder.name == name
        self.site.kill(name)
        self.wait(300, 600)
        if was_holder:
            self.take_over()

    def kill_all(self):
        """Kill all hosts at once."""
        self.site.kill(*sorted(self.site.hosts))
        self.wait(250, 1_500)
        self.take_over()

    def take_over(self):
        """Begin a term, of which the earlier holder may not be told."""
        name = self.random.choice(sorted(self.site.hosts))
        self.site.take_over(name, is_told=self.random.random() < 0.6)

    def lose_answers(self):
        """Lose answers of the log, some calls being done late."""
        self.site.store.lost_answers = LostAnswers(0.4, self.random.random())
        self.wait(500, 1_500)
        self.site.store.lost_answers = None

    def stop_the_log(self):
        """Let the log do nothing, for all hosts or one."""
        turned_away = frozenset({self.random.choice(sorted(self.site.hosts))})
        callers = self.random.choice((None, turned_away))
        outage = Outage(self.random.choice(OUTAGES), callers)
        self.site.store.set_outages(self.site.network.now_ms, [outage])
        self.wait(300, 5_000)
        self.site.store.set_outages(self.site.network.now_ms, [])

    def crash_a_worker(self):
        """Crash a worker, and let it live again."""
        name = self.random.choice(self.site.workers).plan.id
        self.site.network.kill(name, resets=self.random.random() < 0.5)
        self.wait(100, 1_500)
        self.site.network.revive(name)

    def forget_history(self):
        """Let the log forget its history."""
        self.site.store.store.forget_history(self.site.network.now_ms)

    def slow_the_log(self):
        """Let the log answer slowly."""
        self.site.store.slow_ms = self.random.randint(20, 300)
        self.wait(300, 1_000)
        self.site.store.slow_ms = 0

    def break_connections(self):
        """Reset or silence all connections."""
        network = self.site.network
        self.random.choice((network.reset_connections, network.silence_connections))()

    def cut_off_the_coordinator(self):
        """Cut the coordinator off with two workers; another takes over."""
        holder = self.site.holder.name
        self.site.cut_off(holder, "w0", "w1")
        self.wait(700, 2_500)
        others = sorted(name for name in self.site.hosts if name != holder)
        self.site.take_over(self.random.choice(others), is_told=False)
        self.wait(500, 7_000)
        self.site.mend()

    def carry_out_late(self):
        """Let a worker carry out some orders late."""
        name = self.random.choice(self.site.workers).plan.id
        self.site.network.set_lateness(name, Lateness(0.5))
        self.wait(300, 1_200)
        self.site.network.set_lateness(name, None)

    def fail_tasks(self):
        """Let a worker fail what it starts."""
        worker = self.random.choice(self.site.workers)
        worker.set_faults(self.site.network.now_ms, WorkerFaults(fails_tasks=True))
        self.wait(200, 600)
        worker.set_faults(self.site.network.now_ms, WorkerFaults())


def submit_over_time(site):
    """Let clients submit, repeat and cancel jobs at random times."""
    clients = []

    def at(delay_ms, act, client):
        def go():
            if site.hosts:
                act(client, site.random.choice(sorted(site.hosts)))

        site.network.after("clients", delay_ms, go)

    for number in range(JOBS):
        steps = [Step(1 + number % 3, 60 + 10 * (number % 5), cpu=700)]
        if number % 2:
            steps.append(Step(2, 50, cpu=500, after=(0,)))
        client = site.new_job(*steps, max_attempts=6)
        clients.append(client)
        at(number * 60, site.submit, client)
        if site.random.random() < 0.2:
            at(number * 60 + site.random.randint(0, 4_000), site.submit, client)
        if site.random.random() < 0.2:
            at(number * 60 + site.random.randint(0, 2_000), site.cancel, client)
    return clients


@pytest.mark.parametrize("seed", range(25))
def test_no_rule_is_broken_and_no_job_is_lost(seed):
    site = Site(seed, workers=6)
    clients = submit_over_time(site)
    faults = Faults(site)
    for _ in range(6):
        faults.wait(200, 1_200)
        faults.strike()
    site.network.run(20_000)
    assert site.violations() == []
    states = site.states()
    for client in clients:
        shown = states[client.job.id]
        if StoredState.CANCELLED in client.cancels:
            assert shown is StoredState.CANCELLED
        elif client.is_accepted and not client.cancels:
            assert shown is StoredState.COMPLETED
        elif client.is_accepted:
            assert shown in (StoredState.COMPLETED, StoredState.CANCELLED)
        if client.record().is_rejected:
            assert site.starts(client) == []
