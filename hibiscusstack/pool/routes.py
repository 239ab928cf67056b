"""Routes from host names and path prefixes to the pools that run their jobs."""

__all__ = ["HttpBounds", "Route", "RouteTable"]

from collections.abc import Iterable

import attrs


@attrs.frozen
class Route:
    """A route to a queue, with the parameters of the queue's jobs.

    The parameters are those of :class:`~hibiscusstack.pool.jobs.PoolJob`. Jobs of a
    route with ``needs_advice`` need a feature that hosts don't support.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 0
    needs_advice: bool = False


@attrs.frozen
class HttpBounds:
    """Limits on the size and duration of callers' requests, from the configuration."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RouteTable:
    """The routes of one version of the configuration, and the names of its pools.

    ``pools`` is ``None`` if the configuration doesn't name them.

    >>> table = RouteTable(7, [Route("r", "a.example", "/x/", "p")])
    >>> table.find("a.example", "/x/5c0e").name
    'r'
    >>> table.find("a.example", "/y/5c0e") is None
    True
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        bounds: HttpBounds | None = None,
        pools: frozenset[str] | None = None,
    ) -> None:
        self.version = version
        self.pools = pools
        self.bounds = bounds or HttpBounds()
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def __len__(self) -> int:
        return sum(len(host_routes) for host_routes in self._by_host.values())

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` whose prefix of ``path`` is longest, or None."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
