"""Sharing of workspace limits and quarantine between routers."""

from __future__ import annotations

from typing import Final

import anyio

from ..core.clock import Clock, MS_PER_SECOND
from ..core.limits import Limits
from ..core.quarantine import CrashReports, Quarantine
from ..core.quota import ASK_RETRY_MS
from ..core.quota_messages import QuotaAsk, QuotaGrant
from ..ports.peers import Peers, Sender

RESEND_DELAY_MS: Final = 5_000
QUARANTINE_TICK_MS: Final = 60_000


class PolicySharing:
    """Exchanges quota messages and crash reports with peer routers.

    Crash reports are sent to every live router at once and again after
    `RESEND_DELAY_MS`, because a datagram may be lost.
    """

    __slots__ = (
        "_name",
        "_limits",
        "_quarantine",
        "_peers",
        "_clock",
        "_routers",
        "_crashes_sent",
        "_resend_at_ms",
        "_quarantine_tick_at_ms",
    )

    def __init__(
        self,
        name: str,
        limits: Limits,
        quarantine: Quarantine,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._name = name
        self._limits = limits
        self._quarantine = quarantine
        self._peers = peers
        self._clock = clock
        self._routers: tuple[str, ...] = ()
        self._crashes_sent = 0
        self._resend_at_ms: int | None = None
        self._quarantine_tick_at_ms = 0
        peers.listen(QuotaAsk, self._receive_ask)
        peers.listen(QuotaGrant, self._receive_grant)
        peers.listen(CrashReports, self._receive_reports)

    def set_routers(self, names: tuple[str, ...]) -> None:
        """Replaces the set of live routers, including this one."""
        self._routers = names
        self._limits.set_routers(names)

    def flush(self) -> None:
        """Sends queued quota messages and any new crash reports."""
        for peer, message in self._limits.take_outbox():
            self._peers.send(peer, message)
        if self._quarantine.reports_made > self._crashes_sent:
            self._crashes_sent = self._quarantine.reports_made
            self._resend_at_ms = self._clock.now_ms() + RESEND_DELAY_MS
            self._send_crash_reports()

    async def run_ticks(self) -> None:
        """Calls `tick` every `ASK_RETRY_MS` until cancelled."""
        while True:
            self.tick(self._clock.now_ms())
            await anyio.sleep(ASK_RETRY_MS / MS_PER_SECOND)

    def tick(self, now_ms: int) -> None:
        """Renews quotas, resends reports and expires evidence when due."""
        self._limits.tick(now_ms)
        if self._resend_at_ms is not None and now_ms >= self._resend_at_ms:
            self._resend_at_ms = None
            self._send_crash_reports()
        if now_ms >= self._quarantine_tick_at_ms:
            self._quarantine_tick_at_ms = now_ms + QUARANTINE_TICK_MS
            self._quarantine.tick(now_ms)
        self.flush()

    def _send_crash_reports(self) -> None:
        for message in self._quarantine.messages(self._clock.now_ms()):
            for name in self._routers:
                if name != self._name:
                    self._peers.send(name, message)

    def _receive_ask(self, sender: Sender, ask: QuotaAsk) -> None:
        now_ms = self._clock.now_ms()
        self._limits.answer_ask(sender.name, sender.incarnation, ask, now_ms)
        self.flush()

    def _receive_grant(self, sender: Sender, grant: QuotaGrant) -> None:
        self._limits.apply_grant(grant, self._clock.now_ms())

    def _receive_reports(self, sender: Sender, message: CrashReports) -> None:
        for report in message.reports:
            self._quarantine.merge(report, self._clock.now_ms())
