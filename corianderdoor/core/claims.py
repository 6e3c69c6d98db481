"""Claims on callers' own idempotency keys, committed in groups.

One `ClaimBook` is one router's view of one shard. It decides on a key only
with the whole log of the shard in view, writes the claim before the request
may be sent, and joins the claims and endings that wait into one write.
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

COMMIT_GAP_MS: Final = 250
STORE_BACKOFF_MS: Final = 1_000
MAX_WAITING: Final = 2_000
MAX_ENDINGS: Final = 4_000
MAX_BATCH: Final = 200
MAX_RUN_MS: Final = RETENTION_MS // 2


class ClaimShard:
    """One router's view of one shard of claims."""

    __slots__ = (
        "_owner",
        "_view",
        "_reading",
        "_started",
        "_asks",
        "_looks",
        "_endings",
        "_orphans",
        "_write",
        "_number",
        "_next_write_ms",
        "_down_until_ms",
        "_wake_ms",
        "_gap_ms",
        "_now_ms",
        "_wall_ms",
        "_actions",
    )

    def __init__(
        self, owner: str, slots: int = SLOTS, gap_ms: int = COMMIT_GAP_MS
    ) -> None:
        """Starts with nothing known.

        Args:
            owner: Name and incarnation of the router.
            slots: Number of slots in the ring; the same at every router.
            gap_ms: Shortest time between two writes, in ms.
        """
        self._owner = owner
        self._view = ShardView(slots)
        self._reading: set[int] = set()
        self._started: dict[bytes, int] = {}
        self._asks: dict[str, ClaimRequest] = {}
        self._looks: dict[str, int] = {}
        self._endings: dict[bytes, Entry] = {}
        self._orphans: set[bytes] = set()
        self._write: tuple[int, Segment] | None = None
        self._number = 0
        self._next_write_ms = 0
        self._down_until_ms = 0
        self._wake_ms = -1
        self._gap_ms = gap_ms
        self._now_ms = 0
        self._wall_ms = 0
        self._actions: list[Action] = []

    def __len__(self) -> int:
        return len(self._view.claims)

    def handle(self, event: Event, now_ms: int, wall_ms: int) -> list[Action]:
        """Takes one event and returns what to do.

        Args:
            event: What happened.
            now_ms: Monotonic time.
            wall_ms: Unix time, stored with the entries.
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
        """The number of endings that the log does not hold yet."""
        return len(self._endings)

    @_on.register
    def _(self, event: ClaimRequest) -> None:
        if self._is_full():
            detail = "too many keys wait to be claimed"
            verdict = reject_unverified(detail, event.first, STORE_BACKOFF_MS)
            self._actions.append(ReturnVerdict(event.id, verdict))
            return
        self._asks[event.id] = event
        self._looks[event.id] = self._view.looks

    @_on.register
    def _(self, event: RequestAbandoned) -> None:
        ask = self._asks.pop(event.id, None)
        if ask is not None:
            del self._looks[event.id]
            self._orphans.add(ask.digest)

    @_on.register
    def _(self, event: RunEnded) -> None:
        running = event.digest in self._started
        if running and event.digest not in self._endings:
            self._note_ending(event.digest, event.result)

    @_on.register
    def _(self, event: SlotRead) -> None:
        self._reading.discard(event.slot)
        taken = self._view.take(event.slot, event.version, event.value)
        if taken.is_error():
            self._back_off("a record of claims cannot be read")
        self._drop_noted_endings()

    @_on.register
    def _(self, event: ReadFailed) -> None:
        self._reading.discard(event.slot)
        self._back_off("the key-value service does not answer")

    @_on.register
    def _(self, event: Written) -> None:
        assert self._write is not None
        number, segment = self._write
        self._write = None
        self._view.take_own(number, event.version, segment)
        self._drop_noted_endings()

    @_on.register
    def _(self, event: WriteConflict) -> None:
        self._reread()

    @_on.register
    def _(self, event: WriteUnconfirmed) -> None:
        self._reread()

    @_on.register
    def _(self, event: WriteFailed) -> None:
        self._write = None
        self._back_off("the key-value service cannot be reached")

    @_on.register
    def _(self, event: Tick) -> None:
        self._wake_ms = -1

    def _is_full(self) -> bool:
        noted = len(self._endings) + len(self._orphans)
        return len(self._asks) >= MAX_WAITING or noted >= MAX_ENDINGS

    def _reread(self) -> None:
        """Reads again the slot whose state the write left in doubt."""
        assert self._write is not None
        self._view.stale.add(self._write[0])
        self._write = None

    def _back_off(self, detail: str) -> None:
        self._down_until_ms = self._now_ms + STORE_BACKOFF_MS
        self._fail_asks(self._decide_asks(), detail)

    def _fail_asks(self, asks: list[ClaimRequest], detail: str) -> None:
        for ask in asks:
            claim = self._view.claims.get(ask.digest)
            if claim is not None:
                self._conclude(ask.id, reject_in_progress(claim.owner))
                continue
            verdict = reject_unverified(detail, ask.first, STORE_BACKOFF_MS)
            self._conclude(ask.id, verdict)
            self._orphans.add(ask.digest)

    def _note_ending(self, digest: bytes, result: RunResult) -> None:
        number = self._started[digest]
        self._endings[digest] = build_result_entry(
            digest, self._owner, number, self._wall_ms, result
        )

    def _release_orphans(self) -> None:
        """Ends claims that were written after their requests were refused."""
        wanted = {ask.digest for ask in self._asks.values()}
        for digest in self._orphans - wanted:
            claim = self._view.claims.get(digest)
            if claim is None or claim.owner != self._owner:
                continue
            if claim.outcome is None and digest not in self._started:
                self._started[digest] = claim.number
                self._note_ending(digest, RunResult(Outcome.NOT_RUN))
        if self._write is None and not self._view.stale:
            self._orphans.clear()

    def _drop_noted_endings(self) -> None:
        for digest in self._started.keys() - self._view.claims.keys():
            del self._started[digest]
        for digest, entry in list(self._endings.items()):
            claim = self._view.claims.get(digest)
            if claim is None or not ends_claim(entry, claim):
                noted = True
            else:
                noted = claim.outcome is not None
            if noted:
                del self._endings[digest]
                self._started.pop(digest, None)

    def _advance(self) -> None:
        """Does what the present view allows."""
        asks = self._decide_asks()
        self._release_orphans()
        waiting = asks or self._endings or self._orphans
        if self._write is not None or not waiting:
            return
        if self._now_ms < self._down_until_ms:
            self._fail_asks(asks, "the key-value service does not answer")
            if self._endings or self._orphans:
                self._wake(self._down_until_ms)
        elif self._view.stale:
            for slot in sorted(self._view.stale - self._reading):
                self._reading.add(slot)
                self._actions.append(ReadSlot(slot))
        elif self._now_ms < self._next_write_ms:
            self._wake(self._next_write_ms)
        else:
            self._commit(asks)

    def _decide_asks(self) -> list[ClaimRequest]:
        """Tells every verdict that needs no write; returns the rest."""
        rest: list[ClaimRequest] = []
        for ask in list(self._asks.values()):
            claim = self._view.claims.get(ask.digest)
            decision = self._judge(ask, claim)
            if decision in (Decision.CLAIM, Decision.HOLD):
                rest.append(ask)
            elif self._may_be_outdated(ask, claim):
                rest.append(ask)
                self._view.look_again()
            else:
                self._conclude(ask.id, self._carry_out(decision, ask, claim))
        return rest

    def _may_be_outdated(self, ask: ClaimRequest, claim: Claim | None) -> bool:
        """Tells whether another router may have ended `claim` since."""
        if claim is None or claim.outcome is not None:
            return False
        seen_since = self._view.looks > self._looks[ask.id]
        return claim.owner != self._owner and not seen_since

    def _judge(self, ask: ClaimRequest, claim: Claim | None) -> Decision:
        if claim is None:
            return decide_claim(Holder.NOBODY, None, False)
        if claim.fingerprint != ask.fingerprint:
            return Decision.REUSED
        holder = self._find_holder(ask, claim)
        before_deadline = self._wall_ms < claim.until_ms
        return decide_claim(holder, claim.outcome, before_deadline)

    def _find_holder(self, ask: ClaimRequest, claim: Claim) -> Holder:
        if claim.owner != self._owner:
            return Holder.OTHER
        if self._started.get(ask.digest) != claim.number:
            return Holder.SELF_UNSTARTED
        if ask.digest in self._endings:
            return Holder.SELF_ENDING
        return Holder.SELF_RUNNING

    def _carry_out(
        self, decision: Decision, ask: ClaimRequest, claim: Claim | None
    ) -> Verdict:
        assert claim is not None
        match decision:
            case Decision.RUN:
                self._started[ask.digest] = claim.number
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

    def _conclude(self, id: str, verdict: Verdict) -> None:
        del self._asks[id]
        del self._looks[id]
        self._actions.append(ReturnVerdict(id, verdict))

    def _commit(self, asks: list[ClaimRequest]) -> None:
        number, segment = self._view.pick_segment()
        to_claim = self._find_unclaimed(asks)
        if not self._view.has_room(segment, self._wall_ms):
            for ask in to_claim:
                self._conclude(ask.id, reject_full("the record of keys"))
            to_claim = []
        added = self._build_batch(to_claim)
        if not added:
            return
        segment = Segment(segment.serial, False, segment.entries + added)
        value = encode_segment(segment)
        if len(value) > MAX_SEGMENT_BYTES:
            self._endings.clear()
            return
        if len(value) >= SEGMENT_BYTES and self._view.may_open(
            segment.serial + 1, self._wall_ms
        ):
            segment = Segment(segment.serial, True, segment.entries)
            value = encode_segment(segment)
        self._write = (number, segment)
        self._next_write_ms = self._now_ms + self._gap_ms
        version = self._view.version(number)
        self._actions.append(WriteSlot(number, version, value))

    def _find_unclaimed(self, asks: list[ClaimRequest]) -> list[ClaimRequest]:
        """Returns one request for each key that nobody has claimed."""
        by_digest: dict[bytes, ClaimRequest] = {}
        for ask in asks:
            if ask.digest not in self._view.claims:
                by_digest.setdefault(ask.digest, ask)
        return list(by_digest.values())

    def _build_batch(self, to_claim: list[ClaimRequest]) -> tuple[Entry, ...]:
        endings = list(self._endings.values())[:MAX_BATCH]
        asks = to_claim[:MAX_BATCH]
        return tuple(endings) + tuple(self._build_claim(ask) for ask in asks)

    def _build_claim(self, ask: ClaimRequest) -> Entry:
        self._number += 1
        return Entry(
            ask.digest,
            self._owner,
            self._number,
            self._wall_ms,
            fingerprint=ask.fingerprint,
            until_ms=self._wall_ms + min(ask.limit_ms, MAX_RUN_MS),
        )

    def _wake(self, at_ms: int) -> None:
        if self._wake_ms != at_ms:
            self._wake_ms = at_ms
            self._actions.append(WakeAt(at_ms))
