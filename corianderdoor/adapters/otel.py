"""OpenTelemetry metrics, collected and pushed on the daemon's event loop.

The SDK's periodic reader exports from its own thread. The daemons run one
event loop on one thread, so they collect from an in-memory reader instead,
encode with the SDK's OTLP encoder and push with httpx.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import Any, Final, TypeAlias

import anyio
from expression import Error, Ok, Result
from google.protobuf.json_format import MessageToJson
import httpx
from opentelemetry.exporter.otlp.proto.common.metrics_encoder import (
    encode_metrics,
)
from opentelemetry.sdk.metrics import (
    AlwaysOffExemplarFilter,
    Counter,
    Histogram,
    MeterProvider,
)
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from opentelemetry.sdk.resources import Resource
import xxhash

from ..core.burn import AVAILABILITY, BETWEEN_TOKENS, FIRST_TOKEN
from ..core.clock import MS_PER_SECOND
from ..core.errors import Fault, Kind
from ..ports.telemetry import RequestEnd
from .logs import log_event

SERVICE_PREFIX: Final = "corianderdoor-"
OBJECTIVE_COUNTER: Final = "corianderdoor.objective.events"
EVENT_COUNTER: Final = "corianderdoor.events"
GAUGE: Final = "corianderdoor.state"
REQUEST_DURATION: Final = "http.server.request.duration"
FIRST_CHUNK: Final = "gen_ai.server.time_to_first_token"
CHUNK_GAP: Final = "gen_ai.server.time_per_output_token"
CARDINALITY_LIMIT: Final = 4_000
SHARDS: Final = 64
METER_NAME: Final = "corianderdoor"
SERVER_ERROR_STATUS: Final = 500
PUSH_TIMEOUT_S: Final = 5.0
PUSH_INTERVAL_S: Final = 60.0
DURATION_BUCKETS_S: Final = (
    0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24,
    20.48, 40.96, 81.92,
)  # fmt: skip
TOKEN_GAP_BUCKETS_S: Final = (
    0.001, 0.002, 0.004, 0.008, 0.012, 0.016, 0.02, 0.024, 0.029, 0.04, 0.06,
    0.1, 0.2, 0.5, 1.0,
)  # fmt: skip
_SeriesKey: TypeAlias = tuple[str, str, str, bool]

CALLER_FAULTS: Final = frozenset(
    {
        Kind.BAD_REQUEST,
        Kind.UNAUTHORIZED,
        Kind.NO_RULE,
        Kind.KEY_REUSED,
        Kind.IN_PROGRESS,
        Kind.TOO_LARGE,
        Kind.QUARANTINED,
        Kind.LIMITED,
        Kind.DRAINING,
    }
)


def evaluate_objectives(end: RequestEnd) -> Iterator[tuple[str, bool]]:
    """Yields (objective, met) for each objective that `end` counts for.

    Refusals caused by the caller, such as a missing rule or the workspace's
    own limit, count for no objective.
    """
    if end.fault in CALLER_FAULTS:
        return
    succeeded = end.fault is None and end.status < SERVER_ERROR_STATUS
    yield AVAILABILITY.name, succeeded
    if not succeeded:
        return
    if end.first_chunk_ms is not None:
        yield FIRST_TOKEN.name, end.first_chunk_ms <= FIRST_TOKEN.limit_ms
    if end.gap_ms is not None:
        yield BETWEEN_TOKENS.name, end.gap_ms <= BETWEEN_TOKENS.limit_ms


class _MetricProvider:
    """A meter provider and its reader, encoded in one step."""

    __slots__ = ("reader", "provider")

    def __init__(self, resource: Resource, limit: int) -> None:
        self.reader = InMemoryMetricReader(
            cardinality_limits={Counter: limit, Histogram: limit}
        )
        self.provider = MeterProvider(
            metric_readers=[self.reader],
            resource=resource,
            views=[
                _build_view(REQUEST_DURATION, DURATION_BUCKETS_S),
                _build_view(FIRST_CHUNK, DURATION_BUCKETS_S),
                _build_view(CHUNK_GAP, TOKEN_GAP_BUCKETS_S),
            ],
            shutdown_on_exit=False,
            exemplar_filter=AlwaysOffExemplarFilter(),
        )

    def encode(self) -> Any:
        """Returns all metrics as an OTLP message; None if there are none."""
        data = self.reader.get_metrics_data()
        return encode_metrics(data) if data is not None else None


class OtelTelemetry:
    """Records metrics with the OpenTelemetry SDK.

    Only the objective counter has a workspace attribute. Its series are
    sharded over `SHARDS` providers, so that one step of an export blocks the
    event loop for only a few ms. Each shard keeps a bounded number of
    series; the rest are counted in the overflow series that the SDK marks
    `otel.metric.overflow`. Objective events are summed in a dict between
    exports, because a call of the SDK's own counters costs more.
    """

    __slots__ = (
        "_main",
        "_shards",
        "_objectives",
        "_pending",
        "_events",
        "_gauge",
        "_duration",
        "_first_chunk",
        "_gap",
    )

    def __init__(
        self,
        daemon: str,
        name: str,
        incarnation: int,
        data_centre: str,
        limit: int = CARDINALITY_LIMIT,
    ) -> None:
        resource = Resource(
            {
                "service.name": SERVICE_PREFIX + daemon,
                "service.instance.id": f"{name}#{incarnation}",
                "host.name": name,
                "corianderdoor.data_centre": data_centre,
            }
        )
        self._main = _MetricProvider(resource, limit)
        self._shards = [
            _MetricProvider(resource, limit // SHARDS) for _ in range(SHARDS)
        ]
        self._objectives = [
            shard.provider.get_meter(METER_NAME).create_counter(
                OBJECTIVE_COUNTER, "{event}"
            )
            for shard in self._shards
        ]
        self._pending: collections.Counter[_SeriesKey] = collections.Counter()
        meter = self._main.provider.get_meter(METER_NAME)
        self._events = meter.create_counter(EVENT_COUNTER, "{event}")
        self._gauge = meter.create_gauge(GAUGE)
        self._duration = meter.create_histogram(REQUEST_DURATION, "s")
        self._first_chunk = meter.create_histogram(FIRST_CHUNK, "s")
        self._gap = meter.create_histogram(CHUNK_GAP, "s")

    def record_end(self, end: RequestEnd) -> None:
        """Records a request that has ended."""
        pool = {"corianderdoor.pool": end.pool}
        self._duration.record(
            end.duration_ms / MS_PER_SECOND,
            {
                **pool,
                "http.request.method": end.method,
                "http.response.status_code": end.status,
                "corianderdoor.outcome": end.outcome.value,
            },
        )
        if end.first_chunk_ms is not None:
            self._first_chunk.record(end.first_chunk_ms / MS_PER_SECOND, pool)
        if end.gap_ms is not None:
            self._gap.record(end.gap_ms / MS_PER_SECOND, pool)
        for objective, met in evaluate_objectives(end):
            self._pending[end.workspace, end.pool, objective, met] += 1

    def count(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to the counter of the event `name`."""
        self._events.add(amount, {"corianderdoor.event": name})

    def set_gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name` to its current value."""
        self._gauge.set(value, {"corianderdoor.name": name})

    def export_json(self) -> Iterator[str]:
        """Yields all metrics as lines of OTLP JSON, one provider per line."""
        for encoded in self._encode_parts():
            yield MessageToJson(encoded, indent=None)

    def export_protobuf(self) -> Iterator[bytes]:
        """Yields all metrics as OTLP protobuf, one provider per message."""
        for encoded in self._encode_parts():
            yield encoded.SerializeToString()

    def _encode_parts(self) -> Iterator[Any]:
        parts: list[list[tuple[_SeriesKey, int]]] = [[] for _ in range(SHARDS)]
        for key, amount in self._pending.items():
            parts[_find_shard(key)].append((key, amount))
        self._pending.clear()
        main = self._main.encode()
        if main is not None:
            yield main
        for shard, counter, part in zip(
            self._shards, self._objectives, parts, strict=True
        ):
            for key, amount in part:
                counter.add(amount, _build_attributes(key))
            encoded = shard.encode()
            if encoded is not None:
                yield encoded


def _find_shard(key: _SeriesKey) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(key[:2]).encode()) % SHARDS


def _build_attributes(key: _SeriesKey) -> dict[str, str | bool]:
    workspace, pool, objective, met = key
    return {
        "corianderdoor.workspace": workspace,
        "corianderdoor.pool": pool,
        "corianderdoor.objective": objective,
        "corianderdoor.met": met,
    }


async def push_metrics(
    client: httpx.AsyncClient, url: str, telemetry: OtelTelemetry
) -> Result[None, Fault]:
    """Sends all metrics to an OTLP collector.

    Args:
        client: The HTTP client to use.
        url: The collector's URL for metrics, ending in "/v1/metrics".
        telemetry: The metrics to send.

    Returns:
        A `Kind.PEER_FAILED` fault if the collector rejects a part or cannot
        be reached.
    """
    try:
        for part in telemetry.export_protobuf():
            resp = await client.post(
                url,
                content=part,
                headers={"content-type": "application/x-protobuf"},
                timeout=PUSH_TIMEOUT_S,
            )
            resp.raise_for_status()
    except httpx.HTTPError as exc:
        detail = f"{type(exc).__name__}: {exc}"
        return Error(Fault(Kind.PEER_FAILED, "push-metrics", detail, url))
    return Ok(None)


async def push_periodically(url: str, telemetry: OtelTelemetry) -> None:
    """Pushes all metrics every `PUSH_INTERVAL_S` until cancelled."""
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            await anyio.sleep(PUSH_INTERVAL_S)
            pushed = await push_metrics(client, url, telemetry)
            if pushed.is_error():
                log_event("push_failed", "WARNING", detail=pushed.error.detail)


def _build_view(name: str, bounds: tuple[float, ...]) -> View:
    return View(
        instrument_name=name,
        aggregation=ExplicitBucketHistogramAggregation(bounds),
    )
