"""Checks of a soak run against the guarantees to callers and operators.

Reports call these guarantees promises.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections import defaultdict
from typing import Final

from ..core.records import Record
from .ledger import Arrival, Attempt, Ledger

# The platform's documented limits for large deployments. `SETTLE_MS` is how
# long after a disturbance a check still excuses its effects.
SETTLE_MS: Final = 4_000
LEAVE_BOUND_MS: Final = 3_000
DESIRED_STATE_BOUND_MS: Final = 3_000
EVACUATION_BOUND_MS: Final = 5_000
LATE_ANSWER_SLACK_MS: Final = 500
CLOSE_RACE_MS: Final = 200
RETRY_WINDOW_MS: Final = 10_000
SECOND_MS: Final = 1_000

ENGINE_KINDS: Final = frozenset({"chat", "draft"})
AT_MOST_ONCE_KINDS: Final = frozenset({"pay", "draft"})
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
DENIED_STATUSES: Final = frozenset({401, 403, 404})


class Limits(Record):
    """Limits of the deployment of a run.

    Attributes:
        timeout_ms: Longest timeout of a route.
        stream_events: Number of events in a complete stream.
        max_attempts: Maximum number of runs of a request that may be
            retried.
        retry_ratio: Retries allowed per request.
        retry_slack: Retries allowed in addition to the ratio.
        max_cold_per_s: Maximum number of requests to a cold server in any
            second.
    """

    __slots__ = (
        "timeout_ms",
        "stream_events",
        "max_attempts",
        "retry_ratio",
        "retry_slack",
        "max_cold_per_s",
    )

    def __init__(
        self,
        timeout_ms: int,
        stream_events: int,
        max_attempts: int,
        retry_ratio: float,
        retry_slack: float,
        max_cold_per_s: float,
    ) -> None:
        self.timeout_ms = timeout_ms
        self.stream_events = stream_events
        self.max_attempts = max_attempts
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.max_cold_per_s = max_cold_per_s


class Violation(Record):
    """A failed check: its name and what was observed."""

    __slots__ = ("check", "detail")

    def __init__(self, check: str, detail: str) -> None:
        self.check = check
        self.detail = detail


def find_violations(ledger: Ledger, limits: Limits) -> list[Violation]:
    """Returns the violations of all checks in a run."""
    arrivals = ledger.arrivals_by_id()
    found: list[Violation] = []
    for attempt in ledger.attempts.values():
        own_arrivals = arrivals.get(attempt.id, [])
        found += _check_answer(attempt, limits)
        found += _check_runs(attempt, own_arrivals, limits)
        found += _check_outcome(ledger, attempt, own_arrivals, limits)
    for arrival in ledger.arrivals:
        found += _check_arrival(ledger, arrival)
    found += _check_exclusions(ledger)
    found += _check_probes(ledger)
    found += _check_retry_budget(ledger, limits)
    found += _check_cold(ledger, limits)
    found += [
        Violation("ended", f"{name} ended by itself with status {status}")
        for name, status in ledger.unexpected_exits
    ]
    return found


def event_numbers(body: bytes) -> list[int]:
    """Returns the ids of the complete events in a stream."""
    complete_events = body.split(b"\n\n")[:-1]
    return [
        int(event.partition(b"\n")[0].removeprefix(b"id: "))
        for event in complete_events
        if event.startswith(b"id: ")
    ]


def _check_answer(attempt: Attempt, limits: Limits) -> Iterator[Violation]:
    if attempt.status != 200:
        if attempt.headers.get(b"response-signature") and attempt.complete:
            if attempt.status != 500:
                yield Violation(
                    "mixed",
                    f"{attempt.id}: {attempt.status} with a server's proof",
                )
        return
    signature = attempt.headers.get(b"response-signature")
    if signature != b"sig." + attempt.id.encode():
        yield Violation("mixed", f"{attempt.id}: proof {signature!r}")
    if attempt.kind in ENGINE_KINDS:
        numbers = event_numbers(attempt.body)
        if numbers != list(range(1, len(numbers) + 1)):
            yield Violation("order", f"{attempt.id}: events {numbers}")
        if attempt.complete and len(numbers) != limits.stream_events:
            yield Violation("order", f"{attempt.id}: ends after {numbers}")
    elif attempt.complete and attempt.body != b"done " + attempt.id.encode():
        yield Violation("mixed", f"{attempt.id}: body {attempt.body[:60]!r}")


def _check_runs(
    attempt: Attempt, arrivals: list[Arrival], limits: Limits
) -> Iterator[Violation]:
    runs = [arrival for arrival in arrivals if arrival.ran]
    where = ", ".join(f"{run.worker} at {run.at_ms}" for run in runs)
    max_runs = 1 if attempt.kind in AT_MOST_ONCE_KINDS else limits.max_attempts
    if len(runs) > max_runs:
        yield Violation("twice", f"{attempt.id} ran on {where}")
    if (
        attempt.kind in AT_MOST_ONCE_KINDS
        and attempt.status in NOT_RUN_STATUSES
        and runs
    ):
        yield Violation(
            "refused", f"{attempt.id}: {attempt.status}, yet ran on {where}"
        )


def _check_outcome(
    ledger: Ledger,
    attempt: Attempt,
    arrivals: list[Arrival],
    limits: Limits,
) -> Iterator[Violation]:
    if attempt.disconnected:
        return
    begin_ms = attempt.sent_ms - SETTLE_MS
    took_ms = attempt.ended_ms - attempt.sent_ms
    detail = (
        f"{attempt.id} ({attempt.kind}) at {attempt.host}, sent at "
        f"{attempt.sent_ms}, status {attempt.status} after {took_ms} ms, "
        f"{len(arrivals)} sends"
    )
    if took_ms > limits.timeout_ms + LATE_ANSWER_SLACK_MS:
        if not ledger.is_host_disturbed(
            attempt.host, begin_ms, attempt.ended_ms
        ):
            yield Violation("late", detail)
    if ledger.has_unplanned_fault(begin_ms, attempt.ended_ms, None):
        return
    if attempt.status in DENIED_STATUSES and attempt.kind != "probe":
        yield Violation("denied", detail)
    # The host may close an idle connection while the request is on its way.
    raced_close = not arrivals and not attempt.first_on_connection
    raced_close = raced_close or not arrivals and took_ms < CLOSE_RACE_MS
    if not attempt.status and not raced_close:
        yield Violation("lost", detail)
    if attempt.status == 200 and not attempt.complete:
        yield Violation("lost", f"{detail}, cut")


def _check_arrival(ledger: Ledger, arrival: Arrival) -> Iterator[Violation]:
    attempt = ledger.attempts.get(arrival.id)
    if attempt is None:
        yield Violation("unasked", f"{arrival.id} at {arrival.worker}")
        return
    sent = (f"/{attempt.kind}/x".encode(), attempt.id.encode())
    if attempt.kind != "probe" and (arrival.path, arrival.body) != sent:
        yield Violation("unasked", f"{arrival.id}: {arrival.path!r} changed")
    if arrival.has_caller_key or arrival.workspace != b"acme":
        yield Violation(
            "unasked", f"{arrival.id}: workspace {arrival.workspace!r}"
        )
    if arrival.engine != (attempt.kind in ENGINE_KINDS):
        yield Violation("route", f"{arrival.id} at {arrival.worker}")


def _check_exclusions(ledger: Ledger) -> Iterator[Violation]:
    """Checks that leaving or evacuated servers receive no requests."""
    for arrival in ledger.arrivals:
        attempt = ledger.attempts.get(arrival.id)
        if attempt is None or not arrival.ran:
            continue
        for span in ledger.exclusions.get(arrival.worker, ()):
            bound_ms = (
                EVACUATION_BOUND_MS
                if span.kind == "evacuate"
                else LEAVE_BOUND_MS
            )
            from_ms = span.begin_ms + bound_ms
            if not span.overlaps(arrival.at_ms, arrival.at_ms):
                continue
            if arrival.at_ms < from_ms:
                continue
            begin_ms = arrival.at_ms - SETTLE_MS - bound_ms
            if ledger.is_host_disturbed(attempt.host, begin_ms, arrival.at_ms):
                continue
            yield Violation(
                span.kind,
                f"{arrival.id} from {attempt.host} at {arrival.worker}, "
                f"{arrival.at_ms - span.begin_ms} ms after",
            )


def _check_probes(ledger: Ledger) -> Iterator[Violation]:
    for id, accepted_ms, allowed in ledger.probes:
        attempt = ledger.attempts[id]
        if (
            attempt.sent_ms < accepted_ms + DESIRED_STATE_BOUND_MS
            or not attempt.status
        ):
            continue
        begin_ms = attempt.sent_ms - SETTLE_MS - DESIRED_STATE_BOUND_MS
        if ledger.is_host_disturbed(attempt.host, begin_ms, attempt.ended_ms):
            continue
        if attempt.status not in allowed | NOT_RUN_STATUSES | {502, 504}:
            yield Violation(
                "config",
                f"{id} at {attempt.host}: {attempt.status}, "
                f"{attempt.sent_ms - accepted_ms} ms after acceptance",
            )


def _check_retry_budget(ledger: Ledger, limits: Limits) -> Iterator[Violation]:
    for engine in (False, True):
        sent_times = sorted(
            attempt.sent_ms
            for attempt in ledger.attempts.values()
            if (attempt.kind in ENGINE_KINDS) == engine
        )
        seen: set[str] = set()
        retry_times = []
        for arrival in ledger.arrivals:
            if arrival.engine != engine:
                continue
            if arrival.id in seen:
                retry_times.append(arrival.at_ms)
            seen.add(arrival.id)
        for end_ms in retry_times:
            count = _count(retry_times, end_ms)
            requests = max(
                _count(sent_times, end_ms - back_ms)
                for back_ms in (0, RETRY_WINDOW_MS // 2, RETRY_WINDOW_MS)
            )
            max_retries = limits.retry_ratio * requests + limits.retry_slack
            if count > max_retries:
                yield Violation(
                    "budget", f"{count} repeats of {requests} by {end_ms}"
                )
                break


def _count(times: list[int], end_ms: int) -> int:
    return sum(end_ms - RETRY_WINDOW_MS < at_ms <= end_ms for at_ms in times)


def _check_cold(ledger: Ledger, limits: Limits) -> Iterator[Violation]:
    by_worker: defaultdict[str, list[int]] = defaultdict(list)
    for arrival in ledger.arrivals:
        if arrival.cold and arrival.engine:
            by_worker[arrival.worker].append(arrival.at_ms)
    for worker, times in by_worker.items():
        peak = max(
            sum(at_ms - SECOND_MS < other <= at_ms for other in times)
            for at_ms in times
        )
        if peak > limits.max_cold_per_s:
            yield Violation("cold", f"{worker} got {peak} in a second")
