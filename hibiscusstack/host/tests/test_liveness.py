"""When a peer counts as lost, compared with when it notices the silence itself."""

import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.host.liveness import Liveness
from hibiscusstack.host.mesh_interfaces import MeshTiming


@pytest.mark.parametrize("data_centre", ["dc1", "dc2"])
def test_a_peer_has_given_up_our_work_before_it_is_lost(data_centre):
    liveness = Liveness(MeshTiming(lost_after_ms=1), "dc1", 0)
    peer = HostName(data_centre, "h2", 1)
    assert liveness.lost_after_ms(peer) > liveness.silence_timeout_ms(peer)


def test_a_longer_time_in_the_settings_counts():
    liveness = Liveness(MeshTiming(lost_after_ms=60_000), "dc1", 0)
    assert liveness.lost_after_ms(HostName("dc1", "h2", 1)) == 60_000
