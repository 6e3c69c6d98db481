"""The state of an in-flight request, and the faults of its failures."""

from __future__ import annotations

from typing import Final

from .errors import Fault, Kind, Outcome
from .messages import Failed, Req, Stage
from .rules import Priority, Rule
from .topology import Server

DEFAULT_RETRY_AFTER_MS: Final = 1_000


class Flight:
    """The state of one in-flight request.

    Attributes:
        req: The request.
        rule: The rule that it matched.
        deadline_at_ms: Monotonic time by which the answer must be complete.
        admitted: Whether the limit of its workspace has admitted it.
        attempt: Number of the current attempt, from 1.
        server: The server of the current attempt, or None.
        sent_at_ms: Monotonic time at which the request was last sent.
        first_token_ms: Time from then to the first byte of the answer's
            body, in ms; None before it.
        excluded: Names of servers that are not tried again.
        avoided: Names of servers that are tried again only if there is no
            other.
        crashes: Number of attempts during which the server crashed.
        answer_started: Whether the caller was sent a byte of an answer.
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
        "excluded",
        "avoided",
        "crashes",
        "answer_started",
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
        self.excluded: set[str] = set()
        self.avoided: set[str] = set()
        self.crashes = 0
        self.answer_started = False
        self.may_have_run = False

    def priority(self) -> Priority:
        """Returns the request's own priority, or the rule's if it has none."""
        asked = self.req.priority
        return self.rule.priority if asked is None else asked

    def allows_rerun(self) -> bool:
        """Returns whether the request is idempotent."""
        return self.rule.allows_rerun(self.req.method)


def build_deadline_fault(flight: Flight) -> Fault:
    """Returns the fault for a request whose deadline has passed."""
    detail = f"no attempt left within {flight.rule.deadline_ms} ms"
    return Fault(
        Kind.DEADLINE, "place", detail, retry_after_ms=DEFAULT_RETRY_AFTER_MS
    )


def build_failure_fault(flight: Flight, event: Failed) -> Fault:
    """Returns the fault for a request whose attempt failed."""
    outcome = Outcome.UNKNOWN
    if event.stage in (Stage.CONNECT, Stage.REFUSED):
        outcome = Outcome.NOT_RUN
    retry_after_ms = event.retry_after_ms
    if retry_after_ms is None:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    return Fault(
        Kind.SERVER_FAILED,
        f"attempt-{event.stage.value}",
        event.detail,
        peer=flight.server.name if flight.server else "",
        outcome=outcome,
        retry_after_ms=retry_after_ms,
    )
