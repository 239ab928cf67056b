"""What a specification is made of, and the search that checks it."""

__all__ = ["Finding", "Mutation", "Specification", "check", "find_counterexample"]

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import minicheck

Step = tuple[str, tuple]
Rules = frozenset[str]
Search = Mapping[str, Any]

MAX_STATES = 3_000_000


@attrs.frozen
class Mutation:
    """The specification without ``rule`` must break the property ``breaks``."""

    rule: str
    breaks: str
    scenario: str = ""


@attrs.frozen
class Specification:
    """One protocol.

    ``initial`` gives the first state of each scenario. ``steps`` returns what may
    happen next in a state under a set of rules, and ``properties`` must hold in
    every state that can be reached.
    """

    name: str
    initial: Mapping[str, tuple]
    steps: Callable[[Any, Rules], Iterable[Step]]
    properties: Mapping[str, Callable[[Mapping[str, Any]], bool]]
    mutations: tuple[Mutation, ...]
    deep: frozenset[str] = frozenset()

    def scenarios(self, is_deep: bool) -> list[str]:
        """Return the scenarios to check; the deep ones only on demand."""
        return [name for name in self.initial if is_deep or name not in self.deep]

    def rules(self) -> Rules:
        """Return the names of all rules."""
        return frozenset(mutation.rule for mutation in self.mutations)


@attrs.frozen
class Finding:
    """The result of one exhaustive search."""

    scenario: str
    states: int
    depth: int
    is_exhaustive: bool
    violated: tuple[str, ...]


def check(
    specification: Specification, scenario: str, max_states: int = MAX_STATES
) -> Finding:
    """Return what the search of one scenario under all rules has found."""
    depths: dict[tuple, int] = {}
    search = _search(specification, scenario, specification.rules(), max_states, depths)
    violated = [
        name for name, found in search["properties"].items() if found["holds"] is False
    ]
    return Finding(
        scenario,
        search["reachable_states"],
        max(depths.values(), default=0),
        search["exhaustive"],
        tuple(violated),
    )


def find_counterexample(
    specification: Specification, mutation: Mutation, max_states: int = MAX_STATES
) -> list[str]:
    """Return the steps that break the property once the rule is taken out.

    The list is the shortest such run, and empty when there is none within
    ``max_states``.
    """
    scenario = mutation.scenario or next(iter(specification.initial))
    rules = specification.rules() - {mutation.rule}
    search = _search(
        specification, scenario, rules, max_states, None, only=mutation.breaks
    )
    trace = search["properties"][mutation.breaks]["counterexample"] or []
    return [step["label"] for step in trace[1:]]


class _FoundError(minicheck.IntBoundExceeded):
    """Ends a search early; minicheck keeps the violation that it has seen."""


def _search(
    specification: Specification,
    scenario: str,
    rules: Rules,
    max_states: int,
    depths: dict[tuple, int] | None,
    *,
    only: str = "",
) -> Search:
    initial = specification.initial[scenario]
    properties = dict(specification.properties)
    if only:
        properties = {only: properties[only]}
    is_broken = [False]
    if depths is not None:
        depths[initial] = 0

    def observe(holds: Callable[[Mapping[str, Any]], bool]) -> Callable:
        def judge(fields: Mapping[str, Any]) -> bool:
            verdict = holds(fields)
            is_broken[0] = is_broken[0] or not verdict
            return verdict

        return judge

    def transitions(state: tuple) -> list[Step]:
        if only and is_broken[0]:
            raise _FoundError("a counterexample was found")
        steps = list(specification.steps(state, rules))
        if depths is not None:
            for _, successor in steps:
                depths.setdefault(successor, depths[state] + 1)
        return steps

    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=type(initial)._fields,
        initial=initial,
        transitions=transitions,
        invariants={name: observe(holds) for name, holds in properties.items()},
    )
    return minicheck.check_safety(protocol, max_states)
