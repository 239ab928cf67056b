"""Tests of the answers over HTTP to those who submit and ask for stored jobs."""

import json

import attrs
import pytest

from hibiscusstack.pool.routes import Route, RouteTable
from hibiscusstack.pool.service import PoolService
from hibiscusstack_standins.estate.jobs import Job, Step
from hibiscusstack_standins.estate.store_service import LostAnswers, Outage
from hibiscusstack_standins.estate.tests.stored_site import POOL, Front, Site

JOB_ID = "5c0e7a21d94b36f8"
STEPS = [{"count": 2, "cpu": 500, "estimatems": 1000}]


@attrs.define(eq=False)
class FakeRequest:
    """A request that keeps its answer."""

    method: str
    target: str
    body: bytes = b""
    headers: dict = attrs.field(factory=lambda: {"host": "a.example"})
    on_gone: object = None
    status: int | None = None
    answered: dict | None = None
    answer_headers: tuple = ()

    def answer(self, status, body=b"", headers=()):
        """Keep the answer, which comes once."""
        assert self.status is None
        self.status, self.answer_headers = status, headers
        self.answered = json.loads(body) if body else None


@pytest.fixture
def site():
    site = Site()
    site.catalog.add(Job(JOB_ID, spec="text", steps=(Step(2, 1_000, cpu=500),)))
    return site


@pytest.fixture
def send(site):
    host = site.hosts["h1"]
    service = PoolService(None, host.reactor)
    route = Route("q", "a.example", "/q/", POOL, priority=1, max_attempts=3)
    service.replace_routes(RouteTable(1, [route]))
    front = Front(service, host.stored, lambda: True)

    def send(method, path, body=None, wait_ms=100):
        data = b"" if body is None else json.dumps(body).encode()
        request = FakeRequest(method, path, data)
        front.answer_client(request)
        site.network.run(wait_ms)
        return request

    return send


def submit(send, wait_ms=100, **fields):
    body = {"spec": "text", "steps": STEPS, **fields}
    return send("POST", f"/q/{JOB_ID}", body, wait_ms)


def test_a_job_is_accepted_shown_counted_and_cancelled(send):
    assert submit(send).status == 200
    assert send("GET", f"/q/{JOB_ID}").answered == {"state": "running"}
    assert send("GET", "/q/").answered == {"pending": 0}
    assert send("DELETE", f"/q/{JOB_ID}").status == 200
    assert send("GET", f"/q/{JOB_ID}").answered == {"state": "cancelled"}
    assert send("DELETE", f"/q/{JOB_ID}").status == 200


def test_a_completed_job_is_shown_and_cannot_be_cancelled(send):
    submit(send, 3_000)
    assert send("DELETE", f"/q/{JOB_ID}").status == 410
    shown = send("GET", f"/q/{JOB_ID}")
    assert (shown.status, shown.answered) == (200, {"state": "completed"})


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_a_job_that_nobody_submitted_is_not_there(send, method):
    assert send(method, f"/q/{JOB_ID}").status == 410


@pytest.mark.parametrize(
    "fields",
    [
        {"repeat_count": 2},
        {"first_ms": 5},
        {"long_running": True},
        {"steps": [{"count": 2, "gang": True}]},
        {"steps": [{"count": 2, "checkpointing": True}]},
        {"steps": [{"count": 2, "speculative": True}]},
        {"steps": [{"count": 2, "fills": True}]},
    ],
)
def test_what_is_not_served_is_refused_and_never_runs(site, send, fields):
    request = submit(send, 2_000, **fields)
    assert request.status == 503
    assert ("Retry-After", "1") in request.answer_headers
    assert site.starts() == []


def test_a_log_that_turns_this_host_away_refuses_the_job(site, send):
    outage = Outage("busy", frozenset({"h1"}))
    site.store.set_outages(site.network.now_ms, [outage])
    assert submit(send, 2_000).status == 503
    site.store.set_outages(site.network.now_ms, [])
    site.network.run(5_000)
    assert site.starts() == []


def test_a_log_that_says_nothing_leaves_it_open(site, send):
    site.store.lost_answers = LostAnswers(1.0, 1.0, frozenset({"h1"}))
    assert submit(send, 6_000).status == 504


def test_a_question_without_a_coordinator_is_refused_in_time(site, send):
    site.kill("h0")
    assert send("GET", f"/q/{JOB_ID}", wait_ms=5_000).status == 503
