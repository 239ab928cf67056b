"""The labels of targets and tasks that selectors match."""

__all__ = ["labels_of_target", "labels_of_work"]

from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.targets import TargetInfo


def labels_of_target(target: TargetInfo) -> dict[str, str]:
    """Return the labels of ``target`` with its name, rack and data centre added.

    The added labels override its own of the same name.

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
    """Return the labels of ``task``: those of its job, its own and built-in ones.

    The labels of the task override those of its job. The built-in labels ``kind``,
    ``team``, ``caller`` and ``idempotent`` override both, so that no caller can
    forge them.

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
