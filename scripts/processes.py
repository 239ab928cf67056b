"""The processes of a small site: stand-ins and dispatcher hosts."""

__all__ = ["EntryHost", "ProcessGroup", "Site", "StartError", "request_json"]

import json
import shlex
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path
from typing import Any

import attrs

BIN = Path(sys.executable).parent
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 60
HTTP_TIMEOUT_S = 10

_SETTINGS = """\
[host]
name = {name}
data_centre = dc1
address = 127.0.0.1
{host_keys}

[caller]
address = 127.0.0.1
port = 0

[operator]
address = 127.0.0.1
port = 0

[platform]
log_url = {platform}
list_url = {platform}
poll_interval_ms = 200
"""


class StartError(Exception):
    """A process ended or was not ready in time."""


@attrs.define
class EntryHost:
    """One dispatcher host that runs as a process."""

    name: str
    process: subprocess.Popen
    log: Path
    ports: dict[str, int]

    @property
    def caller_url(self) -> str:
        """Return the base of its interface for callers."""
        return f"http://127.0.0.1:{self.ports['callers']}"

    @property
    def operator_url(self) -> str:
        """Return the base of its interface for operators."""
        return f"http://127.0.0.1:{self.ports['operators']}"

    def kill(self) -> None:
        """End the process as a crash would."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def wait(self) -> int:
        """Return the exit code of a process that was told to stop."""
        return self.process.wait(STOP_TIMEOUT_S)


class ProcessGroup:
    """Processes that are started and ended together, with logs in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._processes: list[subprocess.Popen] = []

    def stop(self) -> None:
        """End every process that this group started."""
        running = [p for p in self._processes if p.poll() is None]
        for process in running:
            process.kill()
        for process in running:
            process.wait()

    def _start_standin(self, name: str, arguments: list[str]) -> dict[str, Any]:
        ready = self.folder / f"{name}.json"
        ready.unlink(missing_ok=True)
        command = [str(BIN / "hibiscus-standins"), *arguments]
        log = self.folder / f"{name}.log"
        process = self._start([*command, "--ready-file", str(ready)], log)
        self._wait_for(process, log, ready.exists)
        return json.loads(ready.read_text())

    def _start(self, command: list[str], log: Path) -> subprocess.Popen:
        with log.open("wb") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
        self._processes.append(process)
        return process

    def _wait_for(self, process: subprocess.Popen, log: Path, is_ready) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not is_ready():
            if process.poll() is not None or time.monotonic() > deadline:
                raise StartError(f"not ready, see {log}:\n{log.read_text()[-2000:]}")
            time.sleep(0.05)


class Site(ProcessGroup):
    """One data centre's processes, all on this machine; ports by the kernel."""

    def __init__(self, folder: Path, more_settings: str = "") -> None:
        super().__init__(folder)
        self.more_settings = more_settings
        self.hosts: dict[str, EntryHost] = {}
        self.platform_url = ""
        self.targets_url = ""

    def start_platform(self) -> None:
        """Start the stand-in of the platform."""
        ready = self._start_standin("platform", ["platform"])
        self.platform_url = f"http://127.0.0.1:{ready['port']}"

    def start_targets(self, count: int, slots: int, connections: int) -> None:
        """Start stand-in targets in one process, registered at the platform."""
        arguments = ["targets", "--count", str(count), "--prefix", "worker-"]
        arguments += ["--slots", str(slots), "--connections", str(connections)]
        arguments += ["--platform", self.platform_url]
        ready = self._start_standin("targets", arguments)
        self.targets_url = f"http://127.0.0.1:{ready['port']}"

    def start_host(self, name: str, **host_keys: int) -> EntryHost:
        """Start a dispatcher host and register it at the platform.

        ``host_keys`` are further settings of the section of the host.
        """
        host = self.launch_host(name, **host_keys)
        self._wait_for(host.process, host.log, lambda: len(_read_ports(host)) == 3)
        self.hosts[name] = host
        self._list_host(host, "live")
        return host

    def launch_host(self, name: str, **host_keys: int) -> EntryHost:
        """Start a dispatcher host and wait for nothing."""
        settings = self.folder / f"{name}.ini"
        keys = {"peer_port": 0, "leave_ms": 500, **host_keys}
        lines = "\n".join(f"{key} = {value}" for key, value in keys.items())
        text = _SETTINGS.format(name=name, platform=self.platform_url, host_keys=lines)
        settings.write_text(text + self.more_settings)
        log = self.folder / f"{name}.log"
        process = self._start([str(BIN / "hibiscusd"), str(settings)], log)
        return EntryHost(name, process, log, {})

    def set_platform_faults(self, **faults: object) -> None:
        """Let the stand-in of the platform fail in these ways, and no others."""
        request_json("POST", f"{self.platform_url}/control/faults", faults)

    def list_as_leaving(self, host: EntryHost) -> None:
        """Let the live list say that a host is leaving."""
        self._list_host(host, "leaving")

    def unlist(self, host: EntryHost) -> None:
        """Take a host off the live list."""
        request_json(
            "PUT", f"{self.platform_url}/control/hosts", {"remove": [host.name]}
        )

    def wait_until_ready(self, host: EntryHost) -> None:
        """Wait until a host takes jobs."""
        self._wait_for(
            host.process, host.log, lambda: _status(f"{host.caller_url}/readyz") == 200
        )

    def read_starts(self) -> dict[str, dict[str, int]]:
        """Return the targets' own record: starts by target and task."""
        return request_json("GET", f"{self.targets_url}/control/starts")["by_target"]

    def run_tool(self, *arguments: str) -> str:
        """Run the command-line tool and return what it printed."""
        command = [str(BIN / "hibiscus"), *arguments]
        print(f"$ hibiscus {shlex.join(arguments)}", flush=True)
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if done.returncode != 0:
            raise StartError(f"{command} ended with {done.returncode}: {done.stderr}")
        return done.stdout

    def _list_host(self, host: EntryHost, state: str) -> None:
        entry = {
            "name": host.name,
            "role": "dispatcher",
            "address": "127.0.0.1",
            "port": host.ports["peers"],
            "data_centre": "dc1",
            "rack": "",
            "state": state,
        }
        request_json("PUT", f"{self.platform_url}/control/hosts", {"hosts": [entry]})


def request_json(method: str, url: str, body: Any = None) -> Any:
    """Return the decoded answer of a request that must succeed."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(url, data, headers, method=method)
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as answer:
        return json.loads(answer.read())


def _read_ports(host: EntryHost) -> dict[str, int]:
    for line in host.log.read_text().splitlines():
        if "event=daemon:listening" in line:
            pairs = dict(part.split("=", 1) for part in line.split() if "=" in part)
            host.ports[pairs["for_whom"]] = int(pairs["port"])
    return host.ports


def _status(url: str) -> int:
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0
