"""Reads metrics that routers exported as lines of OTLP JSON."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from expression import Error, Ok, Result
import msgspec

from ..adapters.otel import OBJECTIVE_COUNTER
from ..core.burn import Reading, Series
from ..core.errors import Fault, Kind

NS_PER_MS: Final = 1_000_000


class _Value(msgspec.Struct):
    stringValue: str = ""  # noqa: N815
    boolValue: bool = False  # noqa: N815


class _Attribute(msgspec.Struct):
    key: str
    value: _Value


class _Point(msgspec.Struct):
    timeUnixNano: str = "0"  # noqa: N815
    asInt: str = "0"  # noqa: N815
    attributes: list[_Attribute] = []


class _Sum(msgspec.Struct):
    dataPoints: list[_Point] = []  # noqa: N815


class _Metric(msgspec.Struct):
    name: str
    sum: _Sum | None = None


class _Scope(msgspec.Struct):
    metrics: list[_Metric] = []


class _Resource(msgspec.Struct):
    attributes: list[_Attribute] = []


class _ResourceMetrics(msgspec.Struct):
    resource: _Resource
    scopeMetrics: list[_Scope] = []  # noqa: N815


class _Export(msgspec.Struct):
    resourceMetrics: list[_ResourceMetrics] = []  # noqa: N815


def read_exports(
    lines: Iterable[bytes], source: str
) -> Result[list[Reading], Fault]:
    """Returns the readings of objective counters in lines of OTLP JSON.

    Args:
        lines: One export per line; blank lines are skipped.
        source: Name of the input, for the error.

    Returns:
        The readings, or a `Kind.BAD_REQUEST` fault that names the line.
    """
    readings: list[Reading] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            export = msgspec.json.decode(line, type=_Export)
            readings += _read_export(export)
        except (msgspec.MsgspecError, ValueError) as exc:
            detail = f"{source}, line {number}: {exc}"
            return Error(Fault(Kind.BAD_REQUEST, "read-metrics", detail))
    return Ok(readings)


def _read_export(export: _Export) -> Iterator[Reading]:
    for resource_metrics in export.resourceMetrics:
        labels = _read_attributes(resource_metrics.resource.attributes)
        for scope in resource_metrics.scopeMetrics:
            for metric in scope.metrics:
                if metric.name == OBJECTIVE_COUNTER and metric.sum:
                    yield from _pair_points(labels, metric.sum.dataPoints)


def _pair_points(
    resource: dict[str, _Value], points: list[_Point]
) -> Iterator[Reading]:
    """Yields one reading per pair of good and bad counters."""
    pairs: dict[tuple[int, Series], list[int]] = {}
    for point in points:
        labels = _read_attributes(point.attributes)
        series = Series(
            _string_value(labels, "corianderdoor.objective"),
            _string_value(labels, "corianderdoor.workspace"),
            _string_value(labels, "corianderdoor.pool"),
            _string_value(resource, "corianderdoor.data_centre"),
        )
        if not series.objective:
            continue  # The overflow series has no objective.
        at_ms = int(point.timeUnixNano) // NS_PER_MS
        pair = pairs.setdefault((at_ms, series), [0, 0])
        met = labels.get("corianderdoor.met", _Value()).boolValue
        pair[0 if met else 1] += int(point.asInt)
    source = _string_value(resource, "service.instance.id")
    for (at_ms, series), (good, bad) in pairs.items():
        yield Reading(at_ms, source, series, good, bad)


def _read_attributes(items: list[_Attribute]) -> dict[str, _Value]:
    return {item.key: item.value for item in items}


def _string_value(values: dict[str, _Value], key: str) -> str:
    return values.get(key, _Value()).stringValue
