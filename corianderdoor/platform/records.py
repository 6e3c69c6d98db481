"""Decodes and encodes records in the platform's store."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from ..core.clock import MS_PER_SECOND
from ..core.entry.addresses import Address
from ..core.entry.routing import (
    CallerLimits,
    DesiredState,
    Route,
    RouteKind,
    Service,
    Workspace,
)
from .decoding import decode_fields, RecordError
from .settings import parse_remote_address, SettingsError

SERVER_PREFIX: Final = "servers/"
DESIRED_KEY: Final = "op/config"
EVACUATION_PREFIX: Final = "op/evacuate/"
# Entry hosts write one record each while they are in service.
HOST_PREFIX: Final = "corianderdoor/hosts/"
# Entry hosts save here which servers cache which prompt parts.
CACHES_KEY: Final = "corianderdoor/caches"
ROUTE_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    stream_resumption: bool = False
    target_gap_ms: float | None = None


class _Engine(msgspec.Struct):
    kv_cache_tokens: int = 0


class _Service(msgspec.Struct):
    name: str
    connection_limit: int = 100
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0
    inference_engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] = []


class _Host(msgspec.Struct):
    callers: str
    peers: str
    data_centre: str
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0


def decode_desired(value: bytes) -> DesiredState:
    """Returns the desired state in `value`.

    Raises:
        RecordError: The value is not a valid desired state.
    """
    raw = decode_fields(value, _Config, "desired state")
    try:
        routes = [_decode_route(route) for route in raw.routes]
        return _build_desired(raw, routes)
    except (KeyError, ValueError, OverflowError) as exc:
        raise RecordError(f"desired state: {exc}") from exc


def _build_desired(raw: _Config, routes: list[Route]) -> DesiredState:
    limits = raw.limits
    return DesiredState(
        raw.version,
        routes,
        [
            Service(
                service.name,
                service.connection_limit,
                service.cold_per_s,
                (
                    service.inference_engine.kv_cache_tokens
                    if service.inference_engine
                    else 0
                ),
                int(service.cold_start_s * MS_PER_SECOND),
            )
            for service in raw.services
        ],
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
        {
            key: Workspace(tenant.name, tenant.priority)
            for tenant in raw.tenants
            for key in tenant.api_keys
        },
        bool(raw.tenants),
    )


def _decode_route(raw: _Route) -> Route:
    split = tuple((part.service, part.weight) for part in raw.traffic_split)
    if not split:
        if not raw.service:
            raise ValueError(f"route {raw.name} has no service")
        split = ((raw.service, 1.0),)
    return Route(
        raw.name,
        raw.host.lower(),
        raw.path_prefix,
        ROUTE_KINDS[raw.kind],
        raw.timeout_ms,
        raw.target_latency_ms,
        raw.priority,
        split,
        raw.max_attempts,
        raw.public,
        raw.stream_resumption,
        raw.target_gap_ms or 0.0,
    )


def encode_host(
    callers: Address,
    peers: Address,
    data_centre: str,
    link_mbps: float,
) -> bytes:
    """Returns the encoded record of an entry host."""
    return msgspec.json.encode(
        _Host(
            f"{callers[0]}:{callers[1]}",
            f"{peers[0]}:{peers[1]}",
            data_centre,
            link_mbps,
        )
    )


def decode_host(
    name: str, value: bytes
) -> tuple[Address, Address, str, float]:
    """Returns the decoded record of an entry host.

    Returns:
        Its address for callers, its address for peers, its data centre, and
        the speed of its network link in Mbit/s.

    Raises:
        RecordError: The record is invalid.
    """
    raw = decode_fields(value, _Host, f"record of host {name!r}")
    try:
        callers = parse_remote_address(raw.callers)
    except SettingsError as exc:
        raise RecordError(
            f"record of host {name!r}: {exc}", "callers"
        ) from exc
    try:
        peers = parse_remote_address(raw.peers)
    except SettingsError as exc:
        raise RecordError(f"record of host {name!r}: {exc}", "peers") from exc
    return callers, peers, raw.data_centre, raw.link_mbps
