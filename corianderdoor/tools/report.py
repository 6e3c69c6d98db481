"""The program `corianderdoor-report`: burn rates of error budgets."""

from __future__ import annotations

import argparse
from collections.abc import Iterable
import pathlib
import sys
import time
from typing import Any, Final
import zoneinfo

from expression import Result
import msgspec

from .. import VERSION
from ..core.burn import (
    compute_burn_rates,
    compute_increments,
    count_events,
    DAY_MS,
    Finding,
    HOUR_MS,
    Increment,
    list_local_days,
    MINUTE_MS,
    OBJECTIVES,
    Reading,
)
from ..core.clock import MS_PER_SECOND
from .otlp_readings import read_exports

EXIT_DONE: Final = 0
EXIT_BURNING: Final = 1
EXIT_USAGE: Final = 2
DAYS_SHOWN: Final = 7


class DayRow:
    """Events of one objective on one local day."""

    __slots__ = ("date", "hours", "objective", "events", "good_share")

    def __init__(
        self,
        date: str,
        hours: float,
        objective: str,
        events: int,
        good_share: float,
    ) -> None:
        self.date = date
        self.hours = hours
        self.objective = objective
        self.events = events
        self.good_share = good_share


def list_day_rows(
    increments: list[Increment], zone: str, now_ms: int
) -> list[DayRow]:
    """Returns a row per local day and objective that has events."""
    rows: list[DayRow] = []
    start_ms = now_ms - (DAYS_SHOWN - 1) * DAY_MS
    for day in list_local_days(zone, start_ms, now_ms):
        for objective in OBJECTIVES:
            items = [
                item
                for item in increments
                if item.series.objective == objective.name
            ]
            found = count_events(items, day.start_ms - 1, day.end_ms - 1)
            if found.total:
                rows.append(
                    DayRow(
                        day.date,
                        day.hours,
                        objective.name,
                        found.total,
                        found.good / found.total,
                    )
                )
    return rows


def format_findings(findings: Iterable[Finding]) -> list[str]:
    """Returns the table of burn rates as lines of text.

    Rules that fire come first, then the others; each by falling long rate.
    """
    lines = [
        f"{'group':<28}{'objective':<16}{'windows':<12}"
        f"{'burn':>8}{'now':>8}{'events':>10}  alert"
    ]
    ordered = sorted(
        findings, key=lambda item: (not item.fires, -item.long_rate)
    )
    for item in ordered:
        lines.append(
            f"{item.group:<28}{item.objective.name:<16}"
            f"{format_windows(item):<12}{item.long_rate:>8.2f}"
            f"{item.short_rate:>8.2f}{item.events:>10}"
            f"  {item.rule.severity if item.fires else '-'}"
        )
    return lines


def format_windows(finding: Finding) -> str:
    """Returns the windows of a finding's rule, such as "1h/5m"."""
    rule = finding.rule
    long_h = rule.long_ms // HOUR_MS
    if rule.short_ms >= HOUR_MS:
        return f"{long_h}h/{rule.short_ms // HOUR_MS}h"
    return f"{long_h}h/{rule.short_ms // MINUTE_MS}m"


def format_days(rows: Iterable[DayRow]) -> list[str]:
    """Returns the table of local days as lines of text."""
    lines = [f"{'day':<12}{'hours':>6}  {'objective':<16}{'events':>10}  good"]
    for row in rows:
        lines.append(
            f"{row.date:<12}{row.hours:>6.0f}  {row.objective:<16}"
            f"{row.events:>10}  {row.good_share:.3%}"
        )
    return lines


def _read_files(paths: list[pathlib.Path]) -> list[Reading] | None:
    readings: list[Reading] = []
    for path in paths:
        try:
            lines = path.read_bytes().splitlines()
        except OSError as exc:
            print(f"{path}: {exc.strerror}", file=sys.stderr)
            return None
        match read_exports(lines, str(path)):
            case Result(tag="ok", ok=found):
                readings += found
            case Result(error=fault):
                print(fault.detail, file=sys.stderr)
                return None
    return readings


def _encode_report(findings: list[Finding], rows: list[DayRow]) -> bytes:
    burns: list[dict[str, Any]] = [
        {
            "group": item.group,
            "objective": item.objective.name,
            "severity": item.rule.severity,
            "long_ms": item.rule.long_ms,
            "short_ms": item.rule.short_ms,
            "long_rate": item.long_rate,
            "short_rate": item.short_rate,
            "events": item.events,
            "fires": item.fires,
        }
        for item in findings
    ]
    days = [
        {name: getattr(row, name) for name in DayRow.__slots__} for row in rows
    ]
    return msgspec.json.encode({"burns": burns, "days": days})


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="corianderdoor-report",
        description="Reports the burn rates of the error budgets.",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    parser.add_argument(
        "files",
        nargs="+",
        type=pathlib.Path,
        help="routers' exported metrics, OTLP JSON, one export per line",
    )
    parser.add_argument(
        "--zone", default="UTC", help="IANA time zone of the days"
    )
    parser.add_argument(
        "--at-ms", type=int, help="end of the windows, Unix time in ms"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--html", type=pathlib.Path, help="write an HTML page")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs the program `corianderdoor-report`.

    Returns:
        0 if no alert fires, 1 if any fires, 2 on invalid usage or input.
    """
    args = _build_parser().parse_args(argv)
    if args.zone not in zoneinfo.available_timezones():
        print(f"{args.zone} is not an IANA time zone", file=sys.stderr)
        return EXIT_USAGE
    readings = _read_files(args.files)
    if readings is None:
        return EXIT_USAGE
    now_ms = args.at_ms or int(time.time() * MS_PER_SECOND)
    increments = compute_increments(readings)
    findings = compute_burn_rates(increments, now_ms)
    rows = list_day_rows(increments, args.zone, now_ms)
    if args.html:
        from .report_page import render_page

        page = render_page(increments, findings, rows, args.zone, now_ms)
        args.html.write_text(page, encoding="utf-8")
    if args.json:
        print(_encode_report(findings, rows).decode())
    else:
        print("\n".join([*format_findings(findings), "", *format_days(rows)]))
    firing = any(item.fires for item in findings)
    return EXIT_BURNING if firing else EXIT_DONE


if __name__ == "__main__":
    sys.exit(main())
