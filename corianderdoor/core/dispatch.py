"""The request path: from an arrived request to its whole answer.

`Dispatcher` takes events and returns actions. It composes the rules, the
limits, the placement and the retry budget, and holds one `Flight` for each
request in progress.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from expression import Result

from .admission import Admission
from .config import Config, EMPTY_CONFIG
from .errors import Fault, Kind, Outcome
from .messages import (
    Action,
    Arrived,
    AskPermit,
    CallerLeft,
    Done,
    Event,
    Failed,
    Finished,
    FirstByte,
    PermitAnswered,
    Refuse,
    Req,
    Send,
    Stage,
    Wait,
    Waited,
)
from .placement import Choice, Later, Placement
from .retry import MAX_ATTEMPTS, RetryBudget
from .rules import Rule
from .topology import Server

NOT_READY_RETRY_MS: Final = 1_000
SERVER_ERROR_STATUS: Final = 500


class Flight:
    """The state of one request in progress."""

    __slots__ = (
        "req",
        "rule",
        "deadline_at_ms",
        "attempt",
        "server",
        "sent_at_ms",
        "first_token_ms",
        "tried",
        "answering",
        "may_have_run",
    )

    def __init__(self, req: Req, rule: Rule, deadline_at_ms: int) -> None:
        self.req = req
        self.rule = rule
        self.deadline_at_ms = deadline_at_ms
        self.attempt = 0
        self.server: Server | None = None
        self.sent_at_ms = 0
        self.first_token_ms: int | None = None
        self.tried: set[str] = set()
        self.answering = False
        self.may_have_run = False


class Dispatcher:
    """Decides what happens to each request of one router."""

    __slots__ = (
        "_cfg",
        "_placement",
        "_admission",
        "_budget",
        "_flights",
        "_now_ms",
        "_wall_ms",
    )

    def __init__(
        self, placement: Placement, admission: Admission, budget: RetryBudget
    ) -> None:
        self._cfg = EMPTY_CONFIG
        self._placement = placement
        self._admission = admission
        self._budget = budget
        self._flights: dict[str, Flight] = {}
        self._now_ms = 0
        self._wall_ms = 0

    @property
    def cfg(self) -> Config:
        """The configuration in force."""
        return self._cfg

    @property
    def in_progress(self) -> int:
        """The number of requests in progress."""
        return len(self._flights)

    def set_config(self, cfg: Config) -> bool:
        """Puts `cfg` in force; returns False if it is not newer."""
        if cfg.revision <= self._cfg.revision:
            return False
        self._cfg = cfg
        return True

    def handle(self, event: Event, now_ms: int, wall_ms: int) -> Action:
        """Takes one event and returns what to do.

        Args:
            event: What happened.
            now_ms: Monotonic time.
            wall_ms: Unix time, for rules with a time of day.
        """
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        return self._on(event)

    @singledispatchmethod
    def _on(self, event: Event) -> Action:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _(self, event: Arrived) -> Action:
        req = event.req
        if self._cfg.revision == 0:
            return Refuse(
                req.id,
                Fault(
                    Kind.NOT_READY,
                    "match-rule",
                    "this host has no configuration yet",
                    retry_after_ms=NOT_READY_RETRY_MS,
                ),
            )
        if req.id in self._flights:
            detail = f"request id {req.id} is in progress"
            return Refuse(
                req.id, Fault(Kind.BAD_REQUEST, "read-request", detail)
            )
        rule = self._cfg.rules.find(
            req.workspace, req.path, req.method, req.model, self._wall_ms
        )
        if rule is None:
            detail = f"no rule matches {req.method} {req.path}"
            return Refuse(req.id, Fault(Kind.NO_RULE, "match-rule", detail))
        return self._admit(req, rule)

    def _admit(self, req: Req, rule: Rule) -> Action:
        refusal = self._admission.admit(req.workspace, rule, self._now_ms)
        if refusal is not None:
            return Refuse(req.id, refusal)
        budget_ms = rule.deadline_ms
        if req.deadline_ms is not None:
            budget_ms = min(budget_ms, req.deadline_ms)
        flight = Flight(req, rule, self._now_ms + budget_ms)
        self._flights[req.id] = flight
        return self._place(flight)

    def _place(self, flight: Flight) -> Action:
        left_ms = flight.deadline_at_ms - self._now_ms
        if left_ms <= 0:
            return self._give_up(flight, _deadline_fault(flight))
        chosen = self._placement.choose(
            flight.req,
            flight.rule.pool,
            flight.tried,
            left_ms,
            self._now_ms,
        )
        return self._follow(flight, chosen)

    def _follow(self, flight: Flight, chosen: Result[Choice, Fault]) -> Action:
        match chosen:
            case Result(tag="ok", ok=AskPermit() as ask):
                return ask
            case Result(tag="ok", ok=Later(delay_ms=delay_ms)):
                return Wait(flight.req.id, delay_ms)
            case Result(tag="ok", ok=Server() as server):
                flight.server = server
                flight.attempt += 1
                flight.tried.add(server.name)
                flight.sent_at_ms = self._now_ms
                flight.first_token_ms = None
                left_ms = flight.deadline_at_ms - self._now_ms
                return Send(flight.req.id, server, flight.attempt, left_ms)
            case Result(error=fault):
                return self._give_up(flight, fault)
        raise TypeError(f"unknown choice {chosen!r}")

    @_on.register
    def _(self, event: PermitAnswered) -> Action:
        flight = self._flights.get(event.id)
        if flight is None:
            return Done(event.id)
        if self._now_ms >= flight.deadline_at_ms:
            return self._give_up(flight, _deadline_fault(flight))
        return self._follow(
            flight,
            self._placement.resume(flight.req, event.answer, self._now_ms),
        )

    @_on.register
    def _(self, event: Waited) -> Action:
        flight = self._flights.get(event.id)
        if flight is None:
            return Done(event.id)
        return self._place(flight)

    @_on.register
    def _(self, event: FirstByte) -> Action:
        flight = self._flights.get(event.id)
        if flight is not None:
            flight.answering = True
            if flight.first_token_ms is None:
                flight.first_token_ms = self._now_ms - flight.sent_at_ms
        return Done(event.id)

    @_on.register
    def _(self, event: Finished) -> Action:
        flight = self._flights.get(event.id)
        if flight is not None:
            if event.status < SERVER_ERROR_STATUS:
                self._budget.record_success()
                self._release_server(flight, served=True)
            self._close(flight)
        return Done(event.id)

    @_on.register
    def _(self, event: CallerLeft) -> Action:
        flight = self._flights.get(event.id)
        if flight is not None:
            self._close(flight)
        return Done(event.id)

    @_on.register
    def _(self, event: Failed) -> Action:
        flight = self._flights.get(event.id)
        if flight is None:
            return Done(event.id)
        fault = _describe_failure(flight, event)
        if fault.outcome is Outcome.UNKNOWN:
            flight.may_have_run = True
        self._release_server(flight)
        if not self._may_retry(flight, event):
            return self._give_up(flight, fault)
        delay_ms = self._budget.delay_ms(flight.attempt)
        if event.retry_after_ms is not None:
            delay_ms = max(delay_ms, event.retry_after_ms)
        if self._now_ms + delay_ms >= flight.deadline_at_ms:
            return self._give_up(flight, fault)
        return Wait(flight.req.id, delay_ms)

    def _may_retry(self, flight: Flight, event: Failed) -> bool:
        if flight.answering or flight.attempt >= MAX_ATTEMPTS:
            return False
        sent = event.stage in (Stage.SENT, Stage.ANSWER)
        if sent and not flight.rule.allows_rerun(flight.req.method):
            return False
        return self._budget.take()

    def _release_server(self, flight: Flight, served: bool = False) -> None:
        if flight.server is None:
            self._placement.cancel(flight.req, self._now_ms)
            return
        self._placement.release(
            flight.req,
            flight.server,
            self._now_ms,
            served,
            flight.first_token_ms,
        )
        flight.server = None

    def _close(self, flight: Flight) -> None:
        self._release_server(flight)
        self._admission.release(flight.req.workspace, flight.rule)
        del self._flights[flight.req.id]

    def _give_up(self, flight: Flight, fault: Fault) -> Action:
        self._close(flight)
        if flight.may_have_run:
            fault = fault.with_outcome(Outcome.UNKNOWN)
        return Refuse(flight.req.id, fault)


def _deadline_fault(flight: Flight) -> Fault:
    detail = f"no attempt left within {flight.rule.deadline_ms} ms"
    return Fault(Kind.DEADLINE, "place", detail)


def _describe_failure(flight: Flight, event: Failed) -> Fault:
    outcome = Outcome.UNKNOWN
    if event.stage in (Stage.CONNECT, Stage.REFUSED):
        outcome = Outcome.NOT_RUN
    return Fault(
        Kind.SERVER_FAILED,
        f"attempt-{event.stage.value}",
        event.detail,
        peer=flight.server.name if flight.server else "",
        outcome=outcome,
        retry_after_ms=event.retry_after_ms,
    )
