"""Decodes and encodes what the store holds about rollouts of versions."""

from __future__ import annotations

import math
from typing import Final, Literal

import msgspec

from ..core.clock import MS_PER_SECOND
from ..core.entry.rollout_records import (
    RolloutOrder,
    RolloutRecord,
    RolloutState,
)
from .decoding import decode_fields, RecordError

# Written by the operators; the hosts only read it.
ORDER_PREFIX: Final = "op/rollout/"
# The hosts' own record of a rollout.
ROLLOUT_PREFIX: Final = "corianderdoor/rollouts/"
# What the hosts tell the operators about a rollout.
STATUS_PREFIX: Final = "status/rollout/"
# Longest time budget that an order can name (a year). A larger one is a
# mistake and has no exact number of ms as a float.
MAX_DURATION_S: Final = 31_536_000.0

_State = Literal["in_progress", "completed", "reverted"]


class _Order(msgspec.Struct):
    service: str
    to: str
    duration_s: float


class _Record(msgspec.Struct):
    order_revision: int
    to: str
    started_ms: int
    state: _State
    baseline: str = ""
    rejected: list[str] = []


class _Status(msgspec.Struct):
    state: str
    to: str


def decode_order(service: str, value: bytes, revision: int) -> RolloutOrder:
    """Returns the order in `value`.

    Args:
        service: Service that the key names.
        value: Value of the key.
        revision: Revision of the key.

    Raises:
        RecordError: The order is malformed, is for another service than its
            key, names no version, or its duration is not a number of seconds
            above 0.
    """
    raw = decode_fields(value, _Order, f"order for service {service}")
    if not service or raw.service != service:
        raise RecordError(
            f"order for service {service}: names service {raw.service!r}",
            "service",
        )
    if not raw.to:
        raise RecordError(
            f"order for service {service}: names no version", "to"
        )
    if not 0 < raw.duration_s <= MAX_DURATION_S:
        raise RecordError(
            f"order for service {service}: duration of {raw.duration_s} s",
            "duration_s",
        )
    duration_ms = math.ceil(raw.duration_s * MS_PER_SECOND)
    return RolloutOrder(service, raw.to, duration_ms, revision)


def encode_order(service: str, to: str, duration_s: float) -> bytes:
    """Returns an order as the operators write it."""
    return msgspec.json.encode(_Order(service, to, duration_s))


def decode_record(service: str, value: bytes, revision: int) -> RolloutRecord:
    """Returns the hosts' record of a rollout.

    Args:
        service: Service that the key names.
        value: Value of the key.
        revision: Revision of the key.

    Raises:
        RecordError: The record is invalid.
    """
    raw = decode_fields(value, _Record, f"rollout of service {service}")
    return RolloutRecord(
        service,
        raw.order_revision,
        raw.to,
        raw.baseline,
        raw.started_ms,
        RolloutState(raw.state),
        tuple(raw.rejected),
        revision,
    )


def encode_record(record: RolloutRecord) -> bytes:
    """Returns the encoded record; its revision is the one of its key."""
    return msgspec.json.encode(
        {
            "order_revision": record.order_revision,
            "to": record.to,
            "baseline": record.baseline,
            "started_ms": record.started_wall_ms,
            "state": record.state.value,
            "rejected": list(record.rejected),
        }
    )


def encode_status(record: RolloutRecord) -> bytes:
    """Returns the status of a rollout for the operators."""
    return msgspec.json.encode(_Status(record.state.value, record.to))


def decode_status(service: str, value: bytes) -> tuple[str, str]:
    """Returns the state and the version in a status.

    Raises:
        RecordError: The status is invalid.
    """
    raw = decode_fields(value, _Status, f"status of service {service}")
    return raw.state, raw.to
