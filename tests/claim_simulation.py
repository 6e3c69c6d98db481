"""Simulation of claim shards of several routers with one store."""

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


class ClaimSimulation:
    """A store and one claim shard for each router, with injected faults.

    Attributes:
        faults: Faults of the next writes. Their answers are lost: "lose"
            takes effect, "late" takes effect only in `apply_late_writes`,
            "drop" never does, "lose-down" takes effect and makes the store
            unreachable, "end" is late and replaces the router.
        store_down: Whether the store is unreachable.
        runs: Number of runs that each key was allowed.
    """

    def __init__(self, slots=4, commit_interval_ms=0):
        self.now_ms = 0
        self.store = {}
        self.version = 0
        self.writes = 0
        self.faults = []
        self.store_down = False
        self.shards = {}
        self.verdicts = {}
        self.runs = {}
        self._late_writes = []
        self._slots, self._commit_interval_ms = slots, commit_interval_ms
        self._request_count = self._start_count = 0
        self._keys = {}

    def start(self, name):
        """Starts a router, or replaces it by a new, empty incarnation."""
        self._start_count += 1
        owner = f"{name}/{self._start_count}"
        self.shards[name] = ClaimShard(
            owner, self._slots, self._commit_interval_ms
        )

    def request(
        self, name, key, fingerprint=b"f", limit_ms=10_000, first=True
    ):
        """Sends a request to a router; returns its verdict, if any yet."""
        self._request_count += 1
        id = f"q{self._request_count}"
        self._keys[id] = key
        self.handle(name, ClaimRequest(id, key, fingerprint, limit_ms, first))
        return self.verdicts.get(id)

    def settle(self, name, key, ending=RAN):
        """Reports the result of the run of `key` to a router."""
        self.handle(name, RunEnded(key, ending))

    def advance(self, delta_ms):
        """Advances the time and sends a `Tick` to every router."""
        self.now_ms += delta_ms
        for name in list(self.shards):
            self.handle(name, Tick())

    def apply_late_writes(self):
        """Applies the delayed writes."""
        for action in self._late_writes:
            self._compare_and_swap(action)
        self._late_writes = []

    def handle(self, name, event):
        """Handles an event and executes all actions that follow from it."""
        shard = self.shards[name]
        for action in shard.handle(event, self.now_ms, self.now_ms):
            answer = self._execute(name, action)
            if answer is not None and self.shards[name] is shard:
                self.handle(name, answer)

    def _execute(self, name, action):
        if isinstance(action, ReturnVerdict):
            self.verdicts[action.id] = action.verdict
            if action.verdict == Proceed():
                key = self._keys[action.id]
                self.runs[key] = self.runs.get(key, 0) + 1
        elif isinstance(action, ReadSlot):
            if self.store_down:
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
        if self.store_down:
            return WriteFailed()
        fault = self.faults.pop(0) if self.faults else ""
        if fault in ("late", "end"):
            self._late_writes.append(action)
        if fault == "end":
            self.start(name)
        if fault in ("late", "end", "drop"):
            return WriteUnconfirmed()
        done = self._compare_and_swap(action)
        self.store_down = fault == "lose-down"
        if fault:
            return WriteUnconfirmed()
        return Written(self.version) if done else WriteConflict()

    def _compare_and_swap(self, action):
        key = slot_key(0, action.slot)
        if self.store.get(key, (0, b""))[0] != action.version:
            return False
        self.version += 1
        self.writes += 1
        self.store[key] = (self.version, action.value)
        return True
