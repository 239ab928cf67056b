"""Print the resident memory that a host needs before it does anything."""

import importlib
import resource
from pathlib import Path

PARTS = (
    "attrs",
    "cbor2",
    "expression",
    "twisted.internet.reactor",
    "klein",
    "treq",
    "websockets",
    "eliot",
    "opentelemetry.sdk.trace",
    "hibiscusstack.dispatch.engine",
    "hibiscusstack.daemon.main",
)


def resident_megabytes() -> float:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def main() -> None:
    """Import the parts of the daemon in turn."""
    known = resident_megabytes()
    print(f"import_memory.python={known:.1f} MB")
    for name in PARTS:
        importlib.import_module(name)
        grown = resident_megabytes()
        print(f"import_memory.{name}={grown - known:.1f} MB more")
        known = grown
    print(f"import_memory.total={known:.1f} MB")


if __name__ == "__main__":
    main()
