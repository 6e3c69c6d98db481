"""Placement by home routers, which keep one load bound fleet-wide."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from functools import singledispatchmethod
import random
from typing import Final

from expression import Error, Ok, Result
import xxhash

from .chat_order import ChatOrder
from .digest_fanout import DIGEST_INTERVAL_MS, DigestFanout
from .errors import Fault
from .home_admission import HomeAdmission
from .homes import Homes
from .load_report import LoadReport
from .load_sums import LEVEL_STEPS, LoadDigest, LoadSums, Scope
from .messages import AskPermit, Req
from .permits import (
    Ask,
    HandOff,
    PeerMessage,
    PermitAnswer,
    Release,
    TakeOver,
    Tier,
    ToPeer,
    Verdict,
)
from .placement import Choice, no_server_fault, overload_fault, RetryLater
from .rules import Priority
from .search import Search
from .topology import EntryHost, Server

ASK_TIMEOUT_MS: Final = 60
TICK_MS: Final = 100
RETRY_DELAY_MS: Final = 100
MAX_WAIT_MS: Final = 2_000
# How long take-over requests of a router that is gone from the view are
# ignored.
FORMER_KEEP_MS: Final = 10_000
MAX_ASKS: Final = 3
MAX_EXAMINED: Final = 16
PERMIT_GRACE_MS: Final = 1_000
TRANSIENT_VERDICTS: Final = frozenset({Verdict.OVER_MEAN, Verdict.COLD})
AVOIDED_PENALTY: Final = 1_000
ID_BITS: Final = 62


class HomePlacement:
    """Chooses servers in a chat's order; their home routers admit the work.

    A permit for a server whose home is this router costs no message. For
    any other server, its home is asked for one. Messages to other routers
    are collected in an outbox.
    """

    __slots__ = (
        "_me",
        "_sums",
        "_admission",
        "_homes",
        "_chats",
        "_servers",
        "_searches",
        "_granted",
        "_next_permit",
        "_outbox",
        "_digest_at_ms",
        "_former_routers",
        "_fanout",
    )

    def __init__(
        self, me: str, bound: float, rng: random.Random, first_seq: int = 0
    ) -> None:
        """Creates the placement of the router `me`.

        Args:
            me: Name of this router.
            bound: Highest load of a server, as a multiple of the mean.
            rng: Source of the first permit id.
            first_seq: Larger after each restart, such as the Unix time.
        """
        self._me = me
        self._sums = LoadSums()
        self._admission = HomeAdmission(bound, self._sums, first_seq)
        self._homes = Homes()
        self._chats = ChatOrder()
        self._servers: tuple[Server, ...] = ()
        self._searches: dict[str, Search] = {}
        self._granted: dict[str, tuple[str, int]] = {}
        self._next_permit = rng.getrandbits(ID_BITS)
        self._outbox: list[ToPeer] = []
        self._digest_at_ms = -DIGEST_INTERVAL_MS
        self._former_routers: dict[str, int] = {}
        self._fanout = DigestFanout(me)

    @property
    def admission(self) -> HomeAdmission:
        """Admission control of the servers whose home is this router."""
        return self._admission

    @property
    def homes(self) -> Homes:
        """The home router of each server, in this router's view."""
        return self._homes

    def set_servers(self, servers: tuple[Server, ...], now_ms: int) -> None:
        """Replaces the servers that may get new work."""
        if servers == self._servers:
            return
        self._servers = servers
        self._chats.set_servers(servers)
        names = {server.name for server in servers}
        self._sums.retain_servers(names)
        self._homes.retain_servers(names)
        self._update_own_servers(now_ms)

    def set_entries(self, entries: Iterable[EntryHost], now_ms: int) -> None:
        """Replaces the live routers that accept work."""
        entries = tuple(entries)
        before = self._homes.names()
        if self._homes.set_entries(entries):
            names = self._homes.names()
            self._sums.retain_senders(names)
            self._fanout.set_entries(entries)
            self._former_routers.update(dict.fromkeys(before - names, now_ms))
            self._update_own_servers(now_ms)

    def first_home(self, pool: str, chat: str) -> str:
        """Returns the home of the chat's first server, empty if none."""
        server = self._chats.first_by_hash(pool, chat)
        return "" if server is None else self._homes.find(server)

    def choose(
        self,
        req: Req,
        pool: str,
        excluded: Collection[str],
        avoided: Collection[str],
        left_ms: int,
        now_ms: int,
    ) -> Result[Choice, Fault]:
        """Reserves capacity on a server for `req`, or asks its home for it."""
        if not self._chats.has_other(pool, excluded):
            return Error(no_server_fault(pool))
        order = self._chats.order(req, pool, now_ms)
        left: Iterator[Server] = (s for s in order if s.name not in excluded)
        if avoided:
            left = iter(sorted(left, key=lambda s: s.name in avoided))
        before = self._searches.get(req.id)
        search = Search(
            pool,
            req.weight,
            left,
            avoided,
            left_ms + PERMIT_GRACE_MS,
            now_ms if before is None else before.started_at_ms,
        )
        self._searches[req.id] = search
        return self._continue(req, search, now_ms)

    def resume(
        self, req: Req, answer: PermitAnswer | None, now_ms: int
    ) -> Result[Choice, Fault]:
        """Continues a search after a home answered, or timed out."""
        search = self._searches[req.id]
        server = search.server
        assert server is not None
        if answer is not None and answer.verdict is Verdict.GRANTED:
            return self._reserve(req, search, server, now_ms)
        if answer is None:
            self._send(search.home, Release(search.permit, server.name))
        else:
            _record_refusal(search, server, answer.verdict)
        search.server = None
        return self._continue(req, search, now_ms)

    def cancel(self, req: Req, now_ms: int) -> None:
        """Cancels a search that waits for an answer, if there is one."""
        search = self._searches.pop(req.id, None)
        if search is not None and search.server is not None:
            release = Release(search.permit, search.server.name)
            self._send(search.home, release)

    def release(
        self,
        req: Req,
        server: Server,
        now_ms: int,
        served: bool = False,
        first_token_ms: int | None = None,
        crashed: bool = False,
    ) -> None:
        """Releases the permit of a request."""
        granted = self._granted.pop(req.id, None)
        if granted is None:
            return
        home, permit = granted
        release = Release(permit, server.name, served, first_token_ms, crashed)
        if home == self._me:
            self._admission.release(self._me, release, now_ms)
        else:
            self._send(home, release)

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Merges a load report of a server whose home is this router."""
        self._admission.apply_report(report, now_ms)

    def handle_message(
        self, peer: str, message: PeerMessage, now_ms: int
    ) -> None:
        """Handles a message of another router; answers go to the outbox."""
        self._on_message(message, peer, now_ms)

    def take_outbox(self) -> list[ToPeer]:
        """Returns the messages for other routers and empties the outbox."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def tick(self, now_ms: int) -> None:
        """Drops what has expired and queues the messages that are due.

        Call about every `TICK_MS`; digests are in the outbox then.
        """
        self._sums.tick(now_ms)
        self._admission.tick(now_ms)
        self._former_routers = {
            name: at_ms
            for name, at_ms in self._former_routers.items()
            if now_ms - at_ms < FORMER_KEEP_MS
        }
        self._ask_former_homes(now_ms)
        waited_ms = now_ms - self._digest_at_ms
        changed = waited_ms >= self._fanout.min_interval_ms and (
            self._admission.has_changed()
            or (self._fanout.is_delegate and self._sums.has_changed())
        )
        if changed or waited_ms >= self._fanout.max_interval_ms:
            self._digest_at_ms = now_ms
            self._send_digests()

    def _send_digests(self) -> None:
        digest = self._admission.digest()
        self._sums.mark_sent()
        for peer in self._fanout.local_peers:
            self._send(peer, digest)
        if not self._fanout.is_delegate:
            return
        sums = self._sums.sum_scope(Scope.ROUTER, digest.sums)
        centre = LoadDigest(digest.seq, sums, scope=Scope.CENTRE)
        for peer in self._fanout.delegates:
            self._send(peer, centre)
        sums = self._sums.sum_scope(Scope.CENTRE)
        rest = LoadDigest(digest.seq, sums, scope=Scope.REST)
        for peer in self._fanout.local_peers if sums else ():
            self._send(peer, rest)

    @singledispatchmethod
    def _on_message(
        self, message: PeerMessage, peer: str, now_ms: int
    ) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_on_message.register
    def _(self, message: Ask, peer: str, now_ms: int) -> None:
        self._send(peer, self._admission.handle_ask(peer, message, now_ms))

    @_on_message.register
    def _(self, message: Release, peer: str, now_ms: int) -> None:
        self._admission.release(peer, message, now_ms)

    @_on_message.register
    def _(self, message: HandOff, peer: str, now_ms: int) -> None:
        self._admission.apply_hand_off(message, now_ms)

    @_on_message.register
    def _(self, message: TakeOver, peer: str, now_ms: int) -> None:
        if peer in self._former_routers and peer not in self._homes.names():
            return
        handed = self._admission.hand_off(message.server, now_ms)
        if handed is not None:
            self._send(peer, handed)

    @_on_message.register
    def _(self, message: LoadDigest, peer: str, now_ms: int) -> None:
        if message.scope == Scope.REST and self._fanout.is_delegate:
            return
        if message.scope == Scope.CENTRE and not self._fanout.is_delegate:
            return
        self._sums.record(peer, message, now_ms)

    def _continue(
        self, req: Req, search: Search, now_ms: int
    ) -> Result[Choice, Fault]:
        """Tries servers in turn until one admits or a router is asked."""
        while True:
            server = self._next_server(search)
            if server is None:
                return self._end_without_room(req, search, now_ms)
            search.permit = self._next_permit
            self._next_permit += 1
            ask = Ask(
                search.permit,
                server.name,
                search.weight,
                search.ttl_ms,
                search.tier,
                hash_workspace(req.workspace),
                Priority.NORMAL if req.priority is None else req.priority,
            )
            search.home = self._homes.find(server)
            if search.home != self._me:
                search.asks += 1
                search.server = server
                return Ok(AskPermit(req.id, search.home, ask, ASK_TIMEOUT_MS))
            answer = self._admission.handle_ask(self._me, ask, now_ms)
            if answer.verdict is Verdict.GRANTED:
                return self._reserve(req, search, server, now_ms)
            _record_refusal(search, server, answer.verdict)

    def _end_without_room(
        self, req: Req, search: Search, now_ms: int
    ) -> Result[Choice, Fault]:
        """Returns a retry if a refusal is transient, else a fault.

        Retries end `MAX_WAIT_MS` after the first search began.
        """
        waited_ms = now_ms - search.started_at_ms
        if search.may_clear and waited_ms < MAX_WAIT_MS:
            return Ok(RetryLater(RETRY_DELAY_MS))
        del self._searches[req.id]
        return Error(overload_fault(search.pool))

    def _next_server(self, search: Search) -> Server | None:
        """Returns the next server to try, or None if none is left."""
        may_examine = search.tier is not Tier.CHAT_ORDER or (
            search.examined < MAX_EXAMINED
        )
        search.examined += 1
        if may_examine and search.asks < MAX_ASKS:
            server = next(search.order, None)
            if server is not None:
                return server
        if search.tier is Tier.BELOW_MEAN:
            return None
        search.tier = Tier(search.tier + 1)
        search.asks = 0
        known = [*search.over_mean, *search.order]
        known.sort(key=lambda item: self._expected_level(search, item))
        search.over_mean = []
        search.order = iter(known)
        return next(search.order, None)

    def _expected_level(self, search: Search, server: Server) -> float:
        """Returns the server's load over the mean, this request included."""
        mean = self._admission.mean(search.pool, search.weight)
        added = search.weight / (mean * server.capacity)
        if server.name in search.avoided:
            added += AVOIDED_PENALTY
        return self._sums.level(server.name) / LEVEL_STEPS + added

    def _reserve(
        self, req: Req, search: Search, server: Server, now_ms: int
    ) -> Result[Choice, Fault]:
        self._chats.record(req, server, now_ms)
        self._granted[req.id] = (search.home, search.permit)
        del self._searches[req.id]
        return Ok(server)

    def _update_own_servers(self, now_ms: int) -> None:
        """Takes over and hands off servers as the view assigns homes."""
        homes = self._homes
        mine = [s for s in self._servers if homes.find(s) == self._me]
        by_name = {server.name: server for server in self._servers}
        for handed in self._admission.set_servers(mine, now_ms):
            server = by_name.get(handed.server)
            if server is not None:
                self._send(homes.find(server), handed)

        self._ask_former_homes(now_ms)

    def _ask_former_homes(self, now_ms: int) -> None:
        """Asks former homes for the servers not handed off yet."""
        for server in self._admission.in_handover(now_ms):
            self._send(
                self._homes.find_former(server),
                TakeOver(server.name, server.incarnation),
            )

    def _send(self, peer: str, message: PeerMessage) -> None:
        if peer and peer != self._me:
            self._outbox.append(ToPeer(peer, message))


def hash_workspace(workspace: str) -> int:
    """Returns the number that identifies a workspace between routers."""
    return xxhash.xxh32_intdigest(workspace.encode())


def _record_refusal(search: Search, server: Server, verdict: Verdict) -> None:
    """Keeps a server for later tiers if only the bound ruled it out."""
    search.may_clear |= verdict in TRANSIENT_VERDICTS
    if verdict is Verdict.OVER_MEAN:
        search.over_mean.append(server)
