"""Tests of when a host that has started may count the holder of the term as lost."""

import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.host import PeerAddress
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.first_contact import MAX_CONNECT_ATTEMPTS, FirstContact
from hibiscusstack.pool.host_records import HostRecord, encode_host, host_key
from hibiscusstack.pool.host_registry import HostRegistry
from hibiscusstack.pool.interfaces import KeyedRecord

OWN = HostName("dc1", "a", 1)
HOLDER = HostName("dc1", "b", 1)
ADDRESS = PeerAddress("b", 7)


def register(registry, host, offset):
    """Apply the registration of ``host``."""
    record = HostRecord(host, ADDRESS.address, ADDRESS.port)
    records = [KeyedRecord(offset, host_key(host), encode_host(record))]
    registry.apply_records(records, is_snapshot=False)


@pytest.fixture
def attempts():
    """Return the ended attempts by address, which the contact reads."""
    return {}


@pytest.fixture
def registry():
    """Return a registry in which the holder is registered."""
    registry = HostRegistry(OWN)
    register(registry, HOLDER, 3)
    return registry


@pytest.fixture
def contact(registry, attempts):
    """Return the contact of a host that has just started."""
    return FirstContact(OWN, registry, lambda address: attempts.get(address, 0))


def test_contact_is_pending_until_the_attempts_have_ended(contact, attempts):
    for ended in range(MAX_CONNECT_ATTEMPTS):
        attempts[ADDRESS] = ended
        assert contact.is_pending(Term(5, HOLDER))
    attempts[ADDRESS] = MAX_CONNECT_ATTEMPTS
    assert not contact.is_pending(Term(5, HOLDER))


def test_contact_is_not_pending_once_the_holder_was_connected(contact):
    contact.record_connected(HOLDER)
    assert not contact.is_pending(Term(5, HOLDER))


def test_a_restarted_holder_has_ended(contact, registry):
    register(registry, HostName("dc1", "b", 2), 4)
    assert not contact.is_pending(Term(5, HOLDER))


def test_without_a_term_of_another_host_nothing_is_pending(contact):
    assert not contact.is_pending(None)
    assert not contact.is_pending(Term(5, OWN))
