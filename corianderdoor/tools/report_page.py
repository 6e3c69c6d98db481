"""The burn report as a self-contained HTML page with plots."""

from __future__ import annotations

from collections.abc import Iterable
import datetime
import html
import io
from typing import Final, TYPE_CHECKING
import zoneinfo

import matplotlib
from matplotlib.dates import date2num
from matplotlib.figure import Figure

from ..core.burn import (
    count_events,
    DAY_MS,
    Finding,
    group_by,
    Increment,
    MINUTE_MS,
    Objective,
    OBJECTIVES,
)
from ..core.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from .report import DayRow

PLOT_STEPS: Final = 96
MIN_STEP_MS: Final = MINUTE_MS
MAX_PLOTTED_GROUPS: Final = 8
STYLE: Final = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto;
  max-width: 62rem; padding: 0 1rem; color: #1d2430; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; font-size: 0.9rem; }
th, td { text-align: left; padding: 0.3rem 0.6rem;
  border-bottom: 1px solid #dde2ea; }
td.number, th.number { text-align: right;
  font-variant-numeric: tabular-nums; }
tr.page td { background: #fde8e6; } tr.ticket td { background: #fff5dc; }
svg { width: 100%; height: auto; }
"""


def render_page(
    increments: list[Increment],
    findings: list[Finding],
    days: list[DayRow],
    zone: str,
    now_ms: int,
) -> str:
    """Returns the page as HTML.

    Args:
        increments: Increments of the objective counters.
        findings: Burn rates, by group and alert rule.
        days: Rows of the table of local days.
        zone: IANA time zone of the times shown.
        now_ms: End of the report, Unix time in ms.
    """
    stamp = _to_local(now_ms, zone).strftime("%Y-%m-%d %H:%M %Z")
    plots = "".join(
        f"<h2>Burn of {html.escape(objective.name)} by data centre</h2>"
        + _plot_burn(increments, objective, zone, now_ms)
        for objective in OBJECTIVES
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{STYLE}</style></head>"
        f"<body><h1>Service-level burn</h1><p>Until {html.escape(stamp)}. "
        "A burn of 1 uses the error budget up exactly.</p>"
        f"<h2>Alerts and burns</h2>{_render_findings(findings)}"
        f"<h2>Days in {html.escape(zone)}</h2>{_render_days(days)}"
        f"{plots}</body></html>"
    )


def _render_findings(findings: Iterable[Finding]) -> str:
    from .report import format_windows

    ordered = sorted(
        findings, key=lambda item: (not item.fires, -item.long_rate)
    )
    rows = [
        (
            item.rule.severity if item.fires else "",
            [
                item.group,
                item.objective.name,
                format_windows(item),
                f"{item.long_rate:.2f}",
                f"{item.short_rate:.2f}",
                f"{item.events}",
                item.rule.severity if item.fires else "–",
            ],
        )
        for item in ordered
    ]
    headings = [
        "group",
        "objective",
        "windows",
        "burn",
        "now",
        "events",
        "alert",
    ]
    return _render_table(headings, rows, {3, 4, 5})


def _render_days(days: Iterable[DayRow]) -> str:
    rows = [
        (
            "",
            [
                row.date,
                f"{row.hours:.0f}",
                row.objective,
                f"{row.events}",
                f"{row.good_share:.3%}",
            ],
        )
        for row in days
    ]
    headings = ["day", "hours", "objective", "events", "good"]
    return _render_table(headings, rows, {1, 3, 4})


def _render_table(
    headings: list[str],
    rows: list[tuple[str, list[str]]],
    number_columns: set[int],
) -> str:
    def cells(tag: str, texts: list[str]) -> str:
        return "".join(
            f"<{tag}{' class=number' if column in number_columns else ''}>"
            f"{html.escape(text)}</{tag}>"
            for column, text in enumerate(texts)
        )

    body = "".join(
        f"<tr class='{kind}'>{cells('td', texts)}</tr>" for kind, texts in rows
    )
    return f"<table><tr>{cells('th', headings)}</tr>{body}</table>"


def _plot_burn(
    increments: list[Increment], objective: Objective, zone: str, now_ms: int
) -> str:
    items = [
        item for item in increments if item.series.objective == objective.name
    ]
    if not items:
        return "<p>No events.</p>"
    first_ms = max(min(item.at_ms for item in items), now_ms - 3 * DAY_MS)
    step_ms = max(MIN_STEP_MS, (now_ms - first_ms) // PLOT_STEPS)
    figure = Figure(figsize=(9, 2.8))
    axes = figure.subplots()
    groups = group_by(items, "data_centre")
    for name in sorted(groups)[:MAX_PLOTTED_GROUPS]:
        times, rates = _list_rates(
            groups[name], objective, first_ms, now_ms, step_ms
        )
        axes.plot(
            [_to_plot_date(at_ms, zone) for at_ms in times],
            rates,
            label=name.partition("=")[2],
            linewidth=1.4,
        )
    axes.axhline(1, color="#888888", linewidth=0.8, linestyle="--")
    axes.set_ylabel("burn rate")
    axes.set_ylim(bottom=0)
    axes.xaxis_date(zoneinfo.ZoneInfo(zone))
    axes.legend(loc="upper left", fontsize=8, frameon=False)
    axes.spines[["top", "right"]].set_visible(False)
    return _to_svg(figure)


def _list_rates(
    items: list[Increment],
    objective: Objective,
    first_ms: int,
    now_ms: int,
    step_ms: int,
) -> tuple[list[int], list[float]]:
    times = list(range(first_ms, now_ms + 1, step_ms))
    rates = [
        count_events(items, at_ms - step_ms, at_ms).burn_rate(objective.target)
        for at_ms in times
    ]
    return times, rates


def _to_svg(figure: Figure) -> str:
    out = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "corianderdoor"}):
        figure.savefig(
            out, format="svg", bbox_inches="tight", metadata={"Date": None}
        )
    text = out.getvalue()
    return text[text.index("<svg") :]


def _to_plot_date(at_ms: int, zone: str) -> float:
    local = _to_local(at_ms, zone)
    return float(date2num(local))  # type: ignore[no-untyped-call]


def _to_local(at_ms: int, zone: str) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(
        at_ms / MS_PER_SECOND, zoneinfo.ZoneInfo(zone)
    )
