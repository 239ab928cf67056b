"""Workers that crash and are back at once, in a whole fleet."""

import pytest

from hibiscusstack.pool.tests.fleet import Fleet
from hibiscusstack_standins.estate.jobs import Step

SLOW_STORE_MS = 272
JOB_INTERVAL_MS = 20
CRASH_INTERVAL_MS = 100
CRASHES_AT_ONCE = 2


# Guards against an end that a new life of a worker has not listed and that is taken for
# acknowledged by the number of an end of its earlier life: the done task runs again.
@pytest.mark.parametrize("seed", range(1, 5))
def test_done_tasks_do_not_run_again_after_quick_restarts(seed):
    fleet = Fleet(seed, workers=8)
    fleet.store.slow_ms = SLOW_STORE_MS
    for number in range(200):
        fleet.submit(Step(2, 20, cpu=500, mem_mb=64), is_stored=True)
        fleet.run(JOB_INTERVAL_MS)
        if number % (CRASH_INTERVAL_MS // JOB_INTERVAL_MS) == 0:
            restart_idle_workers(fleet)
    fleet.store.slow_ms = 0
    fleet.recover_and_verify()


def restart_idle_workers(fleet):
    """Let workers that run nothing crash and be back at once."""
    idle = [w for w in fleet.workers.values() if w.is_up and not w.running()]
    for worker in fleet.random.sample(idle, min(CRASHES_AT_ONCE, len(idle))):
        worker.crash(fleet.now_ms)
        worker.restart(fleet.now_ms)
