"""Codec of the reports about requests that crash backend servers."""

from __future__ import annotations

from ..core.quarantine import CrashReport, CrashReports, REPORTS_PER_MESSAGE
from .peer_codec import Builder, decodes, encode_body, read_name, Reader


@encode_body.register
def _(body: CrashReports, out: Builder) -> None:
    part = out.init("crashReports")
    slots = part.init("reports", len(body.reports))
    for report, slot in zip(body.reports, slots, strict=True):
        slot.key = report.key
        slot.exact = report.exact
        slot.server = report.server
        slot.incarnation = report.incarnation
        slot.number = report.number
        slot.sole = report.sole
        slot.ageMs = report.age_ms


@decodes("crashReports")
def _read_reports(raw: Reader) -> CrashReports:
    if len(raw.reports) > REPORTS_PER_MESSAGE:
        raise ValueError("too many reports")
    return CrashReports(tuple(map(_read_report, raw.reports)))


def _read_report(raw: Reader) -> CrashReport:
    return CrashReport(
        raw.key,
        raw.exact,
        read_name(raw.server),
        raw.incarnation,
        raw.number,
        raw.sole,
        raw.ageMs,
    )
