"""The processes of a small site of the users' platform."""

__all__ = ["PlatformSite", "PoolHostProcess"]

import itertools
import json
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs

from hibiscusstack_standins.estate.jobs import Job
from hibiscusstack_standins.estate.template import fill_in
from scripts.processes import ProcessGroup, StartError, request_json

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / "platform" / "edge.py"
TEMPLATE = ROOT / "deploy" / "hibiscus.ini.template"
ADDRESS = "127.0.0.1"
ZONE = "z"
BOUNDS = {"hold_max_ms": 1_000, "retransmit_ms": 1_300}
PORTS_PER_HOST = 4
TERM_TIMEOUT_S = 10
STOP_TIMEOUT_S = 10
HTTP_TIMEOUT_S = 1
FIRST_PORT = 10_000
END_PORT = 30_000
# Each program begins elsewhere, as others look for ports as well.
_PORTS = itertools.islice(
    itertools.cycle(range(FIRST_PORT, END_PORT)),
    random.randrange(END_PORT - FIRST_PORT),
    None,
)


@attrs.frozen
class PoolHostProcess:
    """One host of pools that runs as a process."""

    name: str
    process: subprocess.Popen
    log: Path
    frontend: str
    readiness: str
    operators: str

    def kill(self) -> None:
        """End the process as a crash would."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Begin a planned stop."""
        self.process.send_signal(signal.SIGTERM)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        self.process.send_signal(number)

    def wait(self) -> int:
        """Return the exit code of a process that was told to stop."""
        return self.process.wait(STOP_TIMEOUT_S)

    def is_ready(self) -> bool:
        """Tell what the host tells the balancer."""
        return _get(f"http://{self.readiness}/ready") is not None

    def is_coordinator(self) -> bool:
        """Tell what the host tells operators."""
        body = _get(f"http://{self.operators}/v1/pool")
        return body is not None and json.loads(body)["host"]["is_coordinator"]


class PlatformSite(ProcessGroup):
    """The stand-in of the platform and hosts of pools, all on this machine."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.hosts: dict[str, PoolHostProcess] = {}
        self._estate: dict[str, Any] = {}
        self._starts = 0

    def start_estate(self, workers: int, *options: str) -> None:
        """Start the store, the workers and what registers them."""
        self._estate = self._start_standin(
            "estate", ["estate", "--workers", str(workers), *options]
        )

    def apply_fault(self, fault: str, **details: Any) -> None:
        """Begin or end a fault of the store or of a worker."""
        self._control("POST", "fault", {"fault": fault, **details})

    def add_jobs(self, jobs: Sequence[Job]) -> None:
        """Let the workers know what the tasks of some jobs do."""
        self._control("PUT", "jobs", {"jobs": [attrs.asdict(job) for job in jobs]})

    def start_hosts(
        self, count: int, limits: Mapping[str, int] | None = None
    ) -> list[PoolHostProcess]:
        """Start hosts, each with settings as the platform fills them in.

        ``limits`` are those of each machine, as the platform names them.
        """
        ports = _free_ports(count * PORTS_PER_HOST)
        for number in range(count):
            own = ports[number * PORTS_PER_HOST :][:PORTS_PER_HOST]
            fields = self._fields(f"edge-{number + 1}", own)
            fields["limits"] = dict(limits or {})
            path = self._settings_path(fields["node_name"])
            path.write_text(fill_in(TEMPLATE.read_text(), fields))
            self._launch(
                fields["node_name"],
                frontend=fields["listen"]["frontend"],
                readiness=fields["listen"]["readiness"],
                operators=f"{ADDRESS}:{own[1]}",
            )
        return list(self.hosts.values())

    def start_again(self, host: PoolHostProcess) -> PoolHostProcess:
        """Start a host that has ended, with the settings that it had."""
        return self._launch(
            host.name,
            frontend=host.frontend,
            readiness=host.readiness,
            operators=host.operators,
        )

    def wait_until_ready(self, host: PoolHostProcess) -> None:
        """Wait until a host takes jobs."""
        self._wait_for(host.process, host.log, host.is_ready)

    def start_balancer(self) -> int:
        """Let the balancer send callers to all hosts; return its port."""
        nodes = [
            {
                "name": host.name,
                "zone": ZONE,
                "frontend": host.frontend,
                "readiness": host.readiness,
            }
            for host in self.hosts.values()
        ]
        return self._control("PUT", "balancer", {"nodes": nodes})["port"]

    def find_coordinator(self, other_than: str = "") -> PoolHostProcess:
        """Return the host that coordinates, waiting for one if need be."""
        deadline = time.monotonic() + TERM_TIMEOUT_S
        while time.monotonic() < deadline:
            for host in self.hosts.values():
                if host.name != other_than and host.is_coordinator():
                    return host
            time.sleep(0.05)
        raise StartError("no host coordinates")

    def audit(self, clients: dict[str, dict[str, Any]]) -> dict[str, Any]:
        """Return the count of runs and the rules that were broken."""
        return self._control("POST", "audit", {"clients": clients})

    def _control(self, method: str, name: str, body: dict[str, Any]) -> dict[str, Any]:
        base = f"http://{ADDRESS}:{self._estate['port']}"
        return request_json(method, f"{base}/control/{name}", body)

    def _fields(self, name: str, ports: Sequence[int]) -> dict[str, Any]:
        """Return what the platform knows of a host."""
        peers, operators, frontend, readiness = ports
        return {
            "node_name": name,
            "ip": ADDRESS,
            "zone": ZONE,
            "internal_ports": [peers, operators],
            "listen": {
                "frontend": f"{ADDRESS}:{frontend}",
                "readiness": f"{ADDRESS}:{readiness}",
            },
            "bounds": BOUNDS,
            "platform": {"address": f"{ADDRESS}:{self._estate['store_port']}"},
        }

    def _settings_path(self, name: str) -> Path:
        return self.folder / f"{name}.ini"

    def _launch(self, name: str, **addresses: str) -> PoolHostProcess:
        self._starts += 1
        log = self.folder / f"{name}-{self._starts}.log"
        command = [sys.executable, str(PROGRAM), str(self._settings_path(name))]
        process = self._start(command, log)
        self.hosts[name] = PoolHostProcess(name, process, log, **addresses)
        return self.hosts[name]


def _free_ports(count: int) -> list[int]:
    """Return ports that were free just now.

    They are below the range for outgoing connections. Otherwise such a connection could
    take the port of a host that has ended and is about to start again.
    """
    free = (port for port in _PORTS if _is_free(port))
    return list(itertools.islice(free, count))


def _is_free(port: int) -> bool:
    with socket.socket() as each:
        each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            each.bind((ADDRESS, port))
        except OSError:
            return False
        return True


def _get(url: str) -> bytes | None:
    """Return the body of a good answer."""
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S) as answer:
            return answer.read()
    except OSError:
        return None
