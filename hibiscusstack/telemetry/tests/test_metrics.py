"""Metrics on the wire, and the page that lists them."""

import socket
from pathlib import Path

from hibiscusstack.telemetry.metrics import Metric, StatsdMetrics, describe_metrics


def test_metrics_arrive_with_their_names():
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind(("127.0.0.1", 0))
    server.settimeout(10)
    metrics = StatsdMetrics("127.0.0.1", server.getsockname()[1], "h.1")
    metrics.count(Metric.TASKS_STARTED, 2)
    metrics.count(Metric.TASKS_STARTED)
    metrics.gauge(Metric.FREE_SLOTS, 9)
    metrics.gauge(Metric.FREE_SLOTS, 7)
    metrics.time(Metric.JOB_TIME_MS, 12)
    metrics.flush()
    metrics.count(Metric.TASKS_STARTED)
    metrics.flush()
    received = [server.recv(1_000) for _ in range(2)]
    server.close()
    assert received[0].splitlines() == [
        b"hibiscus.h_1.tasks.started:3|c",
        b"hibiscus.h_1.home.free_slots:7|g",
        b"hibiscus.h_1.jobs.time_ms:12.000000|ms",
    ]
    assert received[1] == b"hibiscus.h_1.tasks.started:1|c"


def test_the_page_for_operators_lists_every_metric():
    page = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
    assert describe_metrics() in page.read_text()
