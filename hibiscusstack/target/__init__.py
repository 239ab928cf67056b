"""Client of targets: starts each task once and reports what is proven of it."""

__all__ = ["TargetClient", "TargetUsage"]

from hibiscusstack.target.client import TargetClient
from hibiscusstack.target.decoding import TargetUsage
