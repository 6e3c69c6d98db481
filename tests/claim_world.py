"""Routers' claim books around one store, stepped by hand."""

from corianderdoor.core.claim_log import slot_key
from corianderdoor.core.claim_messages import (
    ClaimRequest,
    ReadFailed,
    ReadSlot,
    ReturnVerdict,
    RunEnded,
    SlotRead,
    Tick,
    WakeAt,
    WriteConflict,
    WriteFailed,
    WriteSlot,
    WriteUnconfirmed,
    Written,
)
from corianderdoor.core.claims import ClaimShard
from corianderdoor.core.errors import Outcome
from corianderdoor.core.once import Proceed, RunResult, StoredAnswer

KEPT = StoredAnswer(201, (("content-type", "application/json"),), b"{}")
RAN = RunResult(Outcome.RUN, KEPT)


class ClaimWorld:
    """A store and books; every call to the store can be made to fail.

    Attributes:
        faults: What the next writes do: "lose" takes effect without an
            answer, "late" takes effect only in `land_late`, "drop" never;
            "lose-down" loses the answer and takes the store down, "end"
            is late and replaces the router.
        runs: How often each key was allowed to run.
    """

    def __init__(self, slots=4, gap_ms=0):
        self.now_ms = 0
        self.store = {}
        self.version = 0
        self.writes = 0
        self.faults = []
        self.down = False
        self.books = {}
        self.verdicts = {}
        self.runs = {}
        self._late = []
        self._slots, self._gap_ms = slots, gap_ms
        self._asked = self._started = 0
        self._keys = {}

    def start(self, name):
        """Starts a router, or a new incarnation that knows nothing."""
        self._started += 1
        owner = f"{name}/{self._started}"
        self.books[name] = ClaimShard(owner, self._slots, self._gap_ms)

    def ask(self, name, key, fingerprint=b"f", limit_ms=10_000, first=True):
        """Hands a request to a router; returns its verdict so far."""
        self._asked += 1
        id = f"q{self._asked}"
        self._keys[id] = key
        self.handle(name, ClaimRequest(id, key, fingerprint, limit_ms, first))
        return self.verdicts.get(id)

    def settle(self, name, key, ending=RAN):
        """Tells a router how its run of `key` ended."""
        self.handle(name, RunEnded(key, ending))

    def wait(self, delta_ms):
        """Lets time pass, and wakes every router."""
        self.now_ms += delta_ms
        for name in list(self.books):
            self.handle(name, Tick())

    def land_late(self):
        """Lets the delayed writes take effect."""
        for action in self._late:
            self._swap(action)
        self._late = []

    def handle(self, name, event):
        """Hands in an event and carries out all that follows."""
        book = self.books[name]
        for action in book.handle(event, self.now_ms, self.now_ms):
            answer = self._carry_out(name, action)
            if answer is not None and self.books[name] is book:
                self.handle(name, answer)

    def _carry_out(self, name, action):
        if isinstance(action, ReturnVerdict):
            self.verdicts[action.id] = action.verdict
            if action.verdict == Proceed():
                key = self._keys[action.id]
                self.runs[key] = self.runs.get(key, 0) + 1
        elif isinstance(action, ReadSlot):
            if self.down:
                return ReadFailed(action.slot)
            return SlotRead(
                action.slot,
                *self.store.get(slot_key(0, action.slot), (0, b"")),
            )
        elif isinstance(action, WriteSlot):
            return self._write(name, action)
        else:
            assert isinstance(action, WakeAt)
        return None

    def _write(self, name, action):
        if self.down:
            return WriteFailed()
        fault = self.faults.pop(0) if self.faults else ""
        if fault in ("late", "end"):
            self._late.append(action)
        if fault == "end":
            self.start(name)
        if fault in ("late", "end", "drop"):
            return WriteUnconfirmed()
        done = self._swap(action)
        self.down = fault == "lose-down"
        if fault:
            return WriteUnconfirmed()
        return Written(self.version) if done else WriteConflict()

    def _swap(self, action):
        key = slot_key(0, action.slot)
        if self.store.get(key, (0, b""))[0] != action.version:
            return False
        self.version += 1
        self.writes += 1
        self.store[key] = (self.version, action.value)
        return True
