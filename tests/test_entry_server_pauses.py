"""Backend servers that turn requests away and ask for a pause."""

from __future__ import annotations

import anyio
from entry_builders import build_planner, build_request, build_server
from hypothesis import given, settings
from hypothesis import strategies as st
import pytest
from test_entry_leaving_servers import send_burst
from test_entry_path import PARTS, run, wait_for
from test_entry_planner import admit, send

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.answer_memory import AnswerMemory
from corianderdoor.core.entry.flights import Again, Ending, Hold, Refuse, Send
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.planned_stop import PlannedStop
from corianderdoor.core.entry.refusals import (
    MAX_RESUME_HOLD_MS,
    MAX_RETRY_SHARE,
)
from corianderdoor.core.entry.server_pauses import MAX_PAUSE_MS, ServerPauses
from corianderdoor.entry.relay import Relay
from corianderdoor.entry.stream_registry import StreamRegistry
from corianderdoor.platform.answer_head import AnswerHead
from corianderdoor.standins.platform_fleet import PlatformFleet
from corianderdoor.standins.platform_worker import Worker

# Sends to a server that had asked for a pause count from this time on.
REACTION_MS = 500
MAX_SENDS = 2
ANSWERS = st.tuples(
    st.integers(0, 400),  # time until the next request
    st.integers(0, 300),  # time until its answer
    st.one_of(st.none(), st.integers(0, 5_000)),  # pause asked for
)


# Guards against more than two requests that reach a server within the pause
# that it asked for, whatever pauses overlap.
@settings(deadline=None)
@given(st.lists(ANSWERS, max_size=60))
def test_no_sequence_of_answers_leads_to_sends_within_a_pause(answers):
    planner = build_planner(servers=2)
    now_ms = 0
    sends: list[tuple[str, int]] = []
    pauses: list[tuple[str, int, int]] = []
    pending = []
    for number, (gap_ms, latency_ms, pause_ms) in enumerate(answers):
        now_ms += gap_ms
        for at_ms, server, asked_ms in list(pending):
            if at_ms <= now_ms:
                planner.pauses.record(server, asked_ms, at_ms)
                pauses.append((server.id, at_ms, at_ms + asked_ms))
                pending.remove((at_ms, server, asked_ms))
        planner.tick(now_ms)
        req = build_request(id=f"r{number}", parts=((f"c{number}", 100),))
        step = planner.choose(admit(planner, req, now_ms), now_ms)
        if isinstance(step, Refuse):
            assert step.reason == "servers-paused"
            continue
        assert isinstance(step, Send)
        sends.append((step.server.id, now_ms))
        if pause_ms is not None:
            pending.append((now_ms + latency_ms, step.server, pause_ms))
    for server_id, from_ms, until_ms in pauses:
        within = [
            at_ms
            for id, at_ms in sends
            if id == server_id and from_ms + REACTION_MS <= at_ms < until_ms
        ]
        assert len(within) <= MAX_SENDS


# Guards against servers that get requests within the pause they asked for.
def test_paused_server_gets_nothing_until_the_pause_is_over():
    planner = build_planner(servers=2)
    assert planner.pauses.record(build_server("s0"), 1_000, 0)
    assert not planner.pauses.record(build_server("s0"), 500, 0)
    for now_ms, expected in (
        (0, {"s1"}),
        (999, {"s1"}),
        (1_000, {"s0", "s1"}),
    ):
        chosen = set()
        for number in range(40):
            req = build_request(parts=((f"c{number}", 100),))
            step = planner.choose(admit(planner, req, now_ms), now_ms)
            assert isinstance(step, Send)
            chosen.add(step.server.id)
        assert chosen == expected


def test_new_incarnation_of_a_paused_server_gets_requests():
    planner = build_planner(servers=1)
    planner.pauses.record(build_server("s0"), 1_000, 0)
    planner.servers.put(build_server("s0", started_ms=2), 1)
    assert send(planner, admit(planner, build_request(), 1), 1)


# Guards against a request that waited for a connection during the answer.
def test_request_chosen_before_the_answer_is_withdrawn():
    planner = build_planner(servers=2)
    flight = admit(planner, build_request())
    step = planner.choose(flight, 0)
    assert isinstance(step, Send)
    planner.pauses.record(step.server, 1_000, 0)
    assert not planner.selection.may_send(step.server, 1)
    after = planner.handle_failure(flight, step.server, Ending.WITHDRAWN, 1)
    assert isinstance(after, Again)
    assert send(planner, flight, 1).server.id != step.server.id


# Guards against callers that wait, or come back before any server takes work.
@pytest.mark.parametrize("pauses_ms", [(900, 700), (30_000, 20_000)])
def test_callers_hear_when_the_first_pause_is_over(pauses_ms):
    planner = build_planner(servers=2)
    for number, pause_ms in enumerate(pauses_ms):
        planner.pauses.record(build_server(f"s{number}"), pause_ms, 0)
    for _ in range(20):
        refusal = planner.choose(admit(planner, build_request()), 0)
        assert isinstance(refusal, Refuse)
        assert (refusal.status, refusal.reason) == (503, "servers-paused")
        most_ms = int(6_000 * MAX_RETRY_SHARE)
        assert refusal.retry_after_ms is not None
        assert min(700 if pauses_ms[1] == 700 else most_ms, most_ms) <= (
            refusal.retry_after_ms
        )
        assert refusal.retry_after_ms <= most_ms


def test_request_that_the_last_server_turned_away_hears_of_the_pauses():
    planner = build_planner(servers=2)
    flight = admit(planner, build_request())
    first = send(planner, flight).server
    for server in planner.servers.usable("llm"):
        planner.pauses.record(server, 800, 1)
    after = planner.handle_failure(flight, first, Ending.NOT_RUN, 1)
    assert isinstance(after, Refuse)
    assert (after.status, after.reason) == (503, "servers-paused")
    assert after.retry_after_ms is not None and after.retry_after_ms >= 800


def test_a_server_that_may_be_asked_keeps_the_usual_reason():
    planner = build_planner(servers=2)
    flight = admit(planner, build_request())
    first = send(planner, flight).server
    other = next(s for s in planner.servers.usable("llm") if s != first)
    planner.pauses.record(other, 800, 1)
    after = planner.handle_failure(flight, first, Ending.NOT_RUN, 1)
    assert isinstance(after, Refuse)
    assert after.reason == "not-run"


# Guards against begun answers that are cut although a server takes requests
# again soon.
@pytest.mark.parametrize(
    ("pause_ms", "held"), [(400, True), (MAX_RESUME_HOLD_MS + 1, False)]
)
def test_begun_answer_waits_for_a_short_pause(pause_ms, held):
    planner = build_planner(servers=2)
    flight = admit(planner, build_request())
    first = send(planner, flight).server
    flight.answer_started = True
    other = next(s for s in planner.servers.usable("llm") if s != first)
    planner.pauses.record(other, pause_ms, 10)
    after = planner.handle_failure(flight, first, Ending.BROKEN, 10)
    assert isinstance(after, Again if held else Refuse)
    if not held:
        return
    assert planner.choose(flight, 10) == Hold(pause_ms)
    assert send(planner, flight, 10 + pause_ms).server == other


def test_nothing_is_copied_from_a_paused_server():
    planner = build_planner()
    req = build_request()
    first = send(planner, admit(planner, req)).server
    planner.pauses.record(first, 1_000, 0)
    step = send(planner, admit(planner, req, 1), 1)
    assert step.fetch_from is None


# Guards against BUDGET: requests came after 60 s of a longer pause.
def test_pause_of_minutes_is_kept_whole():
    planner = build_planner(servers=2)
    for name in ("s0", "s1"):
        planner.pauses.record(planner.servers.get(name), 90_000, 0)
    for now_ms, kind in ((89_999, Refuse), (90_000, Send)):
        flight = admit(planner, build_request(), now_ms)
        assert isinstance(planner.choose(flight, now_ms), kind)


def test_a_pause_is_bounded_and_dropped_when_over():
    pauses = ServerPauses()
    server = build_server("s0")
    pauses.record(server, 10 * MAX_PAUSE_MS, 0)
    assert pauses.left_ms(server, 0) == MAX_PAUSE_MS
    pauses.drop_expired(MAX_PAUSE_MS - 1)
    assert pauses.left_ms(server, MAX_PAUSE_MS - 1) == 1
    pauses.drop_expired(MAX_PAUSE_MS)
    assert not pauses._paused
    assert not pauses.record(server, 0, 0)
    assert not pauses._paused


@pytest.mark.parametrize(
    ("status", "value", "pause_ms"),
    [
        (503, b"2", 2_000),
        (503, b"0.25", 250),
        (503, b"0.0001", 1),
        (503, b"0", 0),
        (503, b"3600", 3_600_000),
        (500, b"2", 0),
        (421, b"2", 0),
        (200, b"2", 0),
    ],
)
def test_pause_is_read_from_answers_that_turn_a_request_away(
    status, value, pause_ms
):
    head = AnswerHead(status, [(b"retry-after", value)])
    assert head.pause_ms == pause_ms


class FakeProtocol:
    """A connection that records what is written to it."""

    def __init__(self) -> None:
        self.written: list[object] = []
        self.aborted = False
        self.via_peer = False

    def write(self, event: object) -> None:
        self.written.append(event)

    def abort(self) -> None:
        self.aborted = True


class FakePool:
    """Opens one connection, during which the server asks for no requests."""

    def __init__(self, on_open) -> None:
        self.memory = AnswerMemory()
        self.protocol = FakeProtocol()
        self.opened: list[str] = []
        self._on_open = on_open

    async def check_ending(self, server, ending) -> None:
        """Opens no connection; no server breaks one here."""

    async def acquire(
        self, server, fresh: bool, request_id: str
    ) -> FakeProtocol | None:
        self.opened.append(server.id)
        if len(self.opened) > 1:
            return None
        self._on_open(server)
        return self.protocol


class FakeCaller:
    """The connection of a caller."""

    response_started = False

    def __init__(self) -> None:
        self.statuses: list[int] = []

    async def respond(self, status: int, headers, body=b"") -> None:
        self.statuses.append(status)


# Guards against a request that is sent although the server asked for none
# while its connection was opened.
@pytest.mark.parametrize("mark", ["leaving", "pause"])
def test_nothing_is_written_if_the_mark_came_during_the_connect(mark):
    planner = build_planner(servers=2)

    def on_open(server) -> None:
        if mark == "leaving":
            planner.leaving.record(server, 0)
        else:
            planner.pauses.record(server, 60_000, 0)

    pool, caller = FakePool(on_open), FakeCaller()
    clock = ManualClock()
    streams = StreamRegistry(planner, Peers("h1"), clock)
    relay = Relay(
        planner,
        pool,
        None,
        streams,
        PlannedStop(),
        clock,
        caller,
        build_request(),
    )
    anyio.run(relay.run)
    assert len(set(pool.opened)) == len(pool.opened) == 2
    assert pool.protocol.aborted and not pool.protocol.written
    assert caller.statuses == [503]


def record_times(fleet: PlatformFleet) -> list[tuple[str, int]]:
    """Returns a list that gets the worker and time of each request."""
    arrivals: list[tuple[str, int]] = []

    def record(worker: Worker, req, runs: bool) -> None:
        arrivals.append((worker.id, fleet.clock.now_ms()))

    for worker in fleet.workers.values():
        worker.on_request = record
    return arrivals


# Guards against requests that reach a server within the pause it asked for,
# and against a server that gets none afterwards.
@pytest.mark.parametrize("pause_s", [0.9, 1.25])
def test_paused_server_gets_nothing_through_a_host(pause_s):
    async def scenario(fleet):
        worker = fleet.workers["plain-0"]
        worker.mode, worker.retry_after_s = "decline", pause_s
        arrivals = record_times(fleet)
        begin_ms = fleet.clock.now_ms()
        while fleet.clock.now_ms() < begin_ms + 3 * pause_s * 1_000:
            statuses = await send_burst(fleet, "host-0", "/read/x", "id")
            assert set(statuses) == {200}
        times = [at_ms for id, at_ms in arrivals if id == "plain-0"]
        # All requests that were on their way with one that was turned away
        # are answered within the reaction time.
        groups = [times[0]]
        for at_ms in times:
            if at_ms >= groups[-1] + REACTION_MS:
                groups.append(at_ms)
        gaps_ms = [b - a for a, b in zip(groups, groups[1:])]
        assert gaps_ms
        assert all(gap_ms >= pause_s * 1_000 for gap_ms in gaps_ms)

    run(scenario, hosts=1)


# Guards against callers that wait for servers that want no requests.
def test_callers_are_refused_at_once_when_all_servers_paused():
    async def scenario(fleet):
        for worker in fleet.workers.values():
            worker.mode, worker.retry_after_s = "decline", 0.6
        first = await fleet.chat("host-0", "id-1", "/read/x")
        assert first.status == 503
        arrivals = record_times(fleet)
        begin_ms = fleet.clock.now_ms()
        for number in range(5):
            reply = await fleet.chat("host-0", f"id-{number}", "/read/x")
            assert reply.status == 503
            left_ms = begin_ms + 600 - fleet.clock.now_ms()
            wait_ms = float(reply.headers[b"retry-after"]) * 1_000
            assert min(left_ms - 100, 890) <= wait_ms <= 900
        assert fleet.clock.now_ms() < begin_ms + 300
        assert arrivals == []
        for worker in fleet.workers.values():
            worker.mode = ""
        await anyio.sleep(0.7)
        reply = await fleet.chat("host-0", "id-9", "/read/x")
        assert reply.status == 200

    run(scenario, hosts=1)


# Guards against a pause that one host was asked for and others keep.
def test_other_hosts_still_send_to_a_server_that_paused_one():
    async def scenario(fleet):
        worker = fleet.workers["plain-0"]
        worker.mode, worker.retry_after_s = "decline", 30.0
        await send_burst(fleet, "host-0", "/read/x", "id")
        worker.mode = ""
        await anyio.sleep(0.5)
        arrivals = record_times(fleet)
        await send_burst(fleet, "host-0", "/read/x", "id2")
        assert "plain-0" not in {id for id, _ in arrivals}
        await send_burst(fleet, "host-1", "/read/x", "id3")
        assert "plain-0" in {id for id, _ in arrivals}

    run(scenario)


# Guards against streams in progress that are cut by the pause.
def test_stream_in_progress_at_a_paused_server_goes_on():
    async def scenario(fleet):
        worker = fleet.workers["engine-0"]
        worker.mode, worker.pause_ms = "pause", 400.0
        replies = []

        async def ask() -> None:
            replies.append(
                await fleet.chat(
                    "host-0", "id-1", "/chat/x", Prompt_Prefix=PARTS
                )
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await wait_for(lambda: worker.active == 1)
            await anyio.sleep(0.1)
            worker.mode, worker.retry_after_s = "decline", 2.0
            reply = await fleet.chat("host-0", "id-2", "/chat/x")
            assert reply.status == 503
        assert (replies[0].status, replies[0].complete) == (200, True)
        assert worker.runs.total() == 1

    run(scenario, engines=1, hosts=1)
