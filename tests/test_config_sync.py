"""Tests of configuration sync: revisions spread and never go back."""

import random

from builders import build_config
import pytest

from bench.members import build_entry
from corianderdoor.core.config import EMPTY_CONFIG
from corianderdoor.core.config_delta import ConfigArchive
from corianderdoor.core.config_sync import (
    ConfigLoaded,
    ConfigSync,
    Enforce,
    MembersChanged,
    Pull,
    PullFailed,
    RevisionReported,
    SendNotice,
    START_TIMEOUT_MS,
    SyncTick,
)
from corianderdoor.core.membership_messages import listed_update

ALIVE = tuple(listed_update(build_entry(number, 1)) for number in range(4))
NAMES = [update.name for update in ALIVE]


def build_sync(alive=ALIVE):
    """Returns the configuration sync of a daemon that has just started."""
    sync = ConfigSync("me", "dc-0-0", "region-0", random.Random(1), 0)
    sync.handle(MembersChanged(alive), 0)
    return sync


def build_ready_sync(revision=5):
    """Returns a configuration sync that has `revision` in force."""
    sync = build_sync()
    for name in NAMES:
        sync.handle(RevisionReported(name, revision), 1)
    sync.handle(ConfigLoaded(build_config(revision)), 1)
    assert sync.ready
    return sync


def of_kind(actions, kind):
    """Returns the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def test_older_revision_changes_nothing_wherever_it_comes_from():
    sync = build_ready_sync(5)
    for from_store in (True, False):
        late = sync.handle(ConfigLoaded(build_config(4), from_store), 2)
        assert of_kind(late, Enforce) == []
    assert sync.held.revision == 5


def test_newer_revision_is_in_force_at_once_and_sent_to_peers():
    actions = build_ready_sync(5).handle(ConfigLoaded(build_config(6)), 2)
    assert [one.cfg.revision for one in of_kind(actions, Enforce)] == [6]
    assert len(of_kind(actions, SendNotice)) == 3


def test_notice_of_a_newer_revision_leads_to_one_pull():
    sync = build_ready_sync(5)
    first = sync.handle(RevisionReported(NAMES[0], 6), 2)
    second = sync.handle(RevisionReported(NAMES[1], 6), 2)
    assert of_kind(first, Pull) == [Pull(NAMES[0], 6)]
    assert of_kind(second, Pull) == []


def test_failed_pull_is_retried_from_another_holder():
    sync = build_ready_sync(5)
    sync.handle(RevisionReported(NAMES[0], 7), 2)
    sync.handle(RevisionReported(NAMES[1], 6), 2)
    sync.handle(PullFailed(NAMES[0]), 3)
    assert of_kind(sync.handle(SyncTick(), 1_000), Pull) == [Pull(NAMES[1], 6)]


def test_peer_that_is_behind_gets_a_notice():
    actions = build_ready_sync(5).handle(RevisionReported(NAMES[2], 4), 2)
    assert [one.name for one in of_kind(actions, SendNotice)] == [NAMES[2]]


def test_restart_without_the_service_waits_for_the_peers_highest_revision():
    sync = build_sync()
    assert len(of_kind(sync.handle(SyncTick(), 0), SendNotice)) == len(ALIVE)
    sync.handle(RevisionReported(NAMES[0], 4), 1)
    sync.handle(ConfigLoaded(build_config(4)), 2)
    assert not sync.ready  # the other three may hold a higher revision
    sync.handle(RevisionReported(NAMES[1], 5), 3)
    sync.handle(RevisionReported(NAMES[2], 4), 3)
    sync.handle(RevisionReported(NAMES[3], 4), 3)
    assert not sync.ready  # one of them does
    actions = sync.handle(ConfigLoaded(build_config(5)), 4)
    assert [one.cfg.revision for one in of_kind(actions, Enforce)] == [5]


def test_stale_answer_of_the_service_at_the_start_does_not_win():
    sync = build_sync()
    sync.handle(ConfigLoaded(build_config(4), from_store=True), 1)
    assert not sync.ready
    sync.handle(RevisionReported(NAMES[0], 5), 2)
    sync.handle(RevisionReported(NAMES[1], 5), 2)
    assert not sync.ready
    sync.handle(ConfigLoaded(build_config(5)), 3)
    assert sync.ready


def test_unresponsive_peers_delay_the_start_for_a_bounded_time():
    sync = build_sync()
    sync.handle(ConfigLoaded(build_config(4), from_store=True), 1)
    assert not sync.ready
    sync.handle(SyncTick(), START_TIMEOUT_MS)
    assert sync.ready


def test_daemon_without_any_configuration_is_never_ready():
    sync = build_sync(alive=())
    sync.handle(ConfigLoaded(EMPTY_CONFIG, from_store=True), 1)
    sync.handle(SyncTick(), 10 * START_TIMEOUT_MS)
    assert not sync.ready


@pytest.mark.parametrize("count", [1, 2, 19])
def test_two_daemons_of_a_data_centre_watch_the_service(count):
    entries = [build_entry(number * 3, 1) for number in range(count)]
    updates = [listed_update(entry) for entry in entries]
    assert {update.data_centre for update in updates} == {"dc-0-0"}
    watching = 0
    for own in updates:
        sync = ConfigSync(
            own.name, own.data_centre, own.region, random.Random(1), 0
        )
        others = tuple(one for one in updates if one is not own)
        sync.handle(MembersChanged(others), 0)
        watching += sync.should_watch
    assert watching == min(2, count)


def test_changes_since_a_revision_rebuild_the_newest_text():
    archive, texts = ConfigArchive(), {0: b""}
    rng = random.Random(3)
    text = bytearray(b"rule\n" * 400)
    for revision in range(1, 40):
        place = rng.randrange(len(text))
        text[place : place + rng.randrange(9)] = rng.randbytes(
            rng.randrange(9)
        )
        texts[revision] = bytes(text)
        archive.put(revision, bytes(text))
    for revision in range(1, 40):
        rebuilt = texts[revision]
        for delta in archive.since(revision):
            rebuilt = delta.apply(rebuilt)
        assert rebuilt == texts[39]
    assert archive.since(0) is None
    archive.put(38, b"older")
    assert archive.raw == texts[39]
