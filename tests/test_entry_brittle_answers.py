"""What hosts read of a server's state in its answers."""

from __future__ import annotations

import anyio
import pytest

from corianderdoor.platform.answer_head import AnswerHead
from corianderdoor.standins.brittleness import Brittleness
from corianderdoor.standins.platform_fleet import (
    METRICS_PORT,
    run_fleet,
    send_request,
)

LIMIT = 2
# As the deployment lists them.
SLOTS = 8


@pytest.mark.parametrize("value", [b"0", b"12", b" 7 "])
def test_announcement_of_a_brittle_server_is_read(value):
    head = AnswerHead(200, [(b"server-brittle", value)])
    assert head.rejections_per_s == int(value)
    assert head.ignored_marks == []


# Guards against LOST: a number of thousands of digits ended the request
# with an error of the program.
@pytest.mark.parametrize(
    "value", [b"", b"x", b"-1", b"1.5", b"1e3", b"9" * 5_000, b"\xb2", b"1,2"]
)
@pytest.mark.parametrize(
    ("name", "kind"),
    [(b"server-brittle", "brittle"), (b"instance-load", "load")],
)
def test_unusable_value_is_ignored_and_noted(name, kind, value):
    head = AnswerHead(200, [(name, value)])
    assert (head.rejections_per_s, head.load) == (None, None)
    assert head.ignored_marks == [kind]


def test_huge_parts_of_a_header_are_ignored():
    huge = b"9" * 5_000
    head = AnswerHead(
        200,
        [
            (b"instance-load", huge + b",0,8"),
            (b"keep-alive", b"timeout=" + huge),
        ],
    )
    assert (head.load, head.keep_alive_s) == (None, None)


def test_different_values_in_one_answer_are_ignored():
    pairs = [(b"server-brittle", b"3"), (b"server-brittle", b"5")]
    head = AnswerHead(200, pairs)
    assert head.rejections_per_s is None
    assert head.ignored_marks == ["brittle"]


def test_absent_headers_are_not_noted():
    assert AnswerHead(200, []).ignored_marks == []


# Guards against LIMIT: a burst at hosts that knew that the server is brittle
# made it fall over.
def test_burst_over_real_connections_leaves_a_brittle_server_up():
    statuses: list[int] = []

    async def scenario() -> None:
        async with run_fleet(engines=1, plain=1, hosts=2) as fleet:
            worker = fleet.workers["plain-0"]
            worker.work_ms = 100.0
            brittle = Brittleness(LIMIT, SLOTS, 0, 0, notice_ms=0.0)
            worker.announce_brittle(brittle)

            async def ask(number: int) -> None:
                host = f"host-{number % 2}"
                reply = await fleet.chat(host, f"id-{number}", "/read/x")
                statuses.append(reply.status)

            await wait_for_peers(fleet)
            # One answer tells each host.
            await ask(0)
            await ask(1)
            async with anyio.create_task_group() as tasks:
                for number in range(2, 42):
                    tasks.start_soon(ask, number)
            assert brittle.falls == []
            assert len(brittle.rejections) <= LIMIT
            worker.end_brittle()
            for number in range(42, 46):
                await ask(number)

    with_timeout(scenario)
    assert set(statuses) == {200, 503}
    assert statuses[-4:] == [200] * 4


# Guards against LOST: bad values of a server's headers must cost no answer.
def test_unusable_announcement_is_counted_and_costs_nothing():
    async def scenario() -> None:
        async with run_fleet(engines=1, plain=1, hosts=1) as fleet:
            worker = fleet.workers["plain-0"]
            worker.announce_brittle(Brittleness(10**9, SLOTS, 0, 0))
            for number in range(8):
                reply = await fleet.chat("host-0", f"id-{number}", "/read/x")
                assert (reply.status, reply.complete) == (200, True)
            address = (fleet.hosts["host-0"][0], METRICS_PORT)
            text = (await send_request(address, "/metrics")).body.decode()
            lines = [
                line
                for line in text.splitlines()
                if 'ignored_marks_total{mark="brittle"}' in line
            ]
            assert lines[0].split()[-1] == "8.0"

    with_timeout(scenario)


async def wait_for_peers(fleet) -> None:
    """Waits until both hosts share limits with each other."""
    for address, _ in fleet.hosts.values():
        text = ""
        while "corianderdoor_live_peers 1.0" not in text:
            await anyio.sleep(0.1)
            reply = await send_request((address, METRICS_PORT), "/metrics")
            text = reply.body.decode()


def with_timeout(scenario) -> None:
    """Runs `scenario`, at most 30 s."""

    async def run() -> None:
        with anyio.fail_after(30):
            await scenario()

    anyio.run(run)
