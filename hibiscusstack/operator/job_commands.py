"""The commands of the tool that submit, show and cancel jobs."""

__all__ = ["cancel_job", "fetch_ids", "show_status", "submit_jobs"]

import json

from tqdm import tqdm
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults

from hibiscusstack.caller.answers import encode_answer, encode_job_state
from hibiscusstack.caller.client import CallerClient
from hibiscusstack.caller.submissions import Submission
from hibiscusstack.dispatch.answers import JobAnswer
from hibiscusstack.exceptions import RequestRefusedError
from hibiscusstack.operator.context import ToolContext
from hibiscusstack.operator.exit_codes import (
    ExitCode,
    combine_exit_codes,
    exit_code_of_answer,
)
from hibiscusstack.operator.job_files import read_job_file
from hibiscusstack.operator.output import format_answer

TOOL_NAME = "hibiscus"


async def submit_jobs(context: ToolContext) -> ExitCode:
    """Submit every job of the files and write each answer as it comes."""
    options = context.options
    submissions = [
        submission
        for name in options.files
        for submission in read_job_file(name, options.caller)
    ] * options.repeat
    clients = _build_clients(context, submissions)
    semaphore = DeferredSemaphore(options.concurrency)
    is_hidden = options.json or not context.err.isatty()
    with tqdm(
        total=len(submissions), unit="job", file=context.err, disable=is_hidden
    ) as progress:

        async def submit(submission: Submission) -> ExitCode:
            client = clients[submission.job.caller]
            code = await _submit_one(context, client, submission)
            progress.update()
            return code

        waiting = [
            semaphore.run(lambda s=s: Deferred.fromCoroutine(submit(s)))
            for s in submissions
        ]
        codes = await gatherResults(waiting, consumeErrors=True)
    return combine_exit_codes(codes)


async def show_status(context: ToolContext) -> ExitCode:
    """Write how far a job has come."""
    client = context.caller_client(context.options.caller)
    state = await client.fetch_status(context.options.job_id)
    if context.options.json:
        context.write_line(json.dumps(encode_job_state(state)))
        return ExitCode.SUCCESS
    ended = f"{state.tasks_ended}/{state.tasks}"
    context.write_line(f"{state.job_id} {state.phase.value} tasks={ended}")
    if state.answer is not None:
        context.write_line(format_answer(state.answer))
    return ExitCode.SUCCESS


async def cancel_job(context: ToolContext) -> ExitCode:
    """Ask for a job to be cancelled."""
    client = context.caller_client(context.options.caller)
    await client.cancel(context.options.job_id)
    context.write_line(f"{context.options.job_id} cancelling")
    return ExitCode.SUCCESS


async def fetch_ids(context: ToolContext) -> ExitCode:
    """Write fresh ids, one a line."""
    client = context.caller_client(TOOL_NAME)
    issued = await client.fetch_ids(context.options.count)
    if context.options.json:
        fields = {"ids": list(issued.ids), "valid_ms": issued.valid_ms}
        context.write_line(json.dumps(fields))
    else:
        context.write_line("\n".join(issued.ids))
    return ExitCode.SUCCESS


def _build_clients(
    context: ToolContext, submissions: list[Submission]
) -> dict[str, CallerClient]:
    callers = {submission.job.caller for submission in submissions}
    return {caller: context.caller_client(caller) for caller in callers}


async def _submit_one(
    context: ToolContext, client: CallerClient, submission: Submission
) -> ExitCode:
    job = submission.job
    try:
        answer = await client.submit(
            job.tasks,
            team=job.team,
            labels=job.labels,
            timeout_ms=job.timeout_ms,
            job_id=job.job_id,
            key=submission.key,
        )
    except RequestRefusedError as error:
        context.write_error(str(error))
        return ExitCode.REFUSED
    _write_answer(context, answer)
    return exit_code_of_answer(answer)


def _write_answer(context: ToolContext, answer: JobAnswer) -> None:
    if context.options.json:
        context.write_line(json.dumps(encode_answer(answer)))
        return
    with tqdm.external_write_mode(file=context.out):
        context.write_line(format_answer(answer))
