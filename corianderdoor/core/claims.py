"""Claims on idempotency keys chosen by callers, with group commit.

Each router has one `ClaimShard` for each shard. It decides on a key only
after it has read the complete log of the shard, writes the claim before the
request may be sent, and batches pending claims and results into one write.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from .claim_log import (
    build_result_entry,
    Claim,
    encode_segment,
    ends_claim,
    Entry,
    MAX_SEGMENT_BYTES,
    RETENTION_MS,
    Segment,
    SEGMENT_BYTES,
    SLOTS,
)
from .claim_messages import (
    Action,
    ClaimRequest,
    Event,
    ReadFailed,
    ReadSlot,
    RequestAbandoned,
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
from .claim_rule import decide_claim, Decision, Holder
from .claim_view import ShardView
from .errors import Outcome
from .once import (
    Proceed,
    reject_full,
    reject_in_progress,
    reject_reused,
    reject_unknown,
    reject_unverified,
    replay_or_reject,
    RunResult,
    Verdict,
)

COMMIT_INTERVAL_MS: Final = 250
STORE_BACKOFF_MS: Final = 1_000
MAX_PENDING: Final = 2_000
MAX_UNWRITTEN_RESULTS: Final = 4_000
MAX_BATCH: Final = 200
MAX_RUN_MS: Final = RETENTION_MS // 2


class ClaimShard:
    """State machine of one router for the claims of one shard."""

    __slots__ = (
        "_owner",
        "_view",
        "_reading",
        "_started",
        "_pending",
        "_refreshes_seen",
        "_results",
        "_orphans",
        "_write",
        "_number",
        "_next_write_ms",
        "_backoff_until_ms",
        "_wake_ms",
        "_commit_interval_ms",
        "_now_ms",
        "_wall_ms",
        "_actions",
    )

    def __init__(
        self,
        owner: str,
        slots: int = SLOTS,
        commit_interval_ms: int = COMMIT_INTERVAL_MS,
    ) -> None:
        """Initialises the shard; every slot has to be read first.

        Args:
            owner: Name and incarnation of the router.
            slots: Number of slots in the ring; the same at every router.
            commit_interval_ms: Minimum time between two writes, in ms.
        """
        self._owner = owner
        self._view = ShardView(slots)
        self._reading: set[int] = set()
        self._started: dict[bytes, int] = {}
        self._pending: dict[str, ClaimRequest] = {}
        self._refreshes_seen: dict[str, int] = {}
        self._results: dict[bytes, Entry] = {}
        self._orphans: set[bytes] = set()
        self._write: tuple[int, Segment] | None = None
        self._number = 0
        self._next_write_ms = 0
        self._backoff_until_ms = 0
        self._wake_ms = -1
        self._commit_interval_ms = commit_interval_ms
        self._now_ms = 0
        self._wall_ms = 0
        self._actions: list[Action] = []

    def __len__(self) -> int:
        return len(self._view.claims)

    def handle(self, event: Event, now_ms: int, wall_ms: int) -> list[Action]:
        """Handles one event and returns the actions to perform, in order.

        Args:
            event: What happened.
            now_ms: Monotonic time, in ms.
            wall_ms: Unix time in ms, stored with the entries.
        """
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._actions = []
        self._on(event)
        self._advance()
        return self._actions

    @singledispatchmethod
    def _on(self, event: Event) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @property
    def unwritten(self) -> int:
        """Number of results that are not in the log yet."""
        return len(self._results)

    @_on.register
    def _(self, event: ClaimRequest) -> None:
        if self._is_full():
            detail = "too many keys wait to be claimed"
            verdict = reject_unverified(detail, event.first, STORE_BACKOFF_MS)
            self._actions.append(ReturnVerdict(event.id, verdict))
            return
        self._pending[event.id] = event
        self._refreshes_seen[event.id] = self._view.refreshes

    @_on.register
    def _(self, event: RequestAbandoned) -> None:
        req = self._pending.pop(event.id, None)
        if req is not None:
            del self._refreshes_seen[event.id]
            self._orphans.add(req.digest)

    @_on.register
    def _(self, event: RunEnded) -> None:
        running = event.digest in self._started
        if running and event.digest not in self._results:
            self._record_result(event.digest, event.result)

    @_on.register
    def _(self, event: SlotRead) -> None:
        self._reading.discard(event.slot)
        applied = self._view.apply_read(event.slot, event.version, event.value)
        if applied.is_error():
            self._back_off("a record of claims cannot be read")
        self._drop_written_results()

    @_on.register
    def _(self, event: ReadFailed) -> None:
        self._reading.discard(event.slot)
        self._back_off("the key-value service does not answer")

    @_on.register
    def _(self, event: Written) -> None:
        assert self._write is not None
        number, segment = self._write
        self._write = None
        self._view.apply_write(number, event.version, segment)
        self._drop_written_results()

    @_on.register
    def _(self, event: WriteConflict) -> None:
        self._mark_stale()

    @_on.register
    def _(self, event: WriteUnconfirmed) -> None:
        self._mark_stale()

    @_on.register
    def _(self, event: WriteFailed) -> None:
        self._write = None
        self._back_off("the key-value service cannot be reached")

    @_on.register
    def _(self, event: Tick) -> None:
        self._wake_ms = -1

    def _is_full(self) -> bool:
        backlog = len(self._results) + len(self._orphans)
        return (
            len(self._pending) >= MAX_PENDING
            or backlog >= MAX_UNWRITTEN_RESULTS
        )

    def _mark_stale(self) -> None:
        """Marks the slot of a conflicting or unconfirmed write for reading."""
        assert self._write is not None
        self._view.stale.add(self._write[0])
        self._write = None

    def _back_off(self, detail: str) -> None:
        self._backoff_until_ms = self._now_ms + STORE_BACKOFF_MS
        self._reject_requests(self._decide_pending(), detail)

    def _reject_requests(self, reqs: list[ClaimRequest], detail: str) -> None:
        for req in reqs:
            claim = self._view.claims.get(req.digest)
            if claim is not None:
                self._return_verdict(req.id, reject_in_progress(claim.owner))
                continue
            verdict = reject_unverified(detail, req.first, STORE_BACKOFF_MS)
            self._return_verdict(req.id, verdict)
            self._orphans.add(req.digest)

    def _record_result(self, digest: bytes, result: RunResult) -> None:
        number = self._started[digest]
        self._results[digest] = build_result_entry(
            digest, self._owner, number, self._wall_ms, result
        )

    def _release_orphans(self) -> None:
        """Releases claims written after their request was rejected."""
        wanted = {req.digest for req in self._pending.values()}
        for digest in self._orphans - wanted:
            claim = self._view.claims.get(digest)
            if claim is None or claim.owner != self._owner:
                continue
            if claim.outcome is None and digest not in self._started:
                self._started[digest] = claim.number
                self._record_result(digest, RunResult(Outcome.NOT_RUN))
        if self._write is None and not self._view.stale:
            self._orphans.clear()

    def _drop_written_results(self) -> None:
        for digest in self._started.keys() - self._view.claims.keys():
            del self._started[digest]
        for digest, entry in list(self._results.items()):
            claim = self._view.claims.get(digest)
            if claim is None or not ends_claim(entry, claim):
                written = True
            else:
                written = claim.outcome is not None
            if written:
                del self._results[digest]
                self._started.pop(digest, None)

    def _advance(self) -> None:
        """Returns verdicts, then starts the reads or the write now due."""
        reqs = self._decide_pending()
        self._release_orphans()
        has_work = reqs or self._results or self._orphans
        if self._write is not None or not has_work:
            return
        if self._now_ms < self._backoff_until_ms:
            self._reject_requests(
                reqs, "the key-value service does not answer"
            )
            if self._results or self._orphans:
                self._wake_at(self._backoff_until_ms)
        elif self._view.stale:
            for slot in sorted(self._view.stale - self._reading):
                self._reading.add(slot)
                self._actions.append(ReadSlot(slot))
        elif self._now_ms < self._next_write_ms:
            self._wake_at(self._next_write_ms)
        else:
            self._commit(reqs)

    def _decide_pending(self) -> list[ClaimRequest]:
        """Returns the verdicts that need no write, and the other requests."""
        rest: list[ClaimRequest] = []
        for req in list(self._pending.values()):
            claim = self._view.claims.get(req.digest)
            decision = self._decide(req, claim)
            if decision in (Decision.CLAIM, Decision.HOLD):
                rest.append(req)
            elif self._may_be_stale(req, claim):
                rest.append(req)
                self._view.refresh_head()
            else:
                self._return_verdict(
                    req.id, self._execute(decision, req, claim)
                )
        return rest

    def _may_be_stale(self, req: ClaimRequest, claim: Claim | None) -> bool:
        """Returns whether another router may have ended `claim` meanwhile."""
        if claim is None or claim.outcome is not None:
            return False
        seen_since = self._view.refreshes > self._refreshes_seen[req.id]
        return claim.owner != self._owner and not seen_since

    def _decide(self, req: ClaimRequest, claim: Claim | None) -> Decision:
        if claim is None:
            return decide_claim(Holder.NOBODY, None, False)
        if claim.fingerprint != req.fingerprint:
            return Decision.REUSED
        holder = self._find_holder(req, claim)
        before_deadline = self._wall_ms < claim.until_ms
        return decide_claim(holder, claim.outcome, before_deadline)

    def _find_holder(self, req: ClaimRequest, claim: Claim) -> Holder:
        if claim.owner != self._owner:
            return Holder.OTHER
        if self._started.get(req.digest) != claim.number:
            return Holder.SELF_UNSTARTED
        if req.digest in self._results:
            return Holder.SELF_ENDING
        return Holder.SELF_RUNNING

    def _execute(
        self, decision: Decision, req: ClaimRequest, claim: Claim | None
    ) -> Verdict:
        assert claim is not None
        match decision:
            case Decision.RUN:
                self._started[req.digest] = claim.number
                return Proceed()
            case Decision.REPLAY:
                return replay_or_reject(claim.answer)
            case Decision.REUSED:
                return reject_reused()
            case Decision.WAIT:
                return reject_in_progress(claim.owner)
            case _:
                detail = "the first request with this key has no known end"
                return reject_unknown(detail, claim.owner)

    def _return_verdict(self, id: str, verdict: Verdict) -> None:
        del self._pending[id]
        del self._refreshes_seen[id]
        self._actions.append(ReturnVerdict(id, verdict))

    def _commit(self, reqs: list[ClaimRequest]) -> None:
        number, segment = self._view.find_head()
        to_claim = self._find_unclaimed(reqs)
        if not self._view.has_room(segment, self._wall_ms):
            for req in to_claim:
                self._return_verdict(req.id, reject_full("the record of keys"))
            to_claim = []
        added = self._build_batch(to_claim)
        if not added:
            return
        segment = Segment(segment.serial, False, segment.entries + added)
        value = encode_segment(segment)
        if len(value) > MAX_SEGMENT_BYTES:
            self._results.clear()
            return
        if len(value) >= SEGMENT_BYTES and self._view.may_overwrite(
            segment.serial + 1, self._wall_ms
        ):
            segment = Segment(segment.serial, True, segment.entries)
            value = encode_segment(segment)
        self._write = (number, segment)
        self._next_write_ms = self._now_ms + self._commit_interval_ms
        version = self._view.version(number)
        self._actions.append(WriteSlot(number, version, value))

    def _find_unclaimed(self, reqs: list[ClaimRequest]) -> list[ClaimRequest]:
        """Returns one request for each key without a claim."""
        by_digest: dict[bytes, ClaimRequest] = {}
        for req in reqs:
            if req.digest not in self._view.claims:
                by_digest.setdefault(req.digest, req)
        return list(by_digest.values())

    def _build_batch(self, to_claim: list[ClaimRequest]) -> tuple[Entry, ...]:
        results = list(self._results.values())[:MAX_BATCH]
        reqs = to_claim[:MAX_BATCH]
        return tuple(results) + tuple(self._build_claim(req) for req in reqs)

    def _build_claim(self, req: ClaimRequest) -> Entry:
        self._number += 1
        return Entry(
            req.digest,
            self._owner,
            self._number,
            self._wall_ms,
            fingerprint=req.fingerprint,
            until_ms=self._wall_ms + min(req.limit_ms, MAX_RUN_MS),
        )

    def _wake_at(self, at_ms: int) -> None:
        if self._wake_ms != at_ms:
            self._wake_ms = at_ms
            self._actions.append(WakeAt(at_ms))
