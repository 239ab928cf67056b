"""Shows what crowds of hostile clients do to a small site, on loopback addresses.

Usage: python -m scripts.hostile_clients [--connections N] [--seconds N] [--crowd NAME]

Each crowd is played against the coordinator and another host, beside honest clients.
Printed for each host: the highest resident memory, and how honest requests went.
"""

__all__ = ["CROWDS", "main"]

import argparse
import contextlib
import http.client
import json
import random
import selectors
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

from hibiscusstack_standins.estate.jobs import Job, Step
from hibiscusstack_standins.estate.queues import QUEUE_HOST, encode_job, job_path
from scripts.platform_site import PlatformSite, PoolHostProcess

LIMITS = {"memory_mb": 160, "max_fds": 1_638}
HONEST_PER_S = 50
HONEST_TIMEOUT_S = 5
BODY_BYTES = 262_144
PIECE_BYTES = 16_384
PATHS = ("/q/0123456789abcdef", "/none", "/ready")


def _head(path: str, *lines: str) -> bytes:
    fields = [f"POST {path} HTTP/1.1", f"Host: {QUEUE_HOST}", *lines]
    return "\r\n".join([*fields, "", ""]).encode()


def send_whole(path: str) -> Iterator[bytes]:
    """Send a body of legal size at once, but for its last byte."""
    yield _head(path, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1)


def send_pieces(path: str) -> Iterator[bytes]:
    """Send a body of legal size in pieces, but for its last byte."""
    yield _head(path, f"Content-Length: {BODY_BYTES}")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"x" * PIECE_BYTES
    yield b"x" * (PIECE_BYTES - 1)


def send_chunks(path: str) -> Iterator[bytes]:
    """Send chunks without a last one."""
    yield _head(path, "Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield f"{PIECE_BYTES:x}\r\n".encode() + b"x" * PIECE_BYTES + b"\r\n"


def send_too_much(path: str) -> Iterator[bytes]:
    """Send a body far over the limit."""
    yield _head(path, "Transfer-Encoding: chunked")
    for _ in range(200):
        yield b"10000\r\n" + b"x" * 65_536 + b"\r\n"


def send_fields(path: str) -> Iterator[bytes]:
    """Send whole requests made of very many short fields."""
    body = json.dumps({"steps": [{"count": 1}] * 18_000}).encode()
    for _ in range(5):
        yield _head(path, f"Content-Length: {len(body)}") + body


def send_ahead(path: str) -> Iterator[bytes]:
    """Send requests ahead without reading the answers."""
    for _ in range(200):
        yield _head(path, "Content-Length: 2") * 1 + b"{}"


def send_slowly(path: str) -> Iterator[bytes]:
    """Send a head byte by byte."""
    for byte in _head(path, "Content-Length: 2"):
        yield bytes([byte])


CROWDS: dict[str, Callable[[str], Iterator[bytes]]] = {
    "whole": send_whole,
    "pieces": send_pieces,
    "chunks": send_chunks,
    "too much": send_too_much,
    "fields": send_fields,
    "ahead": send_ahead,
    "slow": send_slowly,
}


class _Crowd(threading.Thread):
    """Connections that each send the parts of one request and stay open."""

    def __init__(self, names: list[str], host: PoolHostProcess, count: int) -> None:
        super().__init__(daemon=True)
        self.is_over = threading.Event()
        self.closed = 0
        self._names, self._host, self._count = names, host, count

    def run(self) -> None:
        """Keep the number of connections until told to end."""
        selector = selectors.DefaultSelector()
        number = 0
        while not self.is_over.is_set():
            while len(selector.get_map()) < self._count:
                self._connect(selector, number)
                number += 1
            for key, _ in selector.select(0.05):
                self._send(selector, key)
        for key in list(selector.get_map().values()):
            key.fileobj.close()
        selector.close()

    def _connect(self, selector: selectors.BaseSelector, number: int) -> None:
        path = PATHS[number % len(PATHS)]
        host = self._host
        address = host.readiness if path == "/ready" else host.frontend
        ip, _, port = address.rpartition(":")
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex((ip, int(port)))
        parts = CROWDS[self._names[number % len(self._names)]](path)
        selector.register(connection, selectors.EVENT_WRITE, [parts, b""])

    def _send(self, selector: selectors.BaseSelector, key: object) -> None:
        parts, left = key.data
        try:
            left = left or next(parts, b"")
            if left:
                key.data[1] = left[key.fileobj.send(left) :]
                return
            # Nothing more to send; the connection stays open and is watched.
            selector.modify(key.fileobj, selectors.EVENT_READ, [iter(()), b""])
            if key.events & selectors.EVENT_READ and not key.fileobj.recv(1 << 16):
                raise ConnectionError
        except BlockingIOError:
            return
        except OSError:
            selector.unregister(key.fileobj)
            key.fileobj.close()
            self.closed += 1


class _Honest(threading.Thread):
    """A client that sends small jobs at a steady rate, each once."""

    def __init__(self, site: PlatformSite, host: PoolHostProcess, seed: int) -> None:
        super().__init__(daemon=True)
        self.is_over = threading.Event()
        self.statuses: Counter[int | str] = Counter()
        self.slowest_s = 0.0
        self._site, self._host, self._random = site, host, random.Random(seed)

    def run(self) -> None:
        """Send jobs until told to end."""
        while not self.is_over.wait(1 / HONEST_PER_S):
            job_id = f"{self._random.getrandbits(64):016x}"
            steps = (Step(1, 20, cpu=100, mem_mb=16),)
            job = Job(job_id, spec="honest", steps=steps, best_effort=True)
            self._site.add_jobs([job])
            began = time.monotonic()
            self.statuses[self._post(job)] += 1
            self.slowest_s = max(self.slowest_s, time.monotonic() - began)

    def _post(self, job: Job) -> int | str:
        ip, _, port = self._host.frontend.rpartition(":")
        connection = http.client.HTTPConnection(ip, int(port), HONEST_TIMEOUT_S)
        with contextlib.closing(connection):
            try:
                headers = {"Host": QUEUE_HOST}
                connection.request("POST", job_path(job), encode_job(job), headers)
                return connection.getresponse().status
            except (OSError, http.client.HTTPException):
                return "none"


def _most_resident_mb(host: PoolHostProcess) -> int:
    status = Path(f"/proc/{host.process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) // 1_000


def _play(
    site: PlatformSite, name: str, names: list[str], options: argparse.Namespace
) -> bool:
    """Play one crowd against the coordinator and one other host."""
    coordinator = site.find_coordinator()
    other = next(each for each in site.hosts.values() if each is not coordinator)
    before_mb = [_most_resident_mb(each) for each in (coordinator, other)]
    crowds = [_Crowd(names, each, options.connections) for each in (coordinator, other)]
    clients = [_Honest(site, each, 1) for each in (coordinator, other)]
    for thread in (*crowds, *clients):
        thread.start()
    time.sleep(options.seconds)
    for thread in crowds:
        thread.is_over.set()
        thread.join()
    for thread in clients:
        thread.is_over.set()
        thread.join()
    time.sleep(2)
    after = _Honest(site, other, 2)
    after.start()
    time.sleep(1)
    after.is_over.set()
    after.join()
    is_sound = set(after.statuses) == {200}
    roles = ("coordinator", "other")
    for role, host, client, crowd, start_mb in zip(
        roles, (coordinator, other), clients, crowds, before_mb, strict=True
    ):
        is_alive = host.process.poll() is None
        most_mb = _most_resident_mb(host) if is_alive else 0
        is_sound &= is_alive and most_mb <= LIMITS["memory_mb"]
        went = f"honest {dict(client.statuses)}  slowest {client.slowest_s:.2f} s"
        sizes = f"{start_mb:4} to {most_mb:4} MB  closed {crowd.closed:6}"
        print(
            f"{name:10} {role:11} {sizes}  {went}  after {dict(after.statuses)}",
            flush=True,
        )
    return is_sound


def main() -> int:
    """Return 0 if all processes live, stay within their memory and serve again."""
    parser = argparse.ArgumentParser(prog="hostile_clients", description=__doc__)
    parser.add_argument("--connections", type=int, default=700)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--crowd", choices=[*CROWDS, "all"], action="append")
    options = parser.parse_args()
    found = []
    with tempfile.TemporaryDirectory(prefix="hibiscus-crowds-") as folder:
        site = PlatformSite(Path(folder))
        try:
            site.start_estate(6)
            for host in site.start_hosts(3, limits=LIMITS):
                site.wait_until_ready(host)
            for name in options.crowd or [*CROWDS, "all"]:
                names = list(CROWDS) if name == "all" else [name]
                found.append(_play(site, name, names, options))
        finally:
            site.stop()
    return 0 if all(found) else 1


if __name__ == "__main__":
    sys.exit(main())
