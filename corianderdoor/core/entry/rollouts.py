"""Decisions of one host about rollouts of new versions.

Every host computes the same function of the order, the time since the order
and the counts of all hosts. A host that knows less sends less to the new
version.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Final

from .flights import Flight
from .loads import Loads
from .rollout_changes import RolloutChange
from .rollout_choice import RolloutChoice
from .rollout_contact import CONTACT_MS, ContactWatch, SEVERAL
from .rollout_outcomes import find_outcome
from .rollout_progress import digest, RolloutProgress
from .rollout_records import (
    RolloutOrder,
    RolloutOutcome,
    RolloutRecord,
    RolloutReport,
    RouteCounts,
)
from .rollout_stages import find_slack, Stage
from .servers import BackendServer, digest_id, Servers

# Heartbeats without delay after a change.
URGENT_HEARTBEATS: Final = 3

# `exposure_share`, `exposure_slack` and `rollback_ms` of `Rollouts`.
RolloutBounds = tuple[float, int, int]


class Rollouts:
    """Rollouts of all services, as one host sees them.

    Attributes:
        hosts: Names of the hosts that share limits, this one included.
    """

    __slots__ = (
        "hosts",
        "_name",
        "_servers",
        "_loads",
        "_is_cold",
        "_exposure_share",
        "_exposure_slack",
        "_services",
        "_by_digest",
        "_contact",
        "_live",
        "_changes",
        "_choice",
        "_urgent",
    )

    def __init__(
        self,
        name: str,
        servers: Servers,
        loads: Loads,
        is_cold: Callable[[BackendServer, int], bool],
        exposure_share: float = 0.1,
        exposure_slack: int = 50,
        rollback_ms: int = 5_000,
    ) -> None:
        """Creates the rollouts of a host, none at first.

        Args:
            name: Name of this host.
            servers: The listed servers.
            loads: In-flight requests at the servers.
            is_cold: Returns whether a server may be in its slow start.
            exposure_share: Share of the requests during a rollout that a
                bad version may get.
            exposure_slack: Number of requests that it may get beyond.
            rollback_ms: Time from the 50th bad answer to the last request.
        """
        self.hosts = [name]
        self._name = name
        self._servers = servers
        self._loads = loads
        self._is_cold = is_cold
        self._exposure_share = exposure_share
        self._exposure_slack = exposure_slack
        self._contact = ContactWatch(rollback_ms)
        self._services: dict[str, RolloutProgress] = {}
        self._by_digest: dict[int, RolloutProgress] = {}
        self._live: Collection[str] = ()
        self._changes: list[RolloutChange] = []
        self._choice = RolloutChoice(servers, loads, exposure_share)
        self._urgent = 0

    @property
    def is_idle(self) -> bool:
        """Whether no service has or had an order."""
        return not self._services

    def set_order(
        self,
        service: str,
        order: RolloutOrder | None,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Applies the operators' order for a service.

        An order without a time budget names nothing; a malformed one must
        not be given here, so that the state before it holds.

        Args:
            service: Name of the service.
            order: The order; None if there is none.
            now_ms: Monotonic time in ms.
            wall_ms: Unix time in ms.
        """
        progress = self._services.get(service)
        if order is None:
            if progress is not None:
                progress.remove_order()
            return
        if order.duration_ms <= 0 or not order.to:
            return
        progress = progress or self._add(service)
        known = progress.order
        if (
            known is not None
            and known.revision == order.revision
            and known.to == order.to
        ):
            return
        progress.start(
            order,
            self._exposure_share,
            find_slack(self._exposure_slack, self._name, self.hosts),
            self._versions(service),
            now_ms,
            wall_ms,
        )

    def has_seen(self, order: RolloutOrder) -> bool:
        """Returns whether this host has read the order, or one after it."""
        progress = self._services.get(order.service)
        if progress is None or not progress.order_known:
            return False
        plan = progress.plan
        return plan is not None and plan.order_revision >= order.revision

    def set_record(
        self,
        service: str,
        record: RolloutRecord | None,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Applies the hosts' record in the store about a service."""
        progress = self._services.get(service)
        if record is None and progress is None:
            return
        progress = progress or self._add(service)
        state = progress.plan and progress.plan.state
        progress.set_stored(record, self._versions(service), now_ms, wall_ms)
        plan = progress.plan
        if plan is not None and plan.state is not state and progress.is_stored:
            fields = (("state", plan.state.value),)
            self._changes.append(progress.change("rollout_outcome", fields))

    def _add(self, service: str) -> RolloutProgress:
        progress = self._services[service] = RolloutProgress(service)
        self._by_digest[digest(service)] = progress
        return progress

    def _versions(self, service: str) -> frozenset[str]:
        return frozenset(s.version for s in self._servers.listed(service))

    def allowed(
        self, service: str, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers whose versions may serve at all."""
        progress = self._services.get(service)
        if progress is None or progress.plan is None:
            return servers
        allows, list_versions = progress.allows, self._versions
        return [s for s in servers if allows(s.version, list_versions)]

    def may_send(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether a request may be sent to `server` at this moment.

        The count and the time since the last tick are checked here too, as
        other requests may have been sent since the choice.
        """
        progress = self._services.get(server.service)
        if progress is None or progress.plan is None:
            return True
        if not self.allowed(server.service, [server]):
            return False
        if not progress.is_in_progress or server.version != progress.to:
            return True
        return self._may_send_new(progress, now_ms)

    def _may_send_new(self, progress: RolloutProgress, now_ms: int) -> bool:
        if progress.is_back:
            return True
        if self._contact.is_paused(now_ms) or progress.stage is Stage.NOTHING:
            return False
        return progress.count.may_send(progress.share, progress.fraction)

    def filter(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> list[BackendServer]:
        """Returns the servers of the version that the request should use."""
        progress = self._services.get(flight.service)
        if progress is None or progress.plan is None:
            return servers
        servers = self.allowed(flight.service, servers)
        if not progress.is_in_progress:
            return servers
        may_send_new = self._may_send_new(progress, now_ms)
        return self._choice.filter(
            progress, flight, servers, may_send_new, now_ms
        )

    def filter_old(
        self, flight: Flight, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers of versions other than the new one.

        They serve a request if those of the new version can't at present.
        """
        progress = self._services.get(flight.service)
        if progress is None or not progress.is_in_progress:
            return []
        servers = self.allowed(flight.service, servers)
        return [s for s in servers if s.version != progress.to]

    def record_sent(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> None:
        """Records that the request is sent to `server`."""
        progress = self._services.get(flight.service)
        if progress is None or not progress.is_in_progress:
            return
        if flight.sends == 0:
            progress.count.requests += 1
        if server.version == progress.to:
            progress.count.sent += 1

    def record_answer(
        self,
        flight: Flight,
        server: BackendServer,
        bad: bool,
        first_ms: int | None,
        per_event_ms: float | None,
        now_ms: int,
    ) -> None:
        """Records a finished answer.

        Args:
            flight: The request.
            server: The server that answered.
            bad: Whether the answer was a failure.
            first_ms: Time to the first event of a stream, or to the whole
                answer; None if there was none.
            per_event_ms: Time per event after the first; None if there was
                none.
            now_ms: Monotonic time in ms.
        """
        progress = self._services.get(flight.service)
        if progress is None or not progress.is_in_progress:
            return
        if progress.is_back:
            return
        route, tokens = digest(flight.route.name), flight.prefill_tokens
        is_new = server.version == progress.to
        if not bad:
            latency = progress.latency
            is_slow = latency.is_slow(route, tokens, first_ms, per_event_ms)
            if not is_new:
                latency.record(route, tokens, first_ms, per_event_ms)
                is_slow = bool(is_slow)
            elif is_slow and self._is_cold(server, now_ms - (first_ms or 0)):
                is_slow = None
            if is_slow is None:
                return
            bad = is_slow
        progress.evidence.record(route, digest_id(server.id), is_new, bad)

    def reports(self, now_ms: int) -> tuple[RolloutReport, ...]:
        """Returns what heartbeats carry about rollouts in progress."""
        found = (progress.report() for progress in self._services.values())
        return tuple(report for report in found if report is not None)

    def merge(
        self,
        peer: str,
        boot: int,
        reports: tuple[RolloutReport, ...],
        now_ms: int,
    ) -> None:
        """Merges a heartbeat of a peer, also one without reports."""
        if not self._services:
            return
        self._contact.record(peer, now_ms)
        for progress in self._services.values():
            # A peer that restarted may not know the order yet.
            progress.reported.pop(peer, None)
        for report in reports:
            found = self._by_digest.get(report.service)
            if found is not None:
                self._changes += found.merge(peer, boot, report)

    def tick(
        self,
        now_ms: int,
        wall_ms: int,
        live_peers: Collection[str],
        listed_peers: Collection[str],
        max_age_ms: int = CONTACT_MS,
    ) -> list[RolloutChange]:
        """Updates shares and verdicts; returns the changes to log.

        Args:
            now_ms: Monotonic time in ms.
            wall_ms: Unix time in ms.
            live_peers: Names of the peers that have not timed out; all of
                them must be in stage full before a rollout is completed.
            listed_peers: Names of the peers whose heartbeats are expected.
            max_age_ms: Oldest heartbeat that counts as contact, as
                `find_contact` returns it.
        """
        self._contact.tick(now_ms)
        self._live = live_peers
        if not self._services:
            return []
        live = self._contact.count_recent(listed_peers, max_age_ms, now_ms)
        in_contact = 2 * live >= len(listed_peers)
        is_silent = not live and len(listed_peers) >= SEVERAL
        for progress in self._services.values():
            progress.forget_allowed()
            if not progress.is_in_progress:
                continue
            changes = progress.tick(
                now_ms,
                self._name,
                self.hosts,
                self._exposure_slack,
                in_contact,
                is_silent,
                progress.to in self._versions(progress.service),
            )
            if changes:
                self._urgent = URGENT_HEARTBEATS + 1
            self._changes += changes
            self._watch_full(progress, now_ms)
        changes, self._changes = self._changes, []
        return changes

    def _watch_full(self, progress: RolloutProgress, now_ms: int) -> None:
        all_full = progress.stage is Stage.FULL and all(
            progress.reported.get(peer) == 1_000 for peer in self._live
        )
        if not all_full:
            progress.full_since_ms = None
        elif progress.full_since_ms is None:
            progress.full_since_ms = now_ms

    def take_urgent(self) -> bool:
        """Returns whether peers should get a heartbeat without delay.

        This is so some times after each change of stage and each verdict:
        hosts in reserve send heartbeats several seconds apart, and one may
        be lost.
        """
        self._urgent -= self._urgent > 0
        return self._urgent > 0

    def totals(self) -> list[tuple[str, str, RouteCounts]]:
        """Returns service, new version and answers of each rollout."""
        return [
            (progress.service, progress.to, progress.evidence.total())
            for progress in self._services.values()
        ]

    def outcomes(self, now_ms: int) -> list[RolloutOutcome]:
        """Returns what the first host has to write to the store."""
        if self._contact.is_paused(now_ms):
            return []
        found = (
            find_outcome(progress, self._servers, self._loads, now_ms)
            for progress in self._services.values()
        )
        return [outcome for outcome in found if outcome is not None]
