"""The processes of one history, and what can be done to them."""

__all__ = ["GROUPS", "HOSTS", "HistorySite"]

import signal
import subprocess
import time
from pathlib import Path

import attrs

from scripts.histories.faults import Fault, FaultKind
from scripts.histories.records import (
    GracefulStop,
    History,
    LeavingTarget,
    TaskStart,
    Unavailable,
    read_journal,
)
from scripts.processes import EntryHost, Site, request_json

HOSTS = 3
GROUPS = 2
TARGETS_PER_GROUP = 2
SLOTS = 4
CONNECTIONS = 64
RESTART_MS = 300

_SETTINGS = """
[peers]
heartbeat_ms = 200
silence_ms = 800
lost_after_ms = 1200
"""

_TARGET_FAULTS = {
    FaultKind.LOSE_ANSWERS: {"lose_answer": True, "share": 0.5},
    FaultKind.MUTE: {"mute": True, "share": 0.3},
    FaultKind.REFUSE: {"refuse": "busy", "share": 0.7},
    FaultKind.FAIL_EVERY_TASK: {"fail_every_task": True},
}
_PLATFORM_FAULTS = {
    FaultKind.LOG_REFUSES: {"log_outage": "refuse"},
    FaultKind.LOG_HANGS: {"log_outage": "hang"},
    FaultKind.LOSE_APPENDS: {"lose_append_answer": True},
    FaultKind.EXPIRE_RECORDS: {"retained_records": 2},
    FaultKind.LIST_OUTAGE: {"list_outage": "refuse"},
}


def now_ms() -> int:
    """Return a reading of this machine's monotonic clock."""
    return time.monotonic_ns() // 1_000_000


class HistorySite(Site):
    """Three hosts and two groups of targets, each group in one process."""

    def __init__(self, folder: Path, history: History) -> None:
        super().__init__(folder, _SETTINGS)
        self.history = history
        self.groups: dict[int, str] = {}
        self._entries: dict[str, dict] = {}
        self._stopping: set[int] = set()
        self._group_processes: dict[int, subprocess.Popen] = {}

    def start_all(self) -> None:
        """Start every process and wait until every host is ready."""
        self.start_platform()
        for group in range(GROUPS):
            self.start_group(group)
        for number in range(HOSTS):
            self.start_host(host_name(number))
        for host in self.hosts.values():
            self.wait_until_ready(host)

    def start_group(self, group: int) -> None:
        """Start one group of targets, or one in the place of a dead one.

        The targets register as live, also those that were leaving.
        """
        prefix = f"group-{group}-"
        self.history.leaving = [
            attrs.evolve(mark, until_ms=min(mark.until_ms, now_ms()))
            if mark.target.startswith(prefix)
            else mark
            for mark in self.history.leaving
        ]
        arguments = ["targets", "--count", str(TARGETS_PER_GROUP)]
        arguments += ["--prefix", prefix, "--slots", str(SLOTS)]
        arguments += ["--connections", str(CONNECTIONS), "--seed", str(group)]
        arguments += ["--journal", str(self._journal(group))]
        arguments += ["--platform", self.platform_url]
        ready = self._start_standin(f"group-{group}", arguments)
        self.groups[group] = f"http://127.0.0.1:{ready['port']}"
        self._group_processes[group] = self._processes[-1]
        self._entries.update({entry["name"]: entry for entry in ready["hosts"]})

    def read_journals(self) -> list[TaskStart]:
        """Return every start that any target ever recorded."""
        journals = [read_journal(self._journal(group)) for group in range(GROUPS)]
        return sorted((s for j in journals for s in j), key=lambda s: s.at_ms)

    def apply(self, fault: Fault) -> None:
        """Begin one fault."""
        kind = fault.kind
        if kind in _TARGET_FAULTS:
            self._control(fault.victim, _TARGET_FAULTS[kind])
        elif kind in _PLATFORM_FAULTS:
            self.set_platform_faults(**_PLATFORM_FAULTS[kind])
        else:
            _BEGIN[kind](self, fault)

    def mend(self, fault: Fault) -> None:
        """End one fault."""
        kind = fault.kind
        if kind in _TARGET_FAULTS:
            self._control(fault.victim, {})
        elif kind in _PLATFORM_FAULTS:
            self.set_platform_faults()
        elif kind in _END:
            _END[kind](self, fault)

    def _kill_host(self, fault: Fault) -> None:
        host = self.hosts[host_name(fault.victim)]
        if host.process.poll() is None:
            host.kill()

    def _replace_host(self, fault: Fault) -> None:
        name = host_name(fault.victim)
        if self.hosts[name].process.poll() is None:
            return
        from_ms = now_ms()
        self.wait_until_ready(self.start_host(name))
        gap = Unavailable(name, from_ms - fault.duration_ms, now_ms())
        self.history.unavailable.append(gap)

    def _pause_host(self, fault: Fault) -> None:
        self._signal(self.hosts[host_name(fault.victim)], signal.SIGSTOP)

    def _resume_host(self, fault: Fault) -> None:
        name = host_name(fault.victim)
        self._signal(self.hosts[name], signal.SIGCONT)
        gap = Unavailable(name, now_ms() - fault.duration_ms - 50, now_ms())
        self.history.unavailable.append(gap)

    def _signal(self, host: EntryHost, number: int) -> None:
        if host.process.poll() is None:
            host.process.send_signal(number)

    def _stop_host(self, fault: Fault) -> None:
        host = self.hosts[host_name(fault.victim)]
        if host.process.poll() is not None or host.process.pid in self._stopping:
            return
        self._stopping.add(host.process.pid)
        self.list_as_leaving(host)
        at_ms = now_ms()
        host.process.send_signal(signal.SIGTERM)
        exit_code = host.wait()
        if exit_code != -signal.SIGKILL:
            self.history.stops.append(GracefulStop(host.name, at_ms, exit_code))

    def _kill_group(self, fault: Fault) -> None:
        process = self._group_processes[fault.victim]
        process.kill()
        process.wait()

    def _restart_group(self, fault: Fault) -> None:
        if self._group_processes[fault.victim].poll() is not None:
            self.start_group(fault.victim)

    def _pause_group(self, fault: Fault) -> None:
        self._group_processes[fault.victim].send_signal(signal.SIGSTOP)

    def _resume_group(self, fault: Fault) -> None:
        self._group_processes[fault.victim].send_signal(signal.SIGCONT)

    def _silence(self, fault: Fault) -> None:
        self._control(fault.victim, {"silence_open_connections": True})

    def _let_leave(self, fault: Fault) -> None:
        target = f"group-{fault.victim}-1"
        body = {"hosts": [self._entries[target] | {"state": "leaving"}]}
        request_json("PUT", f"{self.platform_url}/control/hosts", body)
        self.history.leaving.append(LeavingTarget(target, now_ms()))

    def _control(self, group: int, faults: dict) -> None:
        """Set the faults of a group, which may be dead or paused by another fault."""
        url = f"{self.groups[group]}/control/faults"
        try:
            request_json("POST", url, faults)
        except OSError as error:
            self.history.not_applied.append(f"group {group}: {error}")

    def _journal(self, group: int) -> Path:
        return self.folder / f"group-{group}.journal"


def host_name(number: int) -> str:
    """Return the name of a host.

    >>> host_name(1)
    'entry-1'
    """
    return f"entry-{number}"


_BEGIN = {
    FaultKind.KILL_HOST: HistorySite._kill_host,
    FaultKind.PAUSE_HOST: HistorySite._pause_host,
    FaultKind.STOP_HOST: HistorySite._stop_host,
    FaultKind.KILL_TARGETS: HistorySite._kill_group,
    FaultKind.PAUSE_TARGETS: HistorySite._pause_group,
    FaultKind.SILENCE_CONNECTIONS: HistorySite._silence,
    FaultKind.LEAVE: HistorySite._let_leave,
}
_END = {
    FaultKind.KILL_HOST: HistorySite._replace_host,
    FaultKind.PAUSE_HOST: HistorySite._resume_host,
    FaultKind.KILL_TARGETS: HistorySite._restart_group,
    FaultKind.PAUSE_TARGETS: HistorySite._resume_group,
}
