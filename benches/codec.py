"""The cost of the encoding between hosts, for batches of 200 tasks.

Usage: python -m benches.codec
"""

__all__ = ["main"]

import time
from collections.abc import Callable

import cbor2

from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.messages import BatchResults, Message, PlaceBatch
from hibiscusstack.host import decode_message, encode_message

TASKS = 200
ROUNDS = 50
CALLS = 20


def main() -> None:
    """Print the cost per task as name=value unit."""
    for name, message in (("place", _place()), ("results", _results())):
        frame = encode_message(message)
        print(f"codec.{name}.size={len(frame) / TASKS:.1f} bytes")
        _report(f"codec.{name}.encode", lambda m=message: encode_message(m))
        _report(f"codec.{name}.decode", lambda f=frame: decode_message(f))
        _report(f"codec.{name}.cbor_alone", lambda f=frame: cbor2.loads(f))


def _report(name: str, call: Callable[[], object]) -> None:
    """Print the least of many rounds, as other processes only ever add time."""
    least_s = min(_time_round(call) for _ in range(ROUNDS))
    print(f"{name}={least_s / CALLS / TASKS * 1e6:.2f} us", flush=True)


def _time_round(call: Callable[[], object]) -> float:
    begun_s = time.process_time()
    for _ in range(CALLS):
        call()
    return time.process_time() - begun_s


def _place() -> Message:
    payload = {"script": "Muna Madan", "date": "2027-02-05"}
    labels = {"organisation": "kendra"}
    tasks = tuple(Task(i, "check_availability", payload, labels) for i in range(TASKS))
    return PlaceBatch(
        batch=7,
        job_id="dc1~h1~1a23e93edf0eb6cd~0~149b57~fa7c6bf8f35814d1~e0bc7abd",
        tasks=tasks,
        targets=tuple(f"worker-{i}" for i in range(8)),
        timeout_ms=30_000,
        caller="kendra-booking",
        team="school-clubs",
        class_name="checks",
    )


def _results() -> Message:
    results = (
        TaskResult(i, Outcome.SUCCEEDED, {"available": True}, None, 80)
        for i in range(TASKS)
    )
    return BatchResults(7, tuple(results))


if __name__ == "__main__":
    main()
