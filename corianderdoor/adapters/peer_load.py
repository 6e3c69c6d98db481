"""Codec of the messages that enforce the load bound of servers."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch
from typing import Final

from ..core.load_sums import LoadDigest, PoolSum, Scope
from ..core.permits import (
    Ask,
    HandOff,
    PeerMessage,
    PermitAnswer,
    Release,
    TakeOver,
    Tier,
    Verdict,
)
from ..core.rules import Priority
from .peer_codec import Builder, decodes, encode_body, read_name, Reader

MAX_SUMS: Final = 64
MAX_LEVELS: Final = 64
NO_TIME_MS: Final = -1


@encode_body.register(Ask)
@encode_body.register(PermitAnswer)
@encode_body.register(Release)
@encode_body.register(HandOff)
@encode_body.register(TakeOver)
@encode_body.register(LoadDigest)
def _(body: PeerMessage, out: Builder) -> None:
    _write(body, out.init("load"))


@singledispatch
def _write(body: PeerMessage, out: Builder) -> None:
    raise TypeError(f"no codec for {type(body).__name__}")


@_write.register
def _(body: Ask, out: Builder) -> None:
    part = out.init("ask")
    part.id = body.id
    part.server = body.server
    part.weight = body.weight
    part.ttlMs = body.ttl_ms
    part.tier = int(body.tier)
    part.workspace = body.workspace
    part.priority = int(body.priority)


@_write.register
def _(body: PermitAnswer, out: Builder) -> None:
    part = out.init("answer")
    part.id = body.id
    part.verdict = body.verdict.value


@_write.register
def _(body: Release, out: Builder) -> None:
    part = out.init("release")
    part.id = body.id
    part.server = body.server
    part.served = body.served
    part.crashed = body.crashed
    if body.first_token_ms is not None:
        part.firstTokenMs = body.first_token_ms


@_write.register
def _(body: HandOff, out: Builder) -> None:
    part = out.init("handOff")
    part.server = body.server
    part.incarnation = body.incarnation
    part.work = body.work
    part.requests = body.requests
    part.allowed = body.allowed


@_write.register
def _(body: TakeOver, out: Builder) -> None:
    part = out.init("takeOver")
    part.server = body.server
    part.incarnation = body.incarnation


@_write.register
def _(body: LoadDigest, out: Builder) -> None:
    part = out.init("digest")
    part.seq = body.seq
    part.scope = int(body.scope)
    sums = part.init("sums", len(body.sums))
    for item, slot in zip(body.sums, sums):
        slot.pool = item.pool
        slot.load = item.load
        slot.capacity = item.capacity
    levels = part.init("levels", len(body.levels))
    for (server, level), slot in zip(body.levels, levels):
        slot.server = server
        slot.level = level


@decodes("load")
def _read(raw: Reader) -> PeerMessage:
    kind = str(raw.which())
    return _READERS[kind](getattr(raw, kind))


def _read_ask(raw: Reader) -> Ask:
    server = read_name(raw.server)
    return Ask(
        raw.id,
        server,
        raw.weight,
        raw.ttlMs,
        Tier(raw.tier),
        raw.workspace,
        Priority(raw.priority),
    )


def _read_answer(raw: Reader) -> PermitAnswer:
    return PermitAnswer(raw.id, Verdict(str(raw.verdict)))


def _read_release(raw: Reader) -> Release:
    first_ms = raw.firstTokenMs
    return Release(
        raw.id,
        read_name(raw.server),
        raw.served,
        None if first_ms == NO_TIME_MS else first_ms,
        raw.crashed,
    )


def _read_hand_off(raw: Reader) -> HandOff:
    return HandOff(
        read_name(raw.server),
        raw.incarnation,
        raw.work,
        raw.requests,
        raw.allowed,
    )


def _read_take_over(raw: Reader) -> TakeOver:
    return TakeOver(read_name(raw.server), raw.incarnation)


def _read_digest(raw: Reader) -> LoadDigest:
    if len(raw.sums) > MAX_SUMS or len(raw.levels) > MAX_LEVELS:
        raise ValueError("too many entries")
    sums = tuple(
        PoolSum(read_name(item.pool), item.load, item.capacity)
        for item in raw.sums
    )
    levels = tuple((read_name(i.server), i.level) for i in raw.levels)
    return LoadDigest(raw.seq, sums, levels, Scope(raw.scope))


_READERS: Final[dict[str, Callable[[Reader], PeerMessage]]] = {
    "ask": _read_ask,
    "answer": _read_answer,
    "release": _read_release,
    "handOff": _read_hand_off,
    "takeOver": _read_take_over,
    "digest": _read_digest,
}
