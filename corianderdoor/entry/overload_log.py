"""Logs the forecasts behind refusals."""

from __future__ import annotations

from ..adapters.logs import log_event
from ..core.entry.flights import Flight, Refuse


def log_forecast(flight: Flight | None, refusal: Refuse) -> None:
    """Logs the forecast because of which a request is refused, if any."""
    forecast = refusal.forecast
    if flight is None or forecast is None:
        return
    workspace = flight.workspace
    log_event(
        "refusal_forecast",
        request_id=flight.req.id,
        reason=refusal.reason,
        service=flight.service,
        priority=flight.urgency(),
        workspace=workspace.name if workspace is not None else "",
        forecast_ms=forecast.first_event_ms,
        wait_ms=forecast.wait_ms,
        queued=forecast.queued,
        rate=round(forecast.rate, 1),
        report_age_ms=forecast.report_age_ms,
    )
