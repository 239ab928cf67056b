"""The streams of the lab, under the name that tests know."""

from hibiscusstack_standins.lab.streams import HostReactor, Streams

__all__ = ["HostReactor", "Streams"]
