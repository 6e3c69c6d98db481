"""Requests that crash servers are stopped; their neighbours are not."""

from builders import build_server
import pytest

from corianderdoor.core.errors import Kind
from corianderdoor.core.messages import Req
from corianderdoor.core.quarantine import Quarantine, WINDOW_MS

LETHAL = 666


def build_req(id, fingerprint=LETHAL, traits=()):
    """Returns a request known by its digests."""
    return Req(
        id, "w", "/v1/chat", "POST", fingerprint=fingerprint, traits=traits
    )


class Site:
    """Servers under a quarantine, with a clock that moves by itself."""

    def __init__(self, quarantine=None):
        self.quarantine = quarantine or Quarantine()
        self.now_ms = 0
        self.runs = {}

    def start(self, req, server):
        """Starts `req` on the server named `server`."""
        self.now_ms += 10
        target = build_server(server)
        self.runs[req.id] = (req, target)
        self.quarantine.record_start(req, target, self.now_ms)

    def finish(self, *ids):
        """Gives whole answers."""
        for id in ids:
            req, server = self.runs.pop(id)
            self.quarantine.record_success(req)
            self.quarantine.record_end(req, server)

    def crash(self, name):
        """Crashes a server under all that runs there."""
        self.now_ms += 10
        hit = [run for run in self.runs.values() if run[1].name == name]
        for req, server in hit:
            self.quarantine.record_crash(req, server, self.now_ms)
            self.quarantine.record_end(req, server)
            del self.runs[req.id]

    def kind(self, req):
        """Returns why `req` is refused, None if it may run."""
        fault = self.quarantine.check(req, self.now_ms)
        return fault and fault.kind


def crash_on(site, *servers, **fields):
    """Runs the lethal request alone on each of `servers`."""
    for number, server in enumerate(servers):
        site.start(build_req(f"k{site.now_ms}-{number}", **fields), server)
        site.crash(server)


def test_two_servers_stop_a_lethal_request_until_it_expires():
    site = Site()
    crash_on(site, "e1")
    assert site.kind(build_req("again")) is None
    crash_on(site, "e2")
    assert site.kind(build_req("again")) is Kind.QUARANTINED
    assert site.kind(build_req("other", 1)) is None
    site.now_ms += WINDOW_MS + 20
    assert site.kind(build_req("again")) is None


def test_one_crash_of_many_requests_counts_once():
    site = Site()
    site.start(build_req("a"), "e1")
    site.start(build_req("b"), "e1")
    site.crash("e1")
    assert site.kind(build_req("again")) is None


def test_two_crashes_of_one_restarted_server_count_twice():
    site = Site()
    crash_on(site, "e1", "e1")
    assert site.kind(build_req("again")) is Kind.QUARANTINED


def test_popular_request_beside_other_crashes_stays_free():
    site = Site()
    for number in range(3):
        site.start(build_req(f"ok{number}", 7), "e9")
        site.finish(f"ok{number}")
    for number in range(3):
        server = f"e{number}"
        site.start(build_req(f"p{number}", 7), server)
        site.start(build_req(f"x{number}", 100 + number), server)
        site.crash(server)
        assert site.kind(build_req("next", 7)) is None
    crash_on(site, "e7", "e8", fingerprint=7)
    assert site.kind(build_req("next", 7)) is None


def test_neighbour_of_a_known_suspect_is_not_accused():
    site = Site()
    crash_on(site, "e1")
    site.start(build_req("k"), "e2")
    site.start(build_req("by", 7), "e2")
    site.crash("e2")
    site.start(build_req("x", 8), "e3")
    site.start(build_req("by2", 7), "e3")
    site.crash("e3")
    site.start(build_req("x2", 8), "e4")
    assert site.quarantine.avoided(build_req("by3", 7), site.now_ms) == {"e4"}
    assert site.kind(build_req("by3", 7)) is None
    assert len(site.quarantine._suspects[7].crashes) == 1


def test_peers_are_told_nothing_of_a_request_with_whole_answers():
    here, there = Site(), Site()
    site = here
    site.start(build_req("ok", 7), "e9")
    site.finish("ok")
    for server in ("e1", "e2", "e3"):
        site.start(build_req(f"p-{server}", 7), server)
        site.start(build_req(f"k-{server}"), server)
        site.crash(server)
    for report in here.quarantine.reports(here.now_ms):
        there.quarantine.merge(report, there.now_ms)
    assert there.kind(build_req("next", 7)) is None
    assert there.kind(build_req("again")) is Kind.QUARANTINED


def test_whole_answer_after_a_crash_clears_a_bystander():
    site = Site()
    site.start(build_req("k"), "e1")
    site.start(build_req("by", 7), "e1")
    site.crash("e1")
    site.start(build_req("by2", 7), "e2")
    site.finish("by2")
    site.start(build_req("k2"), "e3")
    site.start(build_req("by3", 7), "e3")
    site.crash("e3")
    assert site.kind(build_req("again")) is Kind.QUARANTINED
    assert site.kind(build_req("again", 7)) is None


def test_suspect_keeps_away_from_other_suspects_and_from_its_copies():
    site = Site()
    site.start(build_req("k"), "e1")
    site.start(build_req("by", 7), "e1")
    site.crash("e1")
    site.start(build_req("k2"), "e2")
    bystander = build_req("by2", 7)
    assert site.quarantine.avoided(bystander, site.now_ms) == {"e2"}
    assert site.quarantine.avoided(build_req("c", 8), site.now_ms) == set()
    assert site.kind(build_req("k3")) is Kind.LIMITED
    assert site.kind(build_req("k2")) is None


def test_two_suspects_at_one_crash_are_not_told_apart_by_it():
    site = Site()
    for server in ("e1", "e2"):
        site.start(build_req(f"k-{server}"), server)
        site.start(build_req(f"by-{server}", 7), server)
        site.crash(server)
    assert site.kind(build_req("by", 7)) is None
    crash_on(site, "e3")
    assert site.kind(build_req("again")) is Kind.QUARANTINED
    assert site.kind(build_req("by", 7)) is None


@pytest.mark.parametrize("traits", [(1,), (2, 3)])
def test_changed_copies_are_stopped_by_what_they_share(traits):
    site = Site()
    for number in range(3):
        req = build_req(f"k{number}", 50 + number, traits)
        assert site.kind(req) is None
        site.start(req, f"e{number}")
        site.crash(f"e{number}")
    copy = build_req("k9", 99, traits[-1:])
    assert site.kind(copy) is Kind.QUARANTINED


def test_shared_beginning_of_healthy_requests_stays_free():
    site = Site()
    for number in range(4):
        crash_on(site, f"e{number}", fingerprint=50 + number, traits=(1,))
        site.start(build_req(f"ok{number}", 80 + number, (1,)), "e9")
        site.finish(f"ok{number}")
    assert site.kind(build_req("next", 99, (1,))) is None


def test_evidence_of_two_routers_adds_up_and_counts_once():
    here, there = Site(), Site()
    crash_on(here, "e1")
    crash_on(there, "e2")
    for _ in range(2):
        for report in there.quarantine.reports(there.now_ms):
            here.quarantine.merge(report, here.now_ms)
    assert here.kind(build_req("again")) is Kind.QUARANTINED
    for report in here.quarantine.reports(here.now_ms):
        there.quarantine.merge(report, there.now_ms)
    assert there.kind(build_req("again")) is Kind.QUARANTINED


def test_the_same_crash_seen_by_two_routers_is_one():
    here, there = Site(), Site()
    crash_on(here, "e1")
    crash_on(there, "e1")
    for report in there.quarantine.reports(there.now_ms):
        here.quarantine.merge(report, here.now_ms)
    assert here.kind(build_req("again")) is None


def test_state_stays_bounded():
    site = Site()
    for number in range(6_000):
        site.start(build_req(f"k{number}", number + 1, (-number,)), "e1")
        site.crash("e1")
    assert len(site.quarantine._suspects) <= 4_096
    site.quarantine.tick(site.now_ms + WINDOW_MS + 1)
    assert len(site.quarantine._suspects) == 0
