"""The callers' side: an ASGI application around the dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
import uuid

import anyio
from expression import Error, Ok, Result
import msgspec
import xxhash

from ..core.addresses import AddressAnswer, answer_address
from ..core.clock import Clock, MS_PER_SECOND
from ..core.dispatch import Dispatcher
from ..core.errors import Fault, Kind
from ..core.messages import (
    Action,
    Arrived,
    CallerLeft,
    Event,
    Failed,
    Finished,
    FirstByte,
    Refuse,
    Req,
)
from ..core.messages import Send as SendAction
from ..core.messages import Stage, Wait, Waited
from ..core.topology import EntryHost
from ..ports.backend import Answer, AnswerCut, AttemptFault, Backend, Call
from .backend_http import drop_hop_headers
from .logs import log_event
from .problems import send_problem, send_whole
from .serving import Receive, Scope, Send

ADDRESS_PATH: Final = "/corianderdoor/v1/address"
READY_PATH: Final = "/corianderdoor/v1/ready"
MAX_BODY_BYTES: Final = 4_000_000
MAX_ID_CHARS: Final = 128
TOKENS_PER_BYTE: Final = 4
OWN_HEADERS: Final = frozenset(
    {
        b"host",
        b"content-length",
        b"x-request-id",
        b"corianderdoor-deadline-ms",
    }
)


class _ModelField(msgspec.Struct):
    """The one field of a JSON body that routing looks at."""

    model: str = ""


class CallerLeftError(Exception):
    """The caller closed its connection."""


class CallerApp:
    """The ASGI application that callers connect to."""

    __slots__ = ("_dispatcher", "_backend", "_clock", "_entries")

    def __init__(
        self,
        dispatcher: Dispatcher,
        backend: Backend,
        clock: Clock,
        entries: Callable[[], tuple[EntryHost, ...]],
    ) -> None:
        self._dispatcher = dispatcher
        self._backend = backend
        self._clock = clock
        self._entries = entries

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == ADDRESS_PATH:
            await self._answer_address(scope, send)
            return
        if scope["path"] == READY_PATH:
            await self._answer_ready(send)
            return
        headers = dict(scope["headers"])
        request_id = _read_id(headers.get(b"x-request-id"))
        try:
            body = await _read_body(receive)
        except CallerLeftError:
            return
        match _build_req(scope, headers, body, request_id):
            case Result(tag="ok", ok=req):
                await self._serve(req, scope, body, receive, send)
            case Result(error=fault):
                await send_problem(send, fault, request_id)

    async def _answer_ready(self, send: Send) -> None:
        ready = self._dispatcher.cfg.revision > 0
        await send_whole(send, 200 if ready else 503, [], b"")

    async def _answer_address(self, scope: Scope, send: Send) -> None:
        query = scope["query_string"].decode("latin-1")
        chat = query.partition("chat=")[2].partition("&")[0]
        answer = answer_address(chat, self._entries(), self._dispatcher.cfg)
        await send_whole(
            send,
            200,
            [(b"content-type", b"application/json")],
            _encode_address(answer),
        )

    async def _serve(
        self,
        req: Req,
        scope: Scope,
        body: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        exchange = _Exchange(self, req, _build_call(scope, req, body), send)
        async with anyio.create_task_group() as tg:
            tg.start_soon(_watch_caller, receive, tg.cancel_scope)
            await exchange.run()
            tg.cancel_scope.cancel()
        if not exchange.ended:
            self.handle(CallerLeft(req.id))
            log_event("caller_left", request_id=req.id)

    def handle(self, event: Event) -> Action:
        """Hands an event to the dispatcher at the present time."""
        return self._dispatcher.handle(
            event, self._clock.now_ms(), self._clock.wall_ms()
        )

    @property
    def backend(self) -> Backend:
        """The port to the backend servers."""
        return self._backend


class _Exchange:
    """One request between its caller and the backend servers."""

    __slots__ = ("_app", "_req", "_call", "_send", "_started", "ended")

    def __init__(
        self, app: CallerApp, req: Req, call: Call, send: Send
    ) -> None:
        self._app = app
        self._req = req
        self._call = call
        self._send = send
        self._started = False
        self.ended = False

    async def run(self) -> None:
        """Follows the dispatcher's actions to the request's end."""
        action = self._app.handle(Arrived(self._req))
        while True:
            if isinstance(action, SendAction):
                action = await self._attempt(action)
            elif isinstance(action, Wait):
                await anyio.sleep(action.delay_ms / MS_PER_SECOND)
                action = self._app.handle(Waited(self._req.id))
            elif isinstance(action, Refuse):
                self.ended = True
                await self._refuse(action.fault)
                return
            else:
                self.ended = True
                return

    async def _refuse(self, fault: Fault) -> None:
        log_event(
            "request_refused",
            request_id=self._req.id,
            workspace=self._req.workspace,
            kind=fault.kind.value,
            step=fault.step,
            peer=fault.peer,
            outcome=fault.outcome.value,
            detail=fault.detail,
        )
        if self._started:
            raise AnswerCut(AttemptFault(Stage.ANSWER, fault.detail))
        await send_problem(self._send, fault, self._req.id)

    async def _attempt(self, action: SendAction) -> Action:
        sent = await self._app.backend.send(
            action.server, self._call, action.timeout_ms
        )
        match sent:
            case Result(tag="ok", ok=answer):
                return await self._relay(answer)
            case Result(error=fault):
                return self._fail(fault)

    async def _relay(self, answer: Answer) -> Action:
        try:
            await self._start(answer)
            async for chunk in answer.chunks():
                await self._send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": True,
                    }
                )
            action = self._app.handle(Finished(self._req.id, answer.status))
            await self._send({"type": "http.response.body", "body": b""})
            return action
        except AnswerCut as exc:
            return self._fail(exc.fault)
        finally:
            with anyio.CancelScope(shield=True):
                await answer.close()

    async def _start(self, answer: Answer) -> None:
        headers = [*answer.headers, (b"x-request-id", self._req.id.encode())]
        self._app.handle(FirstByte(self._req.id))
        self._started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )

    def _fail(self, fault: AttemptFault) -> Action:
        log_event(
            "attempt_failed",
            request_id=self._req.id,
            stage=fault.stage.value,
            detail=fault.detail,
        )
        return self._app.handle(
            Failed(
                self._req.id,
                fault.stage,
                fault.detail,
                fault.crashed,
                fault.retry_after_ms,
            )
        )


async def _watch_caller(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _read_body(receive: Receive) -> bytes:
    """Reads a body; stops one byte over the limit."""
    parts: list[bytes] = []
    size = 0
    while size <= MAX_BODY_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeftError
        part = message.get("body", b"")
        parts.append(part)
        size += len(part)
        if not message.get("more_body", False):
            break
    return b"".join(parts)


def _read_id(raw: bytes | None) -> str:
    if not raw:
        return uuid.uuid4().hex
    return raw.decode("latin-1")[:MAX_ID_CHARS]


def _build_req(
    scope: Scope, headers: dict[bytes, bytes], body: bytes, request_id: str
) -> Result[Req, Fault]:
    if len(body) > MAX_BODY_BYTES:
        detail = f"the body is over {MAX_BODY_BYTES} bytes"
        return Error(Fault(Kind.TOO_LARGE, "read-request", detail))
    workspace = headers.get(b"corianderdoor-workspace", b"").decode("latin-1")
    if not workspace:
        detail = "the header Corianderdoor-Workspace is missing"
        return Error(Fault(Kind.BAD_REQUEST, "read-request", detail))
    deadline = headers.get(b"corianderdoor-deadline-ms", b"")
    if deadline and not (deadline.isdigit() and int(deadline) > 0):
        detail = "Corianderdoor-Deadline-Ms is not a positive number of ms"
        return Error(Fault(Kind.BAD_REQUEST, "read-request", detail))
    return Ok(
        Req(
            request_id,
            workspace,
            scope["path"],
            scope["method"],
            chat=headers.get(b"corianderdoor-chat", b"").decode("latin-1"),
            model=_read_model(headers, body),
            deadline_ms=int(deadline) if deadline else None,
            key=headers.get(b"idempotency-key", b"").decode("latin-1"),
            weight=1 + len(body) // TOKENS_PER_BYTE,
            fingerprint=_digest(scope, body),
        )
    )


def _read_model(headers: dict[bytes, bytes], body: bytes) -> str:
    named = headers.get(b"corianderdoor-model")
    if named:
        return named.decode("latin-1")
    if not headers.get(b"content-type", b"").startswith(b"application/json"):
        return ""
    try:
        return msgspec.json.decode(body, type=_ModelField).model
    except msgspec.MsgspecError:
        return ""


def _digest(scope: Scope, body: bytes) -> str:
    head = f"{scope['method']} {scope['path']}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


def _build_call(scope: Scope, req: Req, body: bytes) -> Call:
    path = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    headers = [
        pair
        for pair in drop_hop_headers(scope["headers"])
        if pair[0] not in OWN_HEADERS
    ]
    return Call(
        req.id,
        req.method,
        f"{path}?{query}" if query else path,
        headers,
        body,
    )


def _encode_address(answer: AddressAnswer) -> bytes:
    return msgspec.json.encode(
        {
            "hosts": [
                {"name": host.name, "address": host.address}
                for host in answer.hosts
            ],
            "valid_ms": answer.valid_ms,
        }
    )
