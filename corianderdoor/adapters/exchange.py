"""One request between its caller and the backend servers."""

from __future__ import annotations

from contextlib import aclosing
from typing import Protocol

import anyio

from ..core.clock import MS_PER_SECOND
from ..core.errors import Fault
from ..core.messages import (
    Action,
    Arrived,
    Event,
    Failed,
    Finished,
    FirstByte,
    Refuse,
    Req,
    Resume,
)
from ..core.messages import Send as SendAction
from ..core.messages import Stage, Wait, Waited
from ..core.topology import Server
from ..ports.backend import Answer, AnswerCut, AttemptFault, Backend, Call
from .logs import log_event
from .problems import send_problem
from .serving import Send

DEADLINE_MARGIN_MS = 50


class Handler(Protocol):
    """Hands events to the dispatcher."""

    def handle(self, event: Event) -> Action:
        """Returns what to do after `event`, which happened now."""


class Exchange:
    """Follows the dispatcher's actions for one request.

    Attributes:
        ended: Whether the dispatcher has closed the request.
    """

    __slots__ = (
        "ended",
        "_core",
        "_backend",
        "_req",
        "_call",
        "_send",
        "_started",
        "_answer",
    )

    def __init__(
        self,
        core: Handler,
        backend: Backend,
        req: Req,
        call: Call,
        send: Send,
    ) -> None:
        self.ended = False
        self._core = core
        self._backend = backend
        self._req = req
        self._call = call
        self._send = send
        self._started = False
        self._answer: Answer | None = None

    async def run(self) -> None:
        """Serves the request to its end.

        Raises:
            AnswerCut: The caller has a part of an answer that has no end.
        """
        action = self._core.handle(Arrived(self._req))
        while True:
            if isinstance(action, (SendAction, Resume)):
                action = await self._attempt(action)
            elif isinstance(action, Wait):
                await anyio.sleep(action.delay_ms / MS_PER_SECOND)
                action = self._core.handle(Waited(self._req.id))
            else:
                break
        self.ended = True
        if isinstance(action, Refuse):
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

    async def _attempt(self, action: SendAction | Resume) -> Action:
        limit_ms = action.timeout_ms + DEADLINE_MARGIN_MS
        with anyio.move_on_after(limit_ms / MS_PER_SECOND):
            return await self._send_and_relay(action)
        stage = Stage.ANSWER if self._started else Stage.SENT
        fault = AttemptFault(stage, "the deadline passed")
        return await self._fail(action.server, fault)

    async def _send_and_relay(self, action: SendAction | Resume) -> Action:
        limits = (action.timeout_ms, action.silence_ms)
        if isinstance(action, Resume):
            assert self._answer is not None
            sent = await self._backend.resume(
                action.server, self._call, self._answer, *limits
            )
        else:
            sent = await self._backend.send(action.server, self._call, *limits)
        if sent.is_error():
            return await self._fail(action.server, sent.error)
        return await self._relay(action.server, sent.ok)

    async def _relay(self, server: Server, answer: Answer) -> Action:
        self._answer = answer
        try:
            async with aclosing(answer.chunks()) as chunks:
                async for chunk in chunks:
                    await self._pass_on(answer, chunk)
            if not self._started:
                await self._start(answer)
        except AnswerCut as exc:
            return await self._fail(server, exc.fault, answer)
        finally:
            await answer.close()
        action = self._core.handle(Finished(self._req.id, answer.status))
        await self._send({"type": "http.response.body", "body": b""})
        return action

    async def _pass_on(self, answer: Answer, chunk: bytes) -> None:
        if not self._started:
            await self._start(answer)
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def _start(self, answer: Answer) -> None:
        """Begins the answer, once there is a byte or the end of it.

        Until then another server can be asked with no trace of this one.
        """
        caller_id = (b"x-request-id", self._req.caller_id.encode())
        self._core.handle(FirstByte(self._req.id))
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
        return self._core.handle(
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
