"""Routing rules and their matching; `rules_text` parses them.

The first rule whose matchers all match decides.
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
MAX_CACHED_WORKSPACES: Final = 2_048
MAX_CACHED_RULES: Final = 200_000
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

    The span follows the zone's clock changes: a repeated hour counts both
    times, a skipped hour never.
    """

    __slots__ = ("start_minute", "end_minute", "zone")

    def __init__(self, start_minute: int, end_minute: int, zone: str) -> None:
        self.start_minute = start_minute
        self.end_minute = end_minute
        self.zone = zone

    def contains(self, wall_ms: int) -> bool:
        """Returns whether `wall_ms` (Unix time in ms) is in the span."""
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
        during: Daily span in which the rule applies, None for always.
        pool: Pool of backend servers that the request is routed to.
        idempotent: Whether a request may run twice; if None, the HTTP method
            decides.
        priority: Order in which requests are shed under overload.
        deadline_ms: Maximum time from arrival to the end of the answer, in
            ms.
        concurrency: Maximum number of requests in progress per workspace,
            None for no limit.
        rate: Maximum number of requests per second per workspace, None for
            no limit.
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
        """Returns whether a request with `method` is idempotent."""
        if self.idempotent is None:
            return method in SAFE_METHODS
        return self.idempotent

    def matches_workspace(self, workspace: str) -> bool:
        """Returns whether the rule can match requests of `workspace`."""
        return self.workspace is None or bool(self.workspace.match(workspace))

    def matches_request(
        self, path: str, method: str, model: str, wall_ms: int
    ) -> bool:
        """Returns whether all matchers but that of the workspace match.

        Args:
            path: Request path.
            method: HTTP method.
            model: Name of the model.
            wall_ms: Unix time, in ms.
        """
        if self.path and not self.path.match(path):
            return False
        if self.methods and method not in self.methods:
            return False
        if self.model and not self.model.match(model):
            return False
        return self.during is None or self.during.contains(wall_ms)


class RuleSet(Record):
    """The rules of one configuration, in file order.

    The rules that can match a workspace are cached for the most recently used
    `MAX_CACHED_WORKSPACES` workspaces, at most `MAX_CACHED_RULES` rules in
    all, so that a request does not scan every rule.
    """

    __slots__ = ("rules", "_by_workspace", "_cached_rule_count")

    def __init__(self, rules: tuple[Rule, ...] = ()) -> None:
        self.rules = rules
        self._by_workspace: collections.OrderedDict[str, tuple[Rule, ...]] = (
            collections.OrderedDict()
        )
        self._cached_rule_count = 0

    def find(
        self, workspace: str, path: str, method: str, model: str, wall_ms: int
    ) -> Rule | None:
        """Returns the first rule that matches, or None."""
        for rule in self._rules_for(workspace):
            if rule.matches_request(path, method, model, wall_ms):
                return rule
        return None

    def _rules_for(self, workspace: str) -> tuple[Rule, ...]:
        """Returns the rules whose workspace pattern matches, from a cache."""
        cached = self._by_workspace.get(workspace)
        if cached is not None:
            self._by_workspace.move_to_end(workspace)
            return cached
        found = tuple(
            rule for rule in self.rules if rule.matches_workspace(workspace)
        )
        self._by_workspace[workspace] = found
        self._cached_rule_count += len(found)
        while self._is_cache_over_limit():
            _, evicted = self._by_workspace.popitem(last=False)
            self._cached_rule_count -= len(evicted)
        return found

    def _is_cache_over_limit(self) -> bool:
        return (
            len(self._by_workspace) > MAX_CACHED_WORKSPACES
            or self._cached_rule_count > MAX_CACHED_RULES
        )

    def pools(self) -> frozenset[str]:
        """Returns the names of all pools that the rules route to."""
        return frozenset(rule.pool for rule in self.rules)


@functools.lru_cache(maxsize=64)
def load_zone(name: str) -> zoneinfo.ZoneInfo:
    """Returns the IANA time zone `name`.

    Raises:
        zoneinfo.ZoneInfoNotFoundError: There is no such zone.
        ValueError: The name is malformed.
    """
    return zoneinfo.ZoneInfo(name)
