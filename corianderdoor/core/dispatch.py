"""The request path: from the arrival of a request to its complete answer.

`Dispatcher` maps events to actions. It combines the rules, the limits, the
placement, the retry budget, the pauses of servers and the quarantine, and
holds one `Flight` for each in-flight request.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from expression import Result

from .config import Config, EMPTY_CONFIG
from .errors import Fault, Kind, Outcome
from .flight import build_deadline_fault, build_failure_fault, Flight
from .limits import Limits
from .messages import (
    Action,
    Arrived,
    AskPermit,
    CallerDisconnected,
    Done,
    Event,
    Failed,
    Finished,
    FirstByte,
    PermitAnswered,
    Refuse,
    Resume,
    Send,
    Stage,
    Wait,
    Waited,
)
from .placement import Choice, Placement, RetryLater
from .quarantine import Quarantine
from .quota import PENDING_RETRY_MS, Verdict
from .retry import MAX_ATTEMPTS, MAX_CRASHES, RetryBudget
from .server_health import ServerHealth
from .timeouts import choose_silence_ms
from .topology import Server

NOT_READY_RETRY_MS: Final = 1_000
SERVER_ERROR_STATUS: Final = 500


class Dispatcher:
    """Decides the next action for each request of one router."""

    __slots__ = (
        "_cfg",
        "_placement",
        "_limits",
        "_budget",
        "_quarantine",
        "_health",
        "_flights",
        "_now_ms",
        "_wall_ms",
    )

    def __init__(
        self,
        placement: Placement,
        limits: Limits,
        budget: RetryBudget,
        quarantine: Quarantine | None = None,
    ) -> None:
        self._cfg = EMPTY_CONFIG
        self._placement = placement
        self._limits = limits
        self._budget = budget
        self._quarantine = quarantine or Quarantine()
        self._health = ServerHealth()
        self._flights: dict[str, Flight] = {}
        self._now_ms = 0
        self._wall_ms = 0

    @property
    def cfg(self) -> Config:
        """The configuration in force."""
        return self._cfg

    @property
    def in_progress(self) -> int:
        """The number of in-flight requests."""
        return len(self._flights)

    @property
    def quarantine(self) -> Quarantine:
        """The quarantine, which also merges crash reports of peers."""
        return self._quarantine

    def retain_servers(self, names: frozenset[str], now_ms: int) -> None:
        """Drops the state of all servers that are not in `names`."""
        self._health.retain(names)
        self._quarantine.tick(now_ms)

    def set_config(self, cfg: Config) -> bool:
        """Applies `cfg`; returns False if its revision is not newer."""
        if cfg.revision <= self._cfg.revision:
            return False
        self._cfg = cfg
        return True

    def handle(self, event: Event, now_ms: int, wall_ms: int) -> Action:
        """Processes one event and returns the next action.

        Args:
            event: What happened.
            now_ms: Monotonic time, in ms.
            wall_ms: Unix time, in ms, for rules with a time of day.
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
        budget_ms = rule.deadline_ms
        if req.deadline_ms is not None:
            budget_ms = min(budget_ms, req.deadline_ms)
        priority = rule.priority
        if req.priority is not None:
            priority = max(priority, req.priority)
        req = req.with_priority(priority)
        flight = Flight(req, rule, self._now_ms + budget_ms)
        self._flights[req.id] = flight
        return self._admit(flight)

    def _admit(self, flight: Flight, waited: bool = False) -> Action:
        if self._now_ms >= flight.deadline_at_ms:
            return self._refuse(flight, build_deadline_fault(flight))
        verdict = self._limits.admit(
            flight.req.workspace, flight.rule, self._now_ms, waited
        )
        if isinstance(verdict, Fault):
            return self._refuse(flight, verdict)
        if verdict is Verdict.PENDING:
            return Wait(flight.req.id, PENDING_RETRY_MS)
        flight.admitted = True
        return self._place(flight)

    def _place(self, flight: Flight) -> Action:
        left_ms = flight.deadline_at_ms - self._now_ms
        if left_ms <= 0:
            return self._refuse(flight, build_deadline_fault(flight))
        refusal = self._quarantine.check(flight.req, self._now_ms)
        if refusal is not None:
            return self._refuse(flight, refusal)
        return self._apply_choice(flight, self._choose(flight, left_ms))

    def _apply_choice(
        self, flight: Flight, chosen: Result[Choice, Fault]
    ) -> Action:
        match chosen:
            case Result(tag="ok", ok=AskPermit() as ask):
                return ask
            case Result(tag="ok", ok=RetryLater(delay_ms=delay_ms)):
                return Wait(flight.req.id, delay_ms)
            case Result(tag="ok", ok=Server() as server):
                return self._start(flight, server)
            case Result(error=fault):
                return self._refuse(flight, fault)
        raise TypeError(f"unknown choice {chosen!r}")

    @_on.register
    def _(self, event: PermitAnswered) -> Action:
        flight = self._flights.get(event.id)
        if flight is None:
            return Done(event.id)
        if self._now_ms >= flight.deadline_at_ms:
            return self._refuse(flight, build_deadline_fault(flight))
        return self._apply_choice(
            flight,
            self._placement.resume(flight.req, event.answer, self._now_ms),
        )

    def _start(self, flight: Flight, server: Server) -> Action:
        flight.server = server
        flight.attempt += 1
        flight.sent_at_ms = self._now_ms
        flight.first_token_ms = None
        self._quarantine.record_start(flight.req, server, self._now_ms)
        left_ms = flight.deadline_at_ms - self._now_ms
        silence_ms = choose_silence_ms(flight.allows_rerun(), left_ms)
        return Send(
            flight.req.id,
            server,
            flight.attempt,
            left_ms,
            silence_ms,
            flight.priority(),
        )

    def _choose(self, flight: Flight, left_ms: int) -> Result[Choice, Fault]:
        """Chooses a server; an avoided one only if there is no other."""
        avoided = (
            flight.avoided
            | self._health.paused(self._now_ms)
            | self._quarantine.avoided(flight.req, self._now_ms)
        )
        return self._placement.choose(
            flight.req,
            flight.rule.pool,
            flight.excluded,
            avoided,
            left_ms,
            self._now_ms,
        )

    @_on.register
    def _(self, event: Waited) -> Action:
        flight = self._flights.get(event.id)
        if flight is None:
            return Done(event.id)
        if not flight.admitted:
            return self._admit(flight, waited=True)
        return self._place(flight)

    @_on.register
    def _(self, event: FirstByte) -> Action:
        flight = self._flights.get(event.id)
        if flight is not None:
            flight.answer_started = True
            if flight.first_token_ms is None:
                flight.first_token_ms = self._now_ms - flight.sent_at_ms
        return Done(event.id)

    @_on.register
    def _(self, event: Finished) -> Action:
        flight = self._flights.get(event.id)
        if flight is not None:
            if flight.server is not None:
                self._health.record_success(flight.server.name)
            if event.status < SERVER_ERROR_STATUS:
                self._budget.record_success()
                self._quarantine.record_success(flight.req)
                self._release_server(flight, served=True)
            self._close(flight)
        return Done(event.id)

    @_on.register
    def _(self, event: CallerDisconnected) -> Action:
        flight = self._flights.get(event.id)
        if flight is not None:
            self._close(flight)
        return Done(event.id)

    @_on.register
    def _(self, event: Failed) -> Action:
        flight = self._flights.get(event.id)
        if flight is None:
            return Done(event.id)
        fault = build_failure_fault(flight, event)
        if fault.outcome is Outcome.UNKNOWN:
            flight.may_have_run = True
        self._record_failure(flight, event)
        if event.crashed:
            self._release_server(flight, crashed=True)
        if flight.answer_started:
            return self._resume(flight, event, fault)
        self._release_server(flight)
        if not self._may_retry(flight, event):
            return self._refuse(flight, fault)
        delay_ms = self._budget.backoff_ms(flight.attempt)
        late = self._now_ms + delay_ms >= flight.deadline_at_ms
        if late or not self._budget.take():
            return self._refuse(flight, fault)
        return Wait(flight.req.id, delay_ms)

    def _record_failure(self, flight: Flight, event: Failed) -> None:
        """Updates the server's and the request's state after a failure."""
        server = flight.server
        if server is None:
            return
        if event.crashed:
            flight.crashes += 1
            self._quarantine.record_crash(flight.req, server, self._now_ms)
        if event.server_at_fault or event.crashed:
            self._health.record_failure(server.name, self._now_ms)
        if event.retry_after_ms is not None:
            self._health.pause_for(
                server.name, event.retry_after_ms, self._now_ms
            )
        sent = event.stage in (Stage.SENT, Stage.ANSWER)
        if sent and not (event.crashed or event.server_at_fault):
            flight.avoided.add(server.name)
        else:
            flight.excluded.add(server.name)

    def _resume(self, flight: Flight, event: Failed, fault: Fault) -> Action:
        """Resumes a truncated answer at its server, or aborts it."""
        left_ms = flight.deadline_at_ms - self._now_ms
        may_resume = (
            event.resumable
            and not event.crashed
            and flight.server is not None
            and flight.attempt < MAX_ATTEMPTS
            and left_ms > 0
        )
        if not may_resume or not self._budget.take():
            return self._refuse(flight, fault)
        assert flight.server is not None
        flight.attempt += 1
        silence_ms = choose_silence_ms(flight.allows_rerun(), left_ms)
        return Resume(flight.req.id, flight.server, left_ms, silence_ms)

    def _may_retry(self, flight: Flight, event: Failed) -> bool:
        if flight.attempt >= MAX_ATTEMPTS or flight.crashes >= MAX_CRASHES:
            return False
        sent = event.stage in (Stage.SENT, Stage.ANSWER)
        return not sent or flight.allows_rerun()

    def _release_server(
        self, flight: Flight, served: bool = False, crashed: bool = False
    ) -> None:
        if flight.server is None:
            self._placement.cancel(flight.req, self._now_ms)
            return
        self._placement.release(
            flight.req,
            flight.server,
            self._now_ms,
            served,
            flight.first_token_ms,
            crashed,
        )
        self._quarantine.record_end(flight.req, flight.server)
        flight.server = None

    def _close(self, flight: Flight) -> None:
        self._release_server(flight)
        if flight.admitted:
            self._limits.release(flight.req.workspace, flight.rule)
        del self._flights[flight.req.id]

    def _refuse(self, flight: Flight, fault: Fault) -> Action:
        self._close(flight)
        if flight.may_have_run:
            fault = fault.with_outcome(Outcome.UNKNOWN)
        return Refuse(flight.req.id, fault, flight.rule.pool)
