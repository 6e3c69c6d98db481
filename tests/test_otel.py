"""Tests of the OpenTelemetry metrics."""

import json

from corianderdoor.adapters.otel import (
    evaluate_objectives,
    OBJECTIVE_COUNTER,
    OtelTelemetry,
)
from corianderdoor.core.errors import Kind, Outcome
from corianderdoor.ports.telemetry import RequestEnd


def build_end(workspace="w1", status=200, fault=None, first=200, gap=20.0):
    """Returns the end of a successful request, with defaults."""
    return RequestEnd(
        workspace,
        "redactor",
        "POST",
        status,
        Outcome.RUN,
        fault,
        900,
        first,
        gap,
    )


def list_series(telemetry):
    """Returns (attributes, value) of each exported objective series."""
    series = []
    for line in telemetry.export_json():
        scopes = json.loads(line)["resourceMetrics"][0]["scopeMetrics"]
        for metric in scopes[0]["metrics"]:
            if metric["name"] == OBJECTIVE_COUNTER:
                for point in metric["sum"]["dataPoints"]:
                    attributes = {
                        item["key"].rpartition(".")[2]: item["value"]
                        for item in point["attributes"]
                    }
                    series.append((attributes, int(point["asInt"])))
    return series


def test_objectives_are_met_up_to_their_limits():
    assert dict(evaluate_objectives(build_end(first=640, gap=29.0))) == {
        "availability": True,
        "first-token": True,
        "between-tokens": True,
    }
    late = dict(evaluate_objectives(build_end(first=641, gap=29.1)))
    assert not late["first-token"] and not late["between-tokens"]


def test_failed_answer_misses_and_caller_fault_is_not_counted():
    cut = build_end(fault=Kind.SERVER_FAILED)
    assert dict(evaluate_objectives(cut)) == {"availability": False}
    assert (
        list(evaluate_objectives(build_end(status=429, fault=Kind.LIMITED)))
        == []
    )


def test_counters_are_cumulative_over_exports():
    telemetry = OtelTelemetry("router", "r1", 1, "dc-a")
    for _ in range(3):
        telemetry.record_end(build_end())
    list_series(telemetry)
    telemetry.record_end(build_end())
    found = list_series(telemetry)
    assert sorted(value for _, value in found) == [4, 4, 4]


def test_series_are_bounded_and_the_rest_is_counted_as_overflow():
    telemetry = OtelTelemetry("router", "r1", 1, "dc-a", limit=128)
    for number in range(2_000):
        telemetry.record_end(build_end(f"w{number}"))
    found = list_series(telemetry)
    overflow = sum(value for names, value in found if "overflow" in names)
    named = [value for names, value in found if "overflow" not in names]
    assert len(named) <= 128
    assert overflow + sum(named) == 6_000
