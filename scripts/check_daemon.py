"""The life of dispatcher hosts, checked on real processes.

Usage: python -m scripts.check_daemon

Prints a line for each scenario and ends with 1 if any fails. A scenario waits for
what it expects and asserts no duration.
"""

__all__ = ["main"]

import json
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from scripts.processes import EntryHost, Site, request_json
from scripts.submitting import Caller

WAIT_S = 30
TASK_MS = 1_500
LONG_TASK_MS = 20_000


def main() -> int:
    """Run every scenario on a site of its own; return 0 if all hold."""
    failed = 0
    for scenario in _SCENARIOS:
        with tempfile.TemporaryDirectory(prefix="hibiscus-check-") as folder:
            fault = _run(scenario, Site(Path(folder)))
        failed += bool(fault)
        print(f"scenario={scenario.__name__} result={fault or 'ok'}", flush=True)
    print(f"scenarios={len(_SCENARIOS)} failed={failed}")
    return 1 if failed else 0


def _run(scenario: Callable[[Site], None], site: Site) -> str:
    try:
        site.start_platform()
        site.start_targets(2, slots=8, connections=64)
        scenario(site)
    except Exception as error:
        return json.dumps(f"{type(error).__name__}: {error}")
    finally:
        site.stop()
    return ""


def stop_when_idle(site: Site) -> None:
    """Expect a host without work to end with 0."""
    host = _start_ready(site, "h1")
    host.process.send_signal(signal.SIGTERM)
    _expect("exit code", host.wait(), 0)


def stop_with_work_in_progress(site: Site) -> None:
    """Expect a host that drains alone to finish all that it took."""
    host = _start_ready(site, "h1")
    with ThreadPoolExecutor(1) as pool:
        answered = pool.submit(_submit, host, 40, TASK_MS)
        _wait_until(lambda: _running(host) > 0)
        host.process.send_signal(signal.SIGTERM)
        _expect("outcome", answered.result()["outcome"], "succeeded")
    _expect("exit code", host.wait(), 0)


def stop_at_the_second_signal(site: Site) -> None:
    """Expect a second TERM to end the process with work in progress."""
    host = _start_ready(site, "h1")
    with ThreadPoolExecutor(1) as pool:
        pool.submit(_submit_once, host, 1, LONG_TASK_MS)
        _wait_until(lambda: _running(host) > 0)
        host.process.send_signal(signal.SIGTERM)
        _wait_until(lambda: "phase=draining" in host.log.read_text())
        host.process.send_signal(signal.SIGTERM)
        _expect("exit code", host.wait(), 5)


def stop_when_the_time_is_over(site: Site) -> None:
    """Expect an exit code of its own when a stop takes too long."""
    host = _start_ready(site, "h1", drain_timeout_ms=1_500)
    with ThreadPoolExecutor(1) as pool:
        pool.submit(_submit_once, host, 1, LONG_TASK_MS)
        _wait_until(lambda: _running(host) > 0)
        host.process.send_signal(signal.SIGTERM)
        _expect("exit code", host.wait(), 4)


def refuse_a_port_in_use(site: Site) -> None:
    """Expect a host that cannot listen to say so and end."""
    first = _start_ready(site, "h1")
    second = site.launch_host("h2", peer_port=first.ports["peers"])
    _expect("exit code", second.wait(), 3)
    _expect("event", "daemon:start_failed" in second.log.read_text(), True)


def learn_the_configuration_from_a_peer(site: Site) -> None:
    """Expect a new host to learn the version from another with the log down."""
    first = _start_ready(site, "h1")
    body = {"parent_offset": 0, "text": "[class checks]\nurgency = 5\n"}
    request_json("POST", f"{first.operator_url}/v1/admin/configuration", body)
    site.set_platform_faults(log_outage="refuse")
    second = _start_ready(site, "h2")
    found = request_json("GET", f"{second.operator_url}/v1/admin/configuration")
    _expect("offset", found["offset"], 1)
    _expect("outcome", _submit(second, 2, 10)["outcome"], "succeeded")


def stay_unready_without_a_configuration(site: Site) -> None:
    """Expect a host that knows no version to run no job and go on trying."""
    site.set_platform_faults(log_outage="refuse")
    host = site.start_host("h1")
    _wait_until(lambda: "configuration:read_failed" in host.log.read_text())
    answer = _submit_once(host, 1, 10)
    _expect("answer", answer, None)
    site.set_platform_faults()
    site.wait_until_ready(host)


def come_back_after_a_pause(site: Site) -> None:
    """Expect a host that was paused until it was lost to be a peer again."""
    first, second = _start_ready(site, "h1"), _start_ready(site, "h2")
    _wait_until(lambda: _peer_state(first, "h2") == "ready")
    second.process.send_signal(signal.SIGSTOP)
    _wait_until(lambda: "event=host:peer_lost" in first.log.read_text())
    outcome = _submit(first, 20, 50)["outcome"]
    second.process.send_signal(signal.SIGCONT)
    _expect("outcome while paused", outcome, "succeeded")
    _wait_until(lambda: _peer_state(first, "h2") == "ready")
    _wait_until(lambda: _peer_state(second, "h1") == "ready")
    _expect("outcome after", _submit(second, 20, 50)["outcome"], "succeeded")


def replace_a_host_under_the_same_name(site: Site) -> None:
    """Expect the successor of a killed host to take its place."""
    first, second = _start_ready(site, "h1"), _start_ready(site, "h2")
    _wait_until(lambda: _peer_state(first, "h2") == "ready")
    second.kill()
    successor = _start_ready(site, "h2")
    _wait_until(lambda: _peer_state(first, "h2") == "ready")
    _expect("outcome", _submit(successor, 20, 50)["outcome"], "succeeded")
    _expect("outcome", _submit(first, 20, 50)["outcome"], "succeeded")


_SCENARIOS = (
    stop_when_idle,
    stop_with_work_in_progress,
    stop_at_the_second_signal,
    stop_when_the_time_is_over,
    refuse_a_port_in_use,
    learn_the_configuration_from_a_peer,
    stay_unready_without_a_configuration,
    come_back_after_a_pause,
    replace_a_host_under_the_same_name,
)


class UnmetError(Exception):
    """A scenario found something else than it expected."""


def _start_ready(site: Site, name: str, **host_keys: int) -> EntryHost:
    host = site.start_host(name, **host_keys)
    site.wait_until_ready(host)
    _wait_until(lambda: _admin(host, "targets")["targets"])
    return host


def _submit(host: EntryHost, tasks: int, run_ms: int) -> dict[str, Any]:
    """Return the answer to a job, submitted again after a lost connection."""
    return Caller("check", [host.caller_url]).submit(_body(tasks, run_ms), False).answer


def _submit_once(host: EntryHost, tasks: int, run_ms: int) -> dict[str, Any] | None:
    return (
        Caller("check", [host.caller_url], max_attempts=1)
        .submit(_body(tasks, run_ms), False)
        .answer
    )


def _body(tasks: int, run_ms: int) -> dict[str, Any]:
    task = {"kind": "check", "payload": {"run_ms": run_ms}, "run_time_ms": run_ms}
    return {"tasks": [task] * tasks}


def _admin(host: EntryHost, what: str) -> dict[str, Any]:
    return request_json("GET", f"{host.operator_url}/v1/admin/{what}")


def _running(host: EntryHost) -> int:
    return sum(target["running"] for target in _admin(host, "targets")["targets"])


def _peer_state(host: EntryHost, name: str) -> str:
    states = {peer["name"]: peer["state"] for peer in _admin(host, "hosts")["hosts"]}
    return states.get(name, "")


def _wait_until(is_met: Callable[[], Any]) -> None:
    deadline = time.monotonic() + WAIT_S
    while not is_met():
        if time.monotonic() > deadline:
            raise UnmetError("what was waited for did not come")
        time.sleep(0.05)


def _expect(what: str, found: object, expected: object) -> None:
    if found != expected:
        raise UnmetError(f"{what}: expected {expected!r}, found {found!r}")


if __name__ == "__main__":
    sys.exit(main())
