"""Tests of the HTTP API for operators."""

import json
from typing import Any

import pytest
import treq

from hibiscusstack.operator.tests.fakes import Console

PROBLEM_PREFIX = "urn:hibiscusstack:problem:"


def ask(console: Console, method: str, path: str, **options: Any) -> tuple[int, Any]:
    exchange = console.http.request(method, f"http://h/v1/admin/{path}", **options)
    console.http.flush()
    content = treq.content(exchange.result)
    console.http.flush()
    return exchange.result.code, json.loads(content.result)


def publish(console: Console, text: str, parent_offset: Any) -> tuple[int, Any]:
    fields = {"text": text, "parent_offset": parent_offset}
    return ask(console, "POST", "configuration", json=fields)


def test_without_a_configuration_the_answer_is_404() -> None:
    status, body = ask(Console(), "GET", "configuration")
    assert (status, body["type"]) == (404, PROBLEM_PREFIX + "no-configuration")


def test_one_of_two_racing_versions_wins_and_the_other_is_told() -> None:
    console = Console()
    assert publish(console, "a", 0) == (201, {"offset": 1})
    status, body = publish(console, "b", 0)
    assert (status, body["offset_in_force"]) == (409, 1)
    assert ask(console, "GET", "configuration")[1]["text"] == "a"


def test_a_lost_answer_of_the_log_is_unknown() -> None:
    console = Console()
    console.operator.log_is_down = True
    status, body = publish(console, "a", 0)
    assert (status, body["type"]) == (504, PROBLEM_PREFIX + "configuration-unknown")


def test_faults_of_a_configuration_are_listed() -> None:
    status, body = publish(Console(), "fault", 0)
    assert status == 422
    assert body["faults"][0]["where"] == "[limits] max_queue_ms"


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"text": 5, "parent_offset": 0},
        {"text": "a"},
        {"text": "a", "parent_offset": -1},
        {"text": "a", "parent_offset": 0, "force": True},
        {"text": "a" * (512 * 1024 + 1), "parent_offset": 0},
        [],
    ],
)
def test_bad_publications_are_refused(fields: Any) -> None:
    console = Console()
    status, body = ask(console, "POST", "configuration", json=fields)
    assert (status, body["type"]) == (400, PROBLEM_PREFIX + "invalid-input")
    assert console.operator.versions == []


def test_views_and_traces() -> None:
    console = Console()
    assert ask(console, "GET", "targets")[1]["targets"][0]["running"] == 3
    assert ask(console, "GET", "hosts")[1]["hosts"][0]["incarnation"] == 5
    assert ask(console, "GET", "queue")[1]["queue"][0]["tasks"] == 12
    assert len(ask(console, "GET", "traces/j1")[1]["spans"]) == 2
    assert ask(console, "GET", "traces/j2")[0] == 404


def test_drain_takes_a_post() -> None:
    console = Console()
    assert ask(console, "GET", "drain")[0] == 405
    assert not console.operator.is_draining
    assert ask(console, "POST", "drain")[0] == 202
    assert console.operator.is_draining
