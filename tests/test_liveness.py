"""Tests of joining and leaving backend servers."""

from builders import build_server

from corianderdoor.core.liveness import FLAP_HOLD_MS, Liveness
from corianderdoor.core.topology import HostList

OTHER = build_server("e2")


def listed(*incarnations, leaving=()):
    """Returns a list with e1 at each of `incarnations`, and e2."""
    servers = [build_server("e1", incarnation=i) for i in incarnations]
    return HostList((), (*servers, OTHER), frozenset(leaving))


def names(liveness, now_ms=0):
    return {server.name for server in liveness.live(now_ms)}


def test_lagging_list_does_not_restore_an_incarnation_that_left():
    liveness = Liveness()
    liveness.update_list(listed(1), 0)
    assert liveness.record_leave("e1", 1, 1)
    for now_ms in (2, 3):
        liveness.update_list(listed(1), now_ms)
        assert names(liveness, now_ms) == {"e2"}
    liveness.update_list(listed(), 4)
    liveness.update_list(listed(1), 5)
    assert names(liveness, 5) == {"e2"}


def test_newer_incarnation_is_live_at_once_after_one_departure():
    liveness = Liveness()
    liveness.update_list(listed(1), 0)
    liveness.record_leave("e1", 1, 1)
    liveness.update_list(listed(2), 2)
    assert names(liveness, 2) == {"e1", "e2"}


def test_stale_list_does_not_replace_a_newer_incarnation():
    liveness = Liveness()
    liveness.update_list(listed(2), 0)
    liveness.update_list(listed(1), 1)
    assert liveness.live(1)[0].incarnation == 2


def test_server_listed_as_leaving_gets_no_new_work():
    liveness = Liveness()
    liveness.update_list(listed(1, leaving=["e1"]), 0)
    assert names(liveness) == {"e2"}


def test_repeated_leave_notice_is_not_new():
    liveness = Liveness()
    liveness.update_list(listed(1), 0)
    assert liveness.record_leave("e1", 1, 1)
    assert not liveness.record_leave("e1", 1, 2)


def flap(liveness, times):
    """Removes e1 from the list and relists it `times` times.

    Each step takes a second.

    Returns:
        Time of the last removal, in ms.
    """
    for number in range(times):
        liveness.update_list(listed(), 2_000 * number)
        liveness.update_list(listed(1), 2_000 * number + 1_000)
    return 2_000 * times - 2_000


def test_flapping_server_is_held_down_for_longer_each_time():
    liveness = Liveness()
    liveness.update_list(listed(1), 0)
    left_ms = flap(liveness, 2)
    assert names(liveness, left_ms + FLAP_HOLD_MS - 1) == {"e2"}
    assert names(liveness, left_ms + FLAP_HOLD_MS) == {"e1", "e2"}
    left_ms = flap(liveness, 3)
    assert names(liveness, left_ms + FLAP_HOLD_MS) == {"e2"}


def test_last_server_of_a_pool_is_never_held_down():
    liveness = Liveness()
    only = HostList((), (build_server("e1"),), frozenset())
    for now_ms in range(0, 8_000, 1_000):
        liveness.update_list(only if now_ms % 2_000 else HostList(), now_ms)
    assert names(liveness, 8_000) == {"e1"}
