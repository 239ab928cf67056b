"""Exit codes of the command-line tool."""

__all__ = [
    "ExitCode",
    "combine_exit_codes",
    "describe_exit_codes",
    "exit_code_of_answer",
]

from collections.abc import Iterable
from enum import IntEnum

from hibiscusstack.dispatch.answers import JobAnswer, Outcome


class ExitCode(IntEnum):
    """What the tool tells a script; the numbers are part of the interface."""

    SUCCESS = 0
    JOB_FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    REFUSED = 6
    CONFLICT = 7


MEANING = {
    ExitCode.SUCCESS: "success",
    ExitCode.JOB_FAILED: "a job failed",
    ExitCode.USAGE: "wrong arguments, or a file with faults",
    ExitCode.NOT_RUN: "a job did not run and may be submitted anew",
    ExitCode.UNKNOWN: "a job may have run, or a configuration may come into force",
    ExitCode.UNAVAILABLE: "no host could be reached",
    ExitCode.REFUSED: "the host refused the request",
    ExitCode.CONFLICT: "another configuration was accepted first",
}
CODE_OF_OUTCOME = {
    Outcome.SUCCEEDED: ExitCode.SUCCESS,
    Outcome.FAILED: ExitCode.JOB_FAILED,
    Outcome.NOT_RUN: ExitCode.NOT_RUN,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}

NEEDING_MOST_CARE = (
    ExitCode.UNKNOWN,
    ExitCode.NOT_RUN,
    ExitCode.REFUSED,
    ExitCode.JOB_FAILED,
)


def describe_exit_codes() -> str:
    """Return the table of exit codes for the help text."""
    rows = [f"  {code.value}  {meaning}" for code, meaning in MEANING.items()]
    return "\n".join(["exit codes:", *rows])


def exit_code_of_answer(answer: JobAnswer) -> ExitCode:
    """Return the code for one job.

    >>> exit_code_of_answer(JobAnswer("j1", Outcome.SUCCEEDED)).name
    'SUCCESS'
    """
    return CODE_OF_OUTCOME[answer.outcome]


def combine_exit_codes(codes: Iterable[ExitCode]) -> ExitCode:
    """Return the code for several jobs, the one that needs most care.

    >>> combine_exit_codes([ExitCode.JOB_FAILED, ExitCode.UNKNOWN]).name
    'UNKNOWN'
    """
    found = set(codes)
    for code in NEEDING_MOST_CARE:
        if code in found:
            return code
    return ExitCode.SUCCESS
