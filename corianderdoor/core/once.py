"""Verdicts on requests with an idempotency key, and results of their runs.

An idempotency key names one non-idempotent operation of one workspace. The
outcome of a fault describes the request that it answers; it is never
`not-run` where a run of the key is known to have begun before.
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
    """A complete answer, stored to replay it to retries with its key.

    Attributes:
        status: HTTP status.
        headers: Names and values of the headers to replay.
        body: The body; None if it was too large to store.
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
        """Size of the stored body, in bytes."""
        return len(self.body or b"")


class Proceed(Record):
    """Verdict: run the request now, then call `settle` with its result."""

    __slots__ = ()


class Replay(Record):
    """Verdict: replay the answer of the first run."""

    __slots__ = ("answer",)

    def __init__(self, answer: StoredAnswer) -> None:
        self.answer = answer


class Redirect(Record):
    """Verdict: send the caller to the router that decides on this key.

    Attributes:
        router: Name of that router.
        final: Whether only that router may decide; otherwise it is merely the
            preferred one.
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
    """Verdict: look up the key in the stored record of its minter.

    The incarnation that minted the key is gone.

    Attributes:
        minter: Name of the router that minted the key.
        incarnation: The incarnation that minted it.
        expires_ms: Expiry by the monotonic clock of that incarnation, in ms.
    """

    __slots__ = ("minter", "incarnation", "expires_ms")

    def __init__(self, minter: str, incarnation: int, expires_ms: int) -> None:
        self.minter = minter
        self.incarnation = incarnation
        self.expires_ms = expires_ms


Verdict: TypeAlias = Proceed | Replay | Redirect | LookUp | Reject


class RunResult(Record):
    """Result of a run that a `Proceed` allowed.

    Attributes:
        outcome: Whether the request ran, as far as known.
        answer: The complete answer, if the outcome is `run`.
    """

    __slots__ = ("outcome", "answer")

    def __init__(
        self, outcome: Outcome, answer: StoredAnswer | None = None
    ) -> None:
        self.outcome = outcome
        self.answer = answer


def digest_key(workspace: str, key: str) -> bytes:
    """Returns the digest that identifies a key of a workspace."""
    text = f"{workspace}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


def digest_request(method: str, path: bytes, body: bytes) -> bytes:
    """Returns the fingerprint that all requests with one key must share."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), path):
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    hasher.update(body)
    return hasher.digest()


def replay_or_reject(answer: StoredAnswer | None) -> Verdict:
    """Returns the verdict on a retry with a key that has run."""
    if answer is not None and answer.body is not None:
        return Replay(answer)
    status = f" with status {answer.status}" if answer else ""
    detail = f"the key has run{status}; its answer was too large to keep"
    return Reject(Fault(Kind.ALREADY_RUN, STEP, detail, outcome=Outcome.RUN))


def reject_reused() -> Reject:
    """Returns the verdict on a key sent with a different request."""
    detail = "the key was used for a request with another path or body"
    return Reject(Fault(Kind.KEY_REUSED, STEP, detail))


def reject_in_progress(peer: str = "") -> Reject:
    """Returns the verdict on a retry during the first run."""
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
    """Returns the verdict on a key that may have run."""
    return Reject(Fault(Kind.UNRESOLVED, STEP, detail, peer, Outcome.UNKNOWN))


def reject_unverified(
    detail: str,
    first: bool,
    retry_ms: int,
    kind: Kind = Kind.STORE_FAILED,
) -> Reject:
    """Returns the verdict on a key whose state cannot be read now.

    Args:
        detail: Why the state cannot be read.
        first: Whether the caller declares that it never sent the key before;
            otherwise, an earlier request may have run.
        retry_ms: Delay after which the caller may retry, in ms.
        kind: Kind of the fault.
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
    """Returns the verdict on an unused key of a draining router."""
    detail = f"the router {router} is out of service; ask for another key"
    return Reject(Fault(Kind.DRAINING, STEP, detail, router))


def reject_full(what: str) -> Reject:
    """Returns the verdict when no room for more keys is left."""
    return Reject(
        Fault(
            Kind.OVERLOADED,
            STEP,
            f"{what} is full",
            retry_after_ms=FULL_RETRY_MS,
        )
    )
