"""Faults of a scenario, begun and ended at their times."""

__all__ = ["FaultPlayer"]

import math
from collections.abc import Callable, Iterable
from random import Random

from hibiscusstack_standins.estate.network import Lateness
from hibiscusstack_standins.estate.store_service import LostAnswers, Outage
from hibiscusstack_standins.estate.worker import ORDER_PATHS, WorkerFaults
from hibiscusstack_standins.lab.callers import Callers
from hibiscusstack_standins.lab.scenario import Fault, FaultKind
from hibiscusstack_standins.lab.site import PLATFORM, Site

_SICK_STATUS = 503


class FaultPlayer:
    """Strikes hosts, targets and the log of a site.

    Whom a fault strikes is drawn when it begins. A target bears one fault at a time:
    the newest one counts, and its end makes the target sound.
    """

    def __init__(self, site: Site, callers: Callers, seed: int) -> None:
        self._site = site
        self._callers = callers
        self._random = Random(f"faults {seed}")
        self._begin: dict[FaultKind, Callable[[Fault], Callable[[], None]]] = {
            FaultKind.HOST_KILLED: self._kill_hosts,
            FaultKind.HOST_FROZEN: self._freeze_hosts,
            FaultKind.HOST_CUT: self._cut_hosts,
            FaultKind.DATA_CENTRE_CUT: self._cut_data_centre,
            FaultKind.TARGET_CRASHED: self._crash_targets,
            FaultKind.TARGET_SLOW: self._slow_targets,
            FaultKind.TARGET_HUNG: self._hang_targets,
            FaultKind.TARGET_FAILING: self._fail_targets,
            FaultKind.TARGET_REFUSING: self._let_targets_refuse,
            FaultKind.ORDERS_LATE: self._delay_orders,
            FaultKind.CALLS_LATE: self._delay_calls,
            FaultKind.LOG_DOWN: self._stop_log,
            FaultKind.LOG_SLOW: self._slow_log,
            FaultKind.LOG_ANSWERS_LOST: self._lose_log_answers,
        }

    def expect(self, fault: Fault) -> None:
        """Let a fault come at its time, counted from now."""
        begin = self._begin[FaultKind(fault.kind)]

        def strike() -> None:
            end = begin(fault)
            self._site.network.after(PLATFORM, fault.for_ms, end)

        self._site.network.after(PLATFORM, fault.at_ms, strike)

    def _hosts(self, fault: Fault) -> list[str]:
        site = self._site
        if fault.is_coordinator:
            holder = site.coordinator()
            return [holder] if holder else []
        return self._draw(fault, [n for n in site.host_names if n in site.edges])

    def _targets(self, fault: Fault) -> list[str]:
        workers = self._site.workers
        return self._draw(fault, [name for name in workers if workers[name].is_up])

    def _draw(self, fault: Fault, names: Iterable[str]) -> list[str]:
        place = fault.data_centre
        near = [n for n in names if not place or self._site.zone_of(n) == place]
        count = math.ceil(fault.share * len(near)) if fault.share else fault.count
        return self._random.sample(near, min(count, len(near)))

    def _kill_hosts(self, fault: Fault) -> Callable[[], None]:
        names = self._hosts(fault)
        for name in names:
            self._site.kill(name, fault.resets)
            self._callers.host_killed(name)
        return lambda: self._start_hosts(names)

    def _start_hosts(self, names: Iterable[str]) -> None:
        for name in names:
            if name not in self._site.edges:
                self._site.start(name)

    def _freeze_hosts(self, fault: Fault) -> Callable[[], None]:
        names = self._hosts(fault)
        for name in names:
            self._site.freeze(name)
        return lambda: [self._site.thaw(n) for n in names if n in self._site.frozen]

    def _cut_hosts(self, fault: Fault) -> Callable[[], None]:
        names = self._hosts(fault)

        def cut() -> None:
            for name in names:
                everything = [*self._site.others(name), *self._site.workers, "store"]
                self._site.cut(name, everything)

        return self._end_of_cuts(cut)

    def _cut_data_centre(self, fault: Fault) -> Callable[[], None]:
        place = fault.data_centre
        workers = self._site.members(place)[1]
        mend = self._end_of_cuts(lambda: self._site.cut_zone(place))

        def end() -> None:
            self._site.registry.cut_off.difference_update(workers)
            mend()

        return end

    def _end_of_cuts(self, cut: Callable[[], None]) -> Callable[[], None]:
        before = set(self._site.streams.cuts)
        cut()
        pairs = self._site.streams.cuts - before
        return lambda: self._site.mend_pairs(pairs)

    def _crash_targets(self, fault: Fault) -> Callable[[], None]:
        names = self._targets(fault)
        for name in names:
            self._site.network.kill(name, fault.resets)
        return lambda: [self._site.network.revive(name) for name in names]

    def _slow_targets(self, fault: Fault) -> Callable[[], None]:
        return self._harm(fault, WorkerFaults(slow_factor=fault.factor))

    def _hang_targets(self, fault: Fault) -> Callable[[], None]:
        return self._harm(fault, WorkerFaults(stalls=True))

    def _fail_targets(self, fault: Fault) -> Callable[[], None]:
        return self._harm(fault, WorkerFaults(fails_tasks=True))

    def _let_targets_refuse(self, fault: Fault) -> Callable[[], None]:
        sick = WorkerFaults(status=_SICK_STATUS, status_share=fault.call_share)
        return self._harm(fault, sick)

    def _harm(self, fault: Fault, harm: WorkerFaults) -> Callable[[], None]:
        names = self._targets(fault)
        self._set_harm(names, harm)
        return lambda: self._set_harm(names, WorkerFaults())

    def _set_harm(self, names: Iterable[str], harm: WorkerFaults) -> None:
        for name in names:
            self._site.workers[name].set_faults(self._site.now_ms, harm)

    def _delay_orders(self, fault: Fault) -> Callable[[], None]:
        names = self._targets(fault)
        lateness = Lateness(fault.call_share, ORDER_PATHS)
        return self._delay(names, lateness)

    def _delay_calls(self, fault: Fault) -> Callable[[], None]:
        """Delay holds as well, so that targets seem silent."""
        return self._delay(self._targets(fault), Lateness(fault.call_share))

    def _delay(self, names: list[str], lateness: Lateness) -> Callable[[], None]:
        for name in names:
            self._site.network.set_lateness(name, lateness)
        return lambda: [self._site.network.set_lateness(name, None) for name in names]

    def _stop_log(self, fault: Fault) -> Callable[[], None]:
        store = self._site.store
        outage = Outage("reset" if fault.resets else "silent")
        store.set_outages(self._site.now_ms, [outage])
        return lambda: store.set_outages(self._site.now_ms, [])

    def _slow_log(self, fault: Fault) -> Callable[[], None]:
        self._site.store.slow_ms = fault.delay_ms
        return lambda: setattr(self._site.store, "slow_ms", 0)

    def _lose_log_answers(self, fault: Fault) -> Callable[[], None]:
        self._site.store.lost_answers = LostAnswers(fault.call_share)
        return lambda: setattr(self._site.store, "lost_answers", None)
