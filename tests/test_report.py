"""Tests of the burn report from exported metrics to its output."""

import json
import re

from corianderdoor.adapters.otel import OBJECTIVE_COUNTER
from corianderdoor.tools.report import main

# 2026-09-06: clocks in Santiago skip from 00:00 to 01:00.
SKIPPED_HOUR_MS = 1_788_667_200_000
HOUR_MS = 3_600_000


def build_point(at_ms, met, count):
    """Returns one data point of the objective counter."""
    values = {
        "corianderdoor.workspace": {"stringValue": "maule-norte"},
        "corianderdoor.pool": {"stringValue": "redactor"},
        "corianderdoor.objective": {"stringValue": "availability"},
        "corianderdoor.met": {"boolValue": met},
    }
    attributes = [{"key": key, "value": item} for key, item in values.items()]
    return {
        "timeUnixNano": str(at_ms * 1_000_000),
        "asInt": str(count),
        "attributes": attributes,
    }


def build_line(at_ms, good, bad, router="entry-1#1", centre="dc-a"):
    """Returns one export as a line of OTLP JSON."""
    resource = [
        {"key": "service.instance.id", "value": {"stringValue": router}},
        {"key": "corianderdoor.data_centre", "value": {"stringValue": centre}},
    ]
    points = [build_point(at_ms, True, good), build_point(at_ms, False, bad)]
    metric = {"name": OBJECTIVE_COUNTER, "sum": {"dataPoints": points}}
    part = {"resource": {"attributes": resource}}
    part["scopeMetrics"] = [{"metrics": [metric]}]
    return json.dumps({"resourceMetrics": [part]})


def write_exports(tmp_path, bad_per_hour):
    """Writes two days of hourly exports around the skipped hour."""
    lines = [
        build_line(
            SKIPPED_HOUR_MS + hour * HOUR_MS,
            (hour + 25) * 1_000,
            (hour + 25) * bad_per_hour,
        )
        for hour in range(-24, 24)
    ]
    path = tmp_path / "metrics.jsonl"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(path)


def test_report_shows_23_hour_day_and_exits_0_without_alerts(tmp_path, capsys):
    path = write_exports(tmp_path, 0)
    at_ms = str(SKIPPED_HOUR_MS + 23 * HOUR_MS)
    zone = "America/Santiago"
    assert main([path, "--zone", zone, "--at-ms", at_ms]) == 0
    out = capsys.readouterr().out
    assert re.search(r"2026-09-06 +23  availability +23000  100", out)
    assert re.search(r"2026-09-05 +24  availability +24000  100", out)


def test_report_exits_1_when_an_alert_fires(tmp_path, capsys):
    path = write_exports(tmp_path, 20)
    at_ms = str(SKIPPED_HOUR_MS + 23 * HOUR_MS)
    assert main([path, "--at-ms", at_ms, "--json"]) == 1
    burns = json.loads(capsys.readouterr().out)["burns"]
    assert any(item["fires"] and item["severity"] == "page" for item in burns)


def test_page_loads_no_other_files(tmp_path, capsys):
    path = write_exports(tmp_path, 1)
    page = tmp_path / "burn.html"
    at_ms = str(SKIPPED_HOUR_MS + 23 * HOUR_MS)
    main([path, "--at-ms", at_ms, "--html", str(page)])
    text = page.read_text(encoding="utf-8")
    assert text.count("<svg") >= 1
    assert "data_centre=dc-a" in text
    assert not re.search(r"(src|href)=.https?:", text)


def test_bad_input_names_file_and_line(tmp_path, capsys):
    path = tmp_path / "metrics.jsonl"
    path.write_text(build_line(1, 1, 0) + "\n{oops\n", encoding="utf-8")
    assert main([str(path)]) == 2
    assert "metrics.jsonl, line 2" in capsys.readouterr().err
