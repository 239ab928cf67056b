"""Stateful test: arbitrary faults on real coordinators, checked by the auditor."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.tests.model_cluster import HOSTS, SHAPES, WORKERS, ModelCluster
from hibiscusstack_standins.estate.tests.machine_orders import PATHS, Fate
from hibiscusstack_standins.estate.worker import WorkerFaults

hosts = st.sampled_from(sorted(HOSTS))
workers = st.sampled_from(sorted(WORKERS))
fates = st.builds(
    Fate,
    st.sampled_from(["unreached", "lost", "late", "unanswered", "slow"]),
    st.sampled_from([0, 20, 45, 150, 400, 2_000]),
)
faults = st.sampled_from(
    [
        WorkerFaults(),
        WorkerFaults(stalls=True),
        WorkerFaults(fails_tasks=True),
        WorkerFaults(slow_factor=5.0),
        WorkerFaults(status=503, status_share=0.5),
    ]
)


pauses = st.sampled_from([5, 20, 80, 300, 700, 1_500])


class PoolMachine(RuleBasedStateMachine):
    """Three hosts and three workers in two data centres, and callers that resubmit."""

    coordinator_class = Coordinator

    @initialize()
    def start_cluster(self):
        """Start the cluster; a first coordinator takes over the workers."""
        self.site = ModelCluster(self.coordinator_class)

    @rule(
        shapes=st.lists(
            st.tuples(hosts, st.sampled_from(sorted(SHAPES)), st.booleans()),
            min_size=1,
            max_size=4,
        ),
        duration_ms=pauses,
    )
    def submit(self, shapes, duration_ms):
        """Submit jobs."""
        for host, shape, has_short_objective in shapes:
            self.site.submit(host, shape, has_short_objective)
        self.site.run(duration_ms)

    @precondition(lambda self: self.waiting())
    @rule(data=st.data(), duration_ms=st.sampled_from([5, 300, 4_000]))
    def cancel(self, data, duration_ms):
        """Cancel jobs."""
        some = st.lists(st.sampled_from(self.waiting()), min_size=1, unique=True)
        for caller in data.draw(st.one_of(st.just(self.waiting()), some)):
            self.site.cancel(caller)
        self.site.run(duration_ms)

    @precondition(lambda self: self.waiting())
    @rule(data=st.data())
    def break_connection(self, data):
        """Break the connection of a caller, which resubmits later."""
        self.site.break_connection(data.draw(st.sampled_from(self.waiting())))

    @rule(duration_ms=pauses)
    def wait(self, duration_ms):
        """Advance the time."""
        self.site.run(duration_ms)

    @rule(
        host=hosts,
        worker=workers,
        path=st.sampled_from(PATHS),
        fate=fates,
        duration_ms=st.sampled_from([100, 400, 1_500, 6_000]),
    )
    def misdeliver_orders(self, host, worker, path, fate, duration_ms):
        """Disturb orders of one kind from a host to a worker for a while."""
        if host in self.site.hosts:
            until_ms = self.site.now_ms + duration_ms
            self.site.hosts[host].orders.fates[worker, path] = (until_ms, fate)

    @rule(path=st.sampled_from(PATHS), duration_ms=st.sampled_from([700, 6_000]))
    def discard_orders(self, path, duration_ms):
        """Lose all orders of one kind for a while."""
        for host in self.site.hosts.values():
            for worker in WORKERS:
                until_ms = self.site.now_ms + duration_ms
                host.orders.fates[worker, path] = (until_ms, Fate("lost"))

    @rule(crashing=st.sets(workers, min_size=1))
    def crash_workers(self, crashing):
        """Crash workers."""
        for worker in sorted(crashing):
            self.site.crash_worker(worker)

    @rule(worker=workers, moves=st.booleans())
    def return_worker(self, worker, moves):
        """Restart a worker; the list still has the previous instance."""
        self.site.return_worker(worker, moves)

    @rule(worker=workers, is_listed=st.booleans())
    def list_worker(self, worker, is_listed):
        """List the current instance of a worker, or remove it from the list."""
        self.site.list_worker(worker, is_listed)

    @rule(worker=workers)
    def drain_worker(self, worker):
        """Drain a worker."""
        self.site.drain_worker(worker)

    @rule(worker=workers, change=faults)
    def set_faults(self, worker, change):
        """Set the faults of a worker, or remove them."""
        self.site.set_faults(worker, change)

    @precondition(lambda self: len(self.site.awake()) > 1)
    @rule(data=st.data(), resets=st.booleans())
    def kill_host(self, data, resets):
        """Kill a host."""
        self.site.kill_host(data.draw(self.awake_hosts()), resets)

    @precondition(lambda self: len(self.site.hosts) < len(HOSTS))
    @rule()
    def start_hosts(self):
        """Start the hosts that were killed."""
        for name in HOSTS.keys() - self.site.hosts.keys():
            self.site.start_host(name)

    @precondition(lambda self: self.site.awake())
    @rule(data=st.data())
    def freeze_host(self, data):
        """Suspend a host, which resumes later with its old state."""
        self.site.freeze_host(data.draw(self.awake_hosts()))

    @precondition(lambda self: self.site.frozen)
    @rule()
    def thaw_hosts(self):
        """Resume the suspended hosts."""
        for name in sorted(self.site.frozen):
            self.site.thaw_host(name)

    @precondition(lambda self: self.site.awake())
    @rule(data=st.data())
    def claim(self, data):
        """Let a host claim a term, whichever host holds the current one."""
        self.site.hosts[data.draw(self.awake_hosts())].claim()

    @rule(one=hosts, other=st.one_of(hosts, workers))
    def cut(self, one, other):
        """Cut the network between two hosts, or between a host and a worker."""
        if one != other:
            self.site.cut(one, other)

    @precondition(lambda self: self.waiting())
    @rule(data=st.data(), resets=st.booleans())
    def abandon(self, data, resets):
        """Kill the host of a caller, and let the caller cancel."""
        caller = data.draw(st.sampled_from(self.waiting()))
        if caller.host in self.site.hosts:
            self.site.kill_host(caller.host, resets)
        self.site.cancel(caller)

    @precondition(lambda self: self.site.current_coordinator())
    @rule(
        unlisted=st.sets(workers, max_size=1),
        apart=st.sets(workers, max_size=2),
        resets=st.booleans(),
        duration_ms=pauses,
    )
    def lose_coordinator(self, unlisted, apart, resets, duration_ms):
        """Kill the coordinator; its successor does not know or reach all workers."""
        first = self.site.current_coordinator()
        for worker in sorted(unlisted):
            self.site.list_worker(worker, is_listed=False)
        for host in sorted(HOSTS.keys() - {first}):
            for worker in sorted(apart):
                self.site.cut(host, worker)
        self.site.run(20)
        self.site.kill_host(first, resets)
        self.site.run(duration_ms)

    @precondition(lambda self: self.site.current_coordinator())
    @rule(apart=st.sets(workers, max_size=2), duration_ms=pauses)
    def split(self, apart, duration_ms):
        """Isolate the coordinator from its peers, and the peers from some workers."""
        first = self.site.current_coordinator()
        self.site.isolate_host(first)
        for host in HOSTS.keys() - {first}:
            for worker in sorted(apart):
                self.site.cut(host, worker)
        self.site.run(duration_ms)

    @rule(duration_ms=pauses)
    def cut_off_data_centre(self, duration_ms):
        """Isolate a data centre, so that a deputy starts there."""
        self.site.isolate_data_centre()
        self.site.run(duration_ms)

    @rule()
    def reconnect_all(self):
        """End all network cuts."""
        self.site.end_cuts()

    @invariant()
    def no_rule_is_broken(self):
        """Check that the auditor finds no violation in the events of the workers."""
        found = self.site.violations()
        assert not found, found

    @invariant()
    def a_token_has_one_holder(self):
        """Check that no worker accepted one token from several hosts."""
        assert all(len(holders) == 1 for holders in self.site.holders.values())

    def waiting(self):
        """Return the callers that still wait for an answer."""
        return [caller for caller in self.site.callers if not caller.is_done]

    def awake_hosts(self):
        """Return a strategy for the names of the hosts that are not suspended."""
        return st.sampled_from([host.party for host in self.site.awake()])

    def teardown(self):
        """End all faults, and check that every caller gets its answer."""
        self.site.recover()
        self.no_rule_is_broken()
        assert self.waiting() == []


PoolMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
TestPoolMachine = PoolMachine.TestCase
