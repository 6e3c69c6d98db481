"""Beats and copies of the store's items between entry hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast, Final
from urllib.parse import parse_qs

import anyio
import h11

from ..adapters.http1 import connect, ConnectionBrokenError
from ..adapters.http1_server import ReceivedRequest, ServerConnection
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.addresses import Address
from ..core.entry.loads import PeerLoads
from ..core.entry.peers import (
    Heartbeat,
    MISSED_HEARTBEATS,
    Peer,
    PEER_TIMEOUT_MS,
    Peers,
    RESERVE_HEARTBEAT_EVERY,
)
from ..core.entry.planner import Planner
from ..core.entry.replica import Page, Replica
from ..core.entry.routing import DEFAULT_LIMITS
from ..core.entry.servers import digest_id
from ..platform.store import read_whole
from .peer_codec import (
    decode_beat,
    decode_page,
    encode_beat,
    encode_page,
    MessageError,
)

PULL_TIMEOUT_MS: Final = 500
# Parts of prompts that one beat tells of; bounds a datagram to 1 KB.
HELD_IN_BEAT: Final = 48
STATE_PATH: Final = b"/state"


class Peering(asyncio.DatagramProtocol):
    """Talks to the other entry hosts.

    Attributes:
        leaving: Whether this host shuts down.
    """

    def __init__(
        self,
        name: str,
        boot: int,
        planner: Planner,
        peers: Peers,
        replica: Replica,
        clock: Clock,
        contact_ms: Callable[[], int],
        on_ahead: Callable[[], None],
    ) -> None:
        """Creates it.

        Args:
            name: Name of this host.
            boot: Number that rises with each start.
            planner: Knows the loads.
            peers: Known hosts.
            replica: The store's items.
            clock: The clock.
            contact_ms: Tells the age of the last contact with the store.
            on_ahead: Called when a peer knows more than this host.
        """
        self.leaving = False
        self._name = name
        self._boot = boot
        self._planner = planner
        self._peers = peers
        self._replica = replica
        self._clock = clock
        self._contact_ms = contact_ms
        self._on_ahead = on_ahead
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open socket."""
        # uvloop's transports are no subclasses of asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignores refusals of peers that are down; silence shows those."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Takes a beat."""
        try:
            beat = decode_beat(data)
        except MessageError as exc:
            log_event("beat_unusable", "WARNING", detail=str(exc))
            return
        now_ms = self._clock.now_ms()
        peer = self._peers.record_heartbeat(beat, now_ms)
        if peer is None:
            return
        if peer.heartbeats == 1:
            log_event("peer_heard", peer=peer.name, boot=beat.boot)
        if peer.address is None:
            peer.address = (addr[0], addr[1])
        self._take_news(beat, now_ms)
        if beat.revision > self._replica.revision:
            self._on_ahead()

    def _take_news(self, beat: Heartbeat, now_ms: int) -> None:
        find = self._planner.servers.find
        fresh_ms = max(PEER_TIMEOUT_MS, MISSED_HEARTBEATS * beat.interval_ms)
        loads = PeerLoads(now_ms + fresh_ms, {}, {})
        for digest, count, unread in beat.loads:
            server_id = find(digest)
            if server_id is not None:
                loads.requests[server_id] = count
                loads.unread[server_id] = unread
        self._planner.loads.update_peer(beat.sender, loads)
        doubted = frozenset(
            server_id
            for server_id in map(find, beat.ejected)
            if server_id is not None
        )
        self._planner.ejections.update_peer(beat.sender, doubted, now_ms)
        for mark, digest in beat.crashes:
            self._planner.crashing_requests.add_crash(mark, digest, now_ms)
        for part, digest in beat.cached_parts:
            server_id = find(digest)
            if server_id is not None:
                self._planner.caches.add_holder(part, server_id, now_ms)

    def send_beats(self, to_all: bool = True) -> None:
        """Tells peers the state of this host.

        Args:
            to_all: Whether hosts in reserve are told too. They learn who
                lives and what is in progress, but not what servers keep in
                their caches, which is most of what hosts tell.
        """
        if self._transport is None:
            return
        used, reserve = self._peers.split_by_active()
        broke = tuple(self._planner.crashing_requests.take_updates())
        gap_ms = self._peers.heartbeat_interval_ms()
        if not self._peers.is_active:
            self._send(used + reserve, self._build_beat(True, broke, gap_ms))
            return
        self._send(used, self._build_beat(True, broke, gap_ms))
        if reserve and (to_all or broke):
            gap_ms *= RESERVE_HEARTBEAT_EVERY
            self._send(reserve, self._build_beat(False, broke, gap_ms))

    def _send(self, peers: list[Peer], beat: Heartbeat) -> None:
        assert self._transport is not None
        data = encode_beat(beat)
        for peer in peers:
            if peer.address is not None:
                self._transport.sendto(data, peer.address)

    def _build_beat(
        self, caches: bool, broke: tuple[tuple[int, int], ...], gap_ms: int
    ) -> Heartbeat:
        now_ms = self._clock.now_ms()
        planner = self._planner
        loads = planner.loads
        held = planner.caches.take_updates(HELD_IN_BEAT) if caches else []
        return Heartbeat(
            self._name,
            self._boot,
            self._replica.changed_revision,
            self._contact_ms(),
            self.leaving,
            tuple(
                (digest_id(server_id), count, loads.own_unread[server_id])
                for server_id, count in loads.own.items()
            ),
            tuple((part, digest_id(server_id)) for part, server_id in held),
            self._peers.count_live(now_ms),
            tuple(
                digest_id(server_id)
                for server_id in planner.ejections.own_ejected(now_ms)
            ),
            broke,
            gap_ms,
            self._peers.cpu_percent,
        )

    async def beat_for_ever(self) -> None:
        """Sends beats at a steady pace, until cancelled."""
        turn = 0
        try:
            while True:
                turn = (turn + 1) % RESERVE_HEARTBEAT_EVERY
                self.send_beats(to_all=turn == 0)
                await anyio.sleep(
                    self._peers.heartbeat_interval_ms() / MS_PER_SECOND
                )
        finally:
            if self._transport is not None:
                self._transport.close()

    async def serve(self, conn: ServerConnection) -> None:
        """Answers a peer that asks for the store's items."""
        received = await conn.read_request(DEFAULT_LIMITS)
        if not isinstance(received, ReceivedRequest):
            return
        path, _, query = received.target.partition(b"?")
        after = parse_qs(query.decode("latin-1")).get("after", [""])[0]
        if path != STATE_PATH or not after.isdigit():
            await conn.respond(404, [])
            return
        page = self._replica.changes_since(int(after))
        conn.closing = True
        await conn.respond(200, [], encode_page(page))
        await conn.finish()

    async def pull(self, peer: Peer) -> Page | None:
        """Returns what `peer` knows beyond this host; None if it fails."""
        assert peer.address is not None
        protocol = None
        try:
            with anyio.fail_after(PULL_TIMEOUT_MS / MS_PER_SECOND):
                protocol = await connect(peer.address, PULL_TIMEOUT_MS, 0)
                if protocol is None:
                    return None
                target = b"%s?after=%d" % (STATE_PATH, self._replica.revision)
                protocol.write(
                    h11.Request(
                        method="GET", target=target, headers=[("Host", "peer")]
                    )
                )
                protocol.write(h11.EndOfMessage())
                _, body = await read_whole(protocol)
                return decode_page(body)
        except (TimeoutError, ConnectionBrokenError, MessageError) as exc:
            log_event("pull_failed", peer=peer.name, detail=str(exc))
            return None
        finally:
            if protocol is not None:
                protocol.abort()
