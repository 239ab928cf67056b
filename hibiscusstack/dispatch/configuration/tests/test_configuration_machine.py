"""A state machine test of hosts that synchronise their configuration."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hibiscusstack.dispatch.configuration.chain import ConfigurationChain
from hibiscusstack.dispatch.configuration.publication import PublicationOutcome
from hibiscusstack.dispatch.configuration.tests.configuration_fleet import (
    ConfigurationFleet,
)

NAMES = ["h0", "h1", "h2", "h3"]
HOSTS = st.sampled_from(NAMES)


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent publications, partitions, outages, restarts and dropped records."""

    @initialize()
    def boot_all(self):
        """Start every host."""
        self.fleet = ConfigurationFleet()
        self.published = 0
        for number, name in enumerate(NAMES):
            self.fleet.boot(name, f"dc{number % 2}")
        self.fleet.run(1_000)

    @rule(name=HOSTS)
    def publish(self, name):
        """Publish a successor of the version that one host has."""
        self.published += 1
        self.fleet.publish(name, f"n{self.published}")

    @rule(duration_ms=st.sampled_from([500, 1_000, 4_000, 12_000]))
    def run(self, duration_ms):
        """Let virtual time pass."""
        self.fleet.run(duration_ms)

    @rule(name=HOSTS)
    def restart(self, name):
        """Start a new incarnation."""
        self.fleet.boot(name, f"dc{NAMES.index(name) % 2}")

    @rule(names=st.sets(HOSTS))
    def cut_from_log(self, names):
        """Cut off only these hosts from the log."""
        self.fleet.cut_from_log = names

    @rule(names=st.sets(HOSTS))
    def cut_from_peers(self, names):
        """Cut off only these hosts from their peers."""
        self.fleet.cut_from_peers = names

    @rule(is_up=st.booleans())
    def log_outage(self, is_up):
        """Start or end an outage of the log."""
        self.fleet.log.is_up = is_up

    @rule(loses=st.booleans())
    def lose_append_answers(self, loses):
        """Start or stop losing the answers to appends."""
        self.fleet.log.loses_answers = loses

    @precondition(lambda self: len(self.fleet.log.texts) > 0)
    @rule(count=st.integers(1, 5))
    def expire(self, count):
        """Drop the oldest records of the log."""
        self.fleet.log.expire(count)

    @invariant()
    def hosts_agree_with_a_reader_of_all_records(self):
        """Compare each host with a reader of every record.

        A host has the version that such a reader has at the same offset, versions come
        into force in order, and outcomes match the accepted records.
        """
        version_by_offset = {0: 0}
        reference = ConfigurationChain()
        for offset, text in enumerate(self.fleet.log.texts, 1):
            reference.apply(offset, text)
            version_by_offset[offset] = reference.version.offset
        accepted = set(version_by_offset.values())
        for sync in self.fleet.hosts.values():
            chain = sync.chain
            assert chain.version.offset == version_by_offset[chain.applied_offset]
        winners = {version.nonce for version in reference.history()}
        for nonce, outcome in self.fleet.decided.items():
            if outcome is PublicationOutcome.IN_FORCE:
                assert nonce in winners
            if outcome is PublicationOutcome.LOST:
                assert nonce not in winners
        for versions in self.fleet.in_force.values():
            offsets = [version.offset for version in versions]
            assert offsets == sorted(set(offsets))
            assert set(offsets) <= accepted

    def teardown(self):
        """End all faults and check that the hosts agree within 6,000 ms."""
        fleet = self.fleet
        fleet.cut_from_log = set()
        fleet.cut_from_peers = set()
        fleet.log.is_up = True
        fleet.log.loses_answers = False
        fleet.run(6_000)
        versions = {
            s.chain.version.offset for s in fleet.hosts.values() if s.is_ready()
        }
        assert len(versions) <= 1
        self.hosts_agree_with_a_reader_of_all_records()


ConfigurationMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
TestConfigurationMachine = ConfigurationMachine.TestCase
