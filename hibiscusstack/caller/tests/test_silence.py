"""Tests of the watch over hosts that owe answers."""

import attrs

from hibiscusstack.caller.client_settings import ClientSettings
from hibiscusstack.caller.tests.network import Fault
from hibiscusstack.caller.tests.test_client import Bench, make_bench

SILENCE_MS = ClientSettings().silence_ms


@attrs.frozen
class Silenced:
    """A client whose one job waits at host a or b."""

    bench: Bench
    host: str

    def probes(self) -> int:
        """Return how often its host was asked for its health."""
        return self.bench.network.requests.count((self.host, "/healthz"))

    def hosts_of_new_jobs(self, count: int) -> set[str]:
        """Submit more jobs and return where they go."""
        del self.bench.network.requests[:]
        for _ in range(count):
            self.bench.submit()
        jobs = (r for r in self.bench.network.requests if r[1] == "/v1/jobs")
        return {name for name, _ in jobs}


def make_silenced() -> Silenced:
    bench = make_bench()
    bench.submit(timeout_ms=600_000)
    host = bench.network.requests[-1][0]
    return Silenced(bench, host)


def test_a_host_that_works_is_asked_and_stays_in_use() -> None:
    silenced = make_silenced()
    silenced.bench.run_for(SILENCE_MS + 200)
    assert silenced.probes() == 1
    assert silenced.host in silenced.hosts_of_new_jobs(4)


def test_a_host_without_health_gets_no_new_jobs_until_it_is_back() -> None:
    silenced = make_silenced()
    silenced.bench.network.faults = {silenced.host: Fault.LOSE_REQUEST}
    silenced.bench.run_for(2 * SILENCE_MS + 200)
    assert silenced.host not in silenced.hosts_of_new_jobs(6)
    silenced.bench.network.faults = {}
    silenced.bench.run_for(40_000)
    assert silenced.host in silenced.hosts_of_new_jobs(6)


def test_nothing_is_asked_while_nothing_is_owed() -> None:
    silenced = make_silenced()
    (job_id,) = silenced.bench.service.jobs
    silenced.bench.service.succeed(job_id)
    silenced.bench.run_for(3 * SILENCE_MS)
    assert silenced.probes() == 0
    assert silenced.bench.clock.getDelayedCalls() == []
