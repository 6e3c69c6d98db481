"""Codec of the messages about workspace limits."""

from __future__ import annotations

from ..core.quota_messages import QuotaAsk, QuotaGrant, WorkspaceLimit
from .peer_codec import Builder, decodes, encode_body, read_name, Reader


@encode_body.register
def _(body: QuotaAsk, out: Builder) -> None:
    part = out.init("quotaAsk")
    _write_limit(body.limit, part)
    part.seq = body.seq
    part.inUse = body.in_use
    part.wantSlots = body.want_slots
    part.wantTokens = body.want_tokens
    part.demand = body.demand


@encode_body.register
def _(body: QuotaGrant, out: Builder) -> None:
    part = out.init("quotaGrant")
    _write_limit(body.limit, part)
    part.seq = body.seq
    part.slots = body.slots
    part.tokens = body.tokens
    part.share = body.share
    part.holdMs = body.hold_ms
    part.retryMs = body.retry_ms


@decodes("quotaAsk")
def _read_ask(raw: Reader) -> QuotaAsk:
    return QuotaAsk(
        _read_limit(raw.slot),
        raw.seq,
        raw.inUse,
        raw.wantSlots,
        raw.wantTokens,
        raw.demand,
    )


@decodes("quotaGrant")
def _read_grant(raw: Reader) -> QuotaGrant:
    return QuotaGrant(
        _read_limit(raw.slot),
        raw.seq,
        raw.slots,
        raw.tokens,
        raw.share,
        raw.holdMs,
        raw.retryMs,
    )


def _write_limit(limit: WorkspaceLimit, part: Builder) -> None:
    out = part.init("slot")
    out.workspace = limit.workspace
    out.pool = limit.pool
    out.rate = limit.rate
    out.concurrency = limit.concurrency


def _read_limit(raw: Reader) -> WorkspaceLimit:
    return WorkspaceLimit(
        read_name(raw.workspace),
        read_name(raw.pool),
        raw.rate,
        raw.concurrency,
    )
