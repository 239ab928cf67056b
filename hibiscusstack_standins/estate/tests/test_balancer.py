"""Tests of the balancer's choice of nodes."""

from hibiscusstack_standins.estate.balancer import EdgeNode, Rotation

ZONES = {"a": ["b", "c"], "b": ["a", "c"], "c": ["b", "a"]}


def rotation_of(per_zone=3):
    """Return a rotation of nodes a0, a1, … in three zones."""
    nodes = [EdgeNode(f"{zone}{n}", zone) for zone in "abc" for n in range(per_zone)]
    return Rotation(nodes, ZONES)


def chosen(rotation, zone="a", attempt=0):
    return {rotation.choose(f"c{n}", zone, attempt).name for n in range(100)}


def miss(rotation, *names, times=2):
    for name in names * times:
        rotation.note(name, False)


def test_clients_reach_the_nodes_of_their_zone():
    assert chosen(rotation_of()) == {"a0", "a1", "a2"}


def test_a_client_stays_with_its_node_and_its_retries_do_not():
    rotation = rotation_of()
    names = [rotation.choose("client", "a").name for _ in range(3)]
    assert len(set(names)) == 1
    retries = {rotation.choose("client", "a", n).name for n in range(3)}
    assert retries == {"a0", "a1", "a2"}


def test_a_node_is_out_after_two_misses_until_it_is_ready():
    rotation = rotation_of()
    miss(rotation, "a0", times=1)
    assert "a0" in chosen(rotation)
    miss(rotation, "a0", times=1)
    assert chosen(rotation) == {"a1", "a2"}
    rotation.note("a0", True)
    assert "a0" in chosen(rotation)


def test_all_nodes_of_a_zone_are_used_when_under_half_are_in_rotation():
    rotation = rotation_of()
    miss(rotation, "a0", "a1")
    assert chosen(rotation) == {"a0", "a1", "a2"}


def test_the_nearest_zone_takes_over_from_one_without_nodes():
    rotation = rotation_of()
    miss(rotation, "a0", "a1", "a2")
    assert chosen(rotation) == {"b0", "b1", "b2"}
    miss(rotation, "b0", "b1", "b2")
    assert chosen(rotation) == {"c0", "c1", "c2"}
    miss(rotation, "c0", "c1", "c2")
    assert rotation.choose("client", "a") is None
