"""The peer that operates the fleet: its HTTP API and its command-line tool."""

__all__ = [
    "ConfigurationVersion",
    "HostView",
    "OperatorService",
    "PublishAccepted",
    "PublishLost",
    "PublishOutcome",
    "PublishUnknown",
    "QueueView",
    "SpanView",
    "TargetView",
]

from hibiscusstack.operator.service import (
    ConfigurationVersion,
    HostView,
    OperatorService,
    PublishAccepted,
    PublishLost,
    PublishOutcome,
    PublishUnknown,
    QueueView,
    SpanView,
    TargetView,
)
