"""Description of a target, from the platform's list and the configuration."""

__all__ = ["TargetInfo"]

from collections.abc import Mapping

import attrs


@attrs.frozen
class TargetInfo:
    """One worker, as the platform lists it, with the labels of the configuration.

    ``slots`` limits the tasks that run on it at once, ``connections`` the open
    connections to it.
    """

    name: str
    address: str
    port: int
    data_centre: str
    rack: str = ""
    slots: int = 8
    connections: int = 64
    labels: Mapping[str, str] = attrs.field(factory=dict)
    is_leaving: bool = False
    processors_milli: int = 16_000
    memory_mb: int = 32_768
