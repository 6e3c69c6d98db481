"""Tests of limits and quarantine that several routers share."""

from builders import build_req, build_server

from corianderdoor.adapters.keyring import Keyring
import corianderdoor.adapters.peer_capnp  # noqa: F401 - its codecs
from corianderdoor.adapters.peer_codec import DatagramDecoder, DatagramEncoder
from corianderdoor.core.clock import ManualClock
from corianderdoor.core.errors import Kind
from corianderdoor.core.limits import Limits
from corianderdoor.core.quarantine import Quarantine
from corianderdoor.core.quota import Verdict
from corianderdoor.core.rules import Rule
from corianderdoor.daemons.policy_sharing import PolicySharing, RESEND_DELAY_MS

KEYS = Keyring(["a key of the fleet"])


class FakePeers:
    """Delivers messages through the real codec; drops them if `lossy`."""

    def __init__(self, name, net):
        self.name, self.net, self.handlers = name, net, {}
        self.encoder, self.decoder = DatagramEncoder(
            KEYS, name, 1
        ), DatagramDecoder(KEYS, name)
        net[name] = self
        self.lossy = False

    def listen(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, to, message):
        raw = self.encoder.encode(to, message).default_value(None)
        if not self.lossy:
            self.net[to].receive(raw)

    def receive(self, raw):
        sender, message = self.decoder.decode(raw).default_value(None)
        self.handlers[type(message)](sender, message)


class Node:
    """The parts of one router that share limits and quarantine."""

    def __init__(self, name, net, clock):
        self.peers = FakePeers(name, net)
        self.limits, self.quarantine = Limits(name), Quarantine()
        self.sharing = PolicySharing(
            name, self.limits, self.quarantine, self.peers, clock
        )


def build_nodes(count, clock):
    """Returns routers that know each other."""
    net, names = {}, tuple(f"r{number}" for number in range(count))
    nodes = [Node(name, net, clock) for name in names]
    for node in nodes:
        node.sharing.set_routers(names)
    return nodes


def crash(node, server, req_id, now_ms):
    """Records at `node` that the lethal request crashed `server`."""
    req = build_req(req_id, fingerprint=77, chat="lethal")
    node.quarantine.record_start(req, server, now_ms)
    node.quarantine.record_crash(req, server, now_ms)
    node.sharing.flush()
    return req


def test_crashes_at_two_routers_quarantine_the_request_at_a_third():
    clock = ManualClock()
    nodes = build_nodes(3, clock)
    crash(nodes[0], build_server("e1"), "a", 0)
    req = crash(nodes[1], build_server("e2"), "b", 0)
    refusal = nodes[2].quarantine.check(req, 0)
    assert refusal is not None and refusal.kind is Kind.QUARANTINED


def test_lost_crash_report_is_sent_again():
    clock = ManualClock()
    nodes = build_nodes(2, clock)
    nodes[0].peers.lossy = True
    crash(nodes[0], build_server("e1"), "a", 0)
    req = crash(nodes[0], build_server("e2"), "b", 0)
    assert nodes[1].quarantine.check(req, 0) is None
    nodes[0].peers.lossy = False
    clock.advance(RESEND_DELAY_MS)
    nodes[0].sharing.tick(clock.now_ms())
    assert nodes[1].quarantine.check(req, clock.now_ms()) is not None


def test_routers_share_the_concurrency_limit_of_a_workspace():
    clock = ManualClock()
    nodes = build_nodes(4, clock)
    rule = Rule(1)
    rule.pool, rule.concurrency = "redactor", 6
    admitted = 0
    for _ in range(400):
        clock.advance(10)
        for node in nodes:
            verdict = node.limits.admit("w", rule, clock.now_ms())
            admitted += verdict is Verdict.ADMITTED
            node.sharing.tick(clock.now_ms())
    assert admitted == 6
