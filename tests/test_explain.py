"""Tests of `corianderdoorctl explain` on the logs of several hosts."""

from __future__ import annotations

import json
import pathlib
import re

import pytest

from corianderdoor.adapters.logs import format_pairs
from corianderdoor.core.entry.flights import Ending
from corianderdoor.tools.ctl import main
from corianderdoor.tools.explain import read_line, REFUSAL_TEXTS

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs" / "OPERATIONS.md"
SOURCES = (
    "core/entry/planner.py",
    "core/entry/refusals.py",
    "core/entry/admission.py",
    "entry/relay.py",
)


def write_log(path: pathlib.Path, *events: dict[str, object]) -> str:
    """Writes a host's log and returns its path."""
    lines = [
        f"ts=2026-12-04T01:00:0{n}.000Z level=INFO host={path.stem} "
        + format_pairs(event)
        for n, event in enumerate(events)
    ]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(path)


def sent(id: str, server: str, **more) -> dict[str, object]:
    return {
        "event": "request_sent",
        "request_id": id,
        "server": server,
        "load": 4,
        **more,
    }


def failed(id: str, server: str, ending: str) -> dict[str, object]:
    return {
        "event": "send_failed",
        "request_id": id,
        "server": server,
        "ending": ending,
    }


def test_cause_counts_failures_of_all_requests_at_the_server(tmp_path, capsys):
    refusal = {
        "event": "refusal_sent",
        "request_id": "r1",
        "status": 502,
        "reason": "broken",
        "runs": 1,
        "begun": False,
    }
    logs = [
        write_log(
            tmp_path / "h1.log",
            {"event": "desired_state", "version": 3},
            sent("r1", "s1"),
            failed("r1", "s1", "broken"),
            refusal,
            {"event": "desired_state", "version": 4},
        ),
        write_log(
            tmp_path / "h2.log",
            sent("r2", "s1"),
            failed("r2", "s1", "broken"),
            sent("r3", "s1"),
        ),
    ]
    assert main(["explain", "r1", *logs]) == 0
    out = capsys.readouterr().out
    assert "s1; 2 of 3 requests sent there failed" in out
    assert "version=3" in out
    assert "version=4" not in out
    assert "r2" not in out


def test_restore_of_the_store_before_the_request_is_named(tmp_path, capsys):
    log = write_log(
        tmp_path / "h1.log",
        {"event": "replica_replaced", "era": 4, "revision": 90},
        {"event": "evacuation_kept", "data_centre": "b"},
        sent("r1", "s1"),
        {"event": "request_done", "request_id": "r1", "took_ms": 90},
    )
    assert main(["explain", "r1", log]) == 0
    out = capsys.readouterr().out
    assert "era=4" in out
    assert "data_centre=b" in out


def test_json_output_holds_lines_in_order(tmp_path, capsys):
    log = write_log(
        tmp_path / "h1.log",
        sent("r1", "s1", fetch_from="s2"),
        {"event": "request_done", "request_id": "r1", "took_ms": 90},
    )
    assert main(["explain", "r1", log, "--json"]) == 0
    explanation = json.loads(capsys.readouterr().out)
    events = [line["event"] for line in explanation["lines"]]
    assert events == ["request_sent", "request_done"]
    assert explanation["cause"] == (
        "served after 90 ms by s1, which had 4 requests in progress and "
        "copied parts from s2"
    )


def test_forwarded_server_failure_is_not_reported_as_served(tmp_path, capsys):
    log = write_log(
        tmp_path / "h1.log",
        sent("r1", "s1"),
        {**failed("r1", "s1", "server-error"), "follow": "deliver"},
        {"event": "request_done", "request_id": "r1", "took_ms": 5},
    )
    assert main(["explain", "r1", log]) == 0
    cause = capsys.readouterr().out.splitlines()[-1]
    assert cause == (
        "cause: the failure with which s1 answered was passed on (1 of 1 "
        "requests sent there failed)"
    )


def test_log_that_ends_without_an_outcome_is_reported(tmp_path, capsys):
    log = write_log(tmp_path / "h1.log", sent("r1", "s1"))
    assert main(["explain", "r1", log]) == 0
    assert "the log ends with request_sent" in capsys.readouterr().out


def test_unknown_id_and_missing_file_are_errors(tmp_path, capsys):
    log = write_log(tmp_path / "h1.log", sent("r1", "s1"))
    assert main(["explain", "r9", log]) == 1
    assert "no line of 1 hosts names r9" in capsys.readouterr().err
    assert main(["explain", "r1", str(tmp_path / "none.log")]) == 1
    assert "none.log" in capsys.readouterr().err


def test_read_line_restores_formatted_values():
    pairs = {"event": "x", "detail": 'a "b" = c\\d', "empty": ""}
    line = read_line("noise " + format_pairs(pairs), "h")
    assert line is not None
    assert {"event": line.event, **line.pairs} == pairs


def test_line_without_an_event_is_skipped():
    assert read_line("Traceback (most recent call last):", "h") is None


def test_every_reason_of_a_refusal_has_a_text():
    reasons = {ending.value for ending in Ending}
    for name in SOURCES:
        source = (ROOT / "corianderdoor" / name).read_text("utf-8")
        found = re.findall(
            r'(?:refuse|Refuse|hold|diagnose)\([^)]*?"([a-z-]+)"', source
        )
        reasons |= set(found)
    assert "no-server" in reasons
    assert reasons <= set(REFUSAL_TEXTS)


def read_examples() -> list[tuple[str, str]]:
    """Returns the log lines and the cause of each example on the page."""
    blocks = re.split(r"\n(?! {4}|\n)", PAGE.read_text("utf-8"))
    found = []
    for block in blocks:
        lines = re.findall(r"^ {4}(event=.*)$", block, re.M)
        cause = re.search(r"^ {4}(cause: .*)$", block, re.M)
        if lines and cause:
            found.append(("\n".join(lines), cause.group(1)))
    return found


@pytest.mark.parametrize(("log", "cause"), read_examples())
def test_examples_of_the_operations_page_hold(tmp_path, capsys, log, cause):
    path = tmp_path / "host.log"
    path.write_text(log + "\n", encoding="utf-8")
    id = re.findall(r"request_id=(\S+)", log)[-1]
    assert main(["explain", id, str(path)]) == 0
    assert cause in capsys.readouterr().out.splitlines()


def test_operations_page_has_three_examples():
    assert len(read_examples()) == 3
