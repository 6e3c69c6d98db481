"""Evidence about a new version: answers of all hosts since the order."""

from __future__ import annotations

from collections import deque
import math
from typing import Final

from .rollout_records import RouteCounts

# Bad answers are normal up to this rate; a bad version has at least
# `MIN_BAD_RATE` and `BAD_FACTOR` times the rate of the old version.
MIN_NORMAL_RATE: Final = 0.02
MIN_BAD_RATE: Final = 0.1
BAD_FACTOR: Final = 4
MAX_RATE: Final = 0.95
# Log-likelihood ratio above which the version is bad, and above which its
# share does not grow until more answers are known.
BAD_RATIO: Final = math.log(1_000)
SUSPECT_RATIO: Final = math.log(100)
# Bad answers that are always enough at over twice the rate of the old
# version: the time to roll back counts from the 50th.
MANY_BAD: Final = 40
MANY_BAD_FACTOR: Final = 2
# The old version's rate starts from this number of answers at this rate, so
# that the first ones do not make the new version look bad.
PRIOR_ANSWERS: Final = 20
PRIOR_RATE: Final = 0.1
# Old answers from which a route's own rate is used.
MIN_OLD_ANSWERS: Final = 20
# Number of evaluations over which the latest rate of the old version is
# taken, about a second. A burst of failures that hits all servers shows in
# it before it shows in the rate since the order.
RECENT: Final = 10
# What is needed to leave the canary.
MIN_ANSWERS: Final = 40
MIN_ROUTE_ANSWERS: Final = 8
MIN_ROUTE_SHARE: Final = 0.05
# Bounds of what a heartbeat carries; further routes count as one.
MAX_ROUTES: Final = 16
MAX_SERVERS: Final = 16
OTHER_ROUTES: Final = 0

Counts = tuple[int, ...]
# Answers and bad ones by server.
ServerCounts = dict[int, Counts]
NO_ROUTE: Final = (0, 0, 0, 0)
NO_SERVER: Final = (0, 0)


def log_ratio(answers: int, bad: int, old_rate: float) -> float:
    """Returns the log-likelihood ratio of "bad" against "as the old one".

    Args:
        answers: Answers of the new version.
        bad: Bad ones among them.
        old_rate: Rate of bad answers of the old version.
    """
    normal = min(max(old_rate, MIN_NORMAL_RATE), 0.9)
    high = min(max(MIN_BAD_RATE, BAD_FACTOR * normal), MAX_RATE)
    return bad * math.log(high / normal) + (answers - bad) * math.log(
        (1 - high) / (1 - normal)
    )


def merge_counts(known: Counts, reported: Counts) -> Counts:
    """Returns the counts of one boot of a host after one more report."""
    return tuple(map(max, known, reported))


class _Test:
    """One sequential test, over all routes or for one route.

    It restarts when the evidence speaks for the version, as a fault may
    appear only after many good answers.

    Attributes:
        counts: Counts at the last restart, as in `RouteCounts`.
        servers: Counts of servers at the last restart.
        ratio: Log-likelihood ratio since then.
    """

    __slots__ = ("counts", "servers", "ratio")

    def __init__(self) -> None:
        self.counts: Counts = NO_ROUTE
        self.servers: ServerCounts = {}
        self.ratio = 0.0


class RolloutEvidence:
    """Counts of one order: those of this host and those merged from peers.

    Counts only grow within one boot of a host, so lost, repeated and
    reordered reports do no harm: the highest count seen is in force.
    """

    __slots__ = (
        "_own_routes",
        "_own_servers",
        "_merged_routes",
        "_merged_servers",
        "_routes",
        "_servers",
        "_tests",
        "_recent",
        "_is_changed",
    )

    def __init__(self) -> None:
        self._own_routes: dict[int, Counts] = {}
        self._own_servers: ServerCounts = {}
        self._merged_routes: dict[tuple[str, int, int], Counts] = {}
        self._merged_servers: dict[tuple[str, int, int], Counts] = {}
        # Sums over all hosts and boots.
        self._routes: dict[int, Counts] = {}
        self._servers: ServerCounts = {}
        self._tests: dict[int | None, _Test] = {}
        self._recent: deque[Counts] = deque(maxlen=RECENT)
        self._is_changed = False

    def record(self, route: int, server: int, is_new: bool, bad: bool) -> None:
        """Records an answer that this host received.

        Args:
            route: Digest of the route's name.
            server: Digest of the server's id.
            is_new: Whether the server runs the new version.
            bad: Whether the answer was a failure or slow.
        """
        if route not in self._own_routes:
            if len(self._own_routes) >= MAX_ROUTES - 1:
                route = OTHER_ROUTES
        one = (1, int(bad))
        counts = (0, 0, *one) if is_new else (*one, 0, 0)
        _add(self._own_routes, route, counts)
        _add(self._routes, route, counts)
        if is_new:
            _add(self._own_servers, server, one)
            _add(self._servers, server, one)
        self._is_changed = True

    def own_routes(self) -> tuple[RouteCounts, ...]:
        """Returns this host's counts by route."""
        return tuple(
            RouteCounts(route, *counts)
            for route, counts in self._own_routes.items()
        )

    def own_servers(self) -> tuple[tuple[int, int, int], ...]:
        """Returns this host's counts of the servers with most bad answers."""
        servers = [
            (server, answers, bad)
            for server, (answers, bad) in self._own_servers.items()
        ]
        servers.sort(key=lambda item: (item[2], item[1]), reverse=True)
        return tuple(servers[:MAX_SERVERS])

    def merge(
        self,
        peer: str,
        boot: int,
        routes: tuple[RouteCounts, ...],
        servers: tuple[tuple[int, int, int], ...],
    ) -> None:
        """Merges the counts of one boot of a peer."""
        for route in routes[:MAX_ROUTES]:
            counts = (
                route.old_answers,
                route.old_bad,
                route.new_answers,
                route.new_bad,
            )
            key = (peer, boot, route.route)
            self._raise(self._merged_routes, key, self._routes, counts)
        for server, answers, bad in servers[:MAX_SERVERS]:
            self._raise(
                self._merged_servers,
                (peer, boot, server),
                self._servers,
                (answers, bad),
            )

    def _raise(
        self,
        merged: dict[tuple[str, int, int], Counts],
        key: tuple[str, int, int],
        sums: dict[int, Counts],
        counts: Counts,
    ) -> None:
        known = merged.get(key, (0,) * len(counts))
        highest = merge_counts(known, counts)
        if highest == known:
            return
        merged[key] = highest
        _add(sums, key[2], tuple(a - b for a, b in zip(highest, known)))
        self._is_changed = True

    def total(self) -> RouteCounts:
        """Returns the counts of all hosts over all routes."""
        sums = [sum(column) for column in zip(*self._routes.values())]
        return RouteCounts(OTHER_ROUTES, *(sums or NO_ROUTE))

    def is_covered(self, route: int, answers: int) -> bool:
        """Returns whether the new version gave `answers` on a route."""
        return self._routes.get(route, NO_ROUTE)[2] >= answers

    def is_enough(self) -> bool:
        """Returns whether the counts allow to leave the canary."""
        total = self.total()
        if total.new_answers < MIN_ANSWERS:
            return False
        least = MIN_ROUTE_SHARE * (total.old_answers + total.new_answers)
        for old, _, new, _ in self._routes.values():
            if old + new >= least and new < MIN_ROUTE_ANSWERS:
                return False
        return True

    def is_suspect(self) -> bool:
        """Returns whether the latest answers speak against the version."""
        return any(t.ratio > SUSPECT_RATIO for t in self._tests.values())

    def verdict(self) -> str | None:
        """Returns why the version is bad; None if it is not known to be."""
        if not self._is_changed:
            return None
        self._is_changed = False
        total = self.total()
        counts = (
            total.old_answers,
            total.old_bad,
            total.new_answers,
            total.new_bad,
        )
        snapshot = dict(self._servers)
        test = self._tests.setdefault(None, _Test())
        since = tuple(a - b for a, b in zip(counts, test.counts))
        if _has_many_bad(counts) or _has_many_bad(since):
            return "many-bad"
        first = self._recent[0] if self._recent else NO_ROUTE
        self._recent.append(counts)
        old_rate = _rate(counts)
        recent_rate = _rate(tuple(a - b for a, b in zip(counts, first)))
        old_rate = max(old_rate, recent_rate)
        if self._run(test, counts, old_rate, snapshot):
            return "all-routes"
        for route, route_counts in self._routes.items():
            test = self._tests.setdefault(route, _Test())
            if route_counts[0] >= MIN_OLD_ANSWERS:
                rate = max(_rate(route_counts), recent_rate)
            else:
                rate = old_rate
            if self._run(test, route_counts, rate, snapshot):
                return "one-route"
        return None

    def _run(
        self,
        test: _Test,
        counts: Counts,
        old_rate: float,
        snapshot: ServerCounts,
    ) -> bool:
        """Returns whether a test finds the version bad."""
        since = tuple(a - b for a, b in zip(counts, test.counts))
        if since[0] >= MIN_OLD_ANSWERS:
            # A disturbance that hits both versions shows in both.
            old_rate = max(old_rate, _rate(since))
        answers, bad = since[2], since[3]
        test.ratio = log_ratio(answers, bad, old_rate)
        if test.ratio <= 0:
            test.counts, test.servers = counts, snapshot
            return False
        if test.ratio <= BAD_RATIO:
            return False
        if len(self._servers) < 2:
            return True
        worst_answers, worst_bad = self._find_worst(test)
        # The worst server may have given all its bad answers on this route.
        left_bad = max(0, bad - worst_bad)
        left = max(left_bad, answers - max(worst_answers, bad - left_bad))
        return log_ratio(left, left_bad, old_rate) > BAD_RATIO

    def _find_worst(self, test: _Test) -> Counts:
        """Returns the counts of the server with most bad answers."""
        return max(
            (
                (counts[0] - known[0], counts[1] - known[1])
                for counts, known in (
                    (counts, test.servers.get(server, NO_SERVER))
                    for server, counts in self._servers.items()
                )
            ),
            key=lambda counts: counts[1],
        )


def _add(sums: dict[int, Counts], key: int, counts: Counts) -> None:
    known = sums.get(key)
    if known is None:
        sums[key] = counts
    else:
        sums[key] = tuple(a + b for a, b in zip(known, counts))


def _rate(counts: Counts) -> float:
    """Returns the rate of bad answers of the old version."""
    bad = counts[1] + PRIOR_ANSWERS * PRIOR_RATE
    return bad / (counts[0] + PRIOR_ANSWERS)


def _has_many_bad(counts: Counts) -> bool:
    old, old_bad, new, new_bad = counts
    return (
        new_bad >= MANY_BAD
        and new_bad * old > MANY_BAD_FACTOR * old_bad * new
        or new_bad >= MANY_BAD
        and not old
    )
