"""Tests that a peer is lost only after it has detected the silence itself."""

import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.host.liveness import Liveness
from hibiscusstack.host.mesh_interfaces import MeshTiming


@pytest.mark.parametrize("data_centre", ["dc1", "dc2"])
def test_a_peer_detects_the_silence_before_it_is_lost(data_centre):
    liveness = Liveness(MeshTiming(lost_after_ms=1), "dc1", 0)
    peer = HostName(data_centre, "h2", 1)
    assert liveness.loss_timeout_ms(peer) > liveness.silence_timeout_ms(peer)


def test_a_longer_timeout_in_the_settings_is_used():
    liveness = Liveness(MeshTiming(lost_after_ms=60_000), "dc1", 0)
    assert liveness.loss_timeout_ms(HostName("dc1", "h2", 1)) == 60_000
