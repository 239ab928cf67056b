"""The peer that submits jobs: its HTTP API and its client library."""

__all__ = ["IssuedIds", "JobPhase", "JobService", "JobState"]

from hibiscusstack.caller.service import IssuedIds, JobPhase, JobService, JobState
