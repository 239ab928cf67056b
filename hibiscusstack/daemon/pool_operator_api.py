"""The read-only HTTP API for operators of a dispatcher host for pools."""

__all__ = ["PoolOperatorApi"]

import json
from urllib.parse import parse_qs

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.daemon.pool_host import PoolHost
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.http.server import HttpRequest
from hibiscusstack.pool.counters import PoolCounters
from hibiscusstack.pool.exposition import render_metrics
from hibiscusstack.pool.service import PoolService
from hibiscusstack.pool.views import (
    PoolDetails,
    PoolRunView,
    PoolView,
    evacuation_views,
    queue_views,
    run_views,
    target_view,
)

POOL_PATH = "/v1/pool"
RUNS_PATH = "/v1/pool/runs"
METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class PoolOperatorApi:
    """Serves the state of the host as JSON and its metrics as text; read-only."""

    def __init__(
        self,
        host: PoolHost,
        service: PoolService,
        counters: PoolCounters,
        clock: Clock,
    ) -> None:
        self._host = host
        self._service = service
        self._counters = counters
        self._clock = clock

    def handle_request(self, request: HttpRequest) -> None:
        """Answer one HTTP request."""
        path, _, query = request.target.partition("?")
        if path not in (POOL_PATH, RUNS_PATH, METRICS_PATH):
            request.answer(404)
        elif request.method not in ("GET", "HEAD"):
            request.answer(405, headers=(("Allow", "GET, HEAD"),))
        elif path == POOL_PATH:
            request.answer(200, json.dumps(attrs.asdict(self.details())).encode())
        elif path == RUNS_PATH:
            (job_id, *_) = parse_qs(query).get("job", [None])
            runs = [attrs.asdict(view) for view in self.runs(job_id)]
            request.answer(200, json.dumps({"runs": runs}).encode())
        else:
            text = render_metrics(self._counters, self.details())
            request.answer(200, text.encode(), METRICS_CONTENT_TYPE)

    def details(self) -> PoolDetails:
        """Return the host's state and, on a coordinator, its targets and queue."""
        coordinators = self._host.coordinators()
        if not coordinators:
            return PoolDetails(self._host_view())
        now_ms = self._clock.now_ms()
        states = [state for each in coordinators for state in each.targets()]
        targets = [target_view(each, now_ms) for each in states]
        targets.sort(key=lambda view: (view.pool, view.name))
        waiting = [job for each in coordinators for job in each.waiting_jobs()]
        queue = queue_views(waiting, now_ms)
        evacuations = evacuation_views(self._host.evacuated_since_ms, states, now_ms)
        return PoolDetails(
            self._host_view(), tuple(targets), tuple(queue), tuple(evacuations)
        )

    def runs(self, job_id: str | None = None) -> list[PoolRunView]:
        """Return the last runs that this host ordered, or those of one job."""
        host = self._host
        now_ms = self._clock.now_ms()
        return run_views(host.name.name, host.recent_runs, now_ms, job_id)

    def _host_view(self) -> PoolView:
        host, routes = self._host, self._service.routes
        term, coordinators = host.term, host.coordinators()
        return PoolView(
            host=host.name.name,
            data_centre=host.name.data_centre,
            incarnation=host.name.incarnation,
            phase=self._phase(),
            term=term.offset + 1 if term else 0,
            holder=_format_host_name(term.holder) if term else "",
            is_coordinator=bool(coordinators),
            configuration_version=routes.version if routes else 0,
            routes=len(routes) if routes else 0,
            listed_targets=len(host.targets),
            jobs_in_progress=sum(each.job_count for each in coordinators),
            jobs_waiting_here=len(host.submissions),
            missing_targets=sum(len(each.missing_targets()) for each in coordinators),
        )

    def _phase(self) -> str:
        if self._host.is_draining:
            return "draining"
        if not self._service.is_configured:
            return "starting"
        return "ready" if self._host.is_serving() else "waiting"


def _format_host_name(name: HostName) -> str:
    return f"{name.data_centre}/{name.name}"
