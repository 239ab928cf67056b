"""Tests of fetching and decoding the live list."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from treq.testing import StubTreq
from twisted.internet.task import Clock

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.records import (
    DispatcherInfo,
    LiveList,
    LiveListClient,
    PlatformHttp,
)
from hibiscusstack.records.live_list import decode_live_list
from hibiscusstack_standins.platform import platform_application

BASE = "http://10.0.0.9:80"


def make_entry(name: str = "t1", **changes) -> dict:
    """Return one valid entry with some fields changed."""
    entry = {
        "name": name,
        "role": "target",
        "address": "10.0.0.1",
        "port": 8080,
        "data_centre": "dc1",
        "rack": "r1",
        "state": "live",
        "slots": 8,
        "connections": 64,
        "labels": {"rack": "r1"},
    }
    return entry | changes


def test_targets_and_dispatchers_are_decoded_by_role():
    hosts = [make_entry(state="leaving"), make_entry("h1", role="dispatcher")]
    live_list = decode_live_list({"version": 3, "hosts": hosts})
    (target,) = live_list.targets
    assert (target.name, target.slots, target.is_leaving) == ("t1", 8, True)
    assert target.labels == {"rack": "r1"}
    assert live_list.dispatchers == (
        DispatcherInfo("h1", "10.0.0.1", 8080, "dc1", "r1"),
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"name": 7},
        {"role": "boss"},
        {"address": "example.org"},
        {"address": "10.0.0.256"},
        {"port": 0},
        {"port": 65_536},
        {"state": "gone"},
        {"slots": -1},
        {"connections": 0},
        {"labels": {"a": 1}},
        {"labels": []},
        {"rack": None},
        {"data_centre": None},
    ],
)
def test_invalid_entry_is_reported_and_others_are_kept(changes):
    hosts = [make_entry("t1") | changes, make_entry("t2", state="leaving")]
    live_list = decode_live_list({"version": 1, "hosts": hosts})
    assert [target.name for target in live_list.targets] == ["t2"]
    assert live_list.faults[0].where == next(iter(changes))


def test_duplicate_name_is_reported_and_the_first_entry_is_kept():
    hosts = [make_entry("t1"), make_entry("t1", port=1)]
    live_list = decode_live_list({"version": 1, "hosts": hosts})
    assert [target.port for target in live_list.targets] == [8080]
    assert len(live_list.faults) == 1


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.dictionaries(st.sampled_from(["version", "hosts"]), st.integers() | st.none())
    | st.fixed_dictionaries(
        {
            "version": st.integers(0, 3),
            "hosts": st.lists(
                st.dictionaries(
                    st.sampled_from(list(make_entry())),
                    st.integers(0, 9) | st.text(max_size=3) | st.none(),
                )
                | st.text(max_size=2),
                max_size=3,
            ),
        }
    )
)
def test_any_list_decodes_or_is_a_decode_error(body):
    try:
        live_list = decode_live_list(json.loads(json.dumps(body)))
    except DecodeError:
        return
    assert isinstance(live_list, LiveList)


def test_fetched_list_may_lag_behind_the_platform():
    clock = Clock()
    treq = StubTreq(platform_application(clock).resource())
    client = LiveListClient(PlatformHttp(clock, BASE, 3_000, treq))

    def fetched_names() -> list[str]:
        fetched = []
        client.fetch().addCallback(fetched.append)
        treq.flush()
        return [target.name for target in fetched[0].targets]

    treq.put(f"{BASE}/control/hosts", json={"hosts": [make_entry("t1")]})
    clock.advance(5)
    treq.put(f"{BASE}/control/hosts", json={"hosts": [make_entry("t2")]})
    assert fetched_names() == ["t1", "t2"]
    treq.post(f"{BASE}/control/faults", json={"list_lag_ms": 2_000})
    assert fetched_names() == ["t1"]
    clock.advance(3)
    assert fetched_names() == ["t1", "t2"]


def test_unchanged_list_is_not_sent_again():
    treq = StubTreq(platform_application(Clock()).resource())
    client = LiveListClient(PlatformHttp(Clock(), BASE, 3_000, treq))
    treq.put(f"{BASE}/control/hosts", json={"hosts": [make_entry("t1")]})
    fetched: list[LiveList | None] = []
    client.fetch().addCallback(fetched.append)
    treq.flush()
    client.fetch(fetched[0].version).addCallback(fetched.append)
    treq.put(f"{BASE}/control/hosts", json={"hosts": [make_entry("t2")]})
    treq.flush()
    client.fetch(fetched[0].version).addCallback(fetched.append)
    treq.flush()
    assert fetched[1] is None
    assert [target.name for target in fetched[2].targets] == ["t1", "t2"]
