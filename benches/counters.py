"""A receiver of the counters that dispatcher hosts send by statsd."""

__all__ = ["CounterSink"]

from collections import Counter

from twisted.internet.protocol import DatagramProtocol


class CounterSink(DatagramProtocol):
    """Sums counters by name, whatever host sent them."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()

    def datagramReceived(self, datagram: bytes, addr: object) -> None:  # noqa: N802
        """Add the counters of one datagram."""
        for line in datagram.decode().splitlines():
            name, _, measured = line.partition(":")
            value, _, kind = measured.partition("|")
            if kind == "c":
                self.totals[name.split(".", 2)[2]] += int(value)
