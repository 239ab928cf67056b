"""A file that keeps every start, also when the process that wrote it is killed."""

__all__ = ["StartJournal"]

import json
import time
from pathlib import Path


class StartJournal:
    """Appends one JSON line for each start.

    ``at_ms`` is a reading of the machine's monotonic clock, comparable between
    processes of one machine.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", buffering=1)

    def record(self, target: str, task_id: str) -> None:
        """Append one start."""
        at_ms = time.monotonic_ns() // 1_000_000
        line = {"at_ms": at_ms, "target": target, "task_id": task_id}
        self._file.write(json.dumps(line) + "\n")
