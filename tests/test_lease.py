"""Tests of leader election by lease, with single and paired faults."""

import random

from expression import Error, Ok
import pytest

from corianderdoor.core.errors import Fault, Kind, Outcome
from corianderdoor.core.lease import LeaseKeeper, LeaseTimes, Phase
from corianderdoor.core.lease_messages import (
    decode_leader,
    GrantLease,
    LeaderRead,
    LeaderWritten,
    LeaseGranted,
    LeaseRenewed,
    ReadLeader,
    RenewLease,
    Resign,
    Tick,
    WriteLeader,
)

TIMES = LeaseTimes(ttl_ms=9_000, margin_ms=1_000, renew_ms=3_000, poll_ms=500)
UNKNOWN = Error(
    Fault(Kind.STORE_FAILED, "store", "lost", outcome=Outcome.UNKNOWN)
)
CONFLICT = Error(Fault(Kind.CONFLICT, "store-write", "beaten"))
LOST = Error(Fault(Kind.LEASE_LOST, "renew-lease", "ended"))


class Service:
    """Fake of the key-value service that can lose answers."""

    def __init__(self):
        self.record = None
        self.leases = {}
        self.version = 0
        self.down = False
        self.lose = 0
        self.calls = 0

    def answer(self, action, now_ms):
        """Runs one call at `now_ms` and returns the event."""
        self.calls += 1
        event, result = {
            ReadLeader: (LeaderRead, self._read),
            GrantLease: (LeaseGranted, self._grant),
            WriteLeader: (LeaderWritten, self._write),
            RenewLease: (LeaseRenewed, self._renew),
        }[type(action)]
        self.leases = {k: v for k, v in self.leases.items() if v[1] > now_ms}
        if self.record and self.record[1] not in ("", *self.leases):
            self.record = None
        if self.down:
            return event(action.call, UNKNOWN)
        outcome = result(action, now_ms)
        if self.lose:
            self.lose -= 1
            outcome = UNKNOWN
        return event(action.call, outcome)

    def _read(self, action, now_ms):
        if self.record is None:
            return Ok(None)
        return Ok(decode_leader(self.record[0], self.record[2]))

    def _grant(self, action, now_ms):
        lease = f"lease-{len(self.leases)}-{now_ms}"
        self.leases[lease] = (action.ttl_ms, now_ms + action.ttl_ms)
        return Ok(lease)

    def _write(self, action, now_ms):
        if (self.record[2] if self.record else 0) != action.version:
            return CONFLICT
        self.version += 1
        self.record = (action.value, action.lease, self.version)
        return Ok(self.version)

    def _renew(self, action, now_ms):
        if action.lease not in self.leases:
            return LOST
        ttl_ms, _ = self.leases[action.lease]
        self.leases[action.lease] = (ttl_ms, now_ms + ttl_ms)
        return Ok(None)


def build_keeper(name="c1", controllers=1, seed=1):
    keeper = LeaseKeeper(name, TIMES, random.Random(seed), 0)
    keeper.set_controllers(controllers, 0)
    return keeper


def step(keeper, service, now_ms, event=None):
    """Handles one event and executes the calls that follow from it."""
    pending = list(keeper.handle(event or Tick(), now_ms))
    while pending:
        answer = service.answer(pending.pop(), now_ms)
        pending += keeper.handle(answer, now_ms)


def run(keepers, service, start_ms, end_ms):
    """Ticks all keepers; checks that no two may send orders at once."""
    fences = []
    for now_ms in range(start_ms, end_ms, 100):
        for keeper in keepers:
            step(keeper, service, now_ms)
        leading = [k for k in keepers if k.fence(now_ms) is not None]
        assert len(leading) <= 1
        fences += [k.fence(now_ms) for k in leading]
    assert fences == sorted(fences)
    return fences


def test_one_of_several_leads_and_keeps_leading():
    keepers = [build_keeper(f"c{n}", 3, seed=n) for n in range(3)]
    fences = run(keepers, Service(), 0, 60_000)
    assert len(set(fences)) == 1
    assert len(fences) > 550


def test_fencing_token_grows_with_every_leader():
    service = Service()
    first, second = build_keeper("c1"), build_keeper("c2")
    run([first], service, 0, 5_000)
    before = first.fence(4_900)
    fences = run([second], service, 5_000, 30_000)
    assert fences[-1] > before


def test_paused_holder_has_no_fencing_token_after_its_lease():
    service = Service()
    keeper, other = build_keeper("c1"), build_keeper("c2")
    run([keeper], service, 0, 2_000)
    assert keeper.fence(2_000) is not None
    run([other], service, 2_000, 20_000)
    assert other.phase is Phase.LEADING
    # The paused holder got no event: only the clock ends its lease.
    assert keeper.phase is Phase.LEADING
    assert keeper.fence(20_000) is None


def test_lease_is_counted_from_before_the_call_was_sent():
    keeper = build_keeper()
    (read,) = keeper.handle(Tick(), 0)
    (grant,) = keeper.handle(LeaderRead(read.call, Ok(None)), 0)
    (write,) = keeper.handle(LeaseGranted(grant.call, Ok("l1")), 7_000)
    keeper.handle(LeaderWritten(write.call, Ok(1)), 7_500)
    assert keeper.fence(7_999) == 1
    assert keeper.fence(8_000) is None


def test_order_that_would_outlast_the_lease_is_not_given():
    service, keeper = Service(), build_keeper()
    step(keeper, service, 0)
    assert keeper.fence(5_999, needed_ms=2_000) == 1
    assert keeper.fence(6_000, needed_ms=2_000) is None


@pytest.mark.parametrize("nth", [1, 2, 3, 4])
def test_any_single_lost_answer_still_elects_one_leader(nth):
    service = Service()
    keepers = [build_keeper("c1"), build_keeper("c2", seed=9)]
    pending = list(keepers[0].handle(Tick(), 0))
    count = 0
    while pending:
        count += 1
        service.lose = int(count == nth)
        pending += keepers[0].handle(service.answer(pending.pop(), 0), 0)
    fences = run(keepers, service, 100, 60_000)
    assert len(set(fences)) == 1


def test_lost_answer_of_the_claim_is_found_by_reading():
    service, keeper = Service(), build_keeper()
    (read,) = keeper.handle(Tick(), 0)
    (grant,) = keeper.handle(service.answer(read, 0), 0)
    (write,) = keeper.handle(service.answer(grant, 0), 0)
    service.lose = 1
    (again,) = keeper.handle(service.answer(write, 0), 10)
    assert isinstance(again, ReadLeader)
    assert keeper.fence(10) is None
    keeper.handle(service.answer(again, 10), 10)
    assert keeper.fence(10) == service.version


def test_renewal_without_an_answer_does_not_extend_the_lease():
    service, keeper = Service(), build_keeper()
    step(keeper, service, 0)
    service.lose = 100
    for now_ms in range(1_000, 9_000, 100):
        step(keeper, service, now_ms)
        assert (keeper.fence(now_ms) is not None) is (now_ms < 8_000)


def test_outage_of_an_hour_stops_orders_and_then_one_leads_again():
    service = Service()
    keepers = [build_keeper("c1", 2), build_keeper("c2", 2, seed=2)]
    run(keepers, service, 0, 10_000)
    service.down = True
    outage_fences = run(keepers, service, 10_000, 3_610_000)
    assert len(outage_fences) <= TIMES.ttl_ms // 100
    service.down = False
    assert run(keepers, service, 3_610_000, 3_630_000)


def test_paused_leader_and_lost_claim_of_its_successor():
    service = Service()
    paused, other = build_keeper("c1"), build_keeper("c2", seed=3)
    run([paused], service, 0, 2_000)
    for now_ms in range(2_000, 30_000, 100):
        service.lose = int(service.record is None and now_ms < 13_000)
        step(other, service, now_ms)
        if other.fence(now_ms) is not None:
            assert paused.fence(now_ms) is None
    run([paused, other], service, 30_000, 60_000)


def test_answers_to_an_earlier_call_are_ignored():
    service, keeper = Service(), build_keeper()
    step(keeper, service, 0)
    (renew,) = keeper.handle(Tick(), 3_000)
    keeper.handle(LeaseRenewed(renew.call - 1, Ok(None)), 3_000)
    keeper.handle(LeaseRenewed(renew.call, UNKNOWN), 3_000)
    assert keeper.fence(8_000) is None


def test_next_leader_follows_a_resignation_at_once():
    service = Service()
    first, second = build_keeper("c1"), build_keeper("c2", seed=2)
    run([first], service, 0, 3_000)
    step(first, service, 3_000, Resign())
    assert first.fence(3_000) is None
    fences = run([second], service, 3_100, 5_000)
    assert fences and fences[0] > 1


def test_calls_do_not_grow_with_the_number_of_controllers():
    counts = []
    for number in (3, 60):
        service = Service()
        keepers = [build_keeper(f"c{n}", number, n) for n in range(number)]
        run(keepers, service, 0, 120_000)
        counts.append(service.calls)
    assert counts[1] < 2 * counts[0]


def test_lost_claim_and_lost_read_are_retried_within_the_lease():
    service, keeper = Service(), build_keeper("c1", controllers=300)
    keeper.handle(Tick(), 0)
    service.lose = 0
    first = keeper.next_ms
    (read,) = keeper.handle(Tick(), first)
    (grant,) = keeper.handle(service.answer(read, first), first)
    (write,) = keeper.handle(service.answer(grant, first), first)
    service.lose = 2
    step(keeper, service, first, service.answer(write, first))
    step(keeper, service, first + 1_000)
    assert keeper.fence(first + 1_000) == service.version


def test_lost_answer_to_a_conflicting_claim_gives_no_leadership():
    service, keeper = Service(), build_keeper("c1")
    (read,) = keeper.handle(Tick(), 0)
    (grant,) = keeper.handle(service.answer(read, 0), 0)
    (write,) = keeper.handle(service.answer(grant, 0), 0)
    run([build_keeper("c2")], service, 0, 100)
    service.lose = 1
    step(keeper, service, 100, service.answer(write, 100))
    assert keeper.fence(100) is None
