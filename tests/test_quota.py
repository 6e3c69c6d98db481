"""Tests of workspace limits that apply across routers."""

import random

from builders import build_dispatcher, build_req, build_server
import pytest

from corianderdoor.core.errors import Kind
from corianderdoor.core.limits import Limits
from corianderdoor.core.messages import Arrived, Send, Wait, Waited
from corianderdoor.core.quota import PENDING_RETRY_MS, Quota, Verdict
from corianderdoor.core.quota_home import (
    BURST_MS,
    max_min_fair_level,
    QuotaHome,
)
from corianderdoor.core.quota_messages import QuotaAsk, WorkspaceLimit
from corianderdoor.core.rules import Rule

STEP_MS = 10


def build_rule(rate=None, concurrency=None):
    """Returns a rule with limits."""
    rule = Rule(1)
    rule.pool, rule.rate, rule.concurrency = "redactor", rate, concurrency
    return rule


class Network:
    """Routers and one home, with delayed and lost messages."""

    def __init__(self, routers, loss=0.0, seed=1):
        self.rng = random.Random(seed)
        self.quotas = [Quota() for _ in range(routers)]
        for quota in self.quotas:
            quota.set_routers(routers)
        self.home, self.loss, self.now, self.in_transit = (
            QuotaHome(),
            loss,
            0,
            [],
        )
        self.home.set_routers(routers)
        self.disconnected = set()
        self.messages = 0

    def send(self, number, deliver):
        """Sends a message that is delayed or lost."""
        self.messages += 1
        if number not in self.disconnected and self.rng.random() >= self.loss:
            at_ms = self.now + self.rng.randint(1, 40)
            self.in_transit.append((at_ms, self.messages, deliver))

    def step(self):
        """Advances the time and delivers the messages that are due."""
        self.now += STEP_MS
        due = sorted(item for item in self.in_transit if item[0] <= self.now)
        self.in_transit = [
            item for item in self.in_transit if item[0] > self.now
        ]
        for _, _, deliver in due:
            deliver()
        for number, quota in enumerate(self.quotas):
            quota.tick(self.now)
            for request in quota.take_outgoing():
                self.send(
                    number, lambda n=number, r=request: self.request(n, r)
                )

    def request(self, number, request):
        """Delivers a message to the home and sends its answer back."""
        grant = self.home.answer(f"r{number}", 1, request, self.now)
        if grant is not None:
            quota = self.quotas[number]
            self.send(number, lambda: quota.apply_grant(grant, self.now))


def run_rate(network, rule, weights, offered_per_s, seconds):
    """Sends requests by `weights` and returns how many were admitted."""
    admitted, waiting = 0, []
    for _ in range(seconds * 1_000 // STEP_MS):
        network.step()
        offers = [(number, True) for number in waiting]
        waiting = []
        if network.rng.random() < offered_per_s * STEP_MS / 1_000:
            new = network.rng.choices(range(len(weights)), weights)[0]
            offers.append((new, False))
        for number, waited in offers:
            quota = network.quotas[number]
            verdict = quota.admit("w", rule, network.now, waited)
            if verdict is Verdict.ADMITTED:
                admitted += 1
                quota.release("w", rule)
            elif verdict is Verdict.PENDING:
                waiting.append(number)
    return admitted


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize("routers", [1, 8, 60])
def test_rate_limit_holds_over_all_routers(routers, loss):
    network = Network(routers, loss)
    weights = [1 / (1 + number) for number in range(routers)]
    rate, seconds = 20, 20
    admitted = run_rate(network, build_rule(rate), weights, 80, seconds)
    assert admitted <= rate * (seconds + BURST_MS / 1_000)


def test_uneven_load_still_gets_most_of_the_rate():
    network = Network(8)
    weights = [93, 1, 1, 1, 1, 1, 1, 1]
    admitted = run_rate(network, build_rule(40), weights, 80, 20)
    assert admitted >= 40 * 20 * 0.75


def test_concurrency_limit_holds_over_all_routers():
    network, rule, held = Network(8, 0.1), build_rule(concurrency=10), []
    for _ in range(2_000):
        network.step()
        number = network.rng.randrange(8)
        quota = network.quotas[number]
        if quota.admit("w", rule, network.now) is Verdict.ADMITTED:
            held.append(number)
        if held and network.rng.random() < 0.4:
            network.quotas[held.pop(0)].release("w", rule)
        assert len(held) <= 10
    assert len(held) >= 5


def test_slots_of_a_crashed_router_are_granted_again():
    home, limit = QuotaHome(), WorkspaceLimit("w", "p", 0, 10)
    first = home.answer("r1", 1, QuotaAsk(limit, 1, 0, 10, 0, 0), 0)
    assert first.slots == 10
    request = QuotaAsk(limit, 1, 0, 10, 0, 0)
    assert home.answer("r2", 1, request, 10).slots == 0
    request = QuotaAsk(limit, 2, 0, 10, 0, 0)
    later_ms = first.hold_ms + 1
    assert home.answer("r2", 1, request, later_ms).slots == 10


def test_router_that_cannot_reach_the_home_uses_an_even_split():
    network, rule = Network(4), build_rule(rate=20)
    network.disconnected = {0}
    admitted = run_rate(network, rule, [1, 0, 0, 0], 50, 20)
    assert 20 / 4 * 10 <= admitted <= 20 / 4 * 21


def test_refusal_has_a_retry_delay():
    network, rule, verdict = Network(1), build_rule(rate=1), None
    for _ in range(100):
        network.step()
        verdict = network.quotas[0].admit("w", rule, network.now)
        if verdict not in (Verdict.ADMITTED, Verdict.PENDING):
            break
    assert verdict.kind is Kind.LIMITED
    assert verdict.retry_after_ms > 0
    assert PENDING_RETRY_MS < 29


def test_level_is_max_min_fair():
    assert max_min_fair_level([1, 2, 3], 10) == float("inf")
    assert max_min_fair_level([1, 8, 8], 9) == 4
    assert max_min_fair_level([5, 5], 4) == 2


def test_outdated_message_is_not_answered():
    home, limit = QuotaHome(), WorkspaceLimit("w", "p", 10, 0)
    assert home.answer("r1", 1, QuotaAsk(limit, 2, 0, 0, 1, 0), 0)
    assert home.answer("r1", 1, QuotaAsk(limit, 2, 0, 0, 1, 0), 1) is None
    assert home.answer("r1", 2, QuotaAsk(limit, 1, 0, 0, 1, 0), 2)
    assert home.answer("r1", 1, QuotaAsk(limit, 9, 0, 0, 1, 0), 3) is None


def test_idle_limits_are_evicted():
    network, rule = Network(2), build_rule(rate=5)
    run_rate(network, rule, [1, 1], 20, 2)
    for _ in range(8_000):
        network.step()
        network.home.tick(network.now)
    assert [quota.size for quota in network.quotas] == [0, 0]
    assert network.home.size == 0


def test_lone_router_is_its_own_home_and_never_waits():
    limits, rule = Limits("r1"), build_rule(rate=10, concurrency=3)
    verdicts = []
    for step in range(100):
        verdicts.append(limits.admit("w", rule, step * STEP_MS))
        if verdicts[-1] is Verdict.ADMITTED:
            limits.release("w", rule)
    assert limits.take_outbox() == []
    admitted = verdicts.count(Verdict.ADMITTED)
    assert 5 <= admitted <= 10 * (1 + BURST_MS / 1_000)


def test_request_at_its_limit_waits_and_is_then_refused_with_a_retry_delay():
    text = "path=/v1/chat -> redactor concurrency=1 # Rosa\n"
    core = build_dispatcher(build_server("e1"), text=text)
    first = core.handle(Arrived(build_req("a")), 0, 0)
    assert isinstance(first, Send)
    action, now = core.handle(Arrived(build_req("b")), 1, 1), 1
    while isinstance(action, Wait):
        now += action.delay_ms
        action = core.handle(Waited("b"), now, now)
    assert action.fault.kind is Kind.LIMITED
    assert action.fault.retry_after_ms > 0
    assert core.in_progress == 1
