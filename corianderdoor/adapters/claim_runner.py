"""Runs the claims on caller-chosen keys against the key-value service."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

import anyio
from anyio.abc import TaskGroup
from expression import Result

from ..core.claim_log import shard_of, slot_key
from ..core.claim_messages import (
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
from ..core.claims import ClaimShard
from ..core.clock import Clock, MS_PER_SECOND
from ..core.errors import Kind, Outcome
from ..core.once import Proceed, reject_unverified, RunResult, Verdict
from ..ports.store import Store

CLAIM_TIMEOUT_MS: Final = 5_000
CLAIM_RETRY_MS: Final = 1_000
FLUSH_TIMEOUT_MS: Final = 1_500
FLUSH_POLL_MS: Final = 20


class _Waiter:
    """A request waiting for its verdict."""

    __slots__ = ("decided", "verdict")

    def __init__(self) -> None:
        self.decided = anyio.Event()
        self.verdict: Verdict | None = None


class ClaimRunner:
    """Runs the claim shards of one router against the service."""

    __slots__ = ("_owner", "_store", "_clock", "_shards", "_waiters", "_tasks")

    def __init__(self, owner: str, store: Store, clock: Clock) -> None:
        self._owner = owner
        self._store = store
        self._clock = clock
        self._shards: dict[int, ClaimShard] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Runs the actions of the shards until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tasks = tg
            await anyio.sleep_forever()

    async def admit(self, request: ClaimRequest) -> Verdict:
        """Returns the verdict on a request.

        A verdict to proceed is returned only after the claim is in the log.
        After `CLAIM_TIMEOUT_MS` without a verdict, the request is rejected.
        """
        waiter = _Waiter()
        self._waiters[request.id] = waiter
        shard = shard_of(request.digest)
        try:
            self._handle_event(shard, request)
            with anyio.move_on_after(CLAIM_TIMEOUT_MS / MS_PER_SECOND):
                await waiter.decided.wait()
        except BaseException:
            if isinstance(waiter.verdict, Proceed):
                self.settle(request.digest, RunResult(Outcome.NOT_RUN))
            raise
        finally:
            del self._waiters[request.id]
            if waiter.verdict is None:
                self._handle_event(shard, RequestAbandoned(request.id))
        if waiter.verdict is not None:
            return waiter.verdict
        detail = "the key could not be claimed in time"
        return reject_unverified(detail, request.first, CLAIM_RETRY_MS)

    async def flush(self) -> None:
        """Waits, up to a limit, until the log holds every result."""
        with anyio.move_on_after(FLUSH_TIMEOUT_MS / MS_PER_SECOND):
            while any(
                claim_shard.unwritten for claim_shard in self._shards.values()
            ):
                await anyio.sleep(FLUSH_POLL_MS / MS_PER_SECOND)

    def settle(self, digest: bytes, result: RunResult) -> None:
        """Records the result of the run of a claimed key."""
        self._handle_event(shard_of(digest), RunEnded(digest, result))

    def _handle_event(self, shard: int, event: Event) -> None:
        claim_shard = self._shards.get(shard)
        if claim_shard is None:
            claim_shard = self._shards[shard] = ClaimShard(self._owner)
        actions = claim_shard.handle(
            event, self._clock.now_ms(), self._clock.wall_ms()
        )
        for action in actions:
            self._run_action(action, shard)

    @singledispatchmethod
    def _run_action(self, action: Action, shard: int) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_run_action.register
    def _(self, action: ReturnVerdict, shard: int) -> None:
        waiter = self._waiters.get(action.id)
        if waiter is not None:
            waiter.verdict = action.verdict
            waiter.decided.set()

    @_run_action.register
    def _(self, action: ReadSlot, shard: int) -> None:
        self._start(self._read, shard, action)

    @_run_action.register
    def _(self, action: WriteSlot, shard: int) -> None:
        self._start(self._write, shard, action)

    @_run_action.register
    def _(self, action: WakeAt, shard: int) -> None:
        self._start(self._wake, shard, action)

    def _start(self, job: object, shard: int, action: Action) -> None:
        assert self._tasks is not None, "run() is not active"
        self._tasks.start_soon(job, shard, action)  # type: ignore[arg-type]

    async def _read(self, shard: int, action: ReadSlot) -> None:
        match await self._store.read(slot_key(shard, action.slot)):
            case Result(tag="ok", ok=None):
                self._handle_event(shard, SlotRead(action.slot, 0, b""))
            case Result(tag="ok", ok=found) if found is not None:
                self._handle_event(
                    shard, SlotRead(action.slot, found.version, found.value)
                )
            case _:
                self._handle_event(shard, ReadFailed(action.slot))

    async def _write(self, shard: int, action: WriteSlot) -> None:
        key = slot_key(shard, action.slot)
        match await self._store.write(key, action.value, action.version):
            case Result(tag="ok", ok=version):
                self._handle_event(shard, Written(version))
            case Result(error=fault) if fault.kind is Kind.CONFLICT:
                self._handle_event(shard, WriteConflict())
            case Result(error=fault) if fault.outcome is Outcome.NOT_RUN:
                self._handle_event(shard, WriteFailed())
            case _:
                self._handle_event(shard, WriteUnconfirmed())

    async def _wake(self, shard: int, action: WakeAt) -> None:
        delay_ms = max(0, action.at_ms - self._clock.now_ms())
        await anyio.sleep(delay_ms / MS_PER_SECOND)
        self._handle_event(shard, Tick())
