"""Tests that docs/openapi.json says what the APIs do."""

import json
import re
from pathlib import Path
from typing import Any

import attrs
import pytest

from hibiscusstack.caller.answers import encode_answer, encode_job_state
from hibiscusstack.caller.api import CallerApi
from hibiscusstack.caller.fields import MAX_JOB_ID_CHARACTERS, NAME
from hibiscusstack.caller.limits import ApiLimits
from hibiscusstack.caller.problems import (
    STATUS_OF_REASON,
    STATUS_OF_UNKNOWN,
    TYPE_PREFIX,
    InputFault,
)
from hibiscusstack.caller.service import JobPhase, JobState
from hibiscusstack.caller.submissions import (
    Submission,
    decode_submission,
    encode_submission,
)
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Problem,
    Reason,
    TaskResult,
)
from hibiscusstack.dispatch.jobs import MAX_TASKS_PER_JOB, Job, Task
from hibiscusstack.operator import service
from hibiscusstack.operator.api import OperatorApi

OPENAPI = Path(__file__).parents[3] / "docs" / "openapi.json"
PROBLEM = Problem(Reason.QUOTA, retry_after_ms=5)
ANSWER = JobAnswer(
    "j1", Outcome.FAILED, (TaskResult(0, Outcome.FAILED, problem=PROBLEM),), PROBLEM
)


@pytest.fixture(scope="module")
def document() -> dict[str, Any]:
    return json.loads(OPENAPI.read_text())


@pytest.fixture(scope="module")
def schemas(document: dict[str, Any]) -> dict[str, Any]:
    return document["components"]["schemas"]


def routes_of(app: Any) -> set[tuple[str, str]]:
    return {
        (re.sub(r"<(\w+)>", r"{\1}", rule.rule), method.lower())
        for rule in app.url_map.iter_rules()
        for method in rule.methods - {"HEAD"}
    }


def test_routes_agree(document: dict[str, Any]) -> None:
    described = {
        (path, method) for path, item in document["paths"].items() for method in item
    }
    assert described == routes_of(CallerApi.app) | routes_of(OperatorApi.app)


def test_every_problem_type_is_listed(schemas: dict[str, Any]) -> None:
    names = {reason.value for reason in Reason}
    names |= {fault.type_name for fault in InputFault}
    listed = set(schemas["Problem"]["properties"]["type"]["enum"])
    assert listed == {TYPE_PREFIX + name for name in names}
    assert schemas["Reason"]["enum"] == [reason.value for reason in Reason]
    assert schemas["Outcome"]["enum"] == [outcome.value for outcome in Outcome]


def test_every_status_of_a_job_is_described(document: dict[str, Any]) -> None:
    described = set(document["paths"]["/v1/jobs"]["post"]["responses"])
    statuses = {*STATUS_OF_REASON.values(), STATUS_OF_UNKNOWN, 200}
    assert {str(status) for status in statuses} <= described


def test_a_submission_has_the_fields_described(schemas: dict[str, Any]) -> None:
    job = Job("j1", "c1", (Task(0, "k"),))
    with_id = encode_submission(Submission(job))
    with_key = encode_submission(Submission(job, key="k1"))
    described = schemas["Submission"]["properties"]
    assert set(described) == {*with_id, *with_key}
    assert set(schemas["Task"]["properties"]) == set(with_id["tasks"][0])
    assert described["tasks"]["maxItems"] == MAX_TASKS_PER_JOB
    assert schemas["JobId"]["maxLength"] == MAX_JOB_ID_CHARACTERS
    assert schemas["Name"]["pattern"] == f"^{NAME.pattern}$"


def test_defaults_agree(schemas: dict[str, Any]) -> None:
    body = b'{"caller": "c1", "tasks": [{"kind": "k"}]}'
    encoded = encode_submission(decode_submission(body))
    for schema, fields in (("Submission", encoded), ("Task", encoded["tasks"][0])):
        for name, described in schemas[schema]["properties"].items():
            if "default" in described:
                assert fields[name] == described["default"], name


@pytest.mark.parametrize(
    ("schema", "fields"),
    [
        ("Answer", encode_answer(ANSWER)),
        ("TaskResult", encode_answer(ANSWER)["tasks"][0]),
        ("ReasonDetails", encode_answer(ANSWER)["problem"]),
        (
            "JobState",
            encode_job_state(JobState("j1", JobPhase.ENDED, 1, answer=ANSWER)),
        ),
    ],
)
def test_answers_have_the_fields_described(
    schema: str, fields: dict[str, Any], schemas: dict[str, Any]
) -> None:
    assert set(schemas[schema]["properties"]) == set(fields)


@pytest.mark.parametrize(
    "name",
    ["ConfigurationVersion", "HostView", "QueueView", "SpanView", "TargetView"],
)
def test_views_have_the_fields_described(name: str, schemas: dict[str, Any]) -> None:
    fields = [field.name for field in attrs.fields(getattr(service, name))]
    assert list(schemas[name]["properties"]) == fields


def test_the_number_of_ids_agrees(document: dict[str, Any]) -> None:
    post = document["paths"]["/v1/ids"]["post"]
    schema = post["requestBody"]["content"]["application/json"]["schema"]
    maximum = schema["properties"]["count"]["maximum"]
    assert maximum == ApiLimits().max_ids_per_request
