"""Tests that a publication is sent again only when it was not sent at all."""

from typing import Any
from urllib.parse import urlsplit

import attrs
import pytest
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionLost
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.task import Clock

from hibiscusstack.caller.attempts import EntryClient
from hibiscusstack.exceptions import NotSentError
from hibiscusstack.operator.admin_client import AdminClient
from hibiscusstack.operator.service import PublishAccepted, PublishUnknown
from hibiscusstack.operator.tests.fakes import Console, result_of


@attrs.define
class FailingHttp:
    """Passes requests on, but for the hosts that fail."""

    console: Console
    failures: dict[str, Exception]
    asked: list[str] = attrs.field(factory=list)

    def request(self, method: str, url: str, **options: Any) -> Deferred[Any]:
        """Return the response, or the failure of the host."""
        name = urlsplit(url).hostname or ""
        self.asked.append(name)
        if name in self.failures:
            return fail(self.failures[name])
        return self.console.http.request(method, url, **options)


def publish(http: FailingHttp) -> Any:
    clock = Clock()
    entries = [EntryClient(f"http://{name}:1", http, clock) for name in "ab"]
    running = Deferred.fromCoroutine(AdminClient(entries).publish("text", 0))
    http.console.run()
    return result_of(running)


def test_a_host_that_cannot_be_reached_is_passed_over() -> None:
    http = FailingHttp(Console(), {"a": RefusedError()})
    assert publish(http) == PublishAccepted(1)
    assert http.asked == ["a", "b"]


def test_a_lost_answer_is_unknown_and_no_other_host_is_asked() -> None:
    http = FailingHttp(Console(), {"a": ConnectionLost()})
    assert isinstance(publish(http), PublishUnknown)
    assert http.asked == ["a"]


def test_no_host_at_all_is_an_error_that_proves_nothing_was_sent() -> None:
    http = FailingHttp(Console(), {"a": RefusedError(), "b": RefusedError()})
    failure = publish(http)
    assert failure.check(NotSentError)


@pytest.mark.parametrize("method", ["fetch_hosts", "fetch_targets", "fetch_queue"])
def test_a_question_goes_to_the_next_host_after_any_failure(method: str) -> None:
    http = FailingHttp(Console(), {"a": ConnectionLost()})
    entries = [EntryClient(f"http://{name}:1", http, Clock()) for name in "ab"]
    running = Deferred.fromCoroutine(getattr(AdminClient(entries), method)())
    http.console.run()
    assert len(result_of(running)) == 1
