"""Placement by home routers: the whole fleet keeps one bound together."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from functools import singledispatchmethod
import random
from typing import Final

from expression import Error, Ok, Result
import xxhash

from .chat_order import ChatOrder
from .digest_fanout import DIGEST_MS, DigestFanout
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
WAIT_MS: Final = 100
MAX_WAIT_MS: Final = 2_000
GONE_KEEP_MS: Final = 10_000
MAX_ASKS: Final = 3
MAX_LOOKS: Final = 16
PERMIT_GRACE_MS: Final = 1_000
PASSING: Final = frozenset({Verdict.OVER_MEAN, Verdict.COLD})
AVOIDED_LEVEL: Final = 1_000
ID_BITS: Final = 62


class HomePlacement:
    """Chooses servers in a chat's order; their homes admit the work.

    Room on a server whose home is this router costs no message. For any
    other server, the home is asked for a permit. What it has to tell other
    routers gathers in an outbox.
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
        "_gone",
        "_spread",
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
        self._digest_at_ms = -DIGEST_MS
        self._gone: dict[str, int] = {}
        self._spread = DigestFanout(me)

    @property
    def admission(self) -> HomeAdmission:
        """The permits that this router gives."""
        return self._admission

    @property
    def homes(self) -> Homes:
        """The home router of each server, by this router's view."""
        return self._homes

    def set_servers(self, servers: tuple[Server, ...], now_ms: int) -> None:
        """Replaces the servers that may get new work."""
        if servers == self._servers:
            return
        self._servers = servers
        self._chats.set_servers(servers)
        names = {server.name for server in servers}
        self._sums.keep_servers(names)
        self._homes.keep_servers(names)
        self._take_homes(now_ms)

    def set_entries(self, entries: Iterable[EntryHost], now_ms: int) -> None:
        """Replaces the routers that are live and take work."""
        entries = tuple(entries)
        before = self._homes.names()
        if self._homes.set_entries(entries):
            names = self._homes.names()
            self._sums.keep_origins(names)
            self._spread.set_entries(entries)
            self._gone.update(dict.fromkeys(before - names, now_ms))
            self._take_homes(now_ms)

    def first_home(self, pool: str, chat: str) -> str:
        """Returns the home of the chat's first server, empty if none."""
        server = self._chats.first(pool, chat)
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
        """Reserves room on a server for `req`, or asks for it."""
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
            now_ms if before is None else before.first_ms,
        )
        self._searches[req.id] = search
        return self._go_on(req, search, now_ms)

    def resume(
        self, req: Req, answer: PermitAnswer | None, now_ms: int
    ) -> Result[Choice, Fault]:
        """Goes on with a choice after a router answered, or did not."""
        search = self._searches[req.id]
        server = search.server
        assert server is not None
        if answer is not None and answer.verdict is Verdict.GRANTED:
            return self._take(req, search, server, now_ms)
        if answer is None:
            self._tell(search.home, Release(search.permit, server.name))
        else:
            _note_refusal(search, server, answer.verdict)
        search.server = None
        return self._go_on(req, search, now_ms)

    def cancel(self, req: Req, now_ms: int) -> None:
        """Drops a choice that waits for an answer, if there is one."""
        search = self._searches.pop(req.id, None)
        if search is not None and search.server is not None:
            release = Release(search.permit, search.server.name)
            self._tell(search.home, release)

    def release(
        self,
        req: Req,
        server: Server,
        now_ms: int,
        served: bool = False,
        first_token_ms: int | None = None,
        crashed: bool = False,
    ) -> None:
        """Returns the room that was reserved."""
        granted = self._granted.pop(req.id, None)
        if granted is None:
            return
        home, permit = granted
        release = Release(permit, server.name, served, first_token_ms, crashed)
        if home == self._me:
            self._admission.release(self._me, release, now_ms)
        else:
            self._tell(home, release)

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Takes the report of a server whose home this router is."""
        self._admission.apply_report(report, now_ms)

    def handle_message(
        self, peer: str, message: PeerMessage, now_ms: int
    ) -> None:
        """Takes a message of another router; answers go to the outbox."""
        self._on_message(message, peer, now_ms)

    def take_outbox(self) -> list[ToPeer]:
        """Returns what is to be sent to other routers, once."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def tick(self, now_ms: int) -> None:
        """Drops what has expired and tells what peers should know.

        Call about every `TICK_MS`; the digests are in the outbox then.
        """
        self._sums.tick(now_ms)
        self._admission.tick(now_ms)
        self._gone = {
            name: at_ms
            for name, at_ms in self._gone.items()
            if now_ms - at_ms < GONE_KEEP_MS
        }
        self._ask_former_homes(now_ms)
        waited_ms = now_ms - self._digest_at_ms
        news = waited_ms >= self._spread.news_ms and (
            self._admission.has_news()
            or (self._spread.is_delegate and self._sums.has_news())
        )
        if news or waited_ms >= self._spread.period_ms:
            self._digest_at_ms = now_ms
            self._tell_load()

    def _tell_load(self) -> None:
        digest = self._admission.digest()
        self._sums.mark_told()
        for peer in self._spread.near:
            self._tell(peer, digest)
        if not self._spread.is_delegate:
            return
        sums = self._sums.add_up(Scope.ROUTER, digest.sums)
        centre = LoadDigest(digest.seq, sums, scope=Scope.CENTRE)
        for peer in self._spread.delegates:
            self._tell(peer, centre)
        sums = self._sums.add_up(Scope.CENTRE)
        rest = LoadDigest(digest.seq, sums, scope=Scope.REST)
        for peer in self._spread.near if sums else ():
            self._tell(peer, rest)

    @singledispatchmethod
    def _on_message(
        self, message: PeerMessage, peer: str, now_ms: int
    ) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_on_message.register
    def _(self, message: Ask, peer: str, now_ms: int) -> None:
        self._tell(peer, self._admission.ask(peer, message, now_ms))

    @_on_message.register
    def _(self, message: Release, peer: str, now_ms: int) -> None:
        self._admission.release(peer, message, now_ms)

    @_on_message.register
    def _(self, message: HandOff, peer: str, now_ms: int) -> None:
        self._admission.apply_hand_off(message, now_ms)

    @_on_message.register
    def _(self, message: TakeOver, peer: str, now_ms: int) -> None:
        if peer in self._gone and peer not in self._homes.names():
            return
        handed = self._admission.give_up(message.server, now_ms)
        if handed is not None:
            self._tell(peer, handed)

    @_on_message.register
    def _(self, message: LoadDigest, peer: str, now_ms: int) -> None:
        if message.scope == Scope.REST and self._spread.is_delegate:
            return
        if message.scope == Scope.CENTRE and not self._spread.is_delegate:
            return
        self._sums.record(peer, message, now_ms)

    def _go_on(
        self, req: Req, search: Search, now_ms: int
    ) -> Result[Choice, Fault]:
        """Tries servers in turn until one has room or a router is asked."""
        while True:
            server = self._next_server(search)
            if server is None:
                return self._end_in_vain(req, search, now_ms)
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
            answer = self._admission.ask(self._me, ask, now_ms)
            if answer.verdict is Verdict.GRANTED:
                return self._take(req, search, server, now_ms)
            _note_refusal(search, server, answer.verdict)

    def _end_in_vain(
        self, req: Req, search: Search, now_ms: int
    ) -> Result[Choice, Fault]:
        """Waits if there may be room soon, else refuses."""
        waited_ms = now_ms - search.first_ms
        if search.may_pass and waited_ms < MAX_WAIT_MS:
            return Ok(RetryLater(WAIT_MS))
        del self._searches[req.id]
        return Error(overload_fault(search.pool))

    def _next_server(self, search: Search) -> Server | None:
        """Returns the next server worth a try, or None if none is left."""
        near = search.tier is not Tier.CHAT_ORDER or (search.looks < MAX_LOOKS)
        search.looks += 1
        if near and search.asks < MAX_ASKS:
            server = next(search.order, None)
            if server is not None:
                return server
        if search.tier is Tier.BELOW_MEAN:
            return None
        search.tier = Tier(search.tier + 1)
        search.asks = 0
        known = [*search.looked, *search.order]
        known.sort(key=lambda item: self._expected_level(search, item))
        search.looked = []
        search.order = iter(known)
        return next(search.order, None)

    def _expected_level(self, search: Search, server: Server) -> float:
        """Returns the server's load over the mean, with this request."""
        mean = self._admission.mean(search.pool, search.weight)
        added = search.weight / (mean * server.capacity)
        if server.name in search.avoided:
            added += AVOIDED_LEVEL
        return self._sums.level(server.name) / LEVEL_STEPS + added

    def _take(
        self, req: Req, search: Search, server: Server, now_ms: int
    ) -> Result[Choice, Fault]:
        self._chats.remember(req, server, now_ms)
        self._granted[req.id] = (search.home, search.permit)
        del self._searches[req.id]
        return Ok(server)

    def _take_homes(self, now_ms: int) -> None:
        """Becomes the home of the servers that the view gives to it."""
        homes = self._homes
        mine = [s for s in self._servers if homes.find(s) == self._me]
        by_name = {server.name: server for server in self._servers}
        for handed in self._admission.set_servers(mine, now_ms):
            server = by_name.get(handed.server)
            if server is not None:
                self._tell(homes.find(server), handed)

        self._ask_former_homes(now_ms)

    def _ask_former_homes(self, now_ms: int) -> None:
        """Asks former homes for the servers that are not handed off yet."""
        for server in self._admission.in_handover(now_ms):
            self._tell(
                self._homes.find_former(server),
                TakeOver(server.name, server.incarnation),
            )

    def _tell(self, peer: str, message: PeerMessage) -> None:
        if peer and peer != self._me:
            self._outbox.append(ToPeer(peer, message))


def hash_workspace(workspace: str) -> int:
    """Returns the number by which homes know a workspace."""
    return xxhash.xxh32_intdigest(workspace.encode())


def _note_refusal(search: Search, server: Server, verdict: Verdict) -> None:
    """Keeps a server for later tiers if only the mean stood against it."""
    search.may_pass |= verdict in PASSING
    if verdict is Verdict.OVER_MEAN:
        search.looked.append(server)
