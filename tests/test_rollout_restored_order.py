"""Hosts that start learn of orders that a restored store has lost."""

from __future__ import annotations

import pytest
from test_rollout_writer import Host, ORDER_KEY, RECORD_KEY, TICK_MS

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.replica import Change, Page
from corianderdoor.core.entry.rollout_plan import plan_order
from corianderdoor.core.entry.rollout_records import RolloutOrder
from corianderdoor.entry.peer_codec import decode_page, encode_page
from corianderdoor.entry.rollout_feed import ORDER_GRACE_MS
from corianderdoor.platform.rollouts import encode_order, encode_record

ORDER = encode_order("llm", "v2", 60)


def build_host(name: str) -> Host:
    """Returns a host that knows no order."""
    return Host(name, ManualClock(10_000, 1_000_000))


def list_store(host: Host, revision: int, era: int, *changes) -> None:
    """Applies a listing of the store."""
    page = Page(changes, revision, True, era, revision)
    host.applier.apply(page, "store", 0)


def write(host: Host, revision: int, value: bytes | None) -> None:
    """Applies a write of the order, or its removal."""
    era = host.applier.replica.era
    page = Page((Change(ORDER_KEY, value, revision),), revision, False, era)
    host.applier.apply(page, "store", 0)


def copy(host: Host, peer: Host) -> None:
    """Applies the page of a peer."""
    replica = peer.applier.replica
    page = replica.changes_since(replica.revision)
    host.applier.apply(decode_page(encode_page(page)), "peer", 0)


def orders(host: Host) -> list[int]:
    """Returns the revisions of the orders that a host carries out."""
    reports = host.planner.rollouts.reports(host.clock.now_ms())
    return [report.order_revision for report in reports]


def wait(host: Host, ms: int) -> None:
    """Lets time pass."""
    for _ in range(ms // TICK_MS):
        host.tick()
        host.applier.tick(host.clock.now_ms())


# Guards against hosts that start after a restore and send to the new version
# as to any other.
@pytest.mark.parametrize("restores", [1, 2])
def test_lost_order_is_passed_on_to_hosts_that_start(restores):
    host = build_host("h1")
    list_store(host, 9, 1, Change(ORDER_KEY, ORDER, 8))
    for era in range(2, 2 + restores):
        list_store(host, 5, era)
    wait(host, ORDER_GRACE_MS - 2 * TICK_MS)
    started, second = build_host("h2"), build_host("h3")
    for each, source in ((started, host), (second, started)):
        list_store(each, 5, 1 + restores)
        each.tick()
        assert orders(each) == []
        copy(each, source)
        each.tick()
        assert orders(each) == [8]
    for each in (host, started, second):
        wait(each, 2 * TICK_MS)
        assert orders(each) == []
        assert not each.applier.replica.overrides


# Guards against a host that takes the record of the order for the order.
def test_lost_order_is_passed_on_beside_its_record():
    host, started = build_host("h1"), build_host("h2")
    list_store(host, 9, 1, Change(ORDER_KEY, ORDER, 8))
    list_store(host, 5, 2)
    plan = plan_order(RolloutOrder("llm", "v2", 60_000, 8), None, ["v1"], 0)
    record = Change(RECORD_KEY, encode_record(plan), 6)
    list_store(started, 6, 2, record)
    copy(started, host)
    started.tick()
    assert orders(started) == [8]


def test_order_that_is_written_again_is_no_longer_passed_on():
    host, started = build_host("h1"), build_host("h2")
    list_store(host, 9, 1, Change(ORDER_KEY, ORDER, 8))
    list_store(host, 5, 2)
    list_store(started, 5, 2)
    copy(started, host)
    for each in (host, started):
        write(each, 6, ORDER)
        assert not each.applier.replica.overrides
        wait(each, ORDER_GRACE_MS)
        assert orders(each) == [6]


# Guards against an order that was removed and that a host, which had missed
# that, brings back.
def test_removed_order_is_not_taken_from_a_peer_that_missed_its_end():
    host, peer = build_host("h1"), build_host("h2")
    for each in (host, peer):
        list_store(each, 9, 1, Change(ORDER_KEY, ORDER, 8))
        each.tick()
    write(host, 10, None)
    for each in (host, peer):
        list_store(each, 5, 2)
    copy(host, peer)
    host.tick()
    assert orders(host) == []
