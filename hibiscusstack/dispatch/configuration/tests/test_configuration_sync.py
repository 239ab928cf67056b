"""Tests of hosts that synchronise their configuration through a log and peers."""

import pytest

from hibiscusstack.dispatch.configuration.publication import PublicationOutcome
from hibiscusstack.dispatch.configuration.readers import configuration_readers
from hibiscusstack.dispatch.configuration.tests.configuration_fleet import (
    ConfigurationFleet,
    FakeLog,
    change_text,
)

CONVERGENCE_BOUND_MS = 6_000


def make_fleet(hosts=3, data_centres=2, texts=()):
    fleet = ConfigurationFleet(log=FakeLog(list(texts)))
    for number in range(hosts * data_centres):
        fleet.boot(f"h{number}", f"dc{number % data_centres}")
    fleet.run(2_000)
    return fleet


def versions(fleet):
    return {name: sync.chain.version.offset for name, sync in fleet.hosts.items()}


def test_a_change_is_in_force_everywhere_within_the_bound():
    fleet = make_fleet()
    fleet.publish("h0", "a")
    fleet.run(CONVERGENCE_BOUND_MS)
    assert fleet.decided == {"a": PublicationOutcome.IN_FORCE}
    assert set(versions(fleet).values()) == {1}


def test_one_of_three_concurrent_publications_is_accepted():
    fleet = make_fleet()
    for name in ("h0", "h1", "h2"):
        fleet.cut_from_peers.add(name)
        fleet.hosts[name].on_log_failed()
    fleet.log.is_up = False
    for name in ("h0", "h1", "h2"):
        fleet.publish(name, name)
    fleet.log.is_up = True
    fleet.cut_from_peers.clear()
    fleet.run(CONVERGENCE_BOUND_MS)
    outcomes = sorted(outcome.value for outcome in fleet.decided.values())
    assert outcomes == ["in-force", "lost", "lost"]
    assert len(set(versions(fleet).values())) == 1


def test_a_publication_with_a_lost_append_answer_is_decided_by_reading():
    fleet = make_fleet()
    fleet.log.loses_answers = True
    fleet.publish("h0", "a")
    fleet.run(CONVERGENCE_BOUND_MS)
    assert fleet.decided == {"a": PublicationOutcome.IN_FORCE}
    assert set(versions(fleet).values()) == {1}


def test_a_publication_without_the_log_times_out_undecided():
    fleet = make_fleet()
    fleet.log.is_up = False
    fleet.publish("h0", "a")
    fleet.run(31_000)
    assert fleet.decided == {"a": PublicationOutcome.UNDECIDED}


def test_a_host_that_boots_puts_no_old_version_in_force():
    texts = [change_text(offset, f"n{offset}") for offset in range(20)]
    fleet = make_fleet(hosts=1, data_centres=1, texts=texts)
    assert [version.offset for version in fleet.in_force["h0"]] == [20]


@pytest.mark.parametrize("peer", ["h4", "h5"])
def test_a_host_that_boots_without_the_log_gets_the_version_from_peers(peer):
    fleet = make_fleet(texts=[change_text(0, "a")])
    fleet.log.is_up = False
    survivors = {name: sync for name, sync in fleet.hosts.items() if name == peer}
    fleet.hosts = survivors
    fleet.boot("new", "dc0")
    fleet.run(2_000)
    assert versions(fleet) == {peer: 1, "new": 1}
    assert fleet.hosts["new"].is_ready()


def test_a_host_cut_off_from_log_and_peers_is_not_ready():
    fleet = make_fleet(texts=[change_text(0, "a")])
    fleet.boot("new")
    fleet.cut_from_log.add("new")
    fleet.cut_from_peers.add("new")
    fleet.run(10_000)
    assert not fleet.hosts["new"].is_ready()


def test_checkpoints_preserve_the_version_after_the_log_drops_its_record():
    fleet = make_fleet(texts=[change_text(0, "a")])
    for _ in range(10):
        fleet.run(10_000)
        fleet.log.expire(len(fleet.log.texts) - fleet.log.first_offset - 8)
    assert fleet.log.first_offset > 1
    fleet.hosts.clear()
    fleet.boot("new")
    fleet.run(2_000)
    assert versions(fleet) == {"new": 1}
    assert fleet.hosts["new"].is_ready()


def test_the_number_of_checkpoints_is_bounded():
    fleet = make_fleet(texts=[change_text(0, "a")])
    fleet.run(200_000)
    # One per quarter of the 40 s retention, and one more for each host at its start.
    assert len(fleet.log.texts) - 1 <= 2 * 200_000 // 10_000


def test_hosts_cut_off_from_the_log_alone_get_changes_from_peers():
    fleet = make_fleet()
    fleet.cut_from_log.update(["h0", "h2", "h4"])
    fleet.publish("h1", "a")
    fleet.run(CONVERGENCE_BOUND_MS)
    assert set(versions(fleet).values()) == {1}


def test_the_rate_of_log_reads_is_independent_of_the_number_of_hosts():
    reads = []
    for hosts in (4, 16):
        fleet = make_fleet(hosts=hosts, data_centres=1)
        before = fleet.log_reads
        fleet.run(50_000)
        reads.append(fleet.log_reads - before)
    assert reads[0] == reads[1] == 100


def test_the_loss_of_one_reader_keeps_the_other():
    fleet = make_fleet(hosts=8, data_centres=1)
    members = [sync.host for sync in fleet.hosts.values()]
    first, second = configuration_readers(members)
    members.remove(first)
    assert configuration_readers(members)[0] == second
