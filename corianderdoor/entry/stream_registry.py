"""Exchanges the origins of streams with the other entry hosts."""

from __future__ import annotations

import asyncio
from typing import cast, Final

import anyio

from ..adapters.datagram_turns import DatagramTurns
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.addresses import Address
from ..core.entry.begun_streams import BegunStreams
from ..core.entry.flights import Flight, Refuse
from ..core.entry.ignored_marks import IgnoredMarks
from ..core.entry.peer import Peer
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.servers import BackendServer
from ..core.entry.stream_homes import StreamHomes
from ..core.entry.stream_versions import (
    digest_stream,
    RESUME_MARGIN_MS,
    StreamOrigin,
    StreamVersions,
    UNPROVEN,
)
from ..core.entry.unproven_streams import UnprovenStreams
from .stored_streams import StoredStreams
from .stream_codec import (
    decode_stream_message,
    encode_stream_message,
    StreamMessage,
    StreamMessageKind,
)

# Port of these messages, counted from that of the heartbeats.
PORT_OFFSET: Final = 1
# Times after a question at which it is repeated, as datagrams get lost, and
# after which nobody knows.
REPEAT_MS: Final = (50, 100)
QUESTION_MS: Final = 200
MAX_QUESTION: Final = 2**32


class _Question:
    """A question in progress.

    Attributes:
        pending: Addresses of the peers that have not answered.
        ended: Set once a peer knows or all have answered.
        answer: The answer of a peer that knows; None without one.
    """

    __slots__ = ("pending", "ended", "answer")

    def __init__(self, pending: set[Address]) -> None:
        self.pending = pending
        self.ended = anyio.Event()
        self.answer: StreamMessage | None = None


class StreamRegistry(asyncio.DatagramProtocol):
    """Tells peers where streams began, and asks them.

    Attributes:
        begun: The streams in progress here.
        history: Versions that the servers of each service had.
    """

    def __init__(
        self,
        planner: Planner,
        peers: Peers,
        clock: Clock,
        stored: StoredStreams | None = None,
    ) -> None:
        """Initializes the protocol.

        Args:
            planner: Has the listed servers and the counters.
            peers: The other hosts.
            clock: The clock.
            stored: What the store has of streams; None without a store.
        """
        self._versions = StreamVersions()
        self.begun = BegunStreams()
        self._unproven = UnprovenStreams()
        self.history = self._versions.history
        self._stored = stored
        self._homes = StreamHomes()
        self._planner = planner
        self._peers = peers
        self._clock = clock
        self._ignored = IgnoredMarks()
        self._questions: dict[int, _Question] = {}
        self._next_question = clock.wall_ms() % MAX_QUESTION
        self._transport: asyncio.DatagramTransport | None = None
        self._datagrams = DatagramTurns(
            self._handle_datagram,
            lambda: planner.counters.add("dropped_messages", kind="stream"),
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors from unreachable peers, which do not answer."""

    async def run(self) -> None:
        """Closes the transport when it is cancelled."""
        try:
            await anyio.sleep_forever()
        finally:
            if self._transport is not None:
                self._transport.close()

    def tick(self, now_ms: int) -> None:
        """Updates what is known of peers and servers."""
        self._homes.update(self._peers.all())
        self._versions.tick(now_ms)
        self._versions.history.update(
            self._planner.servers, self._planner.restarts.in_contact, now_ms
        )
        self._record_proven(now_ms)

    def _record_proven(self, now_ms: int) -> None:
        """Gives streams their versions, and tells the peers that have copies.

        They may be told again by an older datagram; see `StreamVersions`.
        """
        proven = self._unproven.take_proven(
            self._planner.servers, self._planner.restarts, now_ms
        )
        for one in proven:
            self._versions.record(one.stream, one.origin, one.left_ms, now_ms)
            self.begun.add(one.stream, one.origin, now_ms + one.left_ms)
            self._send_copies(one.stream, one.origin, one.left_ms, now_ms)
        if proven:
            self._planner.counters.add("proven_streams", count=len(proven))
            log_event("streams_proven", count=len(proven))

    def record_pause(self) -> None:
        """Records that this process was suspended."""
        self._versions.history.record_pause()

    def record_begun(self, flight: Flight) -> None:
        """Tells peers of a stream whose first event is about to go out."""
        now_ms = self._clock.now_ms()
        begun = self._versions.record_begun(
            flight, self._is_proven(flight.server), now_ms
        )
        if begun is None:
            return
        stream, origin, left_ms = begun
        if origin.version == UNPROVEN:
            self._unproven.add(stream, flight, left_ms, now_ms)
        self.begun.add(stream, origin, now_ms + left_ms)
        self._send_copies(stream, origin, left_ms, now_ms)

    def _send_copies(
        self, stream: int, origin: StreamOrigin, left_ms: int, now_ms: int
    ) -> None:
        message = StreamMessage(
            stream, StreamMessageKind.RECORD, 0, origin, left_ms
        )
        data = encode_stream_message(message)
        for peer in self._homes.find_copied(stream, now_ms):
            self._send(data, _locate(peer))

    def _is_proven(self, server: BackendServer | None) -> bool:
        """Returns whether what began an answer has the version of `server`.

        An entry of a later process may have arrived since the request was
        sent.
        """
        if server is None:
            return True
        listed = self._planner.servers.get(server.id)
        if listed is not None and not listed.same_incarnation(server):
            return False
        return self._planner.restarts.proves_version(server.id)

    def record_complete(self, flight: Flight) -> None:
        """Records that the caller has all of a request's answer."""
        if flight.version is not None:
            self.begun.discard(digest_stream(flight.req.id))
            self._unproven.discard(digest_stream(flight.req.id))
            if flight.req.resumes is not None:
                self.begun.discard(digest_stream(flight.req.resumes))

    async def prepare(self, flight: Flight) -> Refuse | None:
        """Finds the version for a stream that its caller resumes.

        Returns:
            The refusal; None if the request may be sent.
        """
        req = flight.req
        if not flight.route.is_stream:
            return None
        if req.last_event_id is None and req.resumes is None:
            return None
        stream: int | None = None
        origin: StreamOrigin | None = None
        if req.resumes is not None:
            stream = digest_stream(req.resumes)
            origin = await self._find(stream)
        outcome = "known"
        if origin is None and flight.last_event_id is not None:
            # What this host has seen itself is older than the question.
            origin = await self._find_stored(stream, flight.service)
            outcome = "stored"
        refusal = self._versions.resume(flight, origin)
        if flight.version is None:
            outcome = "refused" if refusal else "unknown"
        elif stream is not None:
            self._keep_resumed(flight, stream)
        self._planner.counters.add("resumed_streams", outcome=outcome)
        log_event(
            "stream_resumed",
            request_id=req.id,
            resumes=req.resumes,
            version=flight.version,
            outcome=outcome,
        )
        return refusal

    async def _find_stored(
        self, stream: int | None, service: str
    ) -> StreamOrigin | None:
        """Returns the origin of a stream from the store, if it answers.

        It is asked whether it seems to be in contact or not: a host that has
        just started does not know, and the answer is a contact.
        """
        if self._stored is None:
            return None
        return await self._stored.find(stream, service)

    def _keep_resumed(self, flight: Flight, stream: int) -> None:
        """Keeps the origin of a resumed stream, which may break off again."""
        assert flight.version is not None
        origin = StreamOrigin(flight.service, flight.version)
        until_ms = int(flight.deadline_ms) + RESUME_MARGIN_MS
        self.begun.add(stream, origin, until_ms)

    async def _find(self, stream: int) -> StreamOrigin | None:
        """Returns the origin of a stream; None if nobody knows it.

        One without a proven version may have got it since.
        """
        now_ms = self._clock.now_ms()
        found = self._versions.find(stream, now_ms)
        known = None if found is None else found[0]
        if known is not None and known.version != UNPROVEN:
            return known
        asked = [_locate(peer) for peer in self._homes.find_asked(stream)]
        if not asked:
            return known
        answer = await self._ask(stream, asked)
        if answer is None:
            return known
        self._versions.record(
            stream, answer.origin, answer.left_ms, self._clock.now_ms()
        )
        return answer.origin

    async def _ask(
        self, stream: int, asked: list[Address]
    ) -> StreamMessage | None:
        """Returns the first answer that knows a stream; None without one."""
        number = self._next_question
        self._next_question = (number + 1) % MAX_QUESTION
        question = self._questions[number] = _Question(set(asked))
        data = encode_stream_message(
            StreamMessage(stream, StreamMessageKind.QUESTION, number)
        )
        begun_ms = 0
        try:
            for until_ms in (*REPEAT_MS, QUESTION_MS):
                for address in list(question.pending):
                    self._send(data, address)
                wait_s = (until_ms - begun_ms) / MS_PER_SECOND
                with anyio.move_on_after(wait_s):
                    await question.ended.wait()
                    break
                begun_ms = until_ms
            return question.answer
        finally:
            del self._questions[number]

    def _send(self, data: bytes, address: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles a message of a peer."""
        self._datagrams.receive(data, (addr[0], addr[1]))

    def _handle_datagram(self, data: bytes, addr: Address) -> None:
        try:
            self._handle(decode_stream_message(data), addr)
        except Exception as exc:
            # Whatever a datagram holds, the other peers' count.
            kind = "stream-message"
            self._planner.counters.add("invalid_messages", kind=kind)
            count = self._ignored.record(kind, self._clock.now_ms())
            if count:
                log_event(
                    "stream_message_invalid",
                    "WARNING",
                    count=count,
                    detail=repr(exc),
                )

    def _handle(self, message: StreamMessage, addr: Address) -> None:
        now_ms = self._clock.now_ms()
        if message.kind is StreamMessageKind.RECORD:
            self._versions.record(
                message.stream, message.origin, message.left_ms, now_ms
            )
        elif message.kind is StreamMessageKind.QUESTION:
            self._answer(message, addr, now_ms)
        else:
            self._accept(message, addr)

    def _answer(
        self, message: StreamMessage, addr: Address, now_ms: int
    ) -> None:
        found = self._versions.find(message.stream, now_ms)
        answer = StreamMessage(
            message.stream, StreamMessageKind.UNKNOWN, message.question
        )
        if found is not None:
            answer = StreamMessage(
                message.stream,
                StreamMessageKind.KNOWN,
                message.question,
                found[0],
                found[1],
            )
        self._send(encode_stream_message(answer), addr)

    def _accept(self, message: StreamMessage, addr: Address) -> None:
        """Handles the answer to a question of this host."""
        question = self._questions.get(message.question)
        if question is None:
            return
        question.pending.discard(addr)
        is_proven = False
        if message.kind is StreamMessageKind.KNOWN:
            is_proven = message.origin.version != UNPROVEN
            if is_proven or question.answer is None:
                question.answer = message
        if is_proven or not question.pending:
            question.ended.set()


def _locate(peer: Peer) -> Address:
    assert peer.address is not None
    return peer.address[0], peer.address[1] + PORT_OFFSET
