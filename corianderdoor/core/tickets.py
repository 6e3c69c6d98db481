"""Idempotency keys that a router mints and that only it may run.

A ticket is the content of such a key. It names its minter and the minter's
incarnation, so the memory of that one process holds the complete state of the
ticket and no service has to be queried. Each incarnation draws the secret that
authenticates its tickets at random; the secret never leaves the process.
"""

from __future__ import annotations

import base64
import binascii
from collections import OrderedDict
import enum
import hashlib
import hmac
import random
from typing import Final

import msgspec

from .errors import Outcome
from .minted_record import build_used_key, encode_record
from .once import (
    digest_key,
    LookUp,
    Proceed,
    Redirect,
    reject_draining,
    reject_full,
    reject_in_progress,
    reject_reused,
    reject_unknown,
    replay_or_reject,
    RunResult,
    StoredAnswer,
    Verdict,
)
from .records import Record

PREFIX: Final = "cdt1."
TICKET_VALID_MS: Final = 600_000
MAX_TICKETS: Final = 20_000
MAX_STORED_BYTES: Final = 4_000_000
SECRET_BYTES: Final = 32
MAC_BYTES: Final = 16
NONCE_BITS: Final = 64


class Ticket(Record):
    """The content of a minted key.

    Attributes:
        minter: Name of the router that minted it.
        incarnation: Incarnation of the minter.
        nonce: Random number, unique within the incarnation.
        expires_ms: Expiry by the minter's monotonic clock, in ms.
    """

    __slots__ = ("minter", "incarnation", "nonce", "expires_ms")

    def __init__(
        self, minter: str, incarnation: int, nonce: int, expires_ms: int
    ) -> None:
        self.minter = minter
        self.incarnation = incarnation
        self.nonce = nonce
        self.expires_ms = expires_ms


class _Wire(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Encoded form of a ticket within the key."""

    minter: str
    incarnation: int
    nonce: int
    expires_ms: int


class State(enum.Enum):
    """State of a used ticket at its minter."""

    RUNNING = "running"
    RUN = "run"
    UNKNOWN = "unknown"


class Origin(enum.Enum):
    """Where a ticket was minted, as seen by the router that received it."""

    HERE = "here"
    BEFORE = "before"  # by an earlier incarnation of this router
    ELSEWHERE = "elsewhere"
    GONE = "gone"  # by a router that is not listed


class Decision(enum.Enum):
    """What a router does with a request that carries a ticket."""

    RUN = "run"
    REPLAY = "replay"
    WAIT = "wait"
    UNKNOWN = "unknown"
    FORWARD = "forward"


def decide_ticket(
    origin: Origin, expired: bool, state: State | None
) -> Decision:
    """Returns what to do with a ticket.

    This is the only check that keeps a ticket from running twice.

    Args:
        origin: Where the ticket was minted.
        expired: Whether it has expired; its minter may have evicted it.
        state: Its state at the minter; None if it was not used.
    """
    if origin is Origin.ELSEWHERE:
        return Decision.FORWARD
    if origin is not Origin.HERE or expired:
        return Decision.UNKNOWN
    match state:
        case None:
            return Decision.RUN
        case State.RUNNING:
            return Decision.WAIT
        case State.RUN:
            return Decision.REPLAY
        case _:
            return Decision.UNKNOWN


class _UsedTicket:
    """State of a used ticket in the memory of its minter."""

    __slots__ = ("state", "digest", "fingerprint", "expires_ms", "answer")

    def __init__(
        self, digest: bytes, fingerprint: bytes, expires_ms: int
    ) -> None:
        self.state = State.RUNNING
        self.digest = digest
        self.fingerprint = fingerprint
        self.expires_ms = expires_ms
        self.answer: StoredAnswer | None = None


def is_ticket(key: str) -> bool:
    """Returns whether `key` has the prefix reserved for minted keys."""
    return key.startswith(PREFIX)


def read_ticket(key: str) -> Ticket | None:
    """Returns the unauthenticated content of a key, None if malformed."""
    try:
        body = base64.urlsafe_b64decode(key.removeprefix(PREFIX))
        wire = msgspec.msgpack.decode(body[MAC_BYTES:], type=_Wire)
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return None
    return Ticket(wire.minter, wire.incarnation, wire.nonce, wire.expires_ms)


class TicketIssuer:
    """Mints tickets and stores the state of used ones until they expire."""

    __slots__ = (
        "_name",
        "_incarnation",
        "_secret",
        "_rng",
        "_used",
        "_stored_bytes",
        "_max_tickets",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        secret: bytes,
        rng: random.Random,
        max_tickets: int = MAX_TICKETS,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._secret = secret
        self._rng = rng
        self._used: OrderedDict[str, _UsedTicket] = OrderedDict()
        self._stored_bytes = 0
        self._max_tickets = max_tickets

    def __len__(self) -> int:
        return len(self._used)

    @property
    def stored_bytes(self) -> int:
        """Size of the bodies stored for replay, in bytes."""
        return self._stored_bytes

    def mint(self, workspace: str, now_ms: int) -> str:
        """Returns a new key that `workspace` may use once."""
        body = msgspec.msgpack.encode(
            _Wire(
                self._name,
                self._incarnation,
                self._rng.getrandbits(NONCE_BITS),
                now_ms + TICKET_VALID_MS,
            )
        )
        mac = self._sign(workspace, body)
        return PREFIX + base64.urlsafe_b64encode(mac + body).decode()

    def admit(
        self,
        workspace: str,
        key: str,
        fingerprint: bytes,
        routers: frozenset[str],
        now_ms: int,
        in_service: bool = True,
    ) -> Verdict:
        """Returns the verdict on a request that carries a minted key.

        Args:
            workspace: Workspace of the caller.
            key: The key.
            fingerprint: Digest of the request.
            routers: Names of the routers that the platform lists.
            now_ms: Monotonic time, in ms.
            in_service: Whether this router may start new runs.
        """
        self._evict_expired(now_ms)
        ticket = read_ticket(key)
        if ticket is None:
            return reject_unknown("the key has no form that a router mints")
        origin = self._find_origin(ticket, routers)
        if origin is Origin.HERE and not self._is_authentic(workspace, key):
            return reject_unknown("this workspace was not given this key")
        used = self._used.get(key)
        if used is not None and used.fingerprint != fingerprint:
            return reject_reused()
        decision = decide_ticket(
            origin, ticket.expires_ms <= now_ms, used.state if used else None
        )
        if decision is Decision.RUN and not in_service:
            return reject_draining(self._name)
        if decision is Decision.RUN:
            digest = digest_key(workspace, key)
            return self._begin_run(key, ticket, digest, fingerprint)
        return self._execute(decision, key, ticket)

    def build_record(self, now_ms: int) -> bytes:
        """Returns the record of used tickets, once no more will run."""
        self._evict_expired(now_ms)
        used = [
            build_used_key(
                item.digest,
                item.fingerprint,
                Outcome.RUN if item.state is State.RUN else Outcome.UNKNOWN,
                item.answer,
            )
            for item in self._used.values()
        ]
        return encode_record(now_ms, used)

    @property
    def incarnation(self) -> int:
        """Incarnation of this router."""
        return self._incarnation

    def settle(self, key: str, result: RunResult) -> None:
        """Stores the result of the run of `key`."""
        used = self._used.get(key)
        if used is None:
            return
        match result.outcome:
            case Outcome.NOT_RUN:
                del self._used[key]
            case Outcome.UNKNOWN:
                used.state = State.UNKNOWN
            case Outcome.RUN:
                used.state = State.RUN
                used.answer = self._limit_body(result.answer)

    def _execute(
        self, decision: Decision, key: str, ticket: Ticket
    ) -> Verdict:
        match decision:
            case Decision.REPLAY:
                return replay_or_reject(self._used[key].answer)
            case Decision.WAIT:
                return reject_in_progress(self._name)
            case Decision.FORWARD:
                return Redirect(ticket.minter)
            case _:
                return self._reject_or_look_up(key, ticket)

    def _begin_run(
        self, key: str, ticket: Ticket, digest: bytes, fingerprint: bytes
    ) -> Verdict:
        if len(self._used) >= self._max_tickets:
            return reject_full("the table of used keys")
        self._used[key] = _UsedTicket(digest, fingerprint, ticket.expires_ms)
        return Proceed()

    def _reject_or_look_up(self, key: str, ticket: Ticket) -> Verdict:
        if self._find_origin(ticket, frozenset()) is not Origin.HERE:
            return LookUp(ticket.minter, ticket.incarnation, ticket.expires_ms)
        detail = "the key has expired"
        if key in self._used:
            detail = "the first request with this key has no known end"
        return reject_unknown(detail, self._name)

    def _find_origin(self, ticket: Ticket, routers: frozenset[str]) -> Origin:
        if ticket.minter != self._name:
            listed = ticket.minter in routers
            return Origin.ELSEWHERE if listed else Origin.GONE
        here = ticket.incarnation == self._incarnation
        return Origin.HERE if here else Origin.BEFORE

    def _is_authentic(self, workspace: str, key: str) -> bool:
        raw = base64.urlsafe_b64decode(key.removeprefix(PREFIX))
        mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
        return hmac.compare_digest(mac, self._sign(workspace, body))

    def _sign(self, workspace: str, body: bytes) -> bytes:
        text = workspace.encode() + b"\0" + body
        mac = hmac.new(self._secret, text, hashlib.sha256).digest()
        return mac[:MAC_BYTES]

    def _limit_body(self, answer: StoredAnswer | None) -> StoredAnswer | None:
        if (
            answer is None
            or self._stored_bytes + answer.size > MAX_STORED_BYTES
        ):
            status = answer.status if answer else 0
            return StoredAnswer(status, (), None)
        self._stored_bytes += answer.size
        return answer

    def _evict_expired(self, now_ms: int) -> None:
        while self._used:
            key, used = next(iter(self._used.items()))
            if used.expires_ms > now_ms:
                return
            if used.answer is not None:
                self._stored_bytes -= used.answer.size
            del self._used[key]
