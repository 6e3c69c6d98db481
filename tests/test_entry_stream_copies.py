"""Tests of who knows the version that began a stream, in fleets."""

from __future__ import annotations

from collections.abc import Iterator
import random

import anyio
from entry_builders import build_planner, build_request, build_server
from loguru import logger
import pytest

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.flights import Refuse, Send
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.stream_versions import StreamOrigin
from corianderdoor.entry.stream_codec import (
    decode_stream_message,
    encode_stream_message,
    StreamMessage,
    StreamMessageKind,
)
from corianderdoor.entry.stream_registry import PORT_OFFSET, StreamRegistry

VERSIONS = ("v1", "v2", "v3")
CENTRES = ("a", "b", "c")
STREAMS = 40
# Of streams that callers resume, half as many go on as new ones begin.
MIN_SHARE = 0.5


@pytest.fixture(autouse=True)
def without_logs() -> Iterator[None]:
    """Leaves out the lines of hundreds of hosts."""
    logger.disable("corianderdoor")
    yield
    logger.enable("corianderdoor")


class Host:
    """A host with servers of three versions, two of each."""

    def __init__(self, fleet, name) -> None:
        self.name, self.fleet = name, fleet
        self.planner = build_planner(servers=0, name=name)
        for version in VERSIONS:
            for number in range(2):
                self.put_server(version, f"{version}-{number}")
        self.peers = Peers(name, data_centre=fleet.centre_of(name))
        self.registry = StreamRegistry(self.planner, self.peers, fleet.clock)
        self.registry.connection_made(self)

    def put_server(self, version, id, **changes) -> None:
        """Lists a server."""
        now_ms = self.fleet.clock.now_ms()
        server = build_server(id, version=version, **changes)
        self.planner.servers.put(server, now_ms)

    def discover(self, names) -> None:
        """Lists peers."""
        for name in names:
            address = (name, 1)
            centre = self.fleet.centre_of(name)
            now_ms = self.fleet.clock.now_ms()
            self.peers.add_listed(name, address, address, centre, now_ms)
        self.registry.tick(self.fleet.clock.now_ms())

    def sendto(self, data, address) -> None:
        """Sends a datagram."""
        assert address[1] == 1 + PORT_OFFSET
        self.fleet.pass_on(self.name, data, address[0])

    def begin(self, id) -> str:
        """Begins a stream; returns the version of its server."""
        flight = self.planner.admit(build_request(id=id), 0)
        step = self.planner.choose(flight, 0)
        self.planner.record_sent(flight, step.server, 0)
        self.registry.record_begun(flight)
        return flight.version

    async def resume(self, id):
        """Resumes a stream; returns the version of the chosen server."""
        req = build_request(id=f"again-{id}", last_event_id=3)
        req.resumes = id
        now_ms = self.fleet.clock.now_ms()
        flight = self.planner.admit(req, now_ms)
        refusal = await self.registry.prepare(flight)
        if refusal is not None:
            assert refusal.status == 503 and refusal.retry_after_ms
            return None
        step = self.planner.choose(flight, now_ms)
        assert isinstance(step, Send)
        return step.server.version


class Fleet:
    """Hosts in three data centres that pass datagrams to each other."""

    def __init__(self, count, seed=1, loss=0.0) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.loss = loss
        self.lost: set[str] = set()
        self.hosts = {}
        for number in range(count):
            self.hosts[f"h{number}"] = Host(self, f"h{number}")
        for host in self.hosts.values():
            host.discover(self.hosts)

    def centre_of(self, name) -> str:
        """Returns the data centre of a host."""
        return CENTRES[int(name[1:]) % len(CENTRES)]

    def pass_on(self, sender, data, name) -> None:
        """Delivers a datagram unless it is lost."""
        if {sender, name} & self.lost or self.rng.random() < self.loss:
            return
        host = self.hosts.get(name)
        if host is not None:
            host.registry.datagram_received(data, (sender, 1 + PORT_OFFSET))

    def restart(self, name) -> None:
        """Replaces a host by one that knows its peers alone."""
        self.hosts[name] = Host(self, name)
        self.hosts[name].discover(self.hosts)

    def begin_streams(self, count=STREAMS):
        """Begins streams; returns their versions and hosts by id."""
        begun = {}
        for number in range(count):
            host = self.rng.choice(list(self.hosts.values()))
            version = host.begin(f"s{number}")
            begun[f"s{number}"] = (version, host.name)
        return begun

    async def resume_streams(self, begun, hosts):
        """Resumes streams at `hosts`; returns the share that goes on."""
        found = {}

        async def resume(id) -> None:
            found[id] = await self.hosts[self.rng.choice(hosts)].resume(id)

        async with anyio.create_task_group() as tasks:
            for id in begun:
                tasks.start_soon(resume, id)
        for id, version in found.items():
            assert version in (None, begun[id][0])
        return sum(v is not None for v in found.values()) / len(found)


# Guards against streams of two versions, and against refusing them all, when
# hosts die at once, with the host that began the stream.
@pytest.mark.parametrize("count", [8, 101, 330])
@pytest.mark.parametrize("share", [0.0, 0.35, 0.6])
@pytest.mark.parametrize("seed", [1, 2])
def test_streams_go_on_at_their_version_after_hosts_die(count, share, seed):
    async def scenario():
        fleet = Fleet(count, seed)
        begun = fleet.begin_streams()
        names = list(fleet.hosts)
        fleet.lost = set(fleet.rng.sample(names, int(share * count)))
        left = [name for name in names if name not in fleet.lost]
        assert await fleet.resume_streams(begun, left) >= MIN_SHARE

    anyio.run(scenario)


@pytest.mark.parametrize("count", [8, 101, 330])
def test_streams_go_on_after_a_data_centre_and_their_hosts_are_lost(count):
    async def scenario():
        fleet = Fleet(count)
        begun = fleet.begin_streams()
        fleet.lost = {n for n in fleet.hosts if fleet.centre_of(n) == "a"}
        left = [name for name in fleet.hosts if name not in fleet.lost]
        lost = {id: at for id, at in begun.items() if at[1] in fleet.lost}
        assert await fleet.resume_streams(lost, left) == 1.0

    anyio.run(scenario)


@pytest.mark.parametrize("count", [8, 101, 330])
def test_streams_go_on_where_a_tenth_of_the_datagrams_is_lost(count):
    async def scenario():
        fleet = Fleet(count, loss=0.1)
        begun = fleet.begin_streams()
        share = await fleet.resume_streams(begun, list(fleet.hosts))
        assert share >= 0.9

    anyio.run(scenario)


@pytest.mark.parametrize("count", [8, 101])
def test_streams_go_on_at_hosts_that_were_added_or_restarted(count):
    async def scenario():
        fleet = Fleet(count)
        begun = fleet.begin_streams()
        fleet.hosts["h900"] = Host(fleet, "h900")
        for host in fleet.hosts.values():
            host.discover(fleet.hosts)
        fleet.restart("h1")
        share = await fleet.resume_streams(begun, ["h900", "h1"])
        assert share >= 0.9

    anyio.run(scenario)


def test_host_without_peers_refuses_streams_that_it_does_not_know():
    async def scenario():
        fleet = Fleet(8)
        begun = fleet.begin_streams()
        fleet.lost = {"h0"}
        own = {id: at for id, at in begun.items() if at[1] == "h0"}
        assert await fleet.resume_streams(own, ["h0"]) == 1.0
        fleet.hosts["h0"] = Host(fleet, "h0")
        assert await fleet.resume_streams(own, ["h0"]) == 0.0

    anyio.run(scenario)


def list_one_version(host) -> None:
    """Removes the servers of all versions but the first."""
    for server in list(host.planner.servers.all()):
        if server.version != VERSIONS[0] and server.service == "llm":
            host.planner.servers.remove(server.id, 0)


async def resume_after(host, waited_ms, in_contact=True):
    """Resumes an unknown stream after so long with one version."""
    fleet, restarts = host.fleet, host.planner.restarts
    for _ in range(waited_ms // 500):
        fleet.clock.advance(500)
        now_ms = fleet.clock.now_ms()
        restarts.update_contact(now_ms if in_contact else 0, now_ms)
        host.registry.tick(now_ms)
    return await host.resume("unknown")


# Guards against ORDER: what a host has seen is older than the question, and
# a version may have come since, however long there was one alone.
@pytest.mark.parametrize(
    "waited_ms, in_contact", [(5_000, True), (30_000, True), (30_000, False)]
)
def test_time_with_one_version_tells_nothing_of_an_unknown_stream(
    waited_ms, in_contact
):
    async def scenario():
        host = Host(Fleet(1), "h1")
        list_one_version(host)
        assert await resume_after(host, waited_ms, in_contact) is None

    anyio.run(scenario)


# Guards against LOST: a host that had just started refused streams without
# a question, as it did not know yet that the store is in contact.
@pytest.mark.parametrize("in_contact", [True, False])
@pytest.mark.parametrize(
    "origin, version",
    [
        (StreamOrigin("llm", "v1"), "v1"),
        (StreamOrigin("llm", "v2"), None),
        (None, None),
    ],
)
def test_unknown_stream_goes_on_at_the_version_that_the_store_tells(
    origin, version, in_contact
):
    questions = []

    class Stored:
        async def find(self, stream, service):
            questions.append(service)
            return origin

    async def scenario():
        host = Host(Fleet(1), "h1")
        list_one_version(host)
        host.registry._stored = Stored()
        host.planner.restarts.in_contact = in_contact
        flight = host.planner.admit(build_request(last_event_id=3), 0)
        flight.req.resumes = "unknown"
        refusal = await host.registry.prepare(flight)
        listed = host.planner.selection.list_usable(flight, 0)
        chosen = {server.version for server in listed}
        assert (refusal is None) == (origin is not None)
        if refusal is None:
            assert chosen == ({version} if version else set())
        assert questions == ["llm"]

    anyio.run(scenario)


def begin_flight():
    """Returns a host and a stream that has begun there at a server."""
    host = Host(Fleet(1), "h1")
    flight = host.planner.admit(build_request(), 0)
    step = host.planner.choose(flight, 0)
    host.planner.record_sent(flight, step.server, 0)
    host.registry.record_begun(flight)
    return host.planner, flight, step.server


def test_stream_moves_from_a_silent_server_to_one_of_its_version():
    planner, flight, server = begin_flight()
    move = planner.find_move(flight, 2_000)
    assert move.server.version == server.version
    assert move.server.id != server.id


# Guards against a server that has started again with another version, which
# a host without contact to the store can't know.
def test_cut_off_host_resumes_no_stream_at_a_server_that_failed():
    planner, flight, server = begin_flight()
    planner.record_attempt_end(flight)
    flight.answer_started = True
    others = [s for s in planner.selection.list_usable(flight, 0)]
    assert {s.version for s in others} == {server.version}
    for other in others:
        # Each takes another connection at once, so it has not restarted yet.
        planner.restarts.proofs.record_accepted(other.id, 0)
        planner.restarts.record_broken(other.id, 0)
    assert planner.selection.list_usable(flight, 0)
    planner.restarts.update_contact(0, 60_000)
    assert not planner.selection.list_usable(flight, 60_000)
    assert isinstance(planner.choose(flight, 5_000), Refuse)


def test_stream_whose_service_was_replaced_is_refused():
    async def scenario():
        host = Host(Fleet(1), "h1")
        versions = host.registry._versions
        flight = host.planner.admit(build_request(last_event_id=1), 0)
        origin = StreamOrigin("other", "v1")
        refusal = versions.resume(flight, origin)
        assert refusal.reason == "service-replaced"

    anyio.run(scenario)


@pytest.mark.parametrize("kind", list(StreamMessageKind))
def test_stream_messages_survive_their_encoding(kind):
    message = StreamMessage(2**63, kind, 7, StreamOrigin("llm", "v1.2"), 900)
    assert decode_stream_message(encode_stream_message(message)) == message


@pytest.mark.parametrize(
    "data", [b"", b"\x00", b"\xff" * 40, b"\x10\x02\x50\x02", bytes(2_000)]
)
def test_malformed_stream_messages_are_counted_and_change_nothing(data):
    async def scenario():
        host = Host(Fleet(1), "h1")
        host.registry.datagram_received(data, ("h2", 2))
        totals = list(host.planner.counters.read("invalid_messages"))
        assert [count for _, count in totals] == [1]

    anyio.run(scenario)
