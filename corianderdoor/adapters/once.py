"""The gate that lets each idempotency key run at most once."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
import random
import secrets
from typing import Final

import anyio
import msgspec

from ..core.clock import Clock
from ..core.dispatch import Dispatcher
from ..core.drain import EntryDrain
from ..core.errors import Fault, Kind, Outcome
from ..core.messages import Req
from ..core.once import (
    digest_request,
    Ending,
    Kept,
    Proceed,
    Redirect,
    Reject,
    Replay,
    Verdict,
)
from ..core.tickets import (
    is_ticket,
    SECRET_BYTES,
    TICKET_VALID_MS,
    TicketDesk,
)
from ..core.topology import EntryHost
from .caller_request import read_target
from .logs import log_event
from .problems import OUTCOME_HEADER, send_problem, send_whole
from .serving import Message, Receive, Scope, Send

TICKET_PATH: Final = "/corianderdoor/v1/ticket"
REPLAYED: Final = (b"corianderdoor-replayed", b"1")
TEMPORARY_REDIRECT: Final = 307
MAX_KEPT_BODY_BYTES: Final = 16_000
MAX_KEPT_HEADER_BYTES: Final = 2_000
INCARNATION_RANDOM_BITS: Final = 20
NOT_KEPT: Final = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "server",
        "transfer-encoding",
        "x-request-id",
    }
)

Run = Callable[[Scope, Receive, Send], Awaitable[None]]


class Recorder:
    """Passes an answer on to the caller and keeps what a repeat needs.

    The caller's going does not end the run: its repeat will want the
    outcome.
    """

    __slots__ = ("_send", "_status", "_headers", "_parts", "_size", "_whole")

    def __init__(self, send: Send) -> None:
        self._send: Send | None = send
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: list[bytes] = []
        self._size = 0
        self._whole = False

    async def send(self, message: Message) -> None:
        """Keeps and passes on one message of the answer."""
        self._keep(message)
        if self._send is None:
            return
        try:
            await self._send(message)
        except Exception as exc:
            log_event("caller_left", detail=type(exc).__name__)
            self._send = None

    def ending(self) -> Ending:
        """Returns what is known of the run, once it is over."""
        said = dict(self._headers).get(OUTCOME_HEADER, b"").decode("latin-1")
        if said == Outcome.NOT_RUN.value:
            return Ending(Outcome.NOT_RUN)
        if not self._whole or said == Outcome.UNKNOWN.value:
            return Ending(Outcome.UNKNOWN)
        body = b"".join(self._parts)
        kept = body if self._size <= MAX_KEPT_BODY_BYTES else None
        return Ending(
            Outcome.RUN, Kept(self._status, _pick(self._headers), kept)
        )

    def _keep(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._headers = list(message["headers"])
            return
        part = message.get("body", b"")
        self._size += len(part)
        if self._size <= MAX_KEPT_BODY_BYTES:
            self._parts.append(bytes(part))
        self._whole = not message.get("more_body", False)


class OnceGate:
    """Asks the core about each keyed request and acts on its verdict."""

    __slots__ = (
        "_name",
        "_desk",
        "_dispatcher",
        "_entries",
        "_clock",
        "_drain",
    )

    def __init__(
        self,
        name: str,
        desk: TicketDesk,
        dispatcher: Dispatcher,
        entries: Callable[[], tuple[EntryHost, ...]],
        clock: Clock,
        drain: EntryDrain,
    ) -> None:
        self._name = name
        self._desk = desk
        self._dispatcher = dispatcher
        self._entries = entries
        self._clock = clock
        self._drain = drain

    async def answer_ticket(self, scope: Scope, send: Send) -> None:
        """Gives a caller a key that only this router will run."""
        headers = dict(scope["headers"])
        workspace = headers.get(b"corianderdoor-workspace", b"")
        fault = self._refuse_ticket(workspace)
        if fault is not None:
            await send_problem(send, fault, "")
            return
        now_ms = self._clock.now_ms()
        answer = {
            "key": self._desk.mint(workspace.decode("latin-1"), now_ms),
            "valid_ms": TICKET_VALID_MS,
            "router": self._name,
            "address": self._find_address(self._name) or "",
        }
        await send_whole(
            send,
            200,
            [
                (b"content-type", b"application/json"),
                (b"cache-control", b"no-store"),
            ],
            msgspec.json.encode(answer),
        )

    async def serve(
        self,
        req: Req,
        body: bytes,
        scope: Scope,
        receive: Receive,
        send: Send,
        run: Run,
    ) -> None:
        """Serves a request whose key, if any, may run at most once.

        Args:
            req: The request.
            body: Its body.
            scope: ASGI scope of the request.
            receive: Receives from the caller.
            send: Sends to the caller.
            run: Serves the request with no regard to its key.
        """
        if not self._needs_gate(req):
            await run(scope, receive, send)
            return
        verdict = await self._judge(req, scope, body)
        log_event(
            "key_checked",
            request_id=req.id,
            workspace=req.workspace,
            verdict=type(verdict).__name__,
        )
        if isinstance(verdict, Proceed):
            await self._run(req, scope, send, run)
        else:
            await self._answer(verdict, req, scope, send)

    def _needs_gate(self, req: Req) -> bool:
        if not req.key:
            return False
        rule = self._dispatcher.cfg.rules.find(
            req.workspace,
            req.path,
            req.method,
            req.model,
            self._clock.wall_ms(),
        )
        return rule is not None and not rule.allows_rerun(req.method)

    async def _judge(self, req: Req, scope: Scope, body: bytes) -> Verdict:
        if not is_ticket(req.key):
            return Proceed()
        return self._desk.admit(
            req.workspace,
            req.key,
            digest_request(req.method, read_target(scope), body),
            frozenset(entry.name for entry in self._entries()),
            self._clock.now_ms(),
            self._is_in_service(),
        )

    async def _run(self, req: Req, scope: Scope, send: Send, run: Run) -> None:
        recorder = Recorder(send)
        try:
            await run(scope, _wait_for_nothing, recorder.send)
        finally:
            self._desk.settle(req.key, recorder.ending())

    @singledispatchmethod
    async def _answer(
        self, verdict: Verdict, req: Req, scope: Scope, send: Send
    ) -> None:
        raise TypeError(f"unknown verdict {type(verdict).__name__}")

    @_answer.register
    async def _(
        self, verdict: Reject, req: Req, scope: Scope, send: Send
    ) -> None:
        await send_problem(send, verdict.fault, req.caller_id)

    @_answer.register
    async def _(
        self, verdict: Replay, req: Req, scope: Scope, send: Send
    ) -> None:
        kept = verdict.kept
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in kept.headers
        ]
        headers += [(b"x-request-id", req.caller_id.encode()), REPLAYED]
        await send_whole(send, kept.status, headers, kept.body or b"")

    @_answer.register
    async def _(
        self, verdict: Redirect, req: Req, scope: Scope, send: Send
    ) -> None:
        address = self._find_address(verdict.router)
        if address is None:
            detail = f"the router {verdict.router} is no longer listed"
            fault = Fault(
                Kind.UNRESOLVED,
                "redirect",
                detail,
                verdict.router,
                Outcome.UNKNOWN,
            )
            await send_problem(send, fault, req.caller_id)
            return
        headers = [
            (b"location", address.encode() + read_target(scope)),
            (b"x-request-id", req.caller_id.encode()),
            (OUTCOME_HEADER, Outcome.NOT_RUN.value.encode()),
        ]
        await send_whole(send, TEMPORARY_REDIRECT, headers, b"")

    def _find_address(self, router: str) -> str | None:
        for entry in self._entries():
            if entry.name == router:
                return entry.address
        return None

    def _is_in_service(self) -> bool:
        return self._drain.takes_work(self._dispatcher.cfg)

    def _refuse_ticket(self, workspace: bytes) -> Fault | None:
        if not workspace:
            detail = "the header Corianderdoor-Workspace is missing"
            return Fault(Kind.BAD_REQUEST, "mint-key", detail)
        if not self._is_in_service():
            detail = "this host is out of service"
            return Fault(Kind.DRAINING, "mint-key", detail, self._name)
        return None


def build_gate(
    name: str,
    dispatcher: Dispatcher,
    entries: Callable[[], tuple[EntryHost, ...]],
    clock: Clock,
    drain: EntryDrain,
) -> OnceGate:
    """Returns the gate of a router that starts now."""
    started_ms = clock.wall_ms()
    incarnation = started_ms << INCARNATION_RANDOM_BITS
    incarnation |= secrets.randbits(INCARNATION_RANDOM_BITS)
    desk = TicketDesk(
        name,
        incarnation,
        secrets.token_bytes(SECRET_BYTES),
        random.Random(secrets.randbits(64)),
    )
    return OnceGate(name, desk, dispatcher, entries, clock, drain)


async def _wait_for_nothing() -> Message:
    await anyio.sleep_forever()
    raise AssertionError("unreachable")


def _pick(
    headers: list[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    kept: list[tuple[str, str]] = []
    left = MAX_KEPT_HEADER_BYTES
    for raw_name, raw_value in headers:
        name = raw_name.decode("latin-1").lower()
        left -= len(raw_name) + len(raw_value)
        if name in NOT_KEPT or left < 0:
            continue
        kept.append((name, raw_value.decode("latin-1")))
    return tuple(kept)
