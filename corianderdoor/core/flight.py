"""The state of a request in progress, and what its failures mean."""

from __future__ import annotations

from typing import Final

from .errors import Fault, Kind, Outcome
from .messages import Failed, Req, Stage
from .rules import Priority, Rule
from .topology import Server

GIVEN_UP_RETRY_MS: Final = 1_000


class Flight:
    """The state of one request in progress.

    Attributes:
        req: The request.
        rule: The rule that it matched.
        deadline_at_ms: Monotonic time at which its answer must have ended.
        admitted: Whether its workspace's limit has let it in.
        attempt: Number of the present attempt, from 1.
        server: The server that has it now, or None.
        tried: Servers that are not asked again.
        doubted: Servers that are asked again only if there is no other.
        crashes: Servers that crashed under it.
        answering: Whether the caller was sent a byte of an answer.
        may_have_run: Whether the outcome of an attempt is unknown.
    """

    __slots__ = (
        "req",
        "rule",
        "deadline_at_ms",
        "admitted",
        "attempt",
        "server",
        "sent_at_ms",
        "first_token_ms",
        "tried",
        "doubted",
        "crashes",
        "answering",
        "may_have_run",
    )

    def __init__(self, req: Req, rule: Rule, deadline_at_ms: int) -> None:
        self.req = req
        self.rule = rule
        self.deadline_at_ms = deadline_at_ms
        self.admitted = False
        self.attempt = 0
        self.server: Server | None = None
        self.sent_at_ms = 0
        self.first_token_ms: int | None = None
        self.tried: set[str] = set()
        self.doubted: set[str] = set()
        self.crashes = 0
        self.answering = False
        self.may_have_run = False

    def priority(self) -> Priority:
        """Returns the rule's priority, or a lower one that was asked for."""
        asked = self.req.priority
        return self.rule.priority if asked is None else asked

    def allows_rerun(self) -> bool:
        """Tells whether the request is idempotent."""
        return self.rule.allows_rerun(self.req.method)


def describe_deadline(flight: Flight) -> Fault:
    """Returns the fault of a request whose deadline has passed."""
    detail = f"no attempt left within {flight.rule.deadline_ms} ms"
    return Fault(
        Kind.DEADLINE, "place", detail, retry_after_ms=GIVEN_UP_RETRY_MS
    )


def describe_failure(flight: Flight, event: Failed) -> Fault:
    """Returns what a failed attempt means for its request."""
    outcome = Outcome.UNKNOWN
    if event.stage in (Stage.CONNECT, Stage.REFUSED):
        outcome = Outcome.NOT_RUN
    retry_after_ms = event.retry_after_ms
    if retry_after_ms is None:
        retry_after_ms = GIVEN_UP_RETRY_MS
    return Fault(
        Kind.SERVER_FAILED,
        f"attempt-{event.stage.value}",
        event.detail,
        peer=flight.server.name if flight.server else "",
        outcome=outcome,
        retry_after_ms=retry_after_ms,
    )
