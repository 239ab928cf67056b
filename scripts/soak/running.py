"""One soak: a site of processes, its clients, its faults and the audit."""

__all__ = ["SoakResult", "run_soak"]

import random
import signal
import subprocess
import threading
import time
from collections import defaultdict
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import attrs

from hibiscusstack_standins.estate.jobs import Job, Step
from scripts.platform_site import PlatformSite, PoolHostProcess
from scripts.soak.auditing import Finding, HostHistory, find_faults
from scripts.soak.clients import SoakClient, SoakSubmission
from scripts.soak.faults import COORDINATOR, Fault, FaultKind, SoakPlan, draw_faults

# Time after the last fault for jobs to end; an incomplete one is a finding.
SETTLE_S = 60
EXIT_TIMEOUT_S = 30
HEARTBEAT_MS = 500
JOBS_PER_CLIENT_AND_SECOND = 8
DRAIN_MS = 1_500
# The part of the jobs with a task that crashes the workers that start it.
CRASHING_PART = 1 / 80


@attrs.frozen
class SoakResult:
    """What one soak has shown."""

    seed: int
    submissions: Sequence[SoakSubmission]
    runs: int
    applied: Sequence[Fault]
    findings: Sequence[Finding]


def run_soak(seed: int, plan: SoakPlan, folder: Path) -> SoakResult:
    """Run a site under the faults of a seed and audit it."""
    site = PlatformSite(folder)
    jobs = _make_jobs(random.Random(seed), plan)
    try:
        options = ("--heartbeat-ms", str(HEARTBEAT_MS), "--expires-in-outage")
        site.start_estate(plan.workers, *options)
        site.add_jobs([job for each in jobs for job in each])
        for host in site.start_hosts(plan.hosts):
            site.wait_until_ready(host)
        faults = _FaultRunner(site, plan)
        submissions = _run_clients(seed, plan, site, jobs, faults)
        faults.note_exits()
        clients = {each.job.id: each.client_record() for each in submissions}
        audit = site.audit(clients)
    finally:
        site.stop()
    broken = [Finding(each["rule"], str(each)) for each in audit["violations"]]
    found = find_faults(submissions, faults.histories)
    return SoakResult(
        seed, submissions, audit["runs"], faults.applied, [*broken, *found]
    )


def _wait_for_exit(host: PoolHostProcess) -> int:
    """Return the exit code of a host; that of a kill if it does not end by itself."""
    try:
        return host.process.wait(EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        host.kill()
        return host.process.returncode


def _make_jobs(rng: random.Random, plan: SoakPlan) -> list[list[Job]]:
    count = plan.seconds * JOBS_PER_CLIENT_AND_SECOND
    return [[_make_job(rng) for _ in range(count)] for _ in range(plan.clients)]


def _make_job(rng: random.Random) -> Job:
    work_ms = rng.choice((rng.randint(20, 200), rng.randint(200, 900)))
    crashing = (0,) if rng.random() < CRASHING_PART else ()
    steps = [Step(rng.randint(1, 4), work_ms, cpu=500, mem_mb=64, crashing=crashing)]
    if rng.random() < 1 / 3:
        steps.append(Step(1, rng.randint(20, 200), cpu=500, mem_mb=64, after=(0,)))
    job_id = f"{rng.getrandbits(64):016x}"
    is_stored = rng.random() < 1 / 4
    return Job(job_id, spec=job_id, steps=tuple(steps), best_effort=not is_stored)


def _run_clients(
    seed: int,
    plan: SoakPlan,
    site: PlatformSite,
    jobs: Sequence[Sequence[Job]],
    faults: "_FaultRunner",
) -> list[SoakSubmission]:
    until = time.monotonic() + plan.seconds
    clients = [
        SoakClient(
            lambda: list(site.hosts.values()),
            random.Random(f"{seed} {number}"),
            until,
            until + SETTLE_S,
        )
        for number in range(plan.clients)
    ]
    drawn = draw_faults(seed, plan)
    with ThreadPoolExecutor(plan.clients + len(drawn)) as pool:
        running: list[Future] = [
            pool.submit(client.run, own)
            for client, own in zip(clients, jobs, strict=True)
        ]
        try:
            for each in [pool.submit(faults.apply, fault) for fault in drawn]:
                each.result()
            return [each for future in running for each in future.result()]
        except BaseException:
            for client in clients:
                client.given_up.set()
            raise


class _FaultRunner:
    """Applies faults; one to what has another of its kind at that time is left out."""

    def __init__(self, site: PlatformSite, plan: SoakPlan) -> None:
        self.applied: list[Fault] = []
        self.histories = {host: HostHistory() for host in site.hosts.values()}
        self._site = site
        self._worker_count = plan.workers
        self._busy: defaultdict[object, threading.Lock] = defaultdict(threading.Lock)
        self._version = 1
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def apply(self, fault: Fault) -> None:
        """Wait until a fault is due, begin it and end it after its duration."""
        time.sleep(max(0, self._began + fault.at_ms / 1_000 - time.monotonic()))
        name = self._host_name(fault) if fault.kind.is_for_host else ""
        with self._reserve(name or self._place_of(fault)) as is_free:
            if not is_free:
                return
            self.applied.append(fault)
            if name:
                self._signal(fault, name)
            else:
                self._disturb(fault)

    def note_exits(self) -> None:
        """Record the exit codes of hosts that have ended without being told to."""
        for host in self._site.hosts.values():
            self.histories[host].exit_code = host.process.poll()

    @contextmanager
    def _reserve(self, place: object):
        with self._lock:
            lock = self._busy[place]
        is_free = lock.acquire(blocking=False)
        try:
            yield is_free
        finally:
            if is_free:
                lock.release()

    def _place_of(self, fault: Fault) -> object:
        if fault.kind in (FaultKind.JOIN, FaultKind.CONFIGURATION):
            return fault
        return "store" if fault.kind is FaultKind.STORE else fault.victim

    def _host_name(self, fault: Fault) -> str:
        hosts = list(self._site.hosts.values())
        if fault.victim == COORDINATOR:
            coordinating = (host for host in hosts if host.is_coordinator())
            return next(coordinating, hosts[fault.at_ms % len(hosts)]).name
        return hosts[fault.victim].name

    def _signal(self, fault: Fault, name: str) -> None:
        host = self._site.hosts[name]
        history = self.histories[host]
        match fault.kind:
            case FaultKind.HUP:
                host.send(signal.SIGHUP)
            case FaultKind.STOP:
                began_ms = time.time() * 1_000
                host.send(signal.SIGSTOP)
                time.sleep(fault.duration_ms / 1_000)
                history.freezes.append((began_ms, time.time() * 1_000))
                host.send(signal.SIGCONT)
            case FaultKind.KILL:
                history.exit_code = host.process.poll()
                history.killed_ms = time.time() * 1_000
                host.kill()
                self._start_again(host, fault)
            case FaultKind.TERM:
                host.terminate()
                history.exit_code = _wait_for_exit(host)
                self._start_again(host, fault)

    def _start_again(self, host: PoolHostProcess, fault: Fault) -> None:
        time.sleep(fault.duration_ms / 1_000)
        again = self._site.start_again(host)
        self.histories[again] = HostHistory()

    def _disturb(self, fault: Fault) -> None:
        kind, worker = fault.kind, f"w{fault.victim + 1}"
        apply = self._site.apply_fault
        match kind:
            case FaultKind.CONFIGURATION:
                with self._lock:
                    self._version += 1
                    terms = {"target_latency_ms": 4_000 + fault.at_ms % 8_000}
                    apply(kind.value, version=self._version, terms=terms)
            case FaultKind.JOIN:
                apply(kind.value)
            case FaultKind.LEAVE:
                # It comes back, so that later faults find it.
                apply(kind.value, worker=worker, drain_ms=DRAIN_MS)
                time.sleep((DRAIN_MS + HEARTBEAT_MS + fault.duration_ms) / 1_000)
                apply("restart", worker=worker)
            case FaultKind.CRASH:
                apply(kind.value, worker=worker)
                time.sleep(fault.duration_ms / 1_000)
                apply("restart", worker=worker)
            case FaultKind.CUT_OFF:
                apply(kind.value, worker=worker)
                time.sleep(fault.duration_ms / 1_000)
                apply("reconnect", worker=worker)
            case FaultKind.STORE:
                apply(kind.value, outage=fault.detail)
                time.sleep(fault.duration_ms / 1_000)
                apply(kind.value, outage="")
