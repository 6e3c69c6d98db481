"""The gate that lets each idempotency key run at most once."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
import random
import secrets
from typing import Final

import anyio
import msgspec

from ..core.addresses import in_service
from ..core.claim_log import choose_home
from ..core.claim_messages import ClaimRequest
from ..core.clock import Clock, MS_PER_SECOND
from ..core.dispatch import Dispatcher, NOT_READY_RETRY_MS
from ..core.drain import EntryDrain
from ..core.errors import Fault, Kind, Outcome
from ..core.messages import Req
from ..core.minted_record import decide_from_record
from ..core.once import (
    digest_key,
    digest_request,
    LookUp,
    Proceed,
    Redirect,
    Reject,
    reject_unverified,
    Replay,
    Verdict,
)
from ..core.rules import Rule
from ..core.tickets import (
    is_ticket,
    SECRET_BYTES,
    TICKET_VALID_MS,
    TicketIssuer,
)
from ..core.topology import EntryHost
from ..ports.store import Store
from .caller_request import read_target
from .claim_runner import ClaimRunner
from .logs import log_event
from .minted_store import MintedRecordStore
from .problems import OUTCOME_HEADER, send_problem, send_response
from .recorder import AnswerRecorder
from .serving import Message, Receive, Scope, Send

TICKET_PATH: Final = "/corianderdoor/v1/ticket"
REPLAYED_HEADER: Final = (b"corianderdoor-replayed", b"1")
FIRST_SEND_HEADER: Final = (b"corianderdoor-first-send", b"1")
REDIRECT_MARK: Final = b"corianderdoor-hop=1"
MAX_DEADLINE_MS: Final = 600_000
SAVE_TIMEOUT_MS: Final = 1_500
TEMPORARY_REDIRECT: Final = 307
INCARNATION_RANDOM_BITS: Final = 20
Run = Callable[[Scope, Receive, Send], Awaitable[None]]


class _KeyedRequest:
    """A request with the digests under which its key is known."""

    __slots__ = ("req", "digest", "fingerprint", "first")

    def __init__(self, req: Req, fingerprint: bytes, first: bool) -> None:
        self.req = req
        self.first = first
        self.digest = digest_key(req.workspace, req.key)
        self.fingerprint = fingerprint


class IdempotencyGate:
    """Asks the core about each keyed request and acts on its verdict."""

    __slots__ = (
        "_name",
        "_issuer",
        "_claims",
        "_records",
        "_dispatcher",
        "_entries",
        "_clock",
        "_drain",
    )

    def __init__(
        self,
        name: str,
        issuer: TicketIssuer,
        claims: ClaimRunner,
        records: MintedRecordStore,
        dispatcher: Dispatcher,
        entries: Callable[[], tuple[EntryHost, ...]],
        clock: Clock,
        drain: EntryDrain,
    ) -> None:
        self._name = name
        self._issuer = issuer
        self._claims = claims
        self._records = records
        self._dispatcher = dispatcher
        self._entries = entries
        self._clock = clock
        self._drain = drain

    async def run(self) -> None:
        """Serves the claims on callers' own keys, for ever."""
        await self._claims.run()

    async def flush(self) -> None:
        """Stores the outcomes so far, once nothing more will run."""
        record = self._issuer.build_record(self._clock.now_ms())
        with anyio.move_on_after(SAVE_TIMEOUT_MS / MS_PER_SECOND):
            await self._records.save(
                self._name, self._issuer.incarnation, record
            )
        await self._claims.flush()

    async def answer_ticket(self, scope: Scope, send: Send) -> None:
        """Gives a caller a key that only this router will run."""
        headers = dict(scope["headers"])
        workspace = headers.get(b"corianderdoor-workspace", b"")
        fault = self._check_ticket_request(workspace)
        if fault is not None:
            await send_problem(send, fault, "")
            return
        now_ms = self._clock.now_ms()
        answer = {
            "key": self._issuer.mint(workspace.decode("latin-1"), now_ms),
            "valid_ms": TICKET_VALID_MS,
            "router": self._name,
            "address": self._find_address(self._name) or "",
        }
        await send_response(
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
        if req.key and self._dispatcher.cfg.revision == 0:
            rejection = reject_unverified(
                "this host has no configuration yet",
                FIRST_SEND_HEADER in scope["headers"],
                NOT_READY_RETRY_MS,
                Kind.NOT_READY,
            )
            await self._answer(rejection, req, scope, send)
            return
        rule = self._find_rule(req)
        if rule is None or not self._applies_to(req):
            await run(scope, receive, send)
            return
        scope, redirected = _strip_redirect_mark(scope)
        fingerprint = digest_request(req.method, read_target(scope), body)
        keyed = _KeyedRequest(
            req, fingerprint, FIRST_SEND_HEADER in scope["headers"]
        )
        if is_ticket(req.key):
            verdict = await self._decide_ticket(keyed)
        else:
            verdict = await self._decide_caller_key(keyed, rule, redirected)
        log_event(
            "key_checked",
            request_id=req.id,
            caller_id=req.caller_id,
            workspace=req.workspace,
            verdict=type(verdict).__name__,
        )
        if isinstance(verdict, Proceed):
            await self._run(keyed, scope, send, run)
        else:
            await self._answer(verdict, req, scope, send)

    def _applies_to(self, req: Req) -> bool:
        """Tells whether the gate decides; new work may have to move on."""
        return is_ticket(req.key) or (req.key != "" and self._is_in_service())

    def _find_rule(self, req: Req) -> Rule | None:
        """Returns the rule of a request that may run once at most."""
        rule = self._dispatcher.cfg.rules.find(
            req.workspace,
            req.path,
            req.method,
            req.model,
            self._clock.wall_ms(),
        )
        if rule is None or rule.allows_rerun(req.method):
            return None
        return rule

    async def _decide_ticket(self, keyed: _KeyedRequest) -> Verdict:
        verdict = self._issuer.admit(
            keyed.req.workspace,
            keyed.req.key,
            keyed.fingerprint,
            frozenset(entry.name for entry in self._entries()),
            self._clock.now_ms(),
            self._is_in_service(),
        )
        if not isinstance(verdict, LookUp):
            return verdict
        record = await self._records.find(verdict)
        return decide_from_record(
            record, verdict, keyed.digest, keyed.fingerprint
        )

    async def _decide_caller_key(
        self, keyed: _KeyedRequest, rule: Rule, redirected: bool
    ) -> Verdict:
        serving = in_service(self._entries(), self._dispatcher.cfg)
        names = [entry.name for entry in serving]
        home = choose_home(keyed.digest, names)
        if home not in (None, self._name) and not redirected:
            return Redirect(home or "", final=False)
        limit_ms = min(
            rule.deadline_ms, keyed.req.deadline_ms or MAX_DEADLINE_MS
        )
        return await self._claims.admit(
            ClaimRequest(
                keyed.req.id,
                keyed.digest,
                keyed.fingerprint,
                limit_ms,
                keyed.first,
            )
        )

    async def _run(
        self, keyed: _KeyedRequest, scope: Scope, send: Send, run: Run
    ) -> None:
        recorder = AnswerRecorder(send, keyed.req.id)
        try:
            await run(scope, _never_receive, recorder.send)
        finally:
            if is_ticket(keyed.req.key):
                self._issuer.settle(keyed.req.key, recorder.result())
            else:
                self._claims.settle(keyed.digest, recorder.result())

    @singledispatchmethod
    async def _answer(
        self, verdict: Verdict, req: Req, scope: Scope, send: Send
    ) -> None:
        raise TypeError(f"unknown verdict {type(verdict).__name__}")

    @_answer.register
    async def _(
        self, verdict: Reject, req: Req, scope: Scope, send: Send
    ) -> None:
        fault = verdict.fault
        log_event(
            "request_refused",
            request_id=req.id,
            caller_id=req.caller_id,
            workspace=req.workspace,
            kind=fault.kind.value,
            step=fault.step,
            peer=fault.peer,
            outcome=fault.outcome.value,
            detail=fault.detail,
        )
        await send_problem(send, fault, req.caller_id)

    @_answer.register
    async def _(
        self, verdict: Replay, req: Req, scope: Scope, send: Send
    ) -> None:
        stored = verdict.answer
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in stored.headers
        ]
        headers += [(b"x-request-id", req.caller_id.encode()), REPLAYED_HEADER]
        await send_response(send, stored.status, headers, stored.body or b"")

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
            (
                b"location",
                address.encode() + _build_redirect_target(verdict, scope),
            ),
            (b"x-request-id", req.caller_id.encode()),
            (OUTCOME_HEADER, Outcome.NOT_RUN.value.encode()),
        ]
        await send_response(send, TEMPORARY_REDIRECT, headers, b"")

    def _find_address(self, router: str) -> str | None:
        for entry in self._entries():
            if entry.name == router:
                return entry.address
        return None

    def _is_in_service(self) -> bool:
        return self._drain.takes_work(self._dispatcher.cfg)

    def _check_ticket_request(self, workspace: bytes) -> Fault | None:
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
    store: Store,
) -> IdempotencyGate:
    """Returns the gate of a router that starts now."""
    started_ms = clock.wall_ms()
    incarnation = started_ms << INCARNATION_RANDOM_BITS
    incarnation |= secrets.randbits(INCARNATION_RANDOM_BITS)
    issuer = TicketIssuer(
        name,
        incarnation,
        secrets.token_bytes(SECRET_BYTES),
        random.Random(secrets.randbits(64)),
    )
    claims = ClaimRunner(f"{name}/{incarnation}", store, clock)
    records = MintedRecordStore(store, clock)
    return IdempotencyGate(
        name, issuer, claims, records, dispatcher, entries, clock, drain
    )


def _strip_redirect_mark(scope: Scope) -> tuple[Scope, bool]:
    """Returns `scope` without the mark of a redirect, if it has one."""
    query: bytes = scope["query_string"]
    rest = query.removesuffix(REDIRECT_MARK).removesuffix(b"&")
    if not query.endswith(REDIRECT_MARK):
        return scope, False
    return {**scope, "query_string": rest}, True


def _build_redirect_target(verdict: Redirect, scope: Scope) -> bytes:
    """Returns the target to redirect to, marked unless it is final."""
    target = read_target(scope)
    if verdict.final:
        return target
    return target + (b"&" if b"?" in target else b"?") + REDIRECT_MARK


async def _never_receive() -> Message:
    await anyio.sleep_forever()
    raise AssertionError("unreachable")
