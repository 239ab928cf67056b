"""A rule-based machine on real coordinators: any faults, no rule broken."""

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
    """Three hosts, three workers in two data centres, and callers that come back."""

    coordinator_class = Coordinator

    @initialize()
    def boot(self):
        """Let a first coordinator take the workers over."""
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
        """Let callers send jobs in."""
        for host, shape, has_short_objective in shapes:
            self.site.submit(host, shape, has_short_objective)
        self.site.run(duration_ms)

    @precondition(lambda self: self.waiting())
    @rule(data=st.data(), duration_ms=st.sampled_from([5, 300, 4_000]))
    def cancel(self, data, duration_ms):
        """Let callers go for good."""
        some = st.lists(st.sampled_from(self.waiting()), min_size=1, unique=True)
        for caller in data.draw(st.one_of(st.just(self.waiting()), some)):
            self.site.cancel(caller)
        self.site.run(duration_ms)

    @precondition(lambda self: self.waiting())
    @rule(data=st.data())
    def break_connection(self, data):
        """Let a caller lose its connection, and come back later."""
        self.site.break_connection(data.draw(st.sampled_from(self.waiting())))

    @rule(duration_ms=pauses)
    def wait(self, duration_ms):
        """Let time pass."""
        self.site.run(duration_ms)

    @rule(
        host=hosts,
        worker=workers,
        path=st.sampled_from(PATHS),
        fate=fates,
        duration_ms=st.sampled_from([100, 400, 1_500, 6_000]),
    )
    def meddle(self, host, worker, path, fate, duration_ms):
        """Let the orders of a host to a worker go wrong for a while."""
        if host in self.site.hosts:
            until_ms = self.site.now_ms + duration_ms
            self.site.hosts[host].orders.fates[worker, path] = (until_ms, fate)

    @rule(path=st.sampled_from(PATHS), duration_ms=st.sampled_from([700, 6_000]))
    def deafen(self, path, duration_ms):
        """Let all orders of one kind be lost for a while."""
        for host in self.site.hosts.values():
            for worker in WORKERS:
                until_ms = self.site.now_ms + duration_ms
                host.orders.fates[worker, path] = (until_ms, Fate("lost"))

    @rule(crashing=st.sets(workers, min_size=1))
    def crash_workers(self, crashing):
        """End lives of workers."""
        for worker in sorted(crashing):
            self.site.crash_worker(worker)

    @rule(worker=workers, moves=st.booleans())
    def return_worker(self, worker, moves):
        """Begin another life of a worker, which is listed later or never."""
        self.site.return_worker(worker, moves)

    @rule(worker=workers, is_listed=st.booleans())
    def list_worker(self, worker, is_listed):
        """List the present life of a worker, or none."""
        self.site.list_worker(worker, is_listed)

    @rule(worker=workers)
    def drain_worker(self, worker):
        """Let a worker leave."""
        self.site.drain_worker(worker)

    @rule(worker=workers, change=faults)
    def set_faults(self, worker, change):
        """Let tasks of a worker fail or hang, or heal it."""
        self.site.set_faults(worker, change)

    @precondition(lambda self: len(self.site.awake()) > 1)
    @rule(data=st.data(), resets=st.booleans())
    def kill_host(self, data, resets):
        """End a host."""
        self.site.kill_host(data.draw(self.awake_hosts()), resets)

    @precondition(lambda self: len(self.site.hosts) < len(HOSTS))
    @rule()
    def start_hosts(self):
        """Start the hosts that ended."""
        for name in HOSTS.keys() - self.site.hosts.keys():
            self.site.start_host(name)

    @precondition(lambda self: self.site.awake())
    @rule(data=st.data())
    def freeze_host(self, data):
        """Stop a host, to go on later with what it knew."""
        self.site.freeze_host(data.draw(self.awake_hosts()))

    @precondition(lambda self: self.site.frozen)
    @rule()
    def thaw_hosts(self):
        """Let the hosts that stand still go on."""
        for name in sorted(self.site.frozen):
            self.site.thaw_host(name)

    @precondition(lambda self: self.site.awake())
    @rule(data=st.data())
    def claim(self, data):
        """Let a host claim a term, whoever holds the present one."""
        self.site.hosts[data.draw(self.awake_hosts())].claim()

    @rule(one=hosts, other=st.one_of(hosts, workers))
    def cut(self, one, other):
        """Cut two parties off from each other."""
        if one != other:
            self.site.cut(one, other)

    @precondition(lambda self: self.waiting())
    @rule(data=st.data(), resets=st.booleans())
    def abandon(self, data, resets):
        """End the host of a caller, who then goes for good."""
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
        """End the coordinator; its successor does not know or reach all workers."""
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
        """Cut the coordinator off from its peers, and these from some workers."""
        first = self.site.current_coordinator()
        self.site.cut_off(first)
        for host in HOSTS.keys() - {first}:
            for worker in sorted(apart):
                self.site.cut(host, worker)
        self.site.run(duration_ms)

    @rule(duration_ms=pauses)
    def cut_zone(self, duration_ms):
        """Cut a data centre off, so that a deputy begins there."""
        self.site.cut_zone()
        self.site.run(duration_ms)

    @rule()
    def mend(self):
        """End all cuts."""
        self.site.end_cuts()

    @invariant()
    def no_rule_is_broken(self):
        """Judge all that the workers saw."""
        found = self.site.violations()
        assert not found, found

    @invariant()
    def a_token_has_one_holder(self):
        """Compare whose orders the workers took."""
        assert all(len(holders) == 1 for holders in self.site.holders.values())

    def waiting(self):
        """Return the callers that wait for an answer."""
        return [caller for caller in self.site.callers if not caller.is_done]

    def awake_hosts(self):
        """Return a strategy for the names of the hosts that run."""
        return st.sampled_from([host.party for host in self.site.awake()])

    def teardown(self):
        """End all faults; then every caller gets its answer."""
        self.site.recover()
        self.no_rule_is_broken()
        assert self.waiting() == []


PoolMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
TestPoolMachine = PoolMachine.TestCase
