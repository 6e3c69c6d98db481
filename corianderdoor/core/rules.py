"""Routing rules and their matching; `rules_text` reads them.

The first rule whose matchers all hold decides.
"""

from __future__ import annotations

import collections
import datetime
import enum
import functools
import re
from typing import Final
import zoneinfo

from .clock import MS_PER_SECOND
from .records import Record

DEFAULT_DEADLINE_MS: Final = 60_000
MAX_KEPT_WORKSPACES: Final = 2_048
MAX_KEPT_RULES: Final = 200_000
MINUTES_PER_HOUR: Final = 60
SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})


class Priority(enum.IntEnum):
    """How early a request is shed; a lower value is shed later."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class DaySpan(Record):
    """A daily span of local time in an IANA time zone.

    The span is judged by the local clock, so it moves with the zone's
    clock changes: a repeated hour counts both times, a missing hour never.
    """

    __slots__ = ("start_minute", "end_minute", "zone")

    def __init__(self, start_minute: int, end_minute: int, zone: str) -> None:
        self.start_minute = start_minute
        self.end_minute = end_minute
        self.zone = zone

    def contains(self, wall_ms: int) -> bool:
        """Tells whether `wall_ms` (Unix time in ms) is in the span."""
        local = datetime.datetime.fromtimestamp(
            wall_ms / MS_PER_SECOND, load_zone(self.zone)
        )
        minute = local.hour * MINUTES_PER_HOUR + local.minute
        if self.start_minute <= self.end_minute:
            return self.start_minute <= minute < self.end_minute
        return minute >= self.start_minute or minute < self.end_minute


class Rule(Record):
    """One routing rule.

    Attributes:
        line: Line number in the rules text, from 1.
        workspace: Pattern of the workspace, None for any.
        path: Pattern of the request path, None for any.
        methods: HTTP methods, empty for any.
        model: Pattern of the model name, None for any.
        during: Daily span in which the rule holds, None for always.
        pool: The pool of backend servers that gets the request.
        idempotent: Whether a request may run twice; None leaves it to
            the method.
        priority: Shedding order under overload.
        deadline_ms: Longest time from arrival to the answer's end, in ms.
        concurrency: Requests in progress per workspace, None for no limit.
        rate: Requests per second per workspace, None for no limit.
        asked_by: Who asked for the rule.
    """

    __slots__ = (
        "line",
        "workspace",
        "path",
        "methods",
        "model",
        "during",
        "pool",
        "idempotent",
        "priority",
        "deadline_ms",
        "concurrency",
        "rate",
        "asked_by",
    )

    def __init__(self, line: int) -> None:
        self.line = line
        self.workspace: re.Pattern[str] | None = None
        self.path: re.Pattern[str] | None = None
        self.methods: frozenset[str] = frozenset()
        self.model: re.Pattern[str] | None = None
        self.during: DaySpan | None = None
        self.pool = ""
        self.idempotent: bool | None = None
        self.priority = Priority.NORMAL
        self.deadline_ms = DEFAULT_DEADLINE_MS
        self.concurrency: int | None = None
        self.rate: int | None = None
        self.asked_by = ""

    def allows_rerun(self, method: str) -> bool:
        """Tells whether a request by `method` is idempotent."""
        if self.idempotent is None:
            return method in SAFE_METHODS
        return self.idempotent

    def matches_workspace(self, workspace: str) -> bool:
        """Tells whether the rule can hold for `workspace`."""
        return self.workspace is None or bool(self.workspace.match(workspace))

    def matches_rest(
        self, path: str, method: str, model: str, wall_ms: int
    ) -> bool:
        """Tells whether all other matchers hold; `wall_ms` is Unix time."""
        if self.path and not self.path.match(path):
            return False
        if self.methods and method not in self.methods:
            return False
        if self.model and not self.model.match(model):
            return False
        return self.during is None or self.during.contains(wall_ms)


class RuleSet(Record):
    """The rules of one configuration, in file order.

    The rules that can match a workspace are kept for the latest
    `MAX_KEPT_WORKSPACES` workspaces, `MAX_KEPT_RULES` in all, so that a
    request looks at those few alone.
    """

    __slots__ = ("rules", "_by_workspace", "_kept_rules")

    def __init__(self, rules: tuple[Rule, ...] = ()) -> None:
        self.rules = rules
        self._by_workspace: collections.OrderedDict[str, tuple[Rule, ...]] = (
            collections.OrderedDict()
        )
        self._kept_rules = 0

    def find(
        self, workspace: str, path: str, method: str, model: str, wall_ms: int
    ) -> Rule | None:
        """Returns the first rule that matches, or None."""
        for rule in self._list_for(workspace):
            if rule.matches_rest(path, method, model, wall_ms):
                return rule
        return None

    def _list_for(self, workspace: str) -> tuple[Rule, ...]:
        """Returns the rules whose pattern of the workspace matches."""
        kept = self._by_workspace.get(workspace)
        if kept is not None:
            self._by_workspace.move_to_end(workspace)
            return kept
        found = tuple(
            rule for rule in self.rules if rule.matches_workspace(workspace)
        )
        self._by_workspace[workspace] = found
        self._kept_rules += len(found)
        while self._keeps_too_much():
            _, dropped = self._by_workspace.popitem(last=False)
            self._kept_rules -= len(dropped)
        return found

    def _keeps_too_much(self) -> bool:
        return (
            len(self._by_workspace) > MAX_KEPT_WORKSPACES
            or self._kept_rules > MAX_KEPT_RULES
        )

    def pools(self) -> frozenset[str]:
        """Returns the names of all pools that a rule may choose."""
        return frozenset(rule.pool for rule in self.rules)


@functools.lru_cache(maxsize=64)
def load_zone(name: str) -> zoneinfo.ZoneInfo:
    """Returns the zone of an IANA name.

    Raises:
        zoneinfo.ZoneInfoNotFoundError: There is no such zone.
        ValueError: The name is malformed.
    """
    return zoneinfo.ZoneInfo(name)
