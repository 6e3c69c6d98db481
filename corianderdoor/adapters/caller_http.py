"""The ASGI application that serves callers through the dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qsl

import anyio
import msgspec

from ..core.addresses import AddressAnswer, answer_address
from ..core.clock import Clock
from ..core.dispatch import Dispatcher
from ..core.drain import EntryDrain
from ..core.errors import Fault, Kind, Outcome
from ..core.messages import Action, AskPermit, CallerDisconnected, Event, Req
from ..core.permits import PermitAnswer
from ..core.topology import EntryHost
from ..ports.backend import Backend
from ..ports.permits import Outbox, Permits
from ..ports.telemetry import NoTelemetry, Telemetry
from .caller_request import (
    build_call,
    build_req,
    read_caller_id,
    read_head,
    read_target,
)
from .exchange import Exchange
from .hypercorn_guard import is_crowded
from .logs import log_event
from .once import IdempotencyGate, TICKET_PATH
from .problems import OUTCOME_HEADER, send_problem, send_response
from .request_body import CallerDisconnectedError, MAX_BODY_BYTES, RequestBody
from .serving import Message, Receive, Scope, Send

ADDRESS_PATH: Final = "/corianderdoor/v1/address"
READY_PATH: Final = "/corianderdoor/v1/ready"
TEMPORARY_REDIRECT: Final = 307
DISCARD_TIMEOUT_S: Final = 2.0
KINDS_WITH_UNREAD_BODY: Final = frozenset({Kind.TOO_LARGE, Kind.SLOW_BODY})
CLOSE: Final = (b"connection", b"close")


class CallerApp:
    """The ASGI application that callers connect to.

    Attributes:
        telemetry: The metrics recorder.
    """

    __slots__ = (
        "_dispatcher",
        "_backend",
        "_clock",
        "_entries",
        "_drain",
        "_once",
        "telemetry",
        "_permits",
        "_outbox",
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        backend: Backend,
        clock: Clock,
        entries: Callable[[], tuple[EntryHost, ...]],
        drain: EntryDrain | None = None,
        once: IdempotencyGate | None = None,
        telemetry: Telemetry | None = None,
        permits: Permits | None = None,
        outbox: Outbox | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._backend = backend
        self._clock = clock
        self._entries = entries
        self._drain = drain or EntryDrain("", "")
        self._once = once
        self.telemetry: Telemetry = telemetry or NoTelemetry()
        self._permits = permits
        self._outbox = outbox

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        if scope["http_version"].startswith("1"):
            send = self._announce_close(scope, send)
        if scope["path"] == ADDRESS_PATH:
            await self._answer_address(scope, send)
        elif scope["path"] == READY_PATH:
            await self._answer_ready(send)
        elif scope["path"] == TICKET_PATH and self._once is not None:
            await self._once.answer_ticket(scope, send)
        else:
            await self._read_request(scope, receive, send)

    async def _read_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        caller_id = read_caller_id(scope)
        read = read_head(scope)
        if read.is_error():
            await self._refuse(read.error, caller_id, scope, receive, send)
            return
        head = read.ok
        with RequestBody(scope) as request_body:
            try:
                body = await request_body.read(receive, head.length)
            except CallerDisconnectedError:
                return
            if body.is_error():
                await self._refuse(body.error, caller_id, scope, receive, send)
                return
            req = build_req(scope, head, body.ok)
            await self._check_key(req, scope, body.ok, receive, send)

    async def _refuse(
        self,
        fault: Fault,
        caller_id: str,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Refuses a request whose body may not have arrived completely.

        The caller gets the refusal at once. The rest of the body is read
        and discarded up to a limit, because closing a connection with
        unread bytes resets it and would destroy the refusal on its way.
        """
        log_event(
            "request_refused",
            caller_id=caller_id,
            kind=fault.kind.value,
            step=fault.step,
            outcome=fault.outcome.value,
            detail=fault.detail,
        )
        extra = (CLOSE,) if scope["http_version"].startswith("1") else ()
        if fault.kind is Kind.OVERLOADED:
            # Its memory has to be freed at once.
            await send_problem(send, fault, caller_id, extra)
            return
        if fault.kind not in KINDS_WITH_UNREAD_BODY and await _discard_body(
            receive
        ):
            await send_problem(send, fault, caller_id)
            return
        last: list[Message] = []

        async def hold_end(message: Message) -> None:
            if message["type"] == "http.response.body":
                message["more_body"] = True
                last.append({"type": "http.response.body", "body": b""})
            await send(message)

        await send_problem(hold_end, fault, caller_id, extra)
        await _discard_body(receive)
        for message in last:
            await send(message)

    async def _answer_ready(self, send: Send) -> None:
        cfg = self._dispatcher.cfg
        ready = cfg.revision > 0 and self._drain.accepts_work(cfg)
        await send_response(send, 200 if ready else 503, [], b"")

    async def _answer_address(self, scope: Scope, send: Send) -> None:
        query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        answer = answer_address(
            query.get("chat", ""),
            self._entries(),
            self._dispatcher.cfg,
            self._find_home(query),
        )
        await send_response(
            send,
            200,
            [(b"content-type", b"application/json")],
            _encode_address(answer),
        )

    def _find_home(self, query: dict[str, str]) -> str:
        """Returns the home router of the request's preferred server.

        Returns an empty string, which allows any entry host, if it is
        unknown or if the caller does not name the path of its request.
        """
        if self._permits is None or "path" not in query:
            return ""
        rule = self._dispatcher.cfg.rules.find(
            query.get("workspace", ""),
            query["path"],
            query.get("method", "POST"),
            query.get("model", ""),
            self._clock.wall_ms(),
        )
        if rule is None:
            return ""
        return self._permits.find_home(rule.pool, query.get("chat", ""))

    async def _check_key(
        self,
        req: Req,
        scope: Scope,
        body: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        """Routes `req` unless its idempotency key forbids it."""

        async def run(scope: Scope, receive: Receive, send: Send) -> None:
            await self._route(req, scope, body, receive, send)

        if self._once is None:
            await run(scope, receive, send)
        else:
            await self._once.serve(req, body, scope, receive, send, run)

    async def _route(
        self,
        req: Req,
        scope: Scope,
        body: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serves `req`, or refers its caller to a host in service."""
        cfg = self._dispatcher.cfg
        if self._drain.accepts_work(cfg):
            await self._serve(req, scope, body, receive, send)
            return
        other = self._drain.choose_redirect_target(
            req.chat, self._entries(), cfg
        )
        if isinstance(other, Fault):
            await send_problem(send, other, req.caller_id)
            return
        log_event("request_redirected", request_id=req.id, peer=other.name)
        await send_response(
            send,
            TEMPORARY_REDIRECT,
            [
                (b"location", other.address.encode() + read_target(scope)),
                (b"x-request-id", req.caller_id.encode()),
                (OUTCOME_HEADER, Outcome.NOT_RUN.value.encode()),
            ],
            b"",
        )

    async def _serve(
        self,
        req: Req,
        scope: Scope,
        body: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        call = build_call(scope, req, body)
        exchange = Exchange(self, self._backend, req, call, send)
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(_watch_caller, receive, tg.cancel_scope)
                await exchange.run()
                tg.cancel_scope.cancel()
        finally:
            if not exchange.ended:
                self.handle(CallerDisconnected(req.id))
                log_event("caller_left", request_id=req.id)

    def now_ms(self) -> int:
        """Returns monotonic time in ms."""
        return self._clock.now_ms()

    def handle(self, event: Event) -> Action:
        """Passes an event to the dispatcher with the current time."""
        action = self._dispatcher.handle(
            event, self._clock.now_ms(), self._clock.wall_ms()
        )
        if self._permits is not None:
            self._permits.flush()
        if self._outbox is not None:
            self._outbox.flush()
        return action

    async def ask(self, action: AskPermit) -> PermitAnswer | None:
        """Requests a permit from another router; None if unanswered."""
        if self._permits is None:
            return None
        return await self._permits.ask(action)

    def _announce_close(self, scope: Scope, send: Send) -> Send:
        """Adds `Connection: close` where the connection has to end.

        That is while the router stops, or callers have too many connections.
        """

        async def add_close_header(message: Message) -> None:
            if message["type"] == "http.response.start" and (
                self._drain.stopping or is_crowded(scope)
            ):
                headers = [*message["headers"], CLOSE]
                message = {**message, "headers": headers}
            await send(message)

        return add_close_header


async def _watch_caller(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _discard_body(receive: Receive) -> bool:
    """Discards a body; returns False if it is too long or too slow."""
    size = 0
    with anyio.move_on_after(DISCARD_TIMEOUT_S):
        while size <= MAX_BODY_BYTES:
            message = await receive()
            size += len(message.get("body", b""))
            if not message.get("more_body", False):
                return True
    return False


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
