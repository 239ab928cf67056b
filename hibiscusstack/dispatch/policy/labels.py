"""The labels that selectors see on targets and on work."""

__all__ = ["labels_of_target", "labels_of_work"]

from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.targets import TargetInfo


def labels_of_target(target: TargetInfo) -> dict[str, str]:
    """Return the labels of ``target`` with its name, rack and data centre added.

    >>> labels_of_target(TargetInfo("w1", "127.0.0.1", 1, "dc1", rack="r1"))
    {'name': 'w1', 'rack': 'r1', 'data_centre': 'dc1'}
    """
    added = {
        "name": target.name,
        "rack": target.rack,
        "data_centre": target.data_centre,
    }
    return {**target.labels, **added}


def labels_of_work(job: Job, task: Task) -> dict[str, str]:
    """Return the labels of ``task``: the job's, its own, and what it is known by.

    A label of the task goes before one of its job. The added ``kind``, ``team``,
    ``caller`` and ``idempotent`` go before both, so that no caller can pretend.

    >>> job = Job("j1", "desk", (), team="office", labels={"season": "dry"})
    >>> labels_of_work(job, Task(0, "check"))["season"]
    'dry'
    """
    added = {
        "kind": task.kind,
        "team": job.team,
        "caller": job.caller,
        "idempotent": "true" if task.idempotent else "false",
    }
    return {**job.labels, **task.labels, **added}
