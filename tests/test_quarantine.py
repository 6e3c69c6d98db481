"""Tests that requests which crash servers are refused, and no others."""

from builders import build_server
import pytest

from corianderdoor.core.errors import Kind
from corianderdoor.core.messages import Req
from corianderdoor.core.quarantine import Quarantine, WINDOW_MS

CRASHING = 666


def build_req(id, fingerprint=CRASHING, traits=()):
    """Returns a request with the given digests."""
    return Req(
        id, "w", "/v1/chat", "POST", fingerprint=fingerprint, traits=traits
    )


class FakeRouter:
    """Runs requests under one quarantine, with a clock that advances."""

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
        """Completes requests with an answer."""
        for id in ids:
            req, server = self.runs.pop(id)
            self.quarantine.record_success(req)
            self.quarantine.record_end(req, server)

    def crash(self, name):
        """Crashes a server and all requests that run on it."""
        self.now_ms += 10
        hit = [run for run in self.runs.values() if run[1].name == name]
        for req, server in hit:
            self.quarantine.record_crash(req, server, self.now_ms)
            self.quarantine.record_end(req, server)
            del self.runs[req.id]

    def refusal_kind(self, req):
        """Returns why `req` is refused, None if it may run."""
        fault = self.quarantine.check(req, self.now_ms)
        return fault and fault.kind


def crash_on(router, *servers, **fields):
    """Runs the crashing request alone on each of `servers`."""
    for number, server in enumerate(servers):
        router.start(build_req(f"k{router.now_ms}-{number}", **fields), server)
        router.crash(server)


def test_two_crashes_quarantine_a_request_until_they_expire():
    router = FakeRouter()
    crash_on(router, "e1")
    assert router.refusal_kind(build_req("again")) is None
    crash_on(router, "e2")
    assert router.refusal_kind(build_req("again")) is Kind.QUARANTINED
    assert router.refusal_kind(build_req("other", 1)) is None
    router.now_ms += WINDOW_MS + 20
    assert router.refusal_kind(build_req("again")) is None


def test_one_crash_under_two_identical_requests_counts_once():
    router = FakeRouter()
    router.start(build_req("a"), "e1")
    router.start(build_req("b"), "e1")
    router.crash("e1")
    assert router.refusal_kind(build_req("again")) is None


def test_two_crashes_of_one_restarted_server_count_twice():
    router = FakeRouter()
    crash_on(router, "e1", "e1")
    assert router.refusal_kind(build_req("again")) is Kind.QUARANTINED


def test_successful_request_beside_crashing_ones_is_not_refused():
    router = FakeRouter()
    for number in range(3):
        router.start(build_req(f"ok{number}", 7), "e9")
        router.finish(f"ok{number}")
    for number in range(3):
        server = f"e{number}"
        router.start(build_req(f"p{number}", 7), server)
        router.start(build_req(f"x{number}", 100 + number), server)
        router.crash(server)
        assert router.refusal_kind(build_req("next", 7)) is None
    crash_on(router, "e7", "e8", fingerprint=7)
    assert router.refusal_kind(build_req("next", 7)) is None


def test_crash_counts_only_against_an_earlier_suspect():
    router = FakeRouter()
    crash_on(router, "e1")
    router.start(build_req("k"), "e2")
    router.start(build_req("by", 7), "e2")
    router.crash("e2")
    router.start(build_req("x", 8), "e3")
    router.start(build_req("by2", 7), "e3")
    router.crash("e3")
    router.start(build_req("x2", 8), "e4")
    assert router.quarantine.avoided(build_req("by3", 7), router.now_ms) == {
        "e4"
    }
    assert router.refusal_kind(build_req("by3", 7)) is None
    assert len(router.quarantine._suspects[7].crashes) == 1


def test_reports_leave_out_a_request_with_complete_answers():
    here, there = FakeRouter(), FakeRouter()
    router = here
    router.start(build_req("ok", 7), "e9")
    router.finish("ok")
    for server in ("e1", "e2", "e3"):
        router.start(build_req(f"p-{server}", 7), server)
        router.start(build_req(f"k-{server}"), server)
        router.crash(server)
    for report in here.quarantine.reports(here.now_ms):
        there.quarantine.merge(report, there.now_ms)
    assert there.refusal_kind(build_req("next", 7)) is None
    assert there.refusal_kind(build_req("again")) is Kind.QUARANTINED


def test_complete_answer_after_a_crash_clears_a_request():
    router = FakeRouter()
    router.start(build_req("k"), "e1")
    router.start(build_req("by", 7), "e1")
    router.crash("e1")
    router.start(build_req("by2", 7), "e2")
    router.finish("by2")
    router.start(build_req("k2"), "e3")
    router.start(build_req("by3", 7), "e3")
    router.crash("e3")
    assert router.refusal_kind(build_req("again")) is Kind.QUARANTINED
    assert router.refusal_kind(build_req("again", 7)) is None


def test_suspect_avoids_other_suspects_and_its_own_duplicates():
    router = FakeRouter()
    router.start(build_req("k"), "e1")
    router.start(build_req("by", 7), "e1")
    router.crash("e1")
    router.start(build_req("k2"), "e2")
    bystander = build_req("by2", 7)
    assert router.quarantine.avoided(bystander, router.now_ms) == {"e2"}
    assert router.quarantine.avoided(build_req("c", 8), router.now_ms) == set()
    assert router.refusal_kind(build_req("k3")) is Kind.LIMITED
    assert router.refusal_kind(build_req("k2")) is None


def test_crash_under_two_suspects_does_not_identify_the_cause():
    router = FakeRouter()
    for server in ("e1", "e2"):
        router.start(build_req(f"k-{server}"), server)
        router.start(build_req(f"by-{server}", 7), server)
        router.crash(server)
    assert router.refusal_kind(build_req("by", 7)) is None
    crash_on(router, "e3")
    assert router.refusal_kind(build_req("again")) is Kind.QUARANTINED
    assert router.refusal_kind(build_req("by", 7)) is None


@pytest.mark.parametrize("traits", [(1,), (2, 3)])
def test_near_duplicates_are_quarantined_by_shared_traits(traits):
    router = FakeRouter()
    for number in range(3):
        req = build_req(f"k{number}", 50 + number, traits)
        assert router.refusal_kind(req) is None
        router.start(req, f"e{number}")
        router.crash(f"e{number}")
    copy = build_req("k9", 99, traits[-1:])
    assert router.refusal_kind(copy) is Kind.QUARANTINED


def test_trait_of_successful_requests_is_not_quarantined():
    router = FakeRouter()
    for number in range(4):
        crash_on(router, f"e{number}", fingerprint=50 + number, traits=(1,))
        router.start(build_req(f"ok{number}", 80 + number, (1,)), "e9")
        router.finish(f"ok{number}")
    assert router.refusal_kind(build_req("next", 99, (1,))) is None


def test_reports_of_two_routers_add_up_and_count_once():
    here, there = FakeRouter(), FakeRouter()
    crash_on(here, "e1")
    crash_on(there, "e2")
    for _ in range(2):
        for report in there.quarantine.reports(there.now_ms):
            here.quarantine.merge(report, here.now_ms)
    assert here.refusal_kind(build_req("again")) is Kind.QUARANTINED
    for report in here.quarantine.reports(here.now_ms):
        there.quarantine.merge(report, there.now_ms)
    assert there.refusal_kind(build_req("again")) is Kind.QUARANTINED


def test_the_same_crash_seen_by_two_routers_counts_once():
    here, there = FakeRouter(), FakeRouter()
    crash_on(here, "e1")
    crash_on(there, "e1")
    for report in there.quarantine.reports(there.now_ms):
        here.quarantine.merge(report, here.now_ms)
    assert here.refusal_kind(build_req("again")) is None


def test_state_stays_bounded():
    router = FakeRouter()
    for number in range(6_000):
        router.start(build_req(f"k{number}", number + 1, (-number,)), "e1")
        router.crash("e1")
    assert len(router.quarantine._suspects) <= 4_096
    router.quarantine.tick(router.now_ms + WINDOW_MS + 1)
    assert len(router.quarantine._suspects) == 0
