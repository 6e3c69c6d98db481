"""One request between its caller and the backend servers."""

from __future__ import annotations

from contextlib import aclosing
from typing import Final, Protocol

import anyio

from ..core.clock import MS_PER_SECOND
from ..core.errors import Fault, Outcome
from ..core.messages import (
    Action,
    Arrived,
    AskPermit,
    Event,
    Failed,
    Finished,
    FirstByte,
    PermitAnswered,
    Refuse,
    Req,
    Resume,
)
from ..core.messages import Send as SendAction
from ..core.messages import Stage, Wait, Waited
from ..core.permits import PermitAnswer
from ..core.topology import Server
from ..ports.backend import Answer, AnswerCut, AttemptFault, Backend, Call
from ..ports.telemetry import RequestEnd, Telemetry
from .logs import log_event
from .problems import send_problem, STATUS_BY_KIND
from .serving import Send

PRIORITY_HEADER: Final = b"corianderdoor-priority"
DEADLINE_MARGIN_MS: Final = 50
EVENT_END = b"\n\n"
MIN_EVENTS_FOR_GAP = 3  # the end marker of a stream counts as one


class EventHandler(Protocol):
    """Hands events to the dispatcher."""

    @property
    def telemetry(self) -> Telemetry:
        """Takes what there is to count."""

    def now_ms(self) -> int:
        """Returns monotonic time in ms."""

    def handle(self, event: Event) -> Action:
        """Returns what to do after `event`, which happened now."""

    async def ask(self, action: AskPermit) -> PermitAnswer | None:
        """Asks another router for a permit."""


class AnswerTiming:
    """When the answer of one request began and how it went on."""

    __slots__ = ("arrived_ms", "first_ms", "last_ms", "events")

    def __init__(self, now_ms: int) -> None:
        self.arrived_ms = now_ms
        self.first_ms: int | None = None
        self.last_ms = now_ms
        self.events = 0

    def add(self, chunk: bytes, now_ms: int) -> None:
        """Counts the events that end in `chunk`, one if there is none."""
        if self.first_ms is None:
            self.first_ms = now_ms
        self.last_ms = now_ms
        self.events += chunk.count(EVENT_END) or 1

    def first_chunk_ms(self) -> int | None:
        """Returns the time to the first byte of the body, in ms."""
        if self.first_ms is None:
            return None
        return self.first_ms - self.arrived_ms

    def gap_ms(self) -> float | None:
        """Returns the mean time between events, in ms."""
        if self.first_ms is None or self.events < MIN_EVENTS_FOR_GAP:
            return None
        return (self.last_ms - self.first_ms) / (self.events - 1)


class Exchange:
    """Follows the dispatcher's actions for one request.

    Attributes:
        ended: Whether the dispatcher has closed the request.
    """

    __slots__ = (
        "ended",
        "_handler",
        "_backend",
        "_req",
        "_call",
        "_send",
        "_started",
        "_answer",
        "_timing",
        "_pool",
    )

    def __init__(
        self,
        handler: EventHandler,
        backend: Backend,
        req: Req,
        call: Call,
        send: Send,
    ) -> None:
        self.ended = False
        self._handler = handler
        self._backend = backend
        self._req = req
        self._call = call
        self._send = send
        self._started = False
        self._answer: Answer | None = None
        self._timing = AnswerTiming(handler.now_ms())
        self._pool = ""

    async def run(self) -> None:
        """Serves the request to its end.

        Raises:
            AnswerCut: The caller has a part of an answer that has no end.
        """
        action = self._handler.handle(Arrived(self._req))
        while True:
            if isinstance(action, (SendAction, Resume)):
                action = await self._attempt(action)
            elif isinstance(action, Wait):
                await anyio.sleep(action.delay_ms / MS_PER_SECOND)
                action = self._handler.handle(Waited(self._req.id))
            elif isinstance(action, AskPermit):
                answer = await self._handler.ask(action)
                action = self._handler.handle(
                    PermitAnswered(self._req.id, answer)
                )
            else:
                break
        self.ended = True
        if isinstance(action, Refuse):
            self._pool = action.pool
            self._record(STATUS_BY_KIND[action.fault.kind], action.fault)
            await self._refuse(action.fault)

    async def _refuse(self, fault: Fault) -> None:
        log_event(
            "request_refused",
            request_id=self._req.id,
            caller_id=self._req.caller_id,
            workspace=self._req.workspace,
            kind=fault.kind.value,
            step=fault.step,
            peer=fault.peer,
            outcome=fault.outcome.value,
            detail=fault.detail,
        )
        if self._started:
            raise AnswerCut(AttemptFault(Stage.ANSWER, fault.detail))
        await send_problem(self._send, fault, self._req.caller_id)

    def _record(self, status: int, fault: Fault | None) -> None:
        timing = self._timing
        self._handler.telemetry.record_end(
            RequestEnd(
                self._req.workspace,
                self._pool,
                self._req.method,
                status,
                fault.outcome if fault else Outcome.RUN,
                fault.kind if fault else None,
                self._handler.now_ms() - timing.arrived_ms,
                timing.first_chunk_ms(),
                timing.gap_ms(),
            )
        )

    async def _attempt(self, action: SendAction | Resume) -> Action:
        limit_ms = action.timeout_ms + DEADLINE_MARGIN_MS
        with anyio.move_on_after(limit_ms / MS_PER_SECOND):
            return await self._send_and_relay(action)
        stage = Stage.ANSWER if self._started else Stage.SENT
        fault = AttemptFault(stage, "the deadline passed")
        return await self._fail(action.server, fault)

    async def _send_and_relay(self, action: SendAction | Resume) -> Action:
        limits = (action.timeout_ms, action.silence_ms)
        self._pool = action.server.pool
        if isinstance(action, Resume):
            assert self._answer is not None
            sent = await self._backend.resume(
                action.server, self._call, self._answer, *limits
            )
        else:
            priority = action.priority.name.lower().encode()
            call = self._call.add_header(PRIORITY_HEADER, priority)
            sent = await self._backend.send(action.server, call, *limits)
        if sent.is_error():
            return await self._fail(action.server, sent.error)
        return await self._relay(action.server, sent.ok)

    async def _relay(self, server: Server, answer: Answer) -> Action:
        self._answer = answer
        try:
            async with aclosing(answer.chunks()) as chunks:
                async for chunk in chunks:
                    await self._forward(answer, chunk)
            if not self._started:
                await self._start(answer)
        except AnswerCut as exc:
            return await self._fail(server, exc.fault, answer)
        finally:
            await answer.close()
        self._record(answer.status, None)
        action = self._handler.handle(Finished(self._req.id, answer.status))
        await self._send({"type": "http.response.body", "body": b""})
        return action

    async def _forward(self, answer: Answer, chunk: bytes) -> None:
        if not self._started:
            await self._start(answer)
        self._timing.add(chunk, self._handler.now_ms())
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def _start(self, answer: Answer) -> None:
        """Begins the answer, once there is a byte or the end of it.

        Until then another server can be asked with no trace of this one.
        """
        caller_id = (b"x-request-id", self._req.caller_id.encode())
        self._handler.handle(FirstByte(self._req.id))
        self._started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": [*answer.headers, caller_id],
            }
        )

    async def _fail(
        self,
        server: Server,
        fault: AttemptFault,
        answer: Answer | None = None,
    ) -> Action:
        crashed = fault.broken and not await self._backend.accepts(server)
        if fault.silent and answer is not None:
            await self._backend.distrust(server, answer)
        log_event(
            "attempt_failed",
            request_id=self._req.id,
            peer=server.name,
            stage=fault.stage.value,
            crashed=crashed,
            silent=fault.silent,
            detail=fault.detail,
        )
        resumable = answer is not None and answer.resume_token != ""
        return self._handler.handle(
            Failed(
                self._req.id,
                fault.stage,
                fault.detail,
                crashed,
                fault.retry_after_ms,
                fault.silent,
                fault.accuses_server,
                resumable,
            )
        )
