"""Requests through real entry hosts, as callers and workers see them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import re

import anyio
from loguru import logger
import pytest

from corianderdoor.adapters.http1_connect import connect
from corianderdoor.core.entry.planner import Planner
from corianderdoor.standins.platform_fleet import (
    build_config,
    METRICS_PORT,
    PlatformFleet,
    READY_PORT,
    ROUTES,
    run_fleet,
    send_request,
)

WAIT_S = 10.0
IDS = re.compile(rb"id: (\d+)")
PARTS = "a1:2500,b2:6000,c3:500"


def run(scenario: Callable[[PlatformFleet], Awaitable[None]], **sizes):
    """Runs `scenario` on a small deployment."""

    async def run_scenario() -> None:
        with anyio.fail_after(30):
            async with run_fleet(**sizes) as fleet:
                await scenario(fleet)

    anyio.run(run_scenario)


async def wait_for(condition: Callable[[], bool]) -> None:
    """Waits until `condition` holds."""
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.01)


def total_runs(fleet: PlatformFleet, id: str) -> int:
    """Returns how often a request ran anywhere."""
    return sum(worker.runs[id] for worker in fleet.workers.values())


def set_modes(fleet: PlatformFleet, mode: str, engine: bool) -> None:
    """Makes all workers of a kind fail in the same way."""
    for worker in fleet.workers.values():
        if worker.engine is engine:
            worker.mode = mode


def test_each_kind_gets_its_complete_signed_answer():
    async def scenario(fleet):
        for number, path in enumerate(
            ("/chat/x", "/draft/x", "/pay/x", "/read/x")
        ):
            id = f"id-{number}"
            reply = await fleet.chat("host-0", id, path, Prompt_Prefix=PARTS)
            assert (reply.status, reply.complete) == (200, True)
            assert reply.headers[b"response-signature"] == b"sig." + (
                id.encode()
            )
            assert reply.headers[b"attempt-id"] == id.encode()
            if path in ("/chat/x", "/draft/x"):
                assert IDS.findall(reply.body) == [
                    b"%d" % n for n in range(1, 7)
                ]
            else:
                assert reply.body == b"done hello"

    run(scenario)


def test_worker_gets_the_workspace_but_no_key_or_forged_header():
    async def scenario(fleet):
        await fleet.chat(
            "host-0",
            "id-1",
            "/chat/x",
            Prompt_Prefix=PARTS,
            Tenant_Name="forged",
            Kv_From="10.0.0.1:1/x",
            Cache_Retention="x",
            Cache_Pin_Ms="9",
            Kv_Cache_Backup="10.0.0.1:1",
            Connection="Attempt-Id, X-Hop",
            X_Hop="gone",
            X_Kept="kept",
        )
        worker = next(w for w in fleet.workers.values() if w.runs["id-1"])
        seen = worker.last_headers
        assert seen[b"tenant-name"] == b"acme"
        assert seen[b"expected-instance"] == worker.id.encode()
        assert seen[b"x-kept"] == b"kept"
        assert int(seen[b"deadline-ms"]) <= 3_000
        dropped = {
            b"authorization",
            b"x-hop",
            b"kv-from",
            b"cache-retention",
            b"cache-pin-ms",
            b"kv-cache-backup",
        }
        assert not dropped & seen.keys()

    run(scenario)


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/x", {}, 404),
        ("/chat/x", {"Authorization": "Token wrong"}, 401),
        ("/chat/x", {"Deadline_Ms": "soon"}, 400),
        ("/pay/x", {"Transfer_Encoding": "chunked"}, 400),
    ],
)
def test_bad_request_gets_its_status_and_runs_nowhere(path, headers, status):
    async def scenario(fleet):
        reply = await fleet.chat("host-0", "id-1", path, **headers)
        assert reply.status == status
        assert total_runs(fleet, "id-1") == 0

    run(scenario, hosts=1)


def test_body_over_the_limit_is_refused_before_it_runs():
    async def scenario(fleet):
        fields = {
            "Host": "chat.example",
            "Attempt-Id": "id-1",
            "Authorization": "Token key-1",
        }
        reply = await send_request(
            fleet.hosts["host-0"], "/pay/x", fields, b"x" * 70_000
        )
        assert reply.status == 413
        assert total_runs(fleet, "id-1") == 0

    run(scenario, hosts=1)


@pytest.mark.parametrize("mode", ["drop", "error", "unsigned"])
def test_payment_runs_once_whatever_the_worker_does(mode):
    async def scenario(fleet):
        set_modes(fleet, mode, engine=False)
        reply = await fleet.chat("host-0", "id-1", "/pay/x")
        assert reply.status in (500, 502)
        assert total_runs(fleet, "id-1") == 1

    run(scenario, hosts=1)


def test_declined_payment_runs_at_the_other_worker():
    async def scenario(fleet):
        fleet.workers["plain-0"].mode = "decline"
        for number in range(6):
            reply = await fleet.chat("host-0", f"id-{number}", "/pay/x")
            assert reply.status == 200
            assert total_runs(fleet, f"id-{number}") == 1

    run(scenario, hosts=1)


def test_payment_that_all_workers_decline_gets_a_retry_time():
    async def scenario(fleet):
        set_modes(fleet, "decline", engine=False)
        reply = await fleet.chat("host-0", "id-1", "/pay/x")
        assert reply.status == 503
        assert 0 < float(reply.headers[b"retry-after"]) <= 1
        assert total_runs(fleet, "id-1") == 0

    run(scenario, hosts=1)


def test_reused_address_is_detected_and_another_worker_used():
    async def scenario(fleet):
        fleet.workers["plain-0"].mode = "moved"
        for number in range(4):
            reply = await fleet.chat("host-0", f"id-{number}", "/pay/x")
            assert reply.status == 200

    run(scenario, hosts=1)


@pytest.mark.parametrize("mode", ["drop", "error", "silent"])
def test_failed_read_is_retried_at_another_worker(mode):
    async def scenario(fleet):
        fleet.workers["plain-0"].mode = mode
        for number in range(4):
            reply = await fleet.chat("host-0", f"id-{number}", "/read/x")
            assert (reply.status, reply.body) == (200, b"done hello")

    run(scenario, hosts=1)


def test_read_whose_body_stalls_is_retried_at_another_worker_in_time():
    async def scenario(fleet):
        await fleet.chat("host-0", "id-0", "/read/x")
        used = next(w for w in fleet.workers.values() if w.runs["id-0"])
        used.mode = "stall"
        reply = await fleet.chat(
            "host-0", "id-1", "/read/x", Deadline_Ms="1500"
        )
        assert used.runs["id-1"] == 1
        assert (reply.status, reply.body) == (200, b"done hello")

    run(scenario, hosts=1)


def test_answer_to_another_request_is_skipped():
    async def scenario(fleet):
        set_modes(fleet, "stray", engine=False)
        for number in range(4):
            reply = await fleet.chat("host-0", f"id-{number}", "/pay/x")
            assert (reply.status, reply.body) == (200, b"done hello")

    run(scenario, hosts=1)


def test_answer_without_length_is_complete_when_the_connection_closes():
    async def scenario(fleet):
        set_modes(fleet, "unframed", engine=False)
        reply = await fleet.chat("host-0", "id-1", "/pay/x")
        assert (reply.status, reply.body) == (200, b"done hello")
        assert reply.complete

    run(scenario, hosts=1)


def check_streams_are_whole(mode) -> None:
    """Checks streams beside a server with the given fault."""

    async def scenario(fleet):
        fleet.workers["engine-0"].mode = mode
        for number in range(12):
            reply = await fleet.chat(
                "host-0",
                f"id-{number}",
                Prompt_Prefix=f"t{number}:9,s{number}:9,o:9",
            )
            assert reply.complete
            assert IDS.findall(reply.body) == [b"%d" % n for n in range(1, 7)]
        assert fleet.workers["engine-0"].runs

    run(scenario, hosts=1)


# Guards against a server that ends at its first event, and whose stream then
# looks complete: the caller would get an empty answer.
def test_stream_that_ends_with_its_connection_before_an_event_is_broken():
    check_streams_are_whole("ended")


def test_stream_cut_within_an_event_resumes_without_gap_or_duplicate():
    check_streams_are_whole("cut")


def test_stream_that_may_not_resume_is_cut_and_never_looks_complete():
    async def scenario(fleet):
        set_modes(fleet, "cut", engine=True)
        reply = await fleet.chat(
            "host-0", "id-1", "/draft/x", Prompt_Prefix=PARTS
        )
        assert not reply.complete
        assert reply.body.endswith(b"\n\n")
        assert total_runs(fleet, "id-1") == 1

    run(scenario, hosts=1)


def test_route_timeout_ends_a_request_on_a_silent_worker():
    async def scenario(fleet):
        set_modes(fleet, "silent", engine=False)
        reply = await fleet.chat("host-0", "id-1", "/pay/x", Deadline_Ms="300")
        assert reply.status == 504

    run(scenario, hosts=1)


def test_caller_that_does_not_read_its_answer_does_not_affect_others():
    """The request times out while its answer can't be sent."""

    async def scenario(fleet):
        lines: list[str] = []
        sink = logger.add(lines.append)
        set_modes(fleet, "large", engine=False)
        protocol = await connect(fleet.hosts["host-0"], 1_000, 0)
        protocol.stop_reading()
        protocol.write_raw(
            b"POST /pay/x HTTP/1.1\r\nHost: chat.example\r\n"
            b"Attempt-Id: id-1\r\nAuthorization: Token key-1\r\n"
            b"Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n"
        )
        await wait_for(lambda: total_runs(fleet, "id-1") == 1)
        await anyio.sleep(0.6)
        set_modes(fleet, "", engine=False)
        reply = await fleet.chat("host-0", "id-2", "/pay/x")
        assert reply.status == 200
        protocol.abort()
        logger.remove(sink)
        failures = ("connection_failed", "request_failed")
        assert not [line for line in lines if any(f in line for f in failures)]
        assert [line for line in lines if "reason=timeout" in line]

    run(scenario, hosts=1)


def test_worker_stops_when_the_caller_disconnects():
    async def scenario(fleet):
        set_modes(fleet, "silent", engine=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.chat, "host-0", "id-1")
            await wait_for(lambda: total_runs(fleet, "id-1") == 1)
            tasks.cancel_scope.cancel()
        await wait_for(lambda: not any(w.active for w in working(fleet)))

    def working(fleet):
        return [w for w in fleet.workers.values() if w.runs["id-1"]]

    run(scenario, hosts=1)


def test_desired_state_reaches_hosts_that_do_not_watch_the_store():
    """Hosts that do not watch the store get changes from those that do."""

    async def scenario(fleet):
        routes = [route for route in ROUTES if route["name"] != "read"]
        fleet.store.state.put("op/config", build_config(2, routes))
        for name in fleet.hosts:

            async def refused(name=name):
                reply = await fleet.chat(name, f"id-{name}", "/read/x")
                return reply.status == 404

            with anyio.fail_after(2):
                while not await refused():
                    await anyio.sleep(0.02)

    run(scenario, hosts=4)


def test_requests_are_served_while_the_store_refuses_calls():
    async def scenario(fleet):
        fleet.store.fault = "busy"
        await anyio.sleep(0.3)
        for number in range(4):
            reply = await fleet.chat("host-1", f"id-{number}", "/pay/x")
            assert reply.status == 200
        fleet.store.fault = ""
        fleet.store.state.compact_history()
        fleet.store.state.put("op/config", build_config(9, ROUTES[:3]))
        with anyio.fail_after(WAIT_S):
            while True:
                reply = await fleet.chat("host-1", "id-9", "/read/x")
                if reply.status == 404:
                    break
                await anyio.sleep(0.05)

    run(scenario)


def test_draining_worker_gets_no_new_requests():
    async def scenario(fleet):
        fleet.register_worker("plain-0", "127.0.0.1", state="draining")
        await anyio.sleep(0.5)
        before = fleet.workers["plain-0"].runs.total()
        for number in range(6):
            reply = await fleet.chat("host-1", f"id-{number}", "/read/x")
            assert reply.status == 200
        assert fleet.workers["plain-0"].runs.total() == before

    run(scenario)


def test_stopping_host_cuts_no_answer_and_leaves_the_directory():
    async def scenario(fleet):
        fleet.workers["plain-0"].work_ms = 800.0
        fleet.workers["plain-1"].work_ms = 800.0
        replies = []

        async def pay():
            replies.append(await fleet.chat("host-0", "id-1", "/pay/x"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pay)
            await wait_for(lambda: total_runs(fleet, "id-1") == 1)
            fleet.stop_host("host-0")
            ready = (fleet.hosts["host-0"][0], READY_PORT)
            reply = await send_request(ready, "/corianderdoor/readiness")
            assert reply.status == 503
            directory = (fleet.hosts["host-1"][0], READY_PORT)
            stopped_host = fleet.hosts["host-0"][0].encode()
            with anyio.fail_after(2):
                while True:
                    path = "/corianderdoor/resolution?name=x"
                    reply = await send_request(directory, path)
                    assert reply.status == 200
                    if stopped_host + b":" not in reply.body:
                        break
                    await anyio.sleep(0.02)
        assert replies[0].status == 200
        assert replies[0].headers[b"connection"] == b"close"

    run(scenario)


def test_metrics_count_requests_refusals_and_sends():
    async def scenario(fleet):
        address = (fleet.hosts["host-0"][0], METRICS_PORT)
        assert (await send_request(address, "/metrics")).status == 200
        await fleet.chat("host-0", "id-1", Prompt_Prefix=PARTS)
        await fleet.chat("host-0", "id-2", "/none/x")
        text = (await send_request(address, "/metrics")).body.decode()
        kind = 'kind="stream",outcome="served"'
        assert f"corianderdoor_requests_total{{{kind}}} 1.0" in text
        assert 'reason="no-route",status="404"} 1.0' in text
        assert 'corianderdoor_sends_total{ending="whole"} 1.0' in text
        assert 'corianderdoor_first_byte_milliseconds_count{kind="s' in text
        assert (await send_request(address, "/other")).status == 404

    run(scenario, hosts=1)


def test_smuggled_request_in_a_body_runs_nowhere():
    async def scenario(fleet):
        protocol = await connect(fleet.hosts["host-0"], 1_000, 0)
        assert protocol is not None
        protocol.write_raw(
            b"POST /pay/x HTTP/1.1\r\nHost: chat.example\r\n"
            b"Attempt-Id: id-1\r\nAuthorization: Token key-1\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nPOST /pay/y HTTP/1.1\r\nHost: chat.example\r\n"
            b"Attempt-Id: id-2\r\nAuthorization: Token key-1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        event = await protocol.next_event()
        assert event.status_code == 400
        await anyio.sleep(0.1)
        assert total_runs(fleet, "id-1") == total_runs(fleet, "id-2") == 0
        protocol.abort()

    run(scenario, hosts=1)


# Guards against LOST: an unexpected error closed the connection of a request
# that had run, without an answer.
def test_request_that_fails_unexpectedly_gets_an_answer(monkeypatch):
    def fail(*args):
        raise UnicodeError("label too long")

    async def scenario(fleet):
        monkeypatch.setattr(Planner, "record_complete_answer", fail)
        reply = await fleet.chat("host-0", "id-1", "/pay/x")
        assert (reply.status, reply.complete) == (502, True)
        assert total_runs(fleet, "id-1") == 1

    run(scenario, engines=0, plain=1, hosts=1)
