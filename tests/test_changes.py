"""Operators' changes: lost answers, racing operators, drains."""

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
    """A key-value service in memory whose next answers are scripted.

    Attributes:
        script: What the next writes do: "lost" takes effect without an
            answer, "late" does so only at the next call, "down" does not;
            a callable runs first.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.value, self.version = b"", 0
        self.writes = 0
        self.late = None

    async def read(self, key):
        """Returns the value."""
        assert key == CONFIG_KEY
        self._land()
        found = Versioned(self.value, self.version) if self.version else None
        return Ok(found)

    async def write(self, key, value, version, lease=""):
        """Writes, and answers as scripted."""
        self._land()
        step = self.script.pop(0) if self.script else "ok"
        if callable(step):
            step(self)
            step = "ok"
        if step == "down":
            return self._fail(Outcome.NOT_RUN)
        if step == "late":
            self.late = (value, version)
            return self._fail(Outcome.UNKNOWN)
        done = self._put(value, version)
        if step == "lost":
            return self._fail(Outcome.UNKNOWN)
        if not done:
            return Error(Fault(Kind.CONFLICT, "store-write", "moved"))
        return Ok(self.version)

    def _land(self):
        if self.late:
            self._put(*self.late)
            self.late = None

    def _put(self, value, version):
        if version != self.version:
            return False
        self.value, self.version = value, self.version + 1
        self.writes += 1
        return True

    def _fail(self, outcome):
        return Error(Fault(Kind.STORE_FAILED, "write", "?", outcome=outcome))


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    """Retries come at once."""
    monkeypatch.setattr(changes, "RETRY_MS", 0)


def change(old, change_id, author="rosa"):
    """Returns a change of the rules over `old`."""
    rules = build_config().rules
    none = frozenset()
    return build_change(old, change_id, author, RULES, rules, none, none)


def drain(name):
    """Returns an edit that takes a data centre out."""

    def edit(old):
        cfg = change(old, "")
        cfg.drained_centres = old.drained_centres | {name}
        cfg.drained_hosts = old.drained_hosts
        return cfg

    return edit


@pytest.mark.anyio
@pytest.mark.parametrize("fault", ["lost", "late", "down"])
async def test_change_takes_effect_once_whatever_happens_to_its_answer(fault):
    store = FaultyStore(fault)
    done = await submit(store, change(EMPTY_CONFIG, "mine"))
    assert (done.ok.revision, store.writes) == (1, 1)


@pytest.mark.anyio
async def test_loser_of_a_race_is_told_which_change_came_first():
    store = FaultyStore()
    theirs = change(EMPTY_CONFIG, "theirs", "luis")
    mine = change(EMPTY_CONFIG, "mine")
    assert (await submit(store, theirs)).is_ok()
    lost = (await submit(store, mine)).error
    assert lost.kind is Kind.CONFLICT
    assert lost.outcome is Outcome.NOT_RUN
    assert "theirs of luis" in lost.detail


@pytest.mark.anyio
async def test_change_whose_answer_was_lost_is_known_behind_a_later_one():
    def later(store):
        old = decode_config(store.value, store.version).ok
        store._put(encode_config(change(old, "later", "luis")), store.version)

    store = FaultyStore("lost", later)
    done = await submit(store, change(EMPTY_CONFIG, "mine"))
    assert done.is_ok()
    assert (done.ok.change_id, store.writes) == ("later", 2)


@pytest.mark.anyio
async def test_stale_reading_after_a_conflict_does_not_judge():
    store = FaultyStore("lost")
    stale = [Ok(None)]
    fresh = store.read

    async def read(key):
        return stale.pop() if stale else await fresh(key)

    store.read = read
    done = await submit(store, change(EMPTY_CONFIG, "mine"))
    assert (done.ok.revision, store.writes, stale) == (1, 1, [])


@pytest.mark.anyio
async def test_service_that_never_answers_leaves_the_outcome_unknown():
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
        one._put(encode_config(cfg), one.version)

    await submit(store, change(EMPTY_CONFIG, "first"))
    store.script = [other, "lost"]
    done = await submit_edit(store, "mine", "rosa", drain("dc-a"))
    assert done.is_ok()
    held = decode_config(store.value, store.version).ok
    assert held.drained_centres == {"dc-a", "dc-b"}
    assert store.writes == 3
