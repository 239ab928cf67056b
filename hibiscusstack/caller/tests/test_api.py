"""Tests of the HTTP API for callers, in memory over a fake service."""

import json
from typing import Any

import pytest
import treq
from twisted.internet.defer import Deferred

from hibiscusstack.caller.limits import ApiLimits
from hibiscusstack.caller.tests.fakes import ApiFixture, make_api
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Reason,
    not_run,
    outcome_unknown,
)

PROBLEM_PREFIX = "urn:hibiscusstack:problem:"
ONE_TASK = [{"kind": "gate-check", "payload": {"gate": 3}}]


def send(api: ApiFixture, method: str, path: str, **options: Any) -> Deferred[Any]:
    return api.http.request(method, "http://host" + path, **options)


def post_job(api: ApiFixture, caller: str = "guard-1", **fields: Any) -> Deferred[Any]:
    body = {"caller": caller, "tasks": ONE_TASK, **fields}
    return send(api, "POST", "/v1/jobs", json=body)


def read(api: ApiFixture, exchange: Deferred[Any]) -> tuple[Any, Any]:
    """Return the response that has come, and its parsed body."""
    api.http.flush()
    assert exchange.called
    response = exchange.result
    content = treq.content(response)
    api.http.flush()
    return response, json.loads(content.result)


def test_a_success_is_200_with_the_whole_answer() -> None:
    api = make_api()
    waiting = post_job(api, id="dc1.h1.1.77")
    assert api.api.waiting == 1
    api.service.succeed("dc1.h1.1.77")
    response, body = read(api, waiting)
    assert response.code == 200
    assert body["id"] == "dc1.h1.1.77"
    assert [task["value"] for task in body["tasks"]] == [{"gate": 3}]
    assert len(body["next_ids"]) == 1


def test_a_resubmission_joins_and_both_get_the_answer() -> None:
    api = make_api()
    first, second = post_job(api, id="j1"), post_job(api, id="j1")
    api.service.succeed("j1")
    assert read(api, first)[1]["tasks"] == read(api, second)[1]["tasks"]
    assert list(api.service.jobs) == ["j1"]


def test_answers_go_by_id_and_not_by_order() -> None:
    api = make_api()
    waiting = {f"j{n}": post_job(api, id=f"j{n}") for n in range(5)}
    for job_id in ("j3", "j0", "j4", "j2", "j1"):
        api.service.succeed(job_id)
    for job_id, exchange in waiting.items():
        assert read(api, exchange)[1]["id"] == job_id


def test_another_caller_never_gets_the_answer() -> None:
    api = make_api()
    first = post_job(api, id="j1")
    other = post_job(api, caller="guard-2", id="j1")
    response, body = read(api, other)
    assert response.code == 403
    assert body["type"] == PROBLEM_PREFIX + "id-of-another-caller"
    assert body["answer"]["tasks"] == []
    api.service.succeed("j1")
    assert read(api, first)[0].code == 200
    response, body = read(api, post_job(api, caller="guard-2", id="j1"))
    assert (response.code, body["answer"]["tasks"]) == (403, [])
    for method in ("GET", "DELETE"):
        exchange = send(api, method, "/v1/jobs/j1?caller=guard-2")
        response, body = read(api, exchange)
        assert response.code == 404
        assert "answer" not in body


def test_a_hang_up_leaves_the_job_running() -> None:
    api = make_api()
    waiting = post_job(api, id="j1")
    waiting.addErrback(lambda _: None)
    assert api.api.waiting == 1
    waiting.cancel()
    api.http.flush()
    assert api.api.waiting == 1
    assert api.service.cancelled == []
    assert not api.service.waiters["j1"][0].called
    api.service.succeed("j1")
    assert api.api.waiting == 0
    assert read(api, post_job(api, id="j1"))[1]["outcome"] == "succeeded"


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (not_run("j1", Reason.OVERLOADED, retry_after_ms=1_200), 503),
        (not_run("j1", Reason.QUOTA, retry_after_ms=50), 429),
        (not_run("j1", Reason.NO_MATCHING_TARGET), 422),
        (not_run("j1", Reason.ID_EXPIRED), 410),
        (not_run("j1", Reason.CANCELLED), 409),
        (outcome_unknown("j1", Reason.OWNER_LOST), 504),
        (outcome_unknown("j1", Reason.CANCELLED), 504),
        (JobAnswer("j1", Outcome.FAILED), 422),
    ],
)
def test_a_failure_is_a_problem_with_the_whole_answer(
    answer: JobAnswer, status: int
) -> None:
    api = make_api()
    waiting = post_job(api, id="j1")
    api.service.answer(answer)
    response, body = read(api, waiting)
    assert (response.code, body["status"]) == (status, status)
    assert response.headers.getRawHeaders("content-type") == [
        "application/problem+json"
    ]
    assert body["answer"]["outcome"] == answer.outcome.value
    reason = answer.problem.reason if answer.problem else Reason.JOB_FAILED
    assert body["type"] == PROBLEM_PREFIX + reason.value


def test_every_reason_has_a_status() -> None:
    for reason in Reason:
        api = make_api()
        waiting = post_job(api, id="j1")
        api.service.answer(not_run("j1", reason))
        assert 400 <= read(api, waiting)[0].code < 600


def test_retry_after_is_given_in_both_forms() -> None:
    api = make_api()
    waiting = post_job(api, id="j1")
    api.service.answer(not_run("j1", Reason.OVERLOADED, retry_after_ms=1_200))
    response, body = read(api, waiting)
    assert response.headers.getRawHeaders("retry-after") == ["2"]
    assert body["retry_after_ms"] == 1_200


def test_a_refusal_is_answered_without_any_time_passing() -> None:
    api = make_api()
    api.service.refusal = Reason.DRAINING
    response, body = read(api, post_job(api))
    assert response.code == 503
    assert body["answer"]["outcome"] == "not_run"
    assert body["retry_after_ms"] == 0


def test_a_resubmission_still_joins_while_draining() -> None:
    api = make_api()
    post_job(api, id="j1")
    api.service.refusal = Reason.DRAINING
    again = post_job(api, id="j1")
    api.service.succeed("j1")
    response, body = read(api, again)
    assert response.code == 200
    assert body["next_ids"] == []


def test_a_key_becomes_an_id_of_the_service() -> None:
    api = make_api()
    waiting = post_job(api, key="booking-9")
    api.service.succeed("key.guard-1.booking-9")
    assert read(api, waiting)[0].code == 200


def test_a_key_that_is_refused_takes_no_room() -> None:
    api = make_api()
    response, body = read(api, post_job(api, key="refused"))
    assert (response.code, body["where"]) == (400, "key")
    assert api.api.waiting == 0


def test_waiting_requests_are_bounded() -> None:
    api = make_api(ApiLimits(max_waiting=2))
    first, _ = post_job(api, id="j1"), post_job(api, id="j2")
    response, body = read(api, post_job(api, id="j3"))
    assert response.code == 503
    assert body["type"] == PROBLEM_PREFIX + "too-many-waiting"
    assert "j3" not in api.service.jobs
    api.service.succeed("j1")
    read(api, first)
    post_job(api, id="j3")
    assert "j3" in api.service.jobs


def test_one_caller_leaves_room_for_the_others() -> None:
    api = make_api(ApiLimits(max_waiting_per_caller=2))
    hung_up = post_job(api, id="j1")
    hung_up.addErrback(lambda _: None)
    hung_up.cancel()
    post_job(api, id="j1")
    response, body = read(api, post_job(api, id="j1"))
    assert response.code == 503
    assert body["type"] == PROBLEM_PREFIX + "too-many-waiting"
    post_job(api, caller="guard-2", id="j2")
    assert "j2" in api.service.jobs
    api.service.succeed("j1")
    assert api.api.waiting == 1


def test_ids_are_issued_in_batches() -> None:
    api = make_api()
    response, body = read(api, send(api, "POST", "/v1/ids", json={"count": 3}))
    assert response.code == 200
    assert len(set(body["ids"])) == 3
    assert body["valid_ms"] == 60_000


def test_status_shows_the_answer_once_it_is_there() -> None:
    api = make_api()
    post_job(api, id="j1")
    path = "/v1/jobs/j1?caller=guard-1"
    assert read(api, send(api, "GET", path))[1]["phase"] == "running"
    api.service.succeed("j1")
    body = read(api, send(api, "GET", path))[1]
    assert body["phase"] == "ended"
    assert body["answer"]["outcome"] == "succeeded"


def test_cancel_reaches_the_service() -> None:
    api = make_api()
    post_job(api, id="j1")
    response, _ = read(api, send(api, "DELETE", "/v1/jobs/j1?caller=guard-1"))
    assert response.code == 202
    assert api.service.cancelled == ["j1"]


def test_traceparent_is_handed_over_when_it_is_valid() -> None:
    api = make_api()
    valid = f"00-{'a' * 32}-{'b' * 16}-01"
    body = {"caller": "c1", "tasks": ONE_TASK}
    for job_id, header in (("j1", valid), ("j2", "nonsense")):
        headers = {"traceparent": header}
        fields = body | {"id": job_id}
        send(api, "POST", "/v1/jobs", json=fields, headers=headers)
    assert api.service.jobs["j1"].traceparent == valid
    assert api.service.jobs["j2"].traceparent == ""


@pytest.mark.parametrize(
    ("method", "path", "options", "type_name", "status"),
    [
        ("GET", "/nowhere", {}, "not-found", 404),
        ("GET", "/v1/jobs/", {}, "not-found", 404),
        ("PUT", "/v1/jobs", {}, "method-not-allowed", 405),
        ("POST", "/v1/jobs", {"data": b"{"}, "invalid-input", 400),
        ("POST", "/v1/jobs", {"data": b"\xff\xfe"}, "invalid-input", 400),
        ("POST", "/v1/ids", {"data": b'{"count": 1e9}'}, "invalid-input", 400),
        ("GET", "/v1/jobs/j1", {}, "invalid-input", 400),
        ("GET", "/v1/jobs/a b?caller=c", {}, "invalid-input", 400),
        (
            "POST",
            "/v1/jobs",
            {"data": b"<a/>", "headers": {"content-type": "text/xml"}},
            "unsupported-media-type",
            415,
        ),
    ],
)
def test_bad_requests_get_typed_problems(
    method: str, path: str, options: dict[str, Any], type_name: str, status: int
) -> None:
    api = make_api()
    response, body = read(api, send(api, method, path, **options))
    assert (response.code, body["type"]) == (status, PROBLEM_PREFIX + type_name)
    assert api.service.jobs == {}


def test_a_fault_of_the_service_is_a_problem_without_particulars() -> None:
    api = make_api()
    api.service.refusal = Reason.QUOTA
    response, body = read(api, send(api, "GET", "/readyz"))
    assert response.code == 500
    assert body["type"] == PROBLEM_PREFIX + "internal-error"
    assert "QUOTA" not in json.dumps(body)


@pytest.mark.parametrize(
    ("refusal", "status"),
    [(None, 200), (Reason.NOT_READY, 503), (Reason.DRAINING, 503)],
)
def test_readiness_follows_the_service_and_liveness_does_not(
    refusal: Reason | None, status: int
) -> None:
    api = make_api()
    api.service.refusal = refusal
    assert read(api, send(api, "GET", "/readyz"))[0].code == status
    assert read(api, send(api, "GET", "/healthz"))[0].code == 200
