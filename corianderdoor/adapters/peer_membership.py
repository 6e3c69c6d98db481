"""Codec of the membership messages."""

from __future__ import annotations

from typing import Final

from ..core.members import BUCKETS
from ..core.membership_messages import (
    Ack,
    Gossip,
    IndirectPing,
    Nack,
    Ping,
    State,
    SyncPage,
    SyncRequest,
    Update,
)
from .peer_codec import (
    Builder,
    decodes,
    encode_body,
    read_name,
    Reader,
)

MAX_UPDATES: Final = 64
MAX_CONTROL_CHARS: Final = 64
MAX_INCARNATION: Final = 2**62


@encode_body.register
def _(body: Ping, out: Builder) -> None:
    part = out.init("ping")
    part.id = body.id
    _write_gossip(body.gossip, part)


@encode_body.register
def _(body: IndirectPing, out: Builder) -> None:
    part = out.init("indirectPing")
    part.id = body.id
    part.target = body.target
    _write_gossip(body.gossip, part)


@encode_body.register
def _(body: Ack, out: Builder) -> None:
    part = out.init("ack")
    part.id = body.id
    _write_gossip(body.gossip, part)


@encode_body.register
def _(body: Nack, out: Builder) -> None:
    out.init("nack").id = body.id


@encode_body.register
def _(body: SyncRequest, out: Builder) -> None:
    out.init("syncRequest").digests = list(body.digests)


@encode_body.register
def _(body: SyncPage, out: Builder) -> None:
    _write_updates(body.updates, out.init("syncPage"))


@decodes("ping")
def _read_ping(raw: Reader) -> Ping:
    return Ping(raw.id, _read_gossip(raw.gossip))


@decodes("indirectPing")
def _read_indirect_ping(raw: Reader) -> IndirectPing:
    target = read_name(raw.target)
    return IndirectPing(raw.id, target, _read_gossip(raw.gossip))


@decodes("ack")
def _read_ack(raw: Reader) -> Ack:
    return Ack(raw.id, _read_gossip(raw.gossip))


@decodes("nack")
def _read_nack(raw: Reader) -> Nack:
    return Nack(raw.id)


@decodes("syncRequest")
def _read_sync_request(raw: Reader) -> SyncRequest:
    if len(raw.digests) != BUCKETS:
        raise ValueError("wrong number of digests")
    return SyncRequest(tuple(raw.digests))


@decodes("syncPage")
def _read_sync_page(raw: Reader) -> SyncPage:
    return SyncPage(_read_updates(raw.updates))


def _write_gossip(gossip: Gossip, part: Builder) -> None:
    out = part.init("gossip")
    out.revision = gossip.revision
    out.digest = gossip.digest
    _write_updates(gossip.updates, out)


def _write_updates(updates: tuple[Update, ...], out: Builder) -> None:
    slots = out.init("updates", len(updates))
    for update, slot in zip(updates, slots):
        slot.name = update.name
        slot.incarnation = update.incarnation
        slot.refutations = update.refutations
        slot.state = int(update.state)
        slot.control = update.control
        slot.dataCentre = update.data_centre
        slot.region = update.region


def _read_gossip(raw: Reader) -> Gossip:
    return Gossip(raw.revision, raw.digest, _read_updates(raw.updates))


def _read_updates(raw: Reader) -> tuple[Update, ...]:
    if len(raw) > MAX_UPDATES:
        raise ValueError("too many updates")
    return tuple(map(_read_update, raw))


def _read_update(raw: Reader) -> Update:
    if len(raw.control) > MAX_CONTROL_CHARS:
        raise ValueError("control address is too long")
    if raw.incarnation > MAX_INCARNATION:
        raise ValueError("incarnation out of bounds")
    return Update(
        read_name(raw.name),
        raw.incarnation,
        raw.refutations,
        State(raw.state),
        read_name(raw.control),
        read_name(raw.dataCentre),
        read_name(raw.region),
    )
