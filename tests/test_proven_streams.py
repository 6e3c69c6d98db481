"""Streams that begin at unproven servers, and get their versions later."""

from __future__ import annotations

import anyio
from entry_builders import build_request
import pytest
from test_entry_stream_copies import Fleet

from corianderdoor.core.entry.flights import Send
from corianderdoor.core.entry.restart_signs import BUFFERED_MS, TOLD_MS
from corianderdoor.core.entry.stream_versions import UNPROVEN
from corianderdoor.core.entry.suspected_restarts import RETURN_MS

HOSTS = 5
STEP_MS = 100


class Outage:
    """A fleet in which streams begin at servers that broke connections."""

    def __init__(self) -> None:
        self.fleet = Fleet(HOSTS)
        self.in_contact = True
        self.wait(STEP_MS)

    def wait(self, ms: int) -> None:
        """Lets time pass."""
        for _ in range(0, ms, STEP_MS):
            self.fleet.clock.advance(STEP_MS)
            now_ms = self.fleet.clock.now_ms()
            for host in self.fleet.hosts.values():
                contact_ms = now_ms if self.in_contact else 0
                host.planner.restarts.update_contact(contact_ms, now_ms)
                host.registry.tick(now_ms)

    def begin(self, id="s", sign="broken"):
        """Begins a stream at a server with a sign; returns the request."""
        now_ms = self.fleet.clock.now_ms()
        host = self.fleet.hosts["h0"]
        req = build_request(id=id, deadline_ms=40_000)
        flight = host.planner.admit(req, now_ms)
        step = host.planner.choose(flight, now_ms)
        restarts = host.planner.restarts
        if sign == "broken":
            restarts.record_broken(step.server.id, now_ms)
        elif sign == "paused":
            restarts.record_pause(now_ms)
        self.fleet.clock.advance(BUFFERED_MS)
        now_ms = self.fleet.clock.now_ms()
        host.planner.record_sent(flight, step.server, now_ms)
        restarts.record_answer(step.server.id, now_ms)
        host.registry.record_begun(flight)
        assert (flight.version == UNPROVEN) == (sign != "none")
        return flight

    async def resume_everywhere(self, id="s"):
        """Returns the versions at which a stream goes on, by host."""
        found = {}
        for name, host in self.fleet.hosts.items():
            now_ms = self.fleet.clock.now_ms()
            req = build_request(id=f"again-{name}", last_event_id=3)
            req.resumes = id
            flight = host.planner.admit(req, now_ms)
            assert await host.registry.prepare(flight) is None
            step = host.planner.choose(flight, now_ms)
            is_sent = isinstance(step, Send)
            found[name] = step.server.version if is_sent else None
        return found


def list_again(outage, server, **changes):
    """Lists a server as its next entry describes it, at all hosts."""
    for host in outage.fleet.hosts.values():
        host.put_server(server.version, server.id, **changes)


# Guards against LOST: a stream that began at an unproven server could not be
# taken up for as long as it lasted.
@pytest.mark.parametrize("sign", ["broken", "paused"])
def test_stream_goes_on_everywhere_once_its_server_has_run_on(sign):
    async def scenario():
        outage = Outage()
        flight = outage.begin(sign=sign)
        assert set((await outage.resume_everywhere()).values()) == {None}
        outage.wait(TOLD_MS + RETURN_MS + STEP_MS)
        assert flight.version == flight.server.version
        found = await outage.resume_everywhere()
        assert set(found.values()) == {flight.server.version}

    anyio.run(scenario)


def test_stream_of_an_outage_of_the_store_goes_on_after_it():
    async def scenario():
        outage = Outage()
        outage.in_contact = False
        outage.wait(10_000)
        flight = outage.begin()
        outage.wait(10_000)
        assert flight.version == UNPROVEN
        outage.in_contact = True
        outage.wait(RETURN_MS + TOLD_MS)
        assert flight.version == UNPROVEN
        outage.wait(2 * STEP_MS)
        found = await outage.resume_everywhere()
        assert set(found.values()) == {flight.server.version}

    anyio.run(scenario)


# Guards against ORDER: the stream began at the next process of the server.
@pytest.mark.parametrize("in_contact", [True, False])
def test_stream_of_a_server_that_restarted_goes_on_nowhere(in_contact):
    async def scenario():
        outage = Outage()
        outage.in_contact = in_contact
        flight = outage.begin()
        outage.wait(800)
        outage.in_contact = True
        list_again(outage, flight.server, started_ms=2)
        outage.wait(20_000)
        assert flight.version == UNPROVEN
        assert set((await outage.resume_everywhere()).values()) == {None}

    anyio.run(scenario)


# Guards against ORDER: a sign since is of the process that began the stream,
# or of the one after it.
def test_stream_waits_while_its_server_fails_again():
    async def scenario():
        outage = Outage()
        flight = outage.begin()
        restarts = outage.fleet.hosts["h0"].planner.restarts
        for _ in range(5):
            outage.wait(1_000)
            restarts.record_broken(
                flight.server.id, outage.fleet.clock.now_ms()
            )
            outage.wait(500)
            assert flight.version == UNPROVEN

    anyio.run(scenario)


# Guards against a proof from before the stream: a contact that is older than
# its first event shows no process that began since.
def test_contact_before_the_stream_proves_nothing():
    async def scenario():
        outage = Outage()
        flight = outage.begin(sign="paused")
        now_ms = outage.fleet.clock.now_ms()
        restarts = outage.fleet.hosts["h0"].planner.restarts
        restarts.update_contact(now_ms + TOLD_MS - 1, now_ms + TOLD_MS - 1)
        assert not restarts.has_run_since(flight.server.id, now_ms)
        restarts.update_contact(now_ms + TOLD_MS, now_ms + TOLD_MS)
        assert restarts.has_run_since(flight.server.id, now_ms)

    anyio.run(scenario)


def test_datagram_that_comes_late_takes_no_version_back():
    async def scenario():
        outage = Outage()
        sent = []
        outage.fleet.pass_on, pass_on = (
            lambda *message: sent.append(message),
            outage.fleet.pass_on,
        )
        flight = outage.begin()
        outage.wait(TOLD_MS + RETURN_MS + STEP_MS)
        outage.fleet.pass_on = pass_on
        for message in reversed(sent):
            pass_on(*message)
        found = await outage.resume_everywhere()
        assert set(found.values()) == {flight.server.version}

    anyio.run(scenario)
