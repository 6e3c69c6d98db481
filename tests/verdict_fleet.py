"""A fleet in virtual time that keeps verdicts in a store."""

from __future__ import annotations

import base64

from entry_builders import build_planner, build_request, build_route

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.flights import Flight
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.replica import Change, Page
from corianderdoor.core.entry.stored_verdicts import StoredVerdicts
from corianderdoor.entry.backends import ConnectionPool
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.entry.verdict_writer import VerdictWriter
from corianderdoor.platform.store import StoreError
from corianderdoor.platform.store_era import StoreEra
from corianderdoor.platform.verdict_records import (
    decode_verdicts,
    VERDICTS_KEY,
)
from corianderdoor.standins.platform_store import StoreState

STEP_MS = 500
NAMES = ["h0", "h1", "h2"]
KINDS = ["request", "part"]


def finish(coro):
    """Runs a coroutine that never waits."""
    try:
        coro.send(None)
    except StopIteration as exc:
        return exc.value
    raise AssertionError("it waits")


class Client:
    """A host's client of the store, which may refuse the host."""

    def __init__(self, fleet, era) -> None:
        self.fleet = fleet
        self.era = era
        self.refused = False
        self.calls: list[str] = []

    def call(self, name) -> None:
        self.calls.append(name)
        if self.refused or self.fleet.away:
            raise StoreError(name, "503", True)

    async def grant(self, ttl_ms):
        self.call("grant")
        return self.fleet.state.grant(ttl_ms)[1]["lease_id"]

    async def renew(self, lease):
        self.call("renew")
        return self.fleet.state.renew(lease)[0] == 200

    async def compare_and_set(self, expected, writes, may_send, lease_id):
        self.call("write")
        assert may_send()
        rows = [{"key": k, "revision": r} for k, r in expected.items()]
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "lease_id": lease_id,
            }
            for key, value in writes.items()
        ]
        change = {"expected_revision": rows, "write": items}
        status, _ = self.fleet.state.commit(change)
        if status == 404:
            raise StoreError("kv-txn", "404", False)
        return status == 200


class Host:
    """A host that has just started; its clock is its own."""

    def __init__(self, fleet, name, now_ms) -> None:
        self.name = name
        self.clock = ManualClock(now_ms, 7 * now_ms)
        self.planner = build_planner(servers=8, name=name)
        self.crashing = self.planner.crashing_requests
        self.peers = Peers(name)
        pool = ConnectionPool(self.clock, self.planner.counters)
        self.applier = StateApplier(self.planner, self.peers, pool, self.clock)
        self.client = Client(fleet, StoreEra(self.planner.counters))
        self.writer = VerdictWriter(
            self.client,
            self.planner,
            self.peers,
            self.applier.replica,
            self.clock,
        )

    @property
    def now_ms(self) -> int:
        return self.clock.now_ms()


class Fleet:
    """Hosts with clocks of their own, their store, and a caller."""

    def __init__(self, names=NAMES) -> None:
        self.clock = ManualClock()
        self.state = StoreState(self.clock)
        self.state.put("op/other", b"1")
        self.away = False
        self.names = names
        self.hosts: dict[str, Host] = {}
        self.sent = 0
        self.runs = 0
        # Hosts of the release before, which write no verdicts.
        self.former: list[str] = []
        self.start_all()

    def start_all(self) -> None:
        """Starts all hosts; those that ran were killed before."""
        self.hosts = {}
        for name in self.names:
            self.start(name)

    def start(self, name) -> Host:
        # Monotonic clocks begin anywhere.
        now_ms = 1_000_003 * (self.sent + len(self.hosts) + 1)
        host = self.hosts[name] = Host(self, name, now_ms)
        self.deliver(host)
        return host

    def deliver(self, host) -> None:
        """Brings the store's items to a host."""
        if self.away:
            return
        changes = tuple(
            Change(key, self.state.read_value(key), item["revision"])
            for key, item in self.state._items.items()
        )
        replica = host.applier.replica
        if (self.state.era, self.state.revision) > (
            replica.era,
            replica.revision,
        ):
            page = Page(changes, self.state.revision, True, self.state.era)
            host.applier.apply(page, "store", 0)
            host.client.era.observe(self.state.era)

    def step(self, delta_ms=STEP_MS) -> None:
        """Lets time pass; all hosts tell each other and the store."""
        while delta_ms > 0:
            passed_ms = min(STEP_MS, delta_ms)
            delta_ms -= passed_ms
            self.clock.advance(passed_ms)
            self.state.expire_leases()
            for host in self.hosts.values():
                host.clock.advance(passed_ms)
            self.share()
            for host in list(self.hosts.values()):
                self.tick(host)

    def tick(self, host) -> None:
        host.planner.tick(host.now_ms)
        host.planner.selection.process_pauses.record_tick(host.now_ms)
        host.planner.restarts.update_contact(host.now_ms, host.now_ms)
        for name in self.hosts:
            if name != host.name:
                host.peers.add_listed(name, ("x", 1), ("x", 2), "a", 0)
                host.peers.record_heartbeat(
                    Heartbeat(name, 1, 1, 0, False, ()), host.now_ms
                )
        self.deliver(host)
        if host.name not in self.former:
            finish(host.writer.write_due())
        self.deliver(host)

    def share(self) -> None:
        """Has every host receive what each has to report."""
        for host in self.hosts.values():
            attempts = host.crashing.take_updates(host.now_ms)
            reports = host.crashing.take_reports(self.names, host.now_ms)
            for other in self.hosts.values():
                if other is not host:
                    other.crashing.merge(attempts, other.now_ms)
                    for report in reports:
                        other.crashing.verdicts.merge(report, other.now_ms)

    def build_flight(self, kind) -> Flight:
        self.sent += 1
        own = "own" if kind == "request" else f"own{self.sent}"
        parts = [("own", 9)] if kind == "request" else [("p", 9), (own, 9)]
        req = build_request("/once/x", f"r{self.sent}", parts)
        req.body = own.encode()
        return Flight(req, build_route("/once/"), "llm", None, 0, 6_000)

    def send(self, kind, name) -> bool:
        """Sends a request that crashes its server, unless it is refused."""
        host = self.hosts[name]
        flight = self.build_flight(kind)
        if host.crashing.find_refusal(flight, self.names, host.now_ms):
            return False
        self.runs += 1
        server = f"s{self.runs}"
        host.crashing.record_interruption(flight, server, host.now_ms)
        host.crashing.confirm_crash(server, host.now_ms)
        return True

    def send_everywhere(self, kind) -> int:
        """Sends one request at each host; returns how many ran."""
        ran = 0
        for name in self.hosts:
            ran += self.send(kind, name)
            self.step(20)
        return ran

    def answer(self, kind, name) -> None:
        """Has a request that was under way answered at a host."""
        host = self.hosts[name]
        host.crashing.record_sound_answer(self.build_flight(kind), host.now_ms)

    def convict(self, kind) -> None:
        for number in range(3):
            assert self.send(kind, self.names[number % len(self.names)])
            self.step(1_500)
        assert self.send_everywhere(kind) == 0

    def stored(self) -> StoredVerdicts | None:
        value = self.state.read_value(VERDICTS_KEY)
        return None if value is None else decode_verdicts(value)

    def count_calls(self) -> int:
        return sum(len(h.client.calls) for h in self.hosts.values())

    def count_verdicts(self) -> list[int]:
        return [len(h.crashing.verdicts) for h in self.hosts.values()]
