"""What workers saw, in the order in which they saw it."""

__all__ = ["EndsAcked", "Event", "LeaseLapsed", "LifeEnded", "RunEnded", "RunStarted"]

import attrs


@attrs.frozen
class RunStarted:
    """A worker began a run; ``is_overfull`` says that it is now over its capacity."""

    at_ms: int
    worker: str
    born: int
    task: str
    run: int
    service: str = ""
    labels: tuple[str, ...] = ()
    spec: str = ""
    checkpoint: str = ""
    starter: str = ""
    is_overfull: bool = False
    is_late: bool = False


@attrs.frozen
class RunEnded:
    """A worker listed the end ``number`` of its life."""

    at_ms: int
    worker: str
    born: int
    task: str
    run: int
    number: int
    how: str
    saved: str = ""


@attrs.frozen
class EndsAcked:
    """A worker forgot its ends up to ``acked_through``."""

    at_ms: int
    worker: str
    born: int
    acked_through: int


@attrs.frozen
class LeaseLapsed:
    """A worker's lease expired while something ran or an end was listed."""

    at_ms: int
    worker: str
    born: int


@attrs.frozen
class LifeEnded:
    """A worker crashed or left; everything that ran there is gone."""

    at_ms: int
    worker: str
    born: int


Event = RunStarted | RunEnded | EndsAcked | LeaseLapsed | LifeEnded
