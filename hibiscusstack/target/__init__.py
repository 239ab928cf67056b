"""Client of targets: starts each task once and reports its outcome if known."""

__all__ = ["TargetClient", "TargetUsage"]

from hibiscusstack.target.client import TargetClient
from hibiscusstack.target.decoding import TargetUsage
