"""Burn rates of service-level objectives: how fast error budgets are spent.

Routers export two monotonic counters per series: events that met an objective
and events that did not. This module turns readings of the counters into
increments, and increments into burn rates over several windows.
"""

from __future__ import annotations

from collections.abc import Iterable
import datetime
from typing import Final
import zoneinfo

from .clock import MS_PER_SECOND
from .records import Record

MINUTE_MS: Final = 60 * MS_PER_SECOND
HOUR_MS: Final = 60 * MINUTE_MS
DAY_MS: Final = 24 * HOUR_MS


class Objective(Record):
    """A service-level objective.

    Attributes:
        name: Name, as in the attribute of the metrics.
        target: Fraction of events that has to be good, below 1.
        limit_ms: Latency bound of a good event, in ms; 0 if the
            objective is not about latency.
    """

    __slots__ = ("name", "target", "limit_ms")

    def __init__(self, name: str, target: float, limit_ms: int = 0) -> None:
        self.name = name
        self.target = target
        self.limit_ms = limit_ms


AVAILABILITY: Final = Objective("availability", 0.999)
FIRST_TOKEN: Final = Objective("first-token", 0.95, 640)
BETWEEN_TOKENS: Final = Objective("between-tokens", 0.95, 29)
OBJECTIVES: Final = (AVAILABILITY, FIRST_TOKEN, BETWEEN_TOKENS)


class AlertRule(Record):
    """A multi-window alert: it fires if both windows burn fast enough.

    Attributes:
        severity: "page" or "ticket".
        long_ms: Length of the window that shows significance, in ms.
        short_ms: Length of the window that shows that the burn still lasts,
            in ms.
        factor: Burn rate at which the rule fires.
    """

    __slots__ = ("severity", "long_ms", "short_ms", "factor")

    def __init__(
        self, severity: str, long_ms: int, short_ms: int, factor: float
    ) -> None:
        self.severity = severity
        self.long_ms = long_ms
        self.short_ms = short_ms
        self.factor = factor


ALERT_RULES: Final = (
    AlertRule("page", HOUR_MS, 5 * MINUTE_MS, 14.4),
    AlertRule("page", 6 * HOUR_MS, 30 * MINUTE_MS, 6.0),
    AlertRule("ticket", 3 * DAY_MS, 6 * HOUR_MS, 1.0),
)


class Series(Record):
    """Labels of a pair of counters."""

    __slots__ = ("objective", "workspace", "pool", "data_centre")

    def __init__(
        self, objective: str, workspace: str, pool: str, data_centre: str
    ) -> None:
        self.objective = objective
        self.workspace = workspace
        self.pool = pool
        self.data_centre = data_centre


class Reading(Record):
    """One reading of a router's pair of counters.

    Attributes:
        at_ms: Unix time of the reading, in ms.
        source: The router and its incarnation; a restarted router is
            another source, since its counters start at zero again.
        series: Labels of the counters.
        good: Total of events that met the objective.
        bad: Total of events that did not.
    """

    __slots__ = ("at_ms", "source", "series", "good", "bad")

    def __init__(
        self, at_ms: int, source: str, series: Series, good: int, bad: int
    ) -> None:
        self.at_ms = at_ms
        self.source = source
        self.series = series
        self.good = good
        self.bad = bad


class Increment(Record):
    """Events of one series since the previous reading."""

    __slots__ = ("at_ms", "series", "good", "bad")

    def __init__(
        self, at_ms: int, series: Series, good: int, bad: int
    ) -> None:
        self.at_ms = at_ms
        self.series = series
        self.good = good
        self.bad = bad


def compute_increments(readings: Iterable[Reading]) -> list[Increment]:
    """Returns the increments between consecutive readings.

    Readings may be unordered and duplicated. The first reading of a source
    counts from zero, since its counters started with the process. If a
    counter is lower than before, both counters count from zero again.
    """
    last: dict[tuple[str, Series], tuple[int, int]] = {}
    found: list[Increment] = []
    for reading in sorted(readings, key=lambda item: item.at_ms):
        slot = (reading.source, reading.series)
        good, bad = last.get(slot, (0, 0))
        if reading.good < good or reading.bad < bad:
            good, bad = 0, 0
        if reading.good > good or reading.bad > bad:
            found.append(
                Increment(
                    reading.at_ms,
                    reading.series,
                    reading.good - good,
                    reading.bad - bad,
                )
            )
        last[slot] = (reading.good, reading.bad)
    return found


class EventCounts(Record):
    """Good and bad events of one objective in one window."""

    __slots__ = ("good", "bad")

    def __init__(self, good: int = 0, bad: int = 0) -> None:
        self.good = good
        self.bad = bad

    @property
    def total(self) -> int:
        """Number of good and bad events."""
        return self.good + self.bad

    def burn_rate(self, target: float) -> float:
        """Returns the bad fraction over the fraction that `target` allows.

        At 1.0, the error budget lasts exactly for the objective's period.
        """
        if not self.total:
            return 0.0
        return self.bad / self.total / (1 - target)


def count_events(
    increments: Iterable[Increment], start_ms: int, end_ms: int
) -> EventCounts:
    """Sums the increments after `start_ms`, up to and including `end_ms`."""
    good = bad = 0
    for item in increments:
        if start_ms < item.at_ms <= end_ms:
            good += item.good
            bad += item.bad
    return EventCounts(good, bad)


class Finding(Record):
    """Burn rates of one group, evaluated under one alert rule.

    Attributes:
        group: Name of the group, such as "pool=redactor".
        objective: The objective.
        rule: The alert rule.
        long_rate: Burn rate over the long window.
        short_rate: Burn rate over the short window.
        events: Events in the long window.
    """

    __slots__ = (
        "group",
        "objective",
        "rule",
        "long_rate",
        "short_rate",
        "events",
    )

    def __init__(
        self,
        group: str,
        objective: Objective,
        rule: AlertRule,
        long_rate: float,
        short_rate: float,
        events: int,
    ) -> None:
        self.group = group
        self.objective = objective
        self.rule = rule
        self.long_rate = long_rate
        self.short_rate = short_rate
        self.events = events

    @property
    def fires(self) -> bool:
        """Whether both burn rates reach the factor of the rule."""
        lower = min(self.long_rate, self.short_rate)
        return lower >= self.rule.factor


def group_by(
    increments: Iterable[Increment], field: str
) -> dict[str, list[Increment]]:
    """Groups increments by a field of their series; "all" is one group."""
    groups: dict[str, list[Increment]] = {}
    for item in increments:
        name = "all"
        if field != "all":
            name = f"{field}={getattr(item.series, field)}"
        groups.setdefault(name, []).append(item)
    return groups


def compute_burn_rates(
    increments: Iterable[Increment],
    now_ms: int,
    fields: Iterable[str] = ("all", "data_centre", "pool", "workspace"),
) -> list[Finding]:
    """Returns the burn rates of every group with events, for every rule.

    Args:
        increments: Increments of all series.
        now_ms: End of the windows, Unix time in ms.
        fields: Groupings: "all" or fields of `Series`.
    """
    by_objective: dict[str, list[Increment]] = {}
    for item in increments:
        by_objective.setdefault(item.series.objective, []).append(item)
    findings: list[Finding] = []
    for objective in OBJECTIVES:
        items = by_objective.get(objective.name, [])
        for field in fields:
            for group, part in sorted(group_by(items, field).items()):
                findings += _evaluate_rules(group, objective, part, now_ms)
    return findings


def _evaluate_rules(
    group: str, objective: Objective, items: list[Increment], now_ms: int
) -> Iterable[Finding]:
    for rule in ALERT_RULES:
        long = count_events(items, now_ms - rule.long_ms, now_ms)
        if not long.total:
            continue
        short = count_events(items, now_ms - rule.short_ms, now_ms)
        yield Finding(
            group,
            objective,
            rule,
            long.burn_rate(objective.target),
            short.burn_rate(objective.target),
            long.total,
        )


class LocalDay(Record):
    """A calendar day of a time zone.

    Attributes:
        date: The date, as YYYY-MM-DD.
        start_ms: Its first instant, Unix time in ms.
        end_ms: The first instant of the next day.
    """

    __slots__ = ("date", "start_ms", "end_ms")

    def __init__(self, date: str, start_ms: int, end_ms: int) -> None:
        self.date = date
        self.start_ms = start_ms
        self.end_ms = end_ms

    @property
    def hours(self) -> float:
        """Length in hours: 23 or 25 when daylight saving time changes."""
        return (self.end_ms - self.start_ms) / HOUR_MS


def list_local_days(zone: str, start_ms: int, end_ms: int) -> list[LocalDay]:
    """Returns the days of `zone` that overlap the given interval.

    Args:
        zone: IANA name of the time zone.
        start_ms: Start, Unix time in ms.
        end_ms: End, Unix time in ms.
    """
    tz = zoneinfo.ZoneInfo(zone)
    date = datetime.datetime.fromtimestamp(start_ms / MS_PER_SECOND, tz).date()
    days: list[LocalDay] = []
    while _find_midnight_ms(date, tz) < end_ms:
        following = date + datetime.timedelta(days=1)
        days.append(
            LocalDay(
                date.isoformat(),
                _find_midnight_ms(date, tz),
                _find_midnight_ms(following, tz),
            )
        )
        date = following
    return days


def _find_midnight_ms(date: datetime.date, tz: zoneinfo.ZoneInfo) -> int:
    """Returns the first instant of `date`, even if 00:00 is skipped."""
    midnight = datetime.datetime.combine(date, datetime.time.min, tz)
    return round(midnight.timestamp() * MS_PER_SECOND)
