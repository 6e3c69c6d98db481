"""Marks in the answers of backend servers that can't be used."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from loguru import logger
import pytest
from test_entry_leaving_servers import count_arrivals, send_burst
from test_entry_path import run

from corianderdoor.core.entry.ignored_marks import (
    IgnoredMarks,
    LINE_INTERVAL_MS,
)
from corianderdoor.platform.answer_head import AnswerHead, MAX_RETRY_AFTER_S
from corianderdoor.standins.platform_fleet import METRICS_PORT, send_request

BAD_LEAVING = (
    [b""],
    [b"0"],
    [b"-1"],
    [b"yes"],
    [b"1.0"],
    [b"9" * 400],
    [b"nan"],
    [b"1", b"1"],
    [b"1", b"0"],
    [b"0", b"1"],
)
BAD_PAUSES = (
    [b""],
    [b"-1"],
    [b"soon"],
    [b"nan"],
    [b"inf"],
    [b"1e3"],
    [b"+2"],
    [b"0x10"],
    [b"1,2"],
    [b"3601"],
    [b"9" * 400],
    [b"Fri, 04 Dec 2026 07:00:00 GMT"],
    [b"2", b"2"],
    [b"2", b"30"],
)


@pytest.mark.parametrize("values", BAD_LEAVING)
def test_bad_announcement_is_ignored(values):
    head = AnswerHead(200, [(b"server-leaving", value) for value in values])
    assert not head.leaving
    assert head.ignored_marks == ["leaving"]


@pytest.mark.parametrize("values", BAD_PAUSES)
def test_bad_pause_is_ignored(values):
    head = AnswerHead(503, [(b"retry-after", value) for value in values])
    assert head.pause_ms == 0
    assert head.ignored_marks == ["pause"]


# Guards against servers whose load counts as unknown: a header with a figure
# more than three was dropped whole.
@pytest.mark.parametrize(
    ("value", "percent"),
    [(b"3,2,8", None), (b"3,2,8,130", 130), (b"3,2,8,130,x", 130)],
)
def test_load_with_further_figures_is_read(value, percent):
    head = AnswerHead(200, [(b"instance-load", value)])
    assert (head.load, head.running, head.work_percent) == (5, 3, percent)
    assert head.ignored_marks == []


@pytest.mark.parametrize("value", [b"", b"3", b"3,2", b"3,2,x", b"3,2,8,-1"])
def test_load_that_is_no_load_is_ignored(value):
    head = AnswerHead(200, [(b"instance-load", value)])
    assert (head.load, head.running, head.work_percent) == (None, None, None)
    assert head.ignored_marks == ["load"]


def test_absent_and_good_marks_are_not_counted_as_bad():
    assert AnswerHead(200, []).ignored_marks == []
    assert AnswerHead(404, [(b"retry-after", b"soon")]).ignored_marks == []
    good = [(b"retry-after", b"1.5"), (b"server-leaving", b"1")]
    head = AnswerHead(503, good)
    assert (head.ignored_marks, head.pause_ms) == ([], 1_500)
    assert head.leaving


@given(
    st.lists(
        st.tuples(
            st.sampled_from([b"server-leaving", b"retry-after"]),
            st.one_of(
                st.binary(max_size=40),
                st.floats().map(lambda number: str(number).encode()),
                st.integers().map(lambda number: str(number).encode()),
            ),
        ),
        max_size=3,
    )
)
def test_no_value_breaks_the_decoder(headers):
    head = AnswerHead(503, headers)
    assert 0 <= head.pause_ms <= MAX_RETRY_AFTER_S * 1_000
    assert len(head.ignored_marks) <= 2


@given(st.lists(st.integers(0, 400)))
def test_lines_are_at_least_a_second_apart_and_count_all_marks(gaps_ms):
    ignored = IgnoredMarks()
    now_ms = logged = 0
    lines: list[int] = []
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        count = ignored.record("pause", now_ms)
        if count:
            lines.append(now_ms)
            logged += count
    assert all(b - a >= LINE_INTERVAL_MS for a, b in zip(lines, lines[1:]))
    if gaps_ms:
        now_ms += LINE_INTERVAL_MS
        logged += ignored.record("pause", now_ms)
        assert logged == len(gaps_ms) + 1


def test_kinds_are_bounded_apart():
    ignored = IgnoredMarks()
    assert ignored.record("pause", 0) == 1
    assert ignored.record("leaving", 0) == 1
    assert ignored.record("pause", 1) == 0


# Guards against requests lost, servers avoided and floods of log lines
# because of values that mean nothing.
@pytest.mark.parametrize("values", BAD_LEAVING)
def test_bad_announcement_changes_nothing(values):
    async def scenario(fleet):
        worker = fleet.workers["plain-0"]
        marks = [(b"Server-Leaving", value) for value in values]
        worker.extra_headers = marks
        lines: list[str] = []
        sink = logger.add(lines.append, format="{message}")
        try:
            for turn in range(2):
                arrivals = count_arrivals(fleet)
                statuses = await send_burst(
                    fleet, "host-0", "/read/x", f"{turn}"
                )
                assert set(statuses) == {200}
                assert "plain-0" in {id for id, _ in arrivals}
        finally:
            logger.remove(sink)
        ignored = [line for line in lines if "mark_ignored" in line]
        assert 1 <= len(ignored) <= 2
        assert "mark=leaving server=plain-0" in ignored[0]

    run(scenario, hosts=1)


@pytest.mark.parametrize("values", BAD_PAUSES)
def test_bad_pause_changes_nothing(values):
    async def scenario(fleet):
        worker = fleet.workers["plain-0"]
        marks = [(b"Retry-After", value) for value in values]
        worker.mode, worker.extra_headers = "decline", marks
        statuses = await send_burst(fleet, "host-0", "/read/x", "a")
        assert set(statuses) == {200}
        worker.mode = ""
        arrivals = count_arrivals(fleet)
        await send_burst(fleet, "host-0", "/read/x", "b")
        assert "plain-0" in {id for id, _ in arrivals}
        address = (fleet.hosts["host-0"][0], METRICS_PORT)
        text = (await send_request(address, "/metrics")).body.decode()
        assert 'corianderdoor_ignored_marks_total{mark="pause"}' in text

    run(scenario, hosts=1)
