"""Tests of the answers over HTTP to those who submit and ask for stored jobs."""

import json

import attrs
import pytest

from hibiscusstack.pool.messages import StoredRequest, StoredState
from hibiscusstack.pool.routes import Route, RouteTable
from hibiscusstack.pool.service import PoolService
from hibiscusstack_standins.estate.jobs import Job, Step
from hibiscusstack_standins.estate.store_service import LostAnswers, Outage
from hibiscusstack_standins.estate.tests.stored_site import POOL, Frontend, Site

JOB_ID = "5c0e7a21d94b36f8"
STEPS = [{"count": 2, "cpu": 500, "estimatems": 1000}]


@attrs.define(eq=False)
class FakeRequest:
    """A request that keeps its answer."""

    method: str
    target: str
    body: bytes = b""
    headers: dict = attrs.field(factory=lambda: {"host": "a.example"})
    on_disconnect: object = None
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
    front = Frontend(service, host.stored, lambda: True)

    def send(method, path, body=None, wait_ms=100):
        data = b"" if body is None else json.dumps(body).encode()
        request = FakeRequest(method, path, data)
        front.handle_caller_request(request)
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


def run_to_the_end(site):
    """Let time pass until a worker has ended the last of both tasks."""
    site.run_until(lambda: sum(w.running() == [] for w in site.workers) == 4)


@pytest.mark.parametrize("seed", range(10))
def test_a_question_right_after_the_last_end_is_answered_as_completed(seed):
    site = Site(seed)
    client = site.new_job(Step(2, 60, cpu=9_000))
    site.submit(client)
    site.run_until(lambda: len(site.starts(client)) == 2)
    run_to_the_end(site)
    site.read(client, "h2")
    site.network.run(100)
    assert client.states == [StoredState.COMPLETED]


@pytest.mark.parametrize("seed", range(10))
def test_such_a_question_finds_the_end_also_beside_others(seed):
    site = Site(seed, workers=1)
    asked = []
    for number in range(30):
        client = site.new_job(Step(1, 60, cpu=1_000))
        site.network.after("c", 25 * number, lambda each=client: site.submit(each))
    for _ in range(2_000):
        site.network.run(1)
        for event in site.workers[0].events:
            client = site.clients.get(getattr(event, "task", "")[:16])
            if type(event).__name__ == "RunEnded" and client not in asked:
                asked.append(client)
                site.read(client, "h2")
    assert len(asked) == 30
    assert [each.states for each in asked] == [[StoredState.COMPLETED]] * 30


def test_a_question_about_a_job_with_open_steps_is_answered_at_once():
    site = Site()
    client = site.new_job(Step(2, 500, cpu=1_000), Step(1, 500, after=(0,)))
    site.submit(client)
    site.run_until(lambda: len(site.starts(client)) == 2)
    site.read(client, "h0")
    site.network.run(5)
    assert client.states == [StoredState.RUNNING]


def test_a_question_is_answered_soon_though_the_worker_is_silent():
    site = Site(workers=1)
    client = site.new_job(Step(1, 5_000, cpu=1_000))
    site.submit(client)
    site.run_until(lambda: len(site.starts(client)) == 1)
    site.cut_off("w0")
    site.read(client, "h2")
    site.network.run(120)
    assert client.states == [StoredState.RUNNING]


def test_a_stored_job_starts_as_soon_as_it_is_accepted():
    site = Site()
    site.network.run(500)
    for number, host in enumerate(("h0", "h1", "h2") * 5):
        client = site.new_job(Step(1, 60, cpu=500))
        site.network.after("c", 33 * number, lambda a=client, h=host: site.submit(a, h))
    waits = []
    for client in site.clients.values():
        site.run_until(lambda each=client: each.is_accepted)
        accepted_ms = site.network.now_ms
        site.run_until(lambda each=client: site.starts(each))
        waits.append(site.starts(client)[0].at_ms - accepted_ms)
    assert max(waits) <= 8


def submit_while_turned_away(site, count=10):
    """Submit jobs while the log turns the coordinator away; none has room."""
    site.network.run(500)
    outage = Outage("busy", frozenset({"h0"}))
    site.store.set_outages(site.network.now_ms, [outage])
    for _ in range(count):
        site.submit(site.new_job(Step(1, 100)), "h1")
    site.network.run(2_000)


def test_a_coordinator_that_the_log_turns_away_counts_all_accepted_jobs():
    site = Site(workers=0)
    submit_while_turned_away(site)
    assert all(client.is_accepted for client in site.clients.values())
    assert site.pending() == 10


def test_a_count_that_may_be_too_old_is_not_given():
    site = Site(workers=0)
    site.is_told_of_jobs = False
    submit_while_turned_away(site)
    site.network.run(4_000)
    found = []
    site.hosts["h2"].stored.ask(StoredRequest.COUNT, "q", "", 1_000, found.append)
    site.network.run(1_200)
    assert found == [None]
    site.store.set_outages(site.network.now_ms, [])
    site.network.run(2_000)
    assert site.pending() == 10
