"""Builders of small policies, tasks, queues and jobs, shared by several tests."""

from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.observation.run_times import RunTimes
from hibiscusstack.dispatch.policy.policy import CurrentPolicy
from hibiscusstack.dispatch.policy.text import read_policy
from hibiscusstack.dispatch.queueing.fair_share import FairShareQueue
from hibiscusstack.dispatch.queueing.task_queue import QueuedTask
from hibiscusstack.dispatch.targets import TargetInfo

OWNER = HostName("dc1", "owner", 1)
TARGET = TargetInfo("w1", "127.0.0.1", 1, "dc1")
THREE_CLASSES = """\
[class urgent]
work = kind = urgent
urgency = 30
guaranteed_part = 0.25
[class middle]
work = kind = middle
urgency = 20
guaranteed_part = 0.25
[class least]
work = kind = least
urgency = 1
guaranteed_part = 0.25
"""


def make_policy(text=THREE_CLASSES):
    """Return the policy in ``text``, in force."""
    return CurrentPolicy(read_policy(text).ok)


def make_queue(text=THREE_CLASSES, targets=(TARGET,)):
    """Return an empty queue whose slots are those of ``targets``."""
    queue = FairShareQueue(make_policy(text), RunTimes())
    queue.replace_targets(targets, sum(each.slots for each in targets))
    return queue


def make_entry(batch, index=0, class_name="middle", **fields):
    """Return a queued task of ``batch`` that is declared to run 100 ms."""
    run_time_ms = fields.pop("run_time_ms", 100)
    task = Task(index, class_name, run_time_ms=run_time_ms)
    defaults = {
        "owner": OWNER,
        "targets": frozenset({"w1"}),
        "team": "office",
        "enqueued_ms": 0,
        "deadline_ms": 60_000,
    }
    task_id = f"{class_name}/{index}/{batch}"
    given = {**defaults, **fields}
    return QueuedTask(
        batch=batch, task_id=task_id, task=task, class_name=class_name, **given
    )


def make_job(count=1, kind="middle", **fields):
    """Return a job of ``count`` tasks that are declared to run 100 ms."""
    tasks = tuple(Task(index, kind, run_time_ms=100) for index in range(count))
    return Job(
        fields.pop("job_id", "j1"), fields.pop("caller", "desk"), tasks, **fields
    )
