"""Measures store writes and latency of claims by shards and batching.

Runs the core's claim shards in virtual time against a store whose calls
take a fixed time. Hosts and networks are not modelled.

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
STORE_WRITES_PER_S: Final = 300  # lower end of "several hundred"
STORE_CALL_MS: Final = 4
RUN_DURATION_MS: Final = 60
RUN_LIMIT_MS: Final = 20_000
WARM_UP_MS: Final = 2_000
ANSWER: Final = StoredAnswer(
    201, (("content-type", "application/json"),), b'{"number": 1234567}'
)
MS_PER_SECOND: Final = 1_000


class Simulation:
    """Routers with their claim shards and one store, in virtual time.

    Args:
        routers: Number of routers.
        shards: Number of shards.
        gap_ms: Commit interval of a claim shard, in ms.
        meet: Whether each request goes to the home router of its shard.

    Attributes:
        calls: Number of store calls by kind, without the warm-up.
        latencies_ms: Times from request to verdict, without the warm-up.
        verdicts: Number of verdicts by class, without the warm-up.
        bytes_written: Bytes written to the store, without the warm-up.
    """

    def __init__(self, routers: int, shards: int, gap_ms: int, meet: bool):
        self._rng = random.Random(1)
        self._names = [f"r{number}" for number in range(routers)]
        self._shards, self._interval_ms, self._to_home = shards, gap_ms, meet
        self._store: dict[str, tuple[int, bytes]] = {}
        self._claim_shards: dict[tuple[str, int], ClaimShard] = {}
        self._queue: list[tuple[int, int, Any]] = []
        self._sequence = itertools.count()
        self._pending: dict[str, tuple[int, bytes]] = {}
        self.now_ms = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.latencies_ms: list[int] = []
        self.verdicts: collections.Counter[str] = collections.Counter()
        self.bytes_written = 0

    def run(self, keys_per_s: float, seconds: int) -> dict[str, float]:
        """Sends requests with keys and returns the row of their costs."""
        end_ms = WARM_UP_MS + seconds * MS_PER_SECOND
        at_ms = 0.0
        for number in itertools.count():
            at_ms += self._rng.expovariate(keys_per_s) * MS_PER_SECOND
            if at_ms >= end_ms:
                break
            self._push(int(at_ms), ("arrive", number))
        started = time.process_time()
        while self._queue:
            self.now_ms, _, job = heapq.heappop(self._queue)
            self._process(job)
        return self._summarise(seconds, time.process_time() - started)

    def _summarise(self, seconds: int, cpu_s: float) -> dict[str, float]:
        latencies = sorted(self.latencies_ms)
        claims = len(latencies)
        return {
            "claims_per_s": round(claims / seconds, 1),
            "writes_per_s": round(self.calls["write"] / seconds, 1),
            "reads_per_s": round(self.calls["read"] / seconds, 1),
            "conflicts_per_s": round(self.calls["conflict"] / seconds, 1),
            "writes_per_claim": round(self.calls["write"] / claims, 3),
            "p50_ms": latencies[claims // 2],
            "p99_ms": latencies[claims * 99 // 100],
            "kb_written_per_s": round(self.bytes_written / seconds / 1e3, 1),
            "refused": self.verdicts["Reject"],
            "cpu_us_per_claim": round(cpu_s * 1e6 / claims, 1),
        }

    def _push(self, at_ms: int, job: Any) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._sequence), job))

    def _process(self, job: Any) -> None:
        kind, *rest = job
        if kind == "arrive":
            self._arrive(rest[0])
        elif kind == "event":
            self._feed_shard(*rest)
        else:
            self._answer_store_call(*rest)

    def _arrive(self, number: int) -> None:
        digest = digest_key("w1", f"key-{number}")
        shard = shard_of(digest, self._shards)
        name = self._rng.choice(self._names)
        if self._to_home:
            name = choose_home(shard.to_bytes(4, "big"), self._names) or name
        id = f"q{number}"
        self._pending[id] = (self.now_ms, digest)
        self._feed_shard(
            (name, shard), ClaimRequest(id, digest, b"f" * 16, RUN_LIMIT_MS)
        )

    def _feed_shard(self, shard_id: tuple[str, int], event: Event) -> None:
        claim_shard = self._claim_shards.get(shard_id)
        if claim_shard is None:
            claim_shard = ClaimShard(
                f"{shard_id[0]}/1", commit_interval_ms=self._interval_ms
            )
            self._claim_shards[shard_id] = claim_shard
        for action in claim_shard.handle(event, self.now_ms, self.now_ms):
            self._perform(shard_id, action)

    def _perform(self, shard_id: tuple[str, int], action: Action) -> None:
        if isinstance(action, WakeAt):
            self._push(action.at_ms, ("event", shard_id, Tick()))
        elif isinstance(action, ReturnVerdict):
            self._record_verdict(shard_id, action)
        else:
            at_store_ms = self.now_ms + STORE_CALL_MS // 2
            self._push(at_store_ms, ("store", shard_id, action))

    def _record_verdict(
        self, shard_id: tuple[str, int], action: ReturnVerdict
    ) -> None:
        arrived_ms, digest = self._pending.pop(action.id)
        if arrived_ms >= WARM_UP_MS:
            self.latencies_ms.append(self.now_ms - arrived_ms)
            self.verdicts[type(action.verdict).__name__] += 1
        if action.verdict == Proceed():
            ended = RunEnded(digest, RunResult(Outcome.RUN, ANSWER))
            self._push(
                self.now_ms + RUN_DURATION_MS, ("event", shard_id, ended)
            )

    def _answer_store_call(
        self, shard_id: tuple[str, int], action: ReadSlot | WriteSlot
    ) -> None:
        key = slot_key(shard_id[1], action.slot)
        version, value = self._store.get(key, (0, b""))
        answer: Event = SlotRead(action.slot, version, value)
        kind = "read"
        if isinstance(action, WriteSlot):
            kind = "write"
            answer = WriteConflict()
            if version == action.version:
                self._store[key] = (version + 1, action.value)
                answer = Written(version + 1)
            elif self.now_ms >= WARM_UP_MS:
                self.calls["conflict"] += 1
        if self.now_ms >= WARM_UP_MS:
            self.calls[kind] += 1
            if isinstance(action, WriteSlot):
                self.bytes_written += len(action.value)
        self._push(
            self.now_ms + STORE_CALL_MS // 2, ("event", shard_id, answer)
        )


def measure_tickets() -> dict[str, float]:
    """Returns the cost of minted keys, which need no store."""
    issuer = TicketIssuer("r1", 1, b"s" * 32, random.Random(1))
    fingerprint = b"f" * 16
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(MAX_TICKETS):
        key = issuer.mint("w1", 0)
        issuer.admit("w1", key, fingerprint, frozenset(), 0)
        issuer.settle(key, RunResult(Outcome.RUN, ANSWER))
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    issuer = TicketIssuer("r1", 1, b"s" * 32, random.Random(1))
    started = time.process_time()
    for _ in range(MAX_TICKETS):
        key = issuer.mint("w1", 0)
        issuer.admit("w1", key, fingerprint, frozenset(), 0)
        issuer.settle(key, RunResult(Outcome.RUN, ANSWER))
    cpu_s = time.process_time() - started
    return {
        "cpu_us_per_key": round(cpu_s * 1e6 / MAX_TICKETS, 1),
        "bytes_per_used_key": round((allocated - before) / MAX_TICKETS),
        "table_mb_when_full": round((allocated - before) / 1e6, 1),
    }


CASES: Final = [
    # routers, shards, commit interval in ms, requests go to the home
    # router of their shard, share of requests with a key
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
    """Runs every case, prints a table and writes JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    default = pathlib.Path(__file__).parent / "out" / "at_most_once.json"
    parser.add_argument("--out", type=pathlib.Path, default=default)
    parser.add_argument("--seconds", type=int, default=10)
    args = parser.parse_args()
    rows = []
    for routers, shards, gap_ms, meet, share in CASES:
        simulation = Simulation(routers, shards, gap_ms, meet)
        row = {
            "routers": routers,
            "shards": shards,
            "gap_ms": gap_ms,
            "meet": meet,
            "share": share,
            **simulation.run(REQUESTS_PER_S * share, args.seconds),
        }
        rows.append(row)
        if len(rows) == 1:
            print(" ".join(name[:11].rjust(11) for name in row))
        print(" ".join(str(value).rjust(11) for value in row.values()))
    tickets = measure_tickets()
    print("minted keys:", tickets)
    results: dict[str, Any] = {
        "store_writes_per_s": STORE_WRITES_PER_S,
        "rows": rows,
    }
    results["minted"] = tickets
    args.out.parent.mkdir(parents=True, exist_ok=True)
    args.out.write_text(json.dumps(results, indent=1), encoding="utf-8")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
