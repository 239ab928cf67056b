"""The platform's balancer: which node takes a client's new connection."""

__all__ = ["EdgeNode", "Rotation"]

from collections.abc import Mapping, Sequence
from zlib import crc32

import attrs

_MISSES = 2


@attrs.frozen
class EdgeNode:
    """A node that takes clients' connections."""

    name: str
    zone: str
    frontend: str = ""
    readiness: str = ""


class Rotation:
    """The nodes that receive new connections.

    ``nearest`` gives for each zone the other zones, the nearest first.

    >>> rotation = Rotation([EdgeNode("e1", "a"), EdgeNode("e2", "b")], {"a": ["b"]})
    >>> rotation.choose("client", "a").name
    'e1'
    >>> rotation.note("e1", False), rotation.note("e1", False)
    (None, None)
    >>> rotation.choose("client", "a").name
    'e2'
    """

    def __init__(
        self, nodes: Sequence[EdgeNode], nearest: Mapping[str, Sequence[str]]
    ) -> None:
        self.nodes = tuple(nodes)
        self._nearest = nearest
        self._misses = {node.name: 0 for node in nodes}

    def note(self, name: str, is_ready: bool) -> None:
        """Take the answer of a node to a readiness check, or its absence."""
        self._misses[name] = 0 if is_ready else self._misses[name] + 1

    def choose(self, client: str, zone: str, attempt: int = 0) -> EdgeNode | None:
        """Return the node for a client's connection; another for each attempt."""
        for candidate in (zone, *self._nearest.get(zone, ())):
            nodes = self._nodes_of(candidate)
            if nodes:
                return nodes[(crc32(client.encode()) + attempt) % len(nodes)]
        return None

    def _nodes_of(self, zone: str) -> list[EdgeNode]:
        """Return the nodes to use in a zone; none if none of them is in rotation."""
        nodes = [node for node in self.nodes if node.zone == zone]
        ready = [node for node in nodes if self._misses[node.name] < _MISSES]
        if ready and 2 * len(ready) < len(nodes):
            return nodes
        return ready
