"""Error handlers that turn every exception of a klein app into a problem."""

__all__ = ["add_error_handlers"]

from eliot import log_message
from klein import Klein
from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure
from twisted.web.iweb import IRequest
from werkzeug.exceptions import MethodNotAllowed, NotFound
from werkzeug.routing import RequestRedirect

from hibiscusstack.caller.problems import (
    InputFault,
    problem_of_input_fault,
    problem_of_refusal,
)
from hibiscusstack.caller.responses import write_problem
from hibiscusstack.exceptions import (
    InvalidInputError,
    RequestRefusedError,
    SettingsError,
)


def add_error_handlers(app: Klein) -> None:
    """Register the handlers on ``app``; the last one takes whatever is left."""
    app.handle_errors(InvalidInputError)(_write_invalid_input)
    app.handle_errors(SettingsError)(_write_settings_faults)
    app.handle_errors(RequestRefusedError)(_write_refusal)
    app.handle_errors(NotFound, RequestRedirect)(_write_not_found)
    app.handle_errors(MethodNotAllowed)(_write_method_not_allowed)
    app.handle_errors(CancelledError)(_ignore_hang_up)
    app.handle_errors(Exception)(_write_internal_error)


def _write_invalid_input(_api: object, request: IRequest, failure: Failure) -> bytes:
    error = failure.value
    problem = problem_of_input_fault(
        InputFault.INVALID_INPUT, str(error), where=error.where
    )
    return write_problem(request, problem)


def _write_settings_faults(_api: object, request: IRequest, failure: Failure) -> bytes:
    faults = [
        {"where": fault.where, "expected": fault.expected, "found": str(fault.found)}
        for fault in failure.value.faults
    ]
    problem = problem_of_input_fault(
        InputFault.INVALID_CONFIGURATION, str(failure.value), faults=faults
    )
    return write_problem(request, problem)


def _write_refusal(_api: object, request: IRequest, failure: Failure) -> bytes:
    return write_problem(request, problem_of_refusal(failure.value))


def _write_not_found(_api: object, request: IRequest, _failure: Failure) -> bytes:
    return write_problem(request, problem_of_input_fault(InputFault.NOT_FOUND))


def _write_method_not_allowed(
    _api: object, request: IRequest, failure: Failure
) -> bytes:
    methods = ", ".join(sorted(failure.value.valid_methods or ()))
    request.setHeader("Allow", methods)
    return write_problem(request, problem_of_input_fault(InputFault.METHOD_NOT_ALLOWED))


def _ignore_hang_up(_api: object, _request: IRequest, _failure: Failure) -> bytes:
    return b""


def _write_internal_error(_api: object, request: IRequest, failure: Failure) -> bytes:
    log_message(
        "caller:internal_error",
        error=failure.type.__name__,
        reason=str(failure.value),
        traceback=failure.getTraceback(),
    )
    return write_problem(request, problem_of_input_fault(InputFault.INTERNAL_ERROR))
