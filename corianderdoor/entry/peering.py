"""Heartbeats and replication of the store's items between entry hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast, Final
from urllib.parse import parse_qs

import anyio
import h11

from ..adapters.datagram_turns import DatagramTurns
from ..adapters.http1 import ConnectionBrokenError
from ..adapters.http1_connect import connect
from ..adapters.http1_server import ReceivedRequest, ServerConnection
from ..adapters.logs import log_event
from ..adapters.tunnel import CONNECT_METHOD
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.addresses import Address
from ..core.entry.crash_evidence import AttemptReport
from ..core.entry.heartbeat import Heartbeat
from ..core.entry.part_reports import PartReport
from ..core.entry.peer import Peer
from ..core.entry.peers import Peers, RESERVE_HEARTBEAT_EVERY
from ..core.entry.planner import Planner
from ..core.entry.replica import is_ahead, Page, Replica
from ..core.entry.rollouts import Rollouts
from ..core.entry.routing import BODILESS_LIMITS
from ..core.entry.server_limits import LimitReport
from ..core.entry.servers import digest_id
from ..core.records import Record
from ..platform.store_answers import read_full_answer
from .peer_codec import (
    decode_heartbeat,
    decode_page,
    encode_heartbeat,
    encode_page,
    MessageError,
)
from .peer_reports import merge_reports
from .tunnels import TunnelService

PULL_TIMEOUT_MS: Final = 500
# Prompt parts reported in one heartbeat; bounds a datagram to 1 KB.
MAX_PARTS_PER_HEARTBEAT: Final = 48
# Shortest time between two heartbeats, if one is sent early.
MIN_HEARTBEAT_GAP_MS: Final = 50
STATE_PATH: Final = b"/state"
MAX_REVISION_DIGITS: Final = 20


def is_number(text: str) -> bool:
    """Returns whether `text` is a plausible revision."""
    return (
        text.isascii() and text.isdigit() and len(text) <= MAX_REVISION_DIGITS
    )


class Announcements(Record):
    """What one round of heartbeats tells all peers, besides the state.

    Attributes:
        attempts: Attempts under crashes.
        parts: Suspect prompt parts.
        limits: Limits of servers.
    """

    __slots__ = ("attempts", "parts", "limits")

    def __init__(
        self,
        attempts: tuple[AttemptReport, ...],
        parts: tuple[PartReport, ...],
        limits: tuple[LimitReport, ...],
    ) -> None:
        self.attempts = attempts
        self.parts = parts
        self.limits = limits

    @property
    def is_urgent(self) -> bool:
        """Whether hosts in reserve are to be told before their turn."""
        return bool(self.attempts or self.parts)


class Peering(asyncio.DatagramProtocol):
    """Exchanges heartbeats and the store's items with other entry hosts.

    Attributes:
        leaving: Whether this host is shutting down.
    """

    def __init__(
        self,
        name: str,
        boot: int,
        planner: Planner,
        peers: Peers,
        replica: Replica,
        clock: Clock,
        contact_age_ms: Callable[[], int],
        on_newer_revision: Callable[[], None],
        tunnels: TunnelService,
        rollouts: Rollouts | None = None,
    ) -> None:
        """Initializes the protocol.

        Args:
            name: Name of this host.
            boot: Number that increases with each start of this host.
            planner: Source and target of the reports in heartbeats.
            peers: The known hosts.
            replica: This host's replica of the store's items.
            clock: The clock.
            contact_age_ms: Returns the time since the last contact with the
                store, in ms.
            on_newer_revision: Called when a peer has a newer revision of
                the store's items than this host.
            tunnels: Opens connections to servers for peers.
            rollouts: Source and target of the reports about rollouts; None
                if this deployment has none.
        """
        self.leaving = False
        self._name = name
        self._boot = boot
        self._planner = planner
        self._peers = peers
        self._replica = replica
        self._clock = clock
        self._contact_age_ms = contact_age_ms
        self._on_newer_revision = on_newer_revision
        self._tunnels = tunnels
        self._rollouts = rollouts
        self._transport: asyncio.DatagramTransport | None = None
        self._send_now = asyncio.Event()
        self._datagrams = DatagramTurns(
            self._handle_datagram,
            lambda: planner.counters.add("dropped_messages", kind="heartbeat"),
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors from unreachable peers, whose heartbeats stop."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles a heartbeat from a peer."""
        self._datagrams.receive(data, (addr[0], addr[1]))

    def _handle_datagram(self, data: bytes, addr: Address) -> None:
        try:
            self._merge_heartbeat(decode_heartbeat(data), addr)
        except Exception as exc:
            # Whatever a datagram holds, the other peers' count.
            log_event("heartbeat_invalid", "WARNING", detail=repr(exc))
            self._planner.counters.add("invalid_messages", kind="heartbeat")

    def _merge_heartbeat(self, heartbeat: Heartbeat, addr: Address) -> None:
        now_ms = self._clock.now_ms()
        peer = self._peers.record_heartbeat(heartbeat, now_ms)
        if peer is None:
            return
        if peer.heartbeats == 1:
            log_event("peer_discovered", peer=peer.name, boot=heartbeat.boot)
            if self._planner.crashing_requests.verdicts.repeat_soon():
                self.send_soon()
        if peer.address is None:
            peer.address = (addr[0], addr[1])
        merge_reports(self._planner, self._rollouts, heartbeat, now_ms)
        replica = self._replica
        told = heartbeat.told_overrides
        if replica.misses(heartbeat.era, told) or is_ahead(
            heartbeat.era,
            heartbeat.revision,
            replica.era,
            replica.revision,
        ):
            self._on_newer_revision()

    def send_heartbeats(self, to_reserve: bool = True) -> None:
        """Sends the state of this host to its peers.

        Args:
            to_reserve: Whether an active host also sends to hosts in
                reserve. Their heartbeats show which hosts are alive and what
                is in progress, but not what servers have in their caches,
                which is most of a heartbeat. Crashes are always reported.
        """
        if self._transport is None:
            return
        active, reserve = self._peers.split_by_active()
        now_ms = self._clock.now_ms()
        crashing = self._planner.crashing_requests
        limits = self._planner.selection.limits
        announced = Announcements(
            tuple(crashing.take_updates(now_ms)),
            tuple(crashing.take_reports(self._planner.hosts, now_ms)),
            tuple(limits.take_reports(now_ms)),
        )
        interval_ms = self._peers.heartbeat_interval_ms()
        if not self._peers.is_active:
            self._send(
                active + reserve,
                self._build_heartbeat(True, announced, interval_ms),
            )
            return
        self._send(active, self._build_heartbeat(True, announced, interval_ms))
        if reserve and (to_reserve or announced.is_urgent):
            interval_ms *= RESERVE_HEARTBEAT_EVERY
            self._send(
                reserve,
                self._build_heartbeat(False, announced, interval_ms),
            )

    def _send(self, peers: list[Peer], heartbeat: Heartbeat) -> None:
        assert self._transport is not None
        data = encode_heartbeat(heartbeat)
        for peer in peers:
            if peer.address is not None:
                self._transport.sendto(data, peer.address)

    def _build_heartbeat(
        self,
        include_caches: bool,
        announced: Announcements,
        interval_ms: int,
    ) -> Heartbeat:
        now_ms = self._clock.now_ms()
        planner = self._planner
        loads = planner.loads
        cached_parts = (
            planner.caches.take_updates(MAX_PARTS_PER_HEARTBEAT)
            if include_caches
            else []
        )
        return Heartbeat(
            self._name,
            self._boot,
            self._replica.changed_revision,
            self._contact_age_ms(),
            self.leaving,
            tuple(
                (digest_id(server_id), count, loads.own_unread[server_id])
                for server_id, count in loads.own.items()
            ),
            tuple(
                (part, digest_id(server_id))
                for part, server_id in cached_parts
            ),
            self._peers.count_live(now_ms),
            tuple(
                digest_id(server_id)
                for server_id in planner.ejections.own_ejected(now_ms)
            ),
            tuple(
                (report.request, report.server)
                for report in announced.attempts
            ),
            interval_ms,
            self._peers.cpu_percent,
            tuple(map(digest_id, planner.restarts.recent(now_ms))),
            self._peers.links_cut,
            self._replica.era,
            planner.leaving.reports(),
            tuple(planner.rooms.take_reports(now_ms)),
            self._rollouts.reports(now_ms) if self._rollouts else (),
            announced.attempts,
            announced.parts,
            announced.limits,
            bool(self._replica.overrides),
            self._replica.overrides.digest,
        )

    def send_soon(self) -> None:
        """Sends the next heartbeats early, to the hosts in reserve too."""
        self._send_now.set()

    async def run_heartbeats(self) -> None:
        """Sends heartbeats at regular intervals until cancelled."""
        turn = 0
        try:
            while True:
                turn = (turn + 1) % RESERVE_HEARTBEAT_EVERY
                early = self._send_now.is_set()
                self._send_now.clear()
                self.send_heartbeats(to_reserve=early or turn == 0)
                await anyio.sleep(MIN_HEARTBEAT_GAP_MS / MS_PER_SECOND)
                left_ms = (
                    self._peers.heartbeat_interval_ms() - MIN_HEARTBEAT_GAP_MS
                )
                with anyio.move_on_after(left_ms / MS_PER_SECOND):
                    await self._send_now.wait()
        except asyncio.CancelledError:
            if self._transport is not None:
                self._transport.close()
            raise

    async def serve(self, conn: ServerConnection) -> None:
        """Answers a peer that requests the store's items or a tunnel."""
        received = await conn.read_request(BODILESS_LIMITS)
        if not isinstance(received, ReceivedRequest):
            return
        if received.method == CONNECT_METHOD:
            await self._tunnels.serve(conn, received)
            return
        path, _, query = received.target.partition(b"?")
        fields = parse_qs(query.decode("latin-1"))
        after = fields.get("after", [""])[0]
        if path != STATE_PATH or not is_number(after):
            await conn.respond(404, [])
            return
        # Hosts of earlier releases name no era.
        era = fields.get("era", [str(self._replica.era)])[0]
        same_era = era == str(self._replica.era)
        page = self._replica.changes_since(int(after) if same_era else 0)
        conn.closing = True
        await conn.respond(200, [], encode_page(page))
        await conn.finish()

    async def pull(self, peer: Peer) -> Page | None:
        """Requests the changes from `peer` that are not yet known here.

        Returns:
            The changes, or None if the request failed.
        """
        assert peer.address is not None
        protocol = None
        try:
            with anyio.fail_after(PULL_TIMEOUT_MS / MS_PER_SECOND):
                protocol = await connect(peer.address, PULL_TIMEOUT_MS, 0)
                if protocol is None:
                    return None
                target = b"%s?after=%d&era=%d" % (
                    STATE_PATH,
                    self._replica.revision,
                    self._replica.era,
                )
                protocol.write(
                    h11.Request(
                        method="GET", target=target, headers=[("Host", "peer")]
                    )
                )
                protocol.write(h11.EndOfMessage())
                _, body = await read_full_answer(protocol)
                return decode_page(body)
        except (TimeoutError, ConnectionBrokenError, MessageError) as exc:
            log_event("pull_failed", peer=peer.name, detail=str(exc))
            return None
        finally:
            if protocol is not None:
                protocol.abort()
