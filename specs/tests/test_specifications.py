"""Tests that each rule is needed, and that the search is not easily pleased."""

import pytest

from specs.__main__ import SPECIFICATIONS
from specs.coordinator_tokens import SPECIFICATION as COORDINATOR_TOKENS
from specs.crash_counting import SPECIFICATION as CRASH_COUNTING
from specs.issued_ids import SPECIFICATION as ISSUED_IDS
from specs.keyed_ownership import SPECIFICATION as KEYED_OWNERSHIP
from specs.leased_targets import SPECIFICATION as LEASED_TARGETS
from specs.specification import check, find_counterexample
from specs.target_records import SPECIFICATION as TARGET_RECORDS
from specs.target_starts import SPECIFICATION as TARGET_STARTS

MUTATIONS = [
    pytest.param(specification, mutation, id=f"{specification.name}: {mutation.rule}")
    for specification in SPECIFICATIONS
    for mutation in specification.mutations
]


@pytest.mark.parametrize(("specification", "mutation"), MUTATIONS)
def test_without_the_rule_the_search_finds_a_counterexample(specification, mutation):
    assert find_counterexample(specification, mutation)


@pytest.mark.parametrize(
    ("specification", "scenario"),
    [
        (ISSUED_IDS, "one id, three submissions"),
        (TARGET_STARTS, "one target restarts"),
        (KEYED_OWNERSHIP, "the owner leaves"),
        (COORDINATOR_TOKENS, "a host restarts"),
        (LEASED_TARGETS, "one coordinator"),
        (LEASED_TARGETS, "a successor"),
        (TARGET_RECORDS, "a deputy"),
        (TARGET_RECORDS, "a successor"),
        (TARGET_RECORDS, "a host joins"),
        (CRASH_COUNTING, "a successor"),
    ],
)
def test_with_every_rule_the_properties_hold(specification, scenario):
    finding = check(specification, scenario)
    assert finding.is_exhaustive
    assert finding.violated == ()
    assert finding.states > 1_000


def test_a_search_cut_short_is_not_called_exhaustive():
    finding = check(ISSUED_IDS, "one id, three submissions", max_states=100)
    assert not finding.is_exhaustive


def test_every_property_is_broken_by_some_mutation():
    for specification in SPECIFICATIONS:
        broken = {mutation.breaks for mutation in specification.mutations}
        assert broken == set(specification.properties)
