"""Typed errors, which the core returns as values."""

from __future__ import annotations

import enum

from .records import Record


class Outcome(enum.Enum):
    """Whether a request ran on a backend server, as far as known."""

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Kind(enum.Enum):
    """The class of an error; each maps to one HTTP status."""

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    NO_RULE = "no-rule"
    KEY_REUSED = "key-reused"
    IN_PROGRESS = "in-progress"
    ALREADY_RUN = "already-run"
    UNRESOLVED = "unresolved"
    TOO_LARGE = "too-large"
    SLOW_BODY = "slow-body"
    QUARANTINED = "quarantined"
    LIMITED = "limited"
    OVERLOADED = "overloaded"
    NO_SERVER = "no-server"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    DEADLINE = "deadline"
    SERVER_FAILED = "server-failed"
    STORE_FAILED = "store-failed"
    CONFLICT = "conflict"
    BAD_CONFIG = "bad-config"
    LEASE_LOST = "lease-lost"
    PEER_FAILED = "peer-failed"


class Fault(Record):
    """An error value.

    Attributes:
        kind: The class of the error.
        step: The processing step at which it arose, such as "match-rule".
        peer: The remote end of that step; empty if there was none.
        detail: Explanation for a human reader.
        outcome: Whether the request ran.
        retry_after_ms: Delay before a retry, in ms; None if a retry does
            not help.
    """

    __slots__ = (
        "kind",
        "step",
        "peer",
        "detail",
        "outcome",
        "retry_after_ms",
    )

    def __init__(
        self,
        kind: Kind,
        step: str,
        detail: str,
        peer: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        self.kind = kind
        self.step = step
        self.detail = detail
        self.peer = peer
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms

    def with_outcome(self, outcome: Outcome) -> Fault:
        """Returns a copy of this fault with `outcome`."""
        return Fault(
            self.kind,
            self.step,
            self.detail,
            self.peer,
            outcome,
            self.retry_after_ms,
        )
