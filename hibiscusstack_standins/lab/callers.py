"""Callers that send their jobs to a site until they are answered or give up."""

__all__ = ["Callers", "CallerEnd", "SentJob"]

import json
import math
from collections.abc import Callable
from enum import StrEnum
from random import Random

import attrs

from hibiscusstack_standins.estate.auditor import ClientRecord
from hibiscusstack_standins.lab.accounts import objective_ms
from hibiscusstack_standins.lab.load import Arrival
from hibiscusstack_standins.lab.scenario import JobClass
from hibiscusstack_standins.lab.site import Site

PARTY = "callers"
LINK_MS = 1
REFUSED_STATUSES = (429, 503)


class CallerEnd(StrEnum):
    """What became of a job, as its caller knows."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"
    GAVE_UP = "gave-up"


@attrs.define(eq=False)
class SentJob:
    """A job and what its caller saw; times are those of the run."""

    arrival: Arrival
    terms: JobClass
    objective_ms: float
    sent_ms: int = 0
    ended_ms: float = math.inf
    end: CallerEnd = CallerEnd.OPEN
    host: str = ""
    attempt: int = 0
    refusals: int = 0
    losses: int = 0
    statuses: list[int | None] = attrs.field(factory=list)
    request: object = None

    @property
    def latency_ms(self) -> float:
        """Return the time from the first attempt to the end."""
        return self.ended_ms - self.sent_ms

    @property
    def patience_ms(self) -> float:
        """Return how long the caller waits."""
        terms = self.terms
        return max(terms.patience_ms, terms.patience_factor * self.objective_ms)

    def record(self) -> ClientRecord:
        """Return what the auditor needs to know."""
        completed = self.end is CallerEnd.COMPLETED
        given_up = self.end is CallerEnd.GAVE_UP
        return ClientRecord(
            tuple(self.statuses),
            cancelled_ms=self.ended_ms if given_up else math.inf,
            completed_ms=self.ended_ms if completed else math.inf,
        )


class Callers:
    """All callers of a run; each has one job.

    A caller is connected to a host of its data centre that is ready, or else to any
    that is. Refused, it comes back when it was told to while it has retries left.
    Unanswered, it sends again after ``resend_ms`` while it has resends left; without a
    connection it dials again after ``redial_ms``. It gives up when its patience ends.
    """

    def __init__(self, site: Site, room_milli: int, seed: int) -> None:
        self.jobs: list[SentJob] = []
        self._site = site
        self._room_milli = room_milli
        self._random = Random(f"callers {seed}")

    def expect(self, arrival: Arrival, terms: JobClass) -> None:
        """Let a job be sent at its time, counted from now."""
        job = SentJob(
            arrival, terms, objective_ms(arrival.job, terms, self._room_milli)
        )
        self.jobs.append(job)
        self._site.catalog.add(arrival.job)
        self._site.network.after(PARTY, arrival.at_ms, lambda: self._begin(job))

    def host_killed(self, name: str) -> None:
        """Let the callers of a host see their connections end."""
        for job in self.jobs:
            if job.host == name and job.request is not None:
                self._after(LINK_MS, job, self._lose)

    def _begin(self, job: SentJob) -> None:
        job.sent_ms = self._site.now_ms
        self._site.network.after(
            PARTY, math.ceil(job.patience_ms), lambda: self._give_up(job)
        )
        self._send(job)

    def _send(self, job: SentJob) -> None:
        job.attempt += 1
        job.statuses.append(None)
        job.host = self._choose_host(job)
        edge, attempt = self._site.edges.get(job.host), job.attempt
        if edge is None:
            self._after(job.terms.redial_ms, job, self._send)
            return
        waits_ms = int(job.patience_ms - (self._site.now_ms - job.sent_ms))

        def answered(status: int, body: bytes) -> None:
            self._site.network.after(
                PARTY, LINK_MS, lambda: self._answered(job, attempt, status, body)
            )

        def arrive() -> None:
            if job.attempt == attempt and job.end is CallerEnd.OPEN:
                job.request = edge.post(job.arrival.job, answered, max(1, waits_ms))

        self._site.network.after(job.host, LINK_MS, arrive)

    def _choose_host(self, job: SentJob) -> str:
        site = self._site
        near = [
            name
            for name in site.host_names
            if site.zone_of(name) == job.arrival.data_centre
        ]
        ready = [name for name in site.rotation if name != job.host]
        choices = [name for name in ready if name in near] or ready or near
        return self._random.choice(choices)

    def _after(
        self, delay_ms: int, job: SentJob, action: Callable[[SentJob], None]
    ) -> None:
        attempt = job.attempt

        def act() -> None:
            if job.attempt == attempt and job.end is CallerEnd.OPEN:
                action(job)

        self._site.network.after(PARTY, delay_ms, act)

    def _answered(self, job: SentJob, attempt: int, status: int, body: bytes) -> None:
        if job.attempt != attempt or job.end is not CallerEnd.OPEN:
            return
        job.statuses[-1] = status
        job.request = None
        if status == 200:
            state = json.loads(body)["state"]
            self._end(job, CallerEnd(state))
        elif status not in REFUSED_STATUSES:
            self._lose(job)
        elif job.refusals < job.terms.retries:
            job.refusals += 1
            self._after(json.loads(body)["retry_ms"], job, self._send)
        else:
            self._end(job, CallerEnd.REFUSED)

    def _lose(self, job: SentJob) -> None:
        """Send a job again that got no answer, or leave it."""
        job.request = None
        if job.losses < job.terms.resends:
            job.losses += 1
            self._after(job.terms.resend_ms, job, self._send)
        else:
            self._end(job, CallerEnd.LOST)

    def _give_up(self, job: SentJob) -> None:
        if job.end is not CallerEnd.OPEN:
            return
        request, job.request = job.request, None
        if (
            request is not None
            and request.on_disconnect
            and job.host in self._site.edges
        ):
            self._site.network.after(job.host, LINK_MS, request.on_disconnect)
        self._end(job, CallerEnd.GAVE_UP)

    def _end(self, job: SentJob, end: CallerEnd) -> None:
        job.end, job.ended_ms = end, self._site.now_ms
