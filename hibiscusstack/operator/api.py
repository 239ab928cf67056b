"""The HTTP API for operators."""

__all__ = ["OperatorApi"]

from collections.abc import Sequence
from typing import Any

import attrs
from klein import Klein
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.web.iweb import IRequest

from hibiscusstack.caller.error_handlers import add_error_handlers
from hibiscusstack.caller.fields import FieldReader, check_job_id
from hibiscusstack.caller.json_body import parse_json_body
from hibiscusstack.caller.problems import (
    InputFault,
    problem_of_input_fault,
    refusal_of,
)
from hibiscusstack.caller.responses import read_json_bytes, write_json, write_problem
from hibiscusstack.operator.service import (
    OperatorService,
    PublishAccepted,
    PublishLost,
    PublishOutcome,
    PublishUnknown,
)

MAX_TEXT_CHARACTERS = 512 * 1024
MAX_OFFSET = 1 << 53
CREATED = 201
ACCEPTED = 202


class OperatorApi:
    """The routes that operators use, over an :class:`OperatorService`."""

    app = Klein()

    def __init__(self, service: OperatorService) -> None:
        self._service = service

    @app.route("/v1/admin/configuration", methods=["GET"])
    def get_configuration(self, request: IRequest) -> bytes:
        """Answer with the configuration in force on this host."""
        version = self._service.configuration()
        if version is None:
            raise refusal_of(InputFault.NO_CONFIGURATION)
        return write_json(request, attrs.asdict(version))

    @app.route("/v1/admin/configuration", methods=["POST"])
    def post_configuration(self, request: IRequest) -> Deferred[bytes]:
        """Publish a configuration in place of the one that it names as parent."""
        reader = FieldReader(parse_json_body(read_json_bytes(request)))
        text = reader.read_text("text", MAX_TEXT_CHARACTERS)
        parent_offset = reader.read_integer("parent_offset", 0, MAX_OFFSET)
        reader.refuse_unread_fields()
        publish = self._service.publish_configuration
        outcome = maybeDeferred(publish, text, parent_offset)
        return outcome.addCallback(lambda found: _write_outcome(request, found))

    @app.route("/v1/admin/configuration/history", methods=["GET"])
    def get_history(self, request: IRequest) -> bytes:
        """Answer with the versions that this host remembers."""
        return _write_list(request, "versions", self._service.configuration_history())

    @app.route("/v1/admin/targets", methods=["GET"])
    def get_targets(self, request: IRequest) -> bytes:
        """Answer with the targets that this host knows."""
        return _write_list(request, "targets", self._service.targets())

    @app.route("/v1/admin/hosts", methods=["GET"])
    def get_hosts(self, request: IRequest) -> bytes:
        """Answer with the dispatcher hosts that this host knows."""
        return _write_list(request, "hosts", self._service.hosts())

    @app.route("/v1/admin/queue", methods=["GET"])
    def get_queue(self, request: IRequest) -> bytes:
        """Answer with what waits on this host."""
        return _write_list(request, "queue", self._service.queue())

    @app.route("/v1/admin/drain", methods=["POST"])
    def post_drain(self, request: IRequest) -> bytes:
        """Start a graceful stop of this host."""
        self._service.drain()
        return write_json(request, {"draining": True}, ACCEPTED)

    @app.route("/v1/admin/traces/<job_id>", methods=["GET"])
    def get_trace(self, request: IRequest, job_id: str) -> bytes:
        """Answer with the hops of one job."""
        spans = self._service.trace(check_job_id("id", job_id))
        if not spans:
            raise refusal_of(InputFault.TRACE_NOT_FOUND, "no trace on this host")
        return _write_list(request, "spans", spans)


add_error_handlers(OperatorApi.app)


def _write_list(request: IRequest, name: str, views: Sequence[Any]) -> bytes:
    return write_json(request, {name: [attrs.asdict(view) for view in views]})


def _write_outcome(request: IRequest, outcome: PublishOutcome) -> bytes:
    match outcome:
        case PublishAccepted(offset):
            return write_json(request, {"offset": offset}, CREATED)
        case PublishLost(offset_in_force):
            problem = problem_of_input_fault(
                InputFault.CONFIGURATION_CONFLICT,
                f"version {offset_in_force} was accepted first",
                offset_in_force=offset_in_force,
            )
        case PublishUnknown(cause):
            problem = problem_of_input_fault(InputFault.CONFIGURATION_UNKNOWN, cause)
    return write_problem(request, problem)
