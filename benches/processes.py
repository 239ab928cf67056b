"""Starts and ends the processes that a bench needs."""

__all__ = ["processor_time_s", "run_process", "run_targets"]

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from hibiscusstack.dispatch.targets import TargetInfo

_STOP_TIMEOUT_S = 5
_STANDINS = [
    sys.executable,
    "-c",
    "from hibiscusstack_standins.main import main; main()",
]


@contextmanager
def run_process(command: list[str]) -> Iterator[dict]:
    """Run a process and yield the JSON line that it prints when it is ready."""
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        yield json.loads(line)
    finally:
        process.terminate()
        try:
            process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


@contextmanager
def run_targets(
    processes: int,
    targets: int,
    platform: str = "",
    slots: int = 8,
    prefix: str = "p",
) -> Iterator[list[TargetInfo]]:
    """Run stand-in targets, ``targets`` in each process, and yield them all."""
    with ExitStack() as stack:
        infos: list[TargetInfo] = []
        for number in range(processes):
            command = [*_STANDINS, "targets", "--count", str(targets)]
            command += ["--prefix", f"{prefix}{number}t", "--slots", str(slots)]
            if platform:
                command += ["--platform", platform]
            ready = stack.enter_context(run_process(command))
            infos += [_info_of(entry) for entry in ready["hosts"]]
        yield infos


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _info_of(entry: dict) -> TargetInfo:
    return TargetInfo(
        entry["name"], entry["address"], entry["port"], entry["data_centre"]
    )
