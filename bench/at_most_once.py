"""Store writes and latency of claims, by number of shards and batching.

Drives the core's claim books with virtual time against a store whose calls
take a fixed time. Nothing here is a model of hosts or networks.

Run: python bench/at_most_once.py [--out FILE] [--seconds N]
"""

from __future__ import annotations

import argparse
import collections
import heapq
import itertools
import json
import pathlib
import random
import time
import tracemalloc
from typing import Any, Final

from corianderdoor.core.claim_log import choose_home, shard_of, slot_key
from corianderdoor.core.claim_messages import (
    Action,
    ClaimRequest,
    Event,
    ReadSlot,
    ReturnVerdict,
    RunEnded,
    SlotRead,
    Tick,
    WakeAt,
    WriteConflict,
    WriteSlot,
    Written,
)
from corianderdoor.core.claims import ClaimShard
from corianderdoor.core.errors import Outcome
from corianderdoor.core.once import (
    digest_key,
    Proceed,
    RunResult,
    StoredAnswer,
)
from corianderdoor.core.tickets import MAX_TICKETS, TicketIssuer

REQUESTS_PER_S: Final = 23_000
STORE_WRITES_PER_S: Final = 300  # the lower end of "several hundred"
STORE_CALL_MS: Final = 4
RUN_MS: Final = 60
LIMIT_MS: Final = 20_000
WARM_MS: Final = 2_000
KEPT: Final = StoredAnswer(
    201, (("content-type", "application/json"),), b'{"number": 1234567}'
)
MS_PER_SECOND: Final = 1_000


class Trial:
    """Some routers, their books and one store, in virtual time."""

    def __init__(self, routers: int, shards: int, gap_ms: int, meet: bool):
        self._rng = random.Random(1)
        self._names = [f"r{number}" for number in range(routers)]
        self._shards, self._gap_ms, self._meet = shards, gap_ms, meet
        self._store: dict[str, tuple[int, bytes]] = {}
        self._books: dict[tuple[str, int], ClaimShard] = {}
        self._queue: list[tuple[int, int, Any]] = []
        self._order = itertools.count()
        self._asked: dict[str, tuple[int, bytes]] = {}
        self.now_ms = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.waits_ms: list[int] = []
        self.verdicts: collections.Counter[str] = collections.Counter()
        self.bytes_written = 0

    def run(self, keys_per_s: float, seconds: int) -> dict[str, float]:
        """Sends keyed requests and returns what they cost."""
        end_ms = WARM_MS + seconds * MS_PER_SECOND
        at_ms = 0.0
        for number in itertools.count():
            at_ms += self._rng.expovariate(keys_per_s) * MS_PER_SECOND
            if at_ms >= end_ms:
                break
            self._push(int(at_ms), ("arrive", number))
        began = time.process_time()
        while self._queue:
            self.now_ms, _, job = heapq.heappop(self._queue)
            self._do(job)
        return self._sum_up(seconds, time.process_time() - began)

    def _sum_up(self, seconds: int, cpu_s: float) -> dict[str, float]:
        waits = sorted(self.waits_ms)
        claims = len(waits)
        return {
            "claims_per_s": round(claims / seconds, 1),
            "writes_per_s": round(self.calls["write"] / seconds, 1),
            "reads_per_s": round(self.calls["read"] / seconds, 1),
            "conflicts_per_s": round(self.calls["conflict"] / seconds, 1),
            "writes_per_claim": round(self.calls["write"] / claims, 3),
            "p50_ms": waits[claims // 2],
            "p99_ms": waits[claims * 99 // 100],
            "kb_written_per_s": round(self.bytes_written / seconds / 1e3, 1),
            "refused": self.verdicts["Reject"],
            "cpu_us_per_claim": round(cpu_s * 1e6 / claims, 1),
        }

    def _push(self, at_ms: int, job: Any) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._order), job))

    def _do(self, job: Any) -> None:
        kind, *rest = job
        if kind == "arrive":
            self._arrive(rest[0])
        elif kind == "event":
            self._hand_in(*rest)
        else:
            self._serve_store(*rest)

    def _arrive(self, number: int) -> None:
        digest = digest_key("w1", f"key-{number}")
        shard = shard_of(digest, self._shards)
        name = self._rng.choice(self._names)
        if self._meet:
            name = choose_home(shard.to_bytes(4, "big"), self._names) or name
        id = f"q{number}"
        self._asked[id] = (self.now_ms, digest)
        self._hand_in(
            (name, shard), ClaimRequest(id, digest, b"f" * 16, LIMIT_MS)
        )

    def _hand_in(self, place: tuple[str, int], event: Event) -> None:
        book = self._books.get(place)
        if book is None:
            book = ClaimShard(f"{place[0]}/1", commit_interval_ms=self._gap_ms)
            self._books[place] = book
        for action in book.handle(event, self.now_ms, self.now_ms):
            self._carry_out(place, action)

    def _carry_out(self, place: tuple[str, int], action: Action) -> None:
        if isinstance(action, WakeAt):
            self._push(action.at_ms, ("event", place, Tick()))
        elif isinstance(action, ReturnVerdict):
            self._note(place, action)
        else:
            half_ms = self.now_ms + STORE_CALL_MS // 2
            self._push(half_ms, ("store", place, action))

    def _note(self, place: tuple[str, int], action: ReturnVerdict) -> None:
        asked_ms, digest = self._asked.pop(action.id)
        if asked_ms >= WARM_MS:
            self.waits_ms.append(self.now_ms - asked_ms)
            self.verdicts[type(action.verdict).__name__] += 1
        if action.verdict == Proceed():
            ended = RunEnded(digest, RunResult(Outcome.RUN, KEPT))
            self._push(self.now_ms + RUN_MS, ("event", place, ended))

    def _serve_store(
        self, place: tuple[str, int], action: ReadSlot | WriteSlot
    ) -> None:
        key = slot_key(place[1], action.slot)
        version, value = self._store.get(key, (0, b""))
        answer: Event = SlotRead(action.slot, version, value)
        kind = "read"
        if isinstance(action, WriteSlot):
            kind = "write"
            answer = WriteConflict()
            if version == action.version:
                self._store[key] = (version + 1, action.value)
                answer = Written(version + 1)
            elif self.now_ms >= WARM_MS:
                self.calls["conflict"] += 1
        if self.now_ms >= WARM_MS:
            self.calls[kind] += 1
            if isinstance(action, WriteSlot):
                self.bytes_written += len(action.value)
        self._push(self.now_ms + STORE_CALL_MS // 2, ("event", place, answer))


def measure_tickets() -> dict[str, float]:
    """Returns what a minted key costs, which needs no store at all."""
    desk = TicketIssuer("r1", 1, b"s" * 32, random.Random(1))
    fingerprint = b"f" * 16
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(MAX_TICKETS):
        key = desk.mint("w1", 0)
        desk.admit("w1", key, fingerprint, frozenset(), 0)
        desk.settle(key, RunResult(Outcome.RUN, KEPT))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    desk = TicketIssuer("r1", 1, b"s" * 32, random.Random(1))
    began = time.process_time()
    for _ in range(MAX_TICKETS):
        key = desk.mint("w1", 0)
        desk.admit("w1", key, fingerprint, frozenset(), 0)
        desk.settle(key, RunResult(Outcome.RUN, KEPT))
    cpu_s = time.process_time() - began
    return {
        "cpu_us_per_key": round(cpu_s * 1e6 / MAX_TICKETS, 1),
        "bytes_per_used_key": round((held - before) / MAX_TICKETS),
        "table_mb_when_full": round((held - before) / 1e6, 1),
    }


TRIALS: Final = [
    # routers, shards, gap in ms, meet at the home, share of keyed requests
    (8, 32, 250, True, 0.0002),
    (330, 32, 250, True, 0.01),
    (330, 32, 250, True, 0.05),
    (330, 32, 250, True, 0.10),
    (330, 8, 250, True, 0.05),
    (330, 16, 250, True, 0.05),
    (330, 64, 250, True, 0.05),
    (330, 32, 50, True, 0.05),
    (330, 32, 500, True, 0.05),
    (330, 32, 0, True, 0.05),
    (8, 32, 250, False, 0.0002),
    (330, 32, 250, False, 0.01),
]


def main() -> int:
    """Runs every trial, prints a table and writes JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    default = pathlib.Path(__file__).parent / "out" / "at_most_once.json"
    parser.add_argument("--out", type=pathlib.Path, default=default)
    parser.add_argument("--seconds", type=int, default=10)
    args = parser.parse_args()
    rows = []
    for routers, shards, gap_ms, meet, share in TRIALS:
        trial = Trial(routers, shards, gap_ms, meet)
        row = {
            "routers": routers,
            "shards": shards,
            "gap_ms": gap_ms,
            "meet": meet,
            "share": share,
            **trial.run(REQUESTS_PER_S * share, args.seconds),
        }
        rows.append(row)
        if len(rows) == 1:
            print(" ".join(name[:11].rjust(11) for name in row))
        print(" ".join(str(value).rjust(11) for value in row.values()))
    tickets = measure_tickets()
    print("minted keys:", tickets)
    bound: dict[str, Any] = {
        "store_writes_per_s": STORE_WRITES_PER_S,
        "rows": rows,
    }
    bound["minted"] = tickets
    args.out.parent.mkdir(parents=True, exist_ok=True)
    args.out.write_text(json.dumps(bound, indent=1), encoding="utf-8")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
