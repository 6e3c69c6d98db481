"""Tests of the soak's plan, its checks and its proxy."""

from __future__ import annotations

import asyncio

import anyio
import pytest

from corianderdoor.soak.checks import find_violations, Limits
from corianderdoor.soak.ledger import Arrival, Attempt, Ledger, Span
from corianderdoor.soak.plan import draw_plan, draw_theme, PLANNED
from corianderdoor.soak.proxy import Proxy

LIMITS = Limits(3_000, 3, 2, 0.2, 1, 18.5)
SENT_MS = 20_000
STREAM = b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))


def served(ledger: Ledger, kind: str, id: str = "r") -> Attempt:
    """Adds a request that was served correctly and returns it."""
    attempt = Attempt(id, kind, "h", SENT_MS, True)
    attempt.ended_ms = SENT_MS + 100
    attempt.status = 200
    attempt.headers = {b"response-signature": b"sig." + id.encode()}
    stream = kind in ("chat", "draft")
    attempt.body = STREAM if stream else b"done " + id.encode()
    attempt.complete = True
    ledger.attempts[id] = attempt
    ledger.arrivals.append(arrival(kind, id))
    return attempt


def arrival(kind: str, id: str = "r", **changes) -> Arrival:
    fields = {
        "at_ms": SENT_MS + 10,
        "worker": "w",
        "engine": kind in ("chat", "draft"),
        "id": id,
        "path": f"/{kind}/x".encode(),
        "body": id.encode(),
        "workspace": b"acme",
        "has_caller_key": False,
        "ran": True,
        "cold": False,
        **changes,
    }
    return Arrival(**fields)


def find_broken_checks(ledger: Ledger) -> set[str]:
    """Returns the names of the checks that a run fails."""
    return {item.check for item in find_violations(ledger, LIMITS)}


@pytest.mark.parametrize("kind", ["chat", "draft", "pay", "read"])
def test_correctly_served_request_fails_no_check(kind):
    ledger = Ledger()
    served(ledger, kind)
    assert find_broken_checks(ledger) == set()


def test_equal_seeds_draw_equal_plans():
    assert draw_plan(7, 16_000) == draw_plan(7, 16_000)
    assert draw_plan(7, 16_000) != draw_plan(10, 16_000)


def test_planned_theme_contains_only_operations():
    assert draw_theme(3) == "planned"
    assert {step.kind for step in draw_plan(3, 60_000)} <= set(PLANNED)


def test_payment_that_ran_twice_is_found():
    ledger = Ledger()
    served(ledger, "pay")
    ledger.arrivals.append(arrival("pay", worker="v"))
    assert "twice" in find_broken_checks(ledger)


def test_refusal_of_a_payment_that_ran_is_found():
    ledger = Ledger()
    served(ledger, "pay").status = 503
    assert "refused" in find_broken_checks(ledger)


def test_answer_of_another_request_is_found():
    ledger = Ledger()
    served(ledger, "read").body = b"done other"
    assert find_broken_checks(ledger) == {"mixed"}


@pytest.mark.parametrize("kept", [(1, 3), (1, 2), (1, 2, 2, 3)])
def test_stream_with_a_gap_an_early_end_or_a_doubled_event_is_found(kept):
    ledger = Ledger()
    body = b"".join(b"id: %d\ndata: x\n\n" % number for number in kept)
    served(ledger, "chat").body = body
    assert find_broken_checks(ledger) == {"order"}


def test_answer_cut_without_any_fault_is_found():
    ledger = Ledger()
    served(ledger, "chat").complete = False
    assert find_broken_checks(ledger) == {"lost"}


def test_cut_answer_is_found_in_planned_work_and_excused_in_a_fault():
    for planned in (True, False):
        ledger = Ledger()
        served(ledger, "chat").complete = False
        ledger.open_span(SENT_MS, "h", "any", planned)
        assert find_broken_checks(ledger) == ({"lost"} if planned else set())


def test_late_answer_is_found_unless_its_host_was_disturbed():
    ledger = Ledger()
    served(ledger, "read").ended_ms = SENT_MS + 3_600
    ledger.open_span(SENT_MS, "another", "kill", False)
    assert find_broken_checks(ledger) == {"late"}
    ledger.open_span(SENT_MS, "h", "pause", False)
    assert find_broken_checks(ledger) == set()


@pytest.mark.parametrize(
    "changes",
    [
        {"has_caller_key": True},
        {"workspace": b"other"},
        {"path": b"/read/y"},
        {"id": "unknown"},
    ],
)
def test_request_that_no_caller_sent_is_found(changes):
    ledger = Ledger()
    served(ledger, "read")
    ledger.arrivals.append(arrival("read", **changes))
    assert "unasked" in find_broken_checks(ledger)


def test_request_at_the_wrong_service_is_found():
    ledger = Ledger()
    served(ledger, "read")
    ledger.arrivals.append(arrival("read", engine=True))
    assert "route" in find_broken_checks(ledger)


@pytest.mark.parametrize(("kind", "bound_ms"), [("leave", 3_000)])
def test_request_at_a_server_that_left_is_found(kind, bound_ms):
    ledger = Ledger()
    served(ledger, "read")
    begin_ms = SENT_MS + 10 - bound_ms
    ledger.exclusions["w"].append(Span(begin_ms, "w", kind, True))
    assert find_broken_checks(ledger) == {kind}
    ledger.exclusions["w"] = [Span(begin_ms + 1, "w", kind, True)]
    assert find_broken_checks(ledger) == set()


def test_outdated_desired_state_is_found():
    ledger = Ledger()
    probe = Attempt("p", "probe", "h", SENT_MS, True)
    probe.status, probe.complete = 404, True
    ledger.attempts["p"] = probe
    ledger.probes.append(("p", SENT_MS - 3_000, frozenset({200})))
    assert find_broken_checks(ledger) == {"config"}
    ledger.probes[0] = ("p", SENT_MS - 2_999, frozenset({200}))
    assert find_broken_checks(ledger) == set()


def test_retries_beyond_the_budget_are_found():
    ledger = Ledger()
    for number in range(2):
        served(ledger, "read", f"r{number}")
        ledger.arrivals.append(arrival("read", f"r{number}", worker="v"))
    assert find_broken_checks(ledger) == {"budget"}


def test_too_many_requests_at_a_cold_server_are_found():
    ledger = Ledger()
    for number in range(19):
        served(ledger, "chat", f"r{number}")
        cold = arrival("chat", f"r{number}", cold=True)
        ledger.arrivals[-1] = cold
    assert find_broken_checks(ledger) == {"cold"}


def test_process_that_exits_by_itself_is_found():
    ledger = Ledger()
    ledger.unexpected_exits.append(("h", 1))
    assert find_broken_checks(ledger) == {"ended"}


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest.mark.parametrize("mode", ["silent", "one-way"])
def test_proxy_delays_answers_and_loses_none(mode):
    async def exchange() -> bytes:
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        proxy = Proxy(server.sockets[0].getsockname())
        front = await proxy.listen(("127.0.0.1", 0))
        at = front.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*at)
        proxy.set_mode(mode)
        writer.write(b"hello")
        with anyio.move_on_after(0.2) as scope:
            await reader.read(5)
        assert scope.cancelled_caught
        proxy.set_mode("")
        answer = await reader.read(5)
        proxy.set_mode("reset")
        assert await reader.read(5) == b""
        front.close()
        server.close()
        return answer

    assert asyncio.run(exchange()) == b"hello"
