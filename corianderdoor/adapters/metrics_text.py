"""Metrics of an entry host in text format, based on OpenTelemetry.

The SDK and the exporter are loaded at the first request for metrics because
the SDK alone costs about 3 MB and 0.1 s. Counters are kept from the start of
the process; latencies are recorded only from that first request on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from ..core.entry.counters import Counters

COUNTER_DESCRIPTIONS: Final = {
    "requests": "Requests of callers by kind and outcome.",
    "refusals": "Failures of our own by reason, status and kind of request.",
    "answers_aborted": "Answers cut off after they had begun, by reason.",
    "sends": "Sends to backend servers by how they ended.",
    "repeats": "Sends beyond the first of a request.",
    "prompt_tokens": "Prompt tokens by where they were expected.",
    "connections": "Connections to backend servers by how they were opened.",
    "tunnels": "Connections to backend servers that peers asked for.",
    "leaving_servers": "Servers found to be leaving, by who said so.",
    "server_crashes": "Crashes of servers under requests of this host.",
    "crash_suspect_changes": "Verdicts on crashing requests and parts.",
    "server_limit_changes": "Changes of the limits that servers named.",
    "server_pauses": "Pauses that servers asked this host for.",
    "ignored_marks": "Unusable marks in servers' answers, by kind.",
    "brittle_rejections": "Requests that brittle servers turned away.",
    "stray_answers": "Answers to other requests that were skipped.",
    "first_event_forecasts": "First events by the error of their forecast.",
    "rollout_answers": "Answers during a rollout, by service and version.",
    "rollout_bad_answers": "Failures and slow answers among them.",
    "rollout_writes": "Writes of rollouts' outcomes by result.",
    "unexpected_bytes": "Connections on which a server sent bytes unasked.",
    "task_failures": "Unexpected errors that ended a task, by task.",
    "invalid_messages": "Messages that could not be used, by kind.",
    "dropped_messages": "Messages of peers that came too fast, by kind.",
    "store_calls": "Calls to the platform's store.",
    "store_restores": "Restores of the store that this host noticed.",
    "store_eras_ignored": "Answers of the store without a valid era.",
}
METRIC_PREFIX: Final = "corianderdoor_"
LATENCY_BOUNDS_MS: Final = (
    *(10, 25, 50, 100, 150, 200, 300, 400, 600, 800),
    *(1_000, 1_500, 2_500, 4_000, 6_000, 15_000),
)

Gauges = Mapping[str, Callable[[], float]]


class MetricsText:
    """Renders counters, gauges and latencies in the Prometheus format."""

    __slots__ = ("_counters", "_gauges", "_render")

    def __init__(self, counters: Counters, gauges: Gauges) -> None:
        self._counters = counters
        self._gauges = gauges
        self._render: Callable[[], bytes] | None = None

    def render(self) -> bytes:
        """Returns all metrics as encoded text."""
        if self._render is None:
            self._render = self._set_up()
        return self._render()

    def _set_up(self) -> Callable[[], bytes]:
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=registry,
        )
        meter = MeterProvider([reader]).get_meter("corianderdoor.entry")
        for name, about in COUNTER_DESCRIPTIONS.items():
            meter.create_observable_counter(
                METRIC_PREFIX + name,
                [self._read_total(name)],
                description=about,
            )
        for name, read in self._gauges.items():
            meter.create_observable_gauge(
                METRIC_PREFIX + name, [self._read_gauge(read)]
            )
        latency = meter.create_histogram(
            METRIC_PREFIX + "first_byte",
            unit="ms",
            description="Time to the first byte of an answer.",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_MS,
        )
        self._counters.on_latency = lambda kind, value: latency.record(
            value, {"kind": kind}
        )
        return lambda: bytes(generate_latest(registry))

    def _read_total(self, name: str) -> Callable[[Any], Iterable[Any]]:
        from opentelemetry.metrics import Observation

        def observe(options: Any) -> Iterable[Any]:
            for labels, total in self._counters.read(name):
                yield Observation(total, dict(labels))

        return observe

    @staticmethod
    def _read_gauge(read: Callable[[], float]) -> Callable[[Any], Any]:
        from opentelemetry.metrics import Observation

        return lambda options: [Observation(read())]
