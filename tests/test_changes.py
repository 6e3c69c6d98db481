"""Submitted configuration changes: lost answers, conflicts, drains."""

from builders import build_config, RULES
from expression import Error, Ok
import pytest

from corianderdoor.core.config import (
    build_change,
    CONFIG_KEY,
    decode_config,
    EMPTY_CONFIG,
    encode_config,
)
from corianderdoor.core.errors import Fault, Kind, Outcome
from corianderdoor.ports.store import Versioned
from corianderdoor.tools import changes
from corianderdoor.tools.changes import submit, submit_edit


class FaultyStore:
    """An in-memory store that scripts the answers to the next writes.

    Attributes:
        script: Steps for the next writes. A "lost" write takes effect but
            its answer is lost; a "late" one takes effect only before the
            next call; a "down" one fails without effect. A callable runs
            before a normal write.
        value: Value of the configuration key.
        version: Its version; 0 if it was never written.
        writes: Number of writes that took effect.
        pending: Value and version of a "late" write, or None.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.value, self.version = b"", 0
        self.writes = 0
        self.pending = None

    async def read(self, key):
        """Returns the value with its version; None if there is none."""
        assert key == CONFIG_KEY
        self._apply_late_write()
        found = Versioned(self.value, self.version) if self.version else None
        return Ok(found)

    async def write(self, key, value, version, lease=""):
        """Writes if `version` is current; answers as scripted."""
        self._apply_late_write()
        step = self.script.pop(0) if self.script else "ok"
        if callable(step):
            step(self)
            step = "ok"
        if step == "down":
            return self._fail(Outcome.NOT_RUN)
        if step == "late":
            self.pending = (value, version)
            return self._fail(Outcome.UNKNOWN)
        written = self._compare_and_set(value, version)
        if step == "lost":
            return self._fail(Outcome.UNKNOWN)
        if not written:
            return Error(Fault(Kind.CONFLICT, "store-write", "moved"))
        return Ok(self.version)

    def _apply_late_write(self):
        if self.pending:
            self._compare_and_set(*self.pending)
            self.pending = None

    def _compare_and_set(self, value, version):
        if version != self.version:
            return False
        self.value, self.version = value, self.version + 1
        self.writes += 1
        return True

    def _fail(self, outcome):
        return Error(Fault(Kind.STORE_FAILED, "write", "?", outcome=outcome))


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    """Sets the delay between retries to zero."""
    monkeypatch.setattr(changes, "RETRY_MS", 0)


def change(old, change_id, author="rosa"):
    """Returns a change of the rules based on `old`."""
    rules = build_config().rules
    none = frozenset()
    return build_change(old, change_id, author, RULES, rules, none, none)


def drain(name):
    """Returns an edit that drains a data centre."""

    def edit(old):
        cfg = change(old, "")
        cfg.drained_centres = old.drained_centres | {name}
        cfg.drained_hosts = old.drained_hosts
        return cfg

    return edit


@pytest.mark.anyio
@pytest.mark.parametrize("fault", ["lost", "late", "down"])
async def test_change_takes_effect_once_if_a_write_fails(fault):
    store = FaultyStore(fault)
    result = await submit(store, change(EMPTY_CONFIG, "mine"))
    assert (result.ok.revision, store.writes) == (1, 1)


@pytest.mark.anyio
async def test_conflict_names_the_change_that_came_first():
    store = FaultyStore()
    theirs = change(EMPTY_CONFIG, "theirs", "luis")
    mine = change(EMPTY_CONFIG, "mine")
    assert (await submit(store, theirs)).is_ok()
    lost = (await submit(store, mine)).error
    assert lost.kind is Kind.CONFLICT
    assert lost.outcome is Outcome.NOT_RUN
    assert "theirs of luis" in lost.detail


@pytest.mark.anyio
async def test_lost_answer_is_resolved_when_a_later_change_follows():
    def later(store):
        old = decode_config(store.value, store.version).ok
        store._compare_and_set(
            encode_config(change(old, "later", "luis")), store.version
        )

    store = FaultyStore("lost", later)
    result = await submit(store, change(EMPTY_CONFIG, "mine"))
    assert result.is_ok()
    assert (result.ok.change_id, store.writes) == ("later", 2)


@pytest.mark.anyio
async def test_stale_read_after_a_conflict_is_not_taken_as_the_outcome():
    store = FaultyStore("lost")
    stale = [Ok(None)]
    fresh = store.read

    async def read(key):
        return stale.pop() if stale else await fresh(key)

    store.read = read
    result = await submit(store, change(EMPTY_CONFIG, "mine"))
    assert (result.ok.revision, store.writes, stale) == (1, 1, [])


@pytest.mark.anyio
async def test_store_that_never_answers_leaves_the_outcome_unknown():
    store = FaultyStore("lost", *["down"] * 9)
    fault = (await submit(store, change(EMPTY_CONFIG, "mine"))).error
    assert fault.outcome is Outcome.UNKNOWN
    store = FaultyStore(*["down"] * 9)
    fault = (await submit(store, change(EMPTY_CONFIG, "mine"))).error
    assert fault.outcome is Outcome.NOT_RUN


@pytest.mark.anyio
async def test_racing_drains_both_take_effect():
    store = FaultyStore()

    def other(one):
        old = decode_config(one.value, one.version).ok
        cfg = change(old, "other")
        cfg.drained_centres = old.drained_centres | {"dc-b"}
        one._compare_and_set(encode_config(cfg), one.version)

    await submit(store, change(EMPTY_CONFIG, "first"))
    store.script = [other, "lost"]
    result = await submit_edit(store, "mine", "rosa", drain("dc-a"))
    assert result.is_ok()
    held = decode_config(store.value, store.version).ok
    assert held.drained_centres == {"dc-a", "dc-b"}
    assert store.writes == 3
