"""What a repeated request is told: verdicts and endings of keyed requests.

An idempotency key names one non-idempotent operation of one workspace. The
outcome word of a fault speaks of the request that it answers; where the key
is known to have begun a run before, the word is never `not-run`.
"""

from __future__ import annotations

import hashlib
from typing import Final, TypeAlias

from .errors import Fault, Kind, Outcome
from .records import Record

DIGEST_BYTES: Final = 16
IN_PROGRESS_RETRY_MS: Final = 1_000
FULL_RETRY_MS: Final = 5_000
STEP: Final = "check-key"


class StoredAnswer(Record):
    """A whole answer, kept for repeats of its key.

    Attributes:
        status: HTTP status.
        headers: Names and values of the headers to repeat.
        body: The body; None if it was too large to keep.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes | None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def size(self) -> int:
        """Bytes that the answer's body holds in memory."""
        return len(self.body or b"")


class Proceed(Record):
    """Verdict: run the request now; `settle` has to follow."""

    __slots__ = ()


class Replay(Record):
    """Verdict: give the answer of the first run again."""

    __slots__ = ("answer",)

    def __init__(self, answer: StoredAnswer) -> None:
        self.answer = answer


class Redirect(Record):
    """Verdict: another router alone may run this key.

    Attributes:
        router: Name of that router.
        final: Whether the caller must go there and nowhere else.
    """

    __slots__ = ("router", "final")

    def __init__(self, router: str, final: bool = True) -> None:
        self.router = router
        self.final = final


class Reject(Record):
    """Verdict: do not run the request."""

    __slots__ = ("fault",)

    def __init__(self, fault: Fault) -> None:
        self.fault = fault


class LookUp(Record):
    """Verdict: only what a gone router left behind tells of this key.

    Attributes:
        minter: Name of the router that minted the key.
        incarnation: The incarnation that minted it.
        expires_ms: Expiry by that incarnation's monotonic clock.
    """

    __slots__ = ("minter", "incarnation", "expires_ms")

    def __init__(self, minter: str, incarnation: int, expires_ms: int) -> None:
        self.minter = minter
        self.incarnation = incarnation
        self.expires_ms = expires_ms


Verdict: TypeAlias = Proceed | Replay | Redirect | LookUp | Reject


class RunResult(Record):
    """How a run that a `Proceed` began has ended.

    Attributes:
        outcome: What is known of the run.
        kept: The whole answer, if the outcome is `run`.
    """

    __slots__ = ("outcome", "answer")

    def __init__(
        self, outcome: Outcome, answer: StoredAnswer | None = None
    ) -> None:
        self.outcome = outcome
        self.answer = answer


def digest_key(workspace: str, key: str) -> bytes:
    """Returns the name under which a workspace's key is known."""
    text = f"{workspace}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


def digest_request(method: str, path: bytes, body: bytes) -> bytes:
    """Returns the fingerprint that every repeat of a key must have."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), path):
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    hasher.update(body)
    return hasher.digest()


def replay_or_reject(answer: StoredAnswer | None) -> Verdict:
    """Returns the verdict on a repeat of a key that has run."""
    if answer is not None and answer.body is not None:
        return Replay(answer)
    status = f" with status {answer.status}" if answer else ""
    detail = f"the key has run{status}; its answer was too large to keep"
    return Reject(Fault(Kind.ALREADY_RUN, STEP, detail, outcome=Outcome.RUN))


def reject_reused() -> Reject:
    """Returns the verdict on a key that came with a different request."""
    detail = "the key was used for a request with another path or body"
    return Reject(Fault(Kind.KEY_REUSED, STEP, detail))


def reject_in_progress(peer: str = "") -> Reject:
    """Returns the verdict on a repeat during the first run."""
    return Reject(
        Fault(
            Kind.IN_PROGRESS,
            STEP,
            "the first request with this key is in progress",
            peer,
            Outcome.UNKNOWN,
            IN_PROGRESS_RETRY_MS,
        )
    )


def reject_unknown(detail: str, peer: str = "") -> Reject:
    """Returns the verdict on a key whose run may have taken place."""
    return Reject(Fault(Kind.UNRESOLVED, STEP, detail, peer, Outcome.UNKNOWN))


def reject_unverified(
    detail: str,
    first: bool,
    retry_ms: int,
    kind: Kind = Kind.STORE_FAILED,
) -> Reject:
    """Returns the verdict on a key of which nothing can be known now.

    Args:
        detail: Why.
        first: Whether the caller says that it has not sent the key before;
            if it may have, an earlier request may have run.
        retry_ms: When to come back, in ms.
        kind: The class of the fault.
    """
    outcome = Outcome.NOT_RUN if first else Outcome.UNKNOWN
    if not first:
        detail += "; this request was not run, but an earlier one may be"
    return Reject(
        Fault(
            kind,
            STEP,
            detail,
            outcome=outcome,
            retry_after_ms=retry_ms,
        )
    )


def reject_draining(router: str) -> Reject:
    """Returns the verdict on an unused key of a router out of service."""
    detail = f"the router {router} is out of service; ask for another key"
    return Reject(Fault(Kind.DRAINING, STEP, detail, router))


def reject_full(what: str) -> Reject:
    """Returns the verdict when no more keys can be remembered."""
    return Reject(
        Fault(
            Kind.OVERLOADED,
            STEP,
            f"{what} is full",
            retry_after_ms=FULL_RETRY_MS,
        )
    )
