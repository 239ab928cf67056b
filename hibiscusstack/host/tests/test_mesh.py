"""Tests of meshes that connect, lose connections and reconnect."""

from collections import Counter

from hibiscusstack.dispatch.messages import CancelBatch, Hello
from hibiscusstack.host.connection import NotConnected, SendBufferFull
from hibiscusstack.host.dialing import PeerAddress
from hibiscusstack.host.tests.fleet import FakeTransport, Fleet


def peers_of(fleet, port):
    return sorted(fleet.meshes[port].peers())


def test_all_hosts_connect_with_one_connection_for_each_pair():
    fleet = Fleet(4)
    fleet.run(1_000)
    for port in fleet.meshes:
        others = [fleet.name(other) for other in fleet.meshes if other != port]
        assert peers_of(fleet, port) == others
    assert len(fleet.network.open_pairs()) == 6


def test_messages_arrive_in_order():
    fleet = Fleet(2)
    fleet.run(500)
    for batch in range(50):
        assert fleet.meshes[1].send(fleet.name(2), CancelBatch(batch)).is_ok()
    fleet.run(50)
    expected = [CancelBatch(batch) for batch in range(50)]
    assert fleet.events[2].received(CancelBatch) == expected


def test_a_peer_that_reconnects_in_time_is_not_lost():
    fleet = Fleet(2)
    fleet.run(500)
    for near, far in fleet.network.pairs:
        near.close_by_peer()
        far.close_by_peer()
    fleet.run(2_000)
    assert peers_of(fleet, 1) == [fleet.name(2)]
    assert fleet.events[1].lost == []
    assert fleet.events[1].connected[-1] == fleet.name(2)


def test_a_peer_that_stays_disconnected_is_lost_once():
    fleet = Fleet(2)
    fleet.run(500)
    fleet.network.is_cut = True
    fleet.meshes[2].stop()
    fleet.run(fleet.timing.lost_after_ms - 200)
    assert fleet.events[1].lost == []
    fleet.run(5_000)
    assert fleet.events[1].lost == [fleet.name(2)]


def test_a_connection_that_goes_silent_is_replaced():
    fleet = Fleet(2)
    fleet.run(500)
    fleet.network.silence_all()
    fleet.run(4_000)
    assert fleet.meshes[1].send(fleet.name(2), CancelBatch(9)).is_ok()
    fleet.run(100)
    assert fleet.events[2].received(CancelBatch) == [CancelBatch(9)]
    assert fleet.events[1].lost == []


def test_a_new_incarnation_replaces_the_older_at_once():
    fleet = Fleet(2)
    fleet.run(500)
    fleet.meshes[2].stop()
    fleet.run(10)
    fleet.start(2, incarnation=2)
    fleet.run(500)
    assert fleet.events[1].lost == [fleet.name(2)]
    assert peers_of(fleet, 1) == [fleet.name(2, incarnation=2)]
    result = fleet.meshes[1].send(fleet.name(2), CancelBatch(1))
    assert result.error == NotConnected()


def test_an_older_incarnation_is_refused():
    fleet = Fleet(1)
    fleet.start(2, incarnation=5)
    fleet.run(500)
    fleet.start(2, incarnation=4)
    fleet.run(500)
    assert fleet.events[1].lost == []
    assert fleet.name(2, incarnation=4) not in fleet.events[1].connected


def test_a_host_that_was_paused_closes_no_connection():
    fleet = Fleet(2)
    fleet.run(500)
    before = list(fleet.network.open_pairs())
    fleet.reactor.rightNow += 60
    fleet.run(1_000)
    assert fleet.network.open_pairs() == before
    assert fleet.events[1].lost == []


def test_a_pause_restarts_the_timeout_of_disconnected_peers():
    fleet = Fleet(2)
    fleet.run(500)
    fleet.network.is_cut = True
    fleet.meshes[2].stop()
    fleet.run(100)
    fleet.reactor.rightNow += 60
    fleet.run(1_000)
    assert fleet.events[1].lost == []
    fleet.run(fleet.timing.lost_after_ms)
    assert fleet.events[1].lost == [fleet.name(2)]


def test_peers_in_other_data_centres_get_fewer_heartbeats_and_a_longer_timeout():
    fleet = Fleet(4, data_centres=("dc1", "dc2"))
    fleet.run(40_000, step_ms=10)
    message_counts = Counter(sender for sender, _ in fleet.events[1].messages)
    assert 78 <= message_counts[fleet.name(3)] <= 84
    assert 19 <= message_counts[fleet.name(2)] <= 23
    assert len(fleet.events[1].connected) == 3
    fleet.network.silence_all()
    fleet.run(4_000, step_ms=10)
    assert fleet.events[1].connected.count(fleet.name(3)) == 2
    assert fleet.events[1].connected.count(fleet.name(2)) == 1
    fleet.run(8_000, step_ms=10)
    assert fleet.events[1].connected.count(fleet.name(2)) == 2


def test_a_disconnection_is_reported_before_the_loss_of_the_peer():
    fleet = Fleet(2)
    fleet.run(500)
    fleet.network.is_cut = True
    fleet.meshes[2].stop()
    fleet.run(10)
    assert fleet.events[1].disconnected == [fleet.name(2)]
    assert fleet.events[1].lost == []


def test_one_of_two_connections_dialled_from_both_ends_is_kept():
    fleet = Fleet(2)
    fleet.meshes[1]._dial(fleet.seeds[1])
    assert len(fleet.network.open_pairs()) == 2
    fleet.run(500)
    assert len(fleet.network.open_pairs()) == 1
    for port in (1, 2):
        other = fleet.name(3 - port)
        assert fleet.meshes[port].send(other, CancelBatch(1)).is_ok()
    near = fleet.network.open_pairs()[0][0]
    assert near.protocol is fleet.meshes[1]._sessions.connection_to(fleet.name(2))


def test_a_message_before_the_hello_closes_the_connection():
    fleet = Fleet(1)
    connection = fleet.meshes[1]._build_accepted()
    transport = FakeTransport(fleet.reactor)
    transport.far = transport.protocol = connection
    transport.is_silent = True
    connection.makeConnection(transport)
    fleet.meshes[1].message_received(connection, CancelBatch(1))
    assert not transport.is_open
    assert fleet.events[1].messages == []


def test_an_address_that_leaves_the_list_is_not_dialled():
    fleet = Fleet(1)
    mesh = fleet.meshes[1]
    mesh.replace_listed([PeerAddress("127.0.0.1", 9)])
    fleet.run(300)
    dialled = fleet.network.dialled.count(9)
    assert dialled > 0
    mesh.replace_listed([])
    fleet.run(10_000, step_ms=20)
    assert fleet.network.dialled.count(9) == dialled


def test_a_host_does_not_dial_itself():
    fleet = Fleet(2)
    fleet.run(5_000)
    assert len(fleet.network.open_pairs()) == 1
    assert sorted(set(fleet.network.dialled)) in ([1, 2], [1], [2])
    assert fleet.network.dialled.count(1) + fleet.network.dialled.count(2) == 2


def test_a_connection_to_a_peer_that_does_not_read_is_aborted():
    fleet = Fleet(2)
    fleet.run(500)
    mesh = fleet.meshes[1]
    connection = mesh._sessions.connection_to(fleet.name(2))
    connection._max_unsent_bytes = 100
    connection.pauseProducing()
    results = [mesh.send(fleet.name(2), CancelBatch(n)) for n in range(60)]
    refused = [result.error for result in results if result.is_error()]
    assert isinstance(refused[0], SendBufferFull)
    assert refused[0].unsent_bytes < 200
    assert set(refused[1:]) == {NotConnected()}


def test_a_connection_with_invalid_data_is_closed():
    fleet = Fleet(1)
    mesh = fleet.meshes[1]
    for garbage in (b"\0" * 40, b"GET / HTTP/1.1\r\n\r\n", b"POST /v1/peers\r\n\r\n"):
        connection = mesh._build_accepted()
        transport = FakeTransport(fleet.reactor)
        transport.far, transport.protocol = transport, connection
        transport.is_silent = True
        connection.makeConnection(transport)
        connection.dataReceived(garbage)
        fleet.run(3_000)
        assert not transport.is_open
    assert fleet.events[1].connected == []


def test_nothing_is_delivered_after_a_connection_was_replaced():
    fleet = Fleet(2)
    fleet.run(500)
    sender, receiver = fleet.meshes[1], fleet.meshes[2]
    for batch in range(3):
        sender.send(fleet.name(2), CancelBatch(batch))
    replacement = receiver._build_accepted()
    receiver._sessions._sessions[("dc1", "host1")].is_dialer = False
    replacement.makeConnection(FakeTransport(fleet.reactor))
    receiver.message_received(replacement, Hello(fleet.name(1), "127.0.0.1", 1))
    fleet.run(50)
    assert fleet.events[2].received(CancelBatch) == []
