"""Hosts learn from each other what a restored store has lost."""

from __future__ import annotations

import pytest
from test_entry_store_restore import encode_config, encode_entry, Host

ENTRY = (encode_entry(), 3)


def restore_with_evacuation() -> Host:
    """Returns a host that knows what the copy of the store lacks."""
    host = Host()
    host.list(
        9,
        1,
        servers_s1=ENTRY,
        op_config=(encode_config(30), 8),
        op_evacuate_a=(b"{}", 9),
    )
    host.list(5, 2, servers_s1=ENTRY, op_config=(encode_config(20), 4))
    return host


def start_later(revision: int) -> Host:
    """Returns a host that lists the store at a later revision."""
    host = Host()
    host.list(revision, 2, servers_s1=ENTRY, op_config=(encode_config(20), 4))
    return host


# Guards against CONFIG: a host that started and watches the store went by the
# copy for two seconds, as peers that follow it were behind all the while.
def test_host_ahead_of_its_peers_learns_what_the_store_lost():
    host = restore_with_evacuation()
    started = start_later(7)
    started.copy_from(host)
    assert started.planner.desired.version == 30
    assert started.usable() == []


# Guards against an end of an evacuation that a peer does not know yet.
def test_peer_that_is_behind_undoes_nothing_that_was_written_since():
    host = restore_with_evacuation()
    started = start_later(5)
    started.write("op/evacuate/a", b"{}", 6, 2)
    started.write("op/evacuate/a", None, 7, 2)
    started.copy_from(host)
    assert started.usable() == ["s1"]


# Guards against a server that is held back, as a peer that is behind does not
# know that it has written its entry again.
@pytest.mark.parametrize("listed", [True, False])
def test_server_that_wrote_again_stays_in_use_beside_a_peer_behind(listed):
    host = Host()
    host.list(7, 1, servers_s1=ENTRY)
    host.write("servers/s1", None, 9, 1)
    host.list(5, 2, servers_s1=ENTRY)
    started = Host()
    if listed:
        started.list(7, 2, servers_s1=(encode_entry(), 7))
    else:
        started.list(5, 2, servers_s1=ENTRY)
        started.write("servers/s1", encode_entry(), 7, 2)
    started.copy_from(host)
    assert started.usable() == ["s1"]
