"""The client of targets: starts each task once and tells what is proved of it."""

__all__ = ["TargetClient", "TargetUsage"]

from hibiscusstack.target.client import TargetClient
from hibiscusstack.target.decoding import TargetUsage
