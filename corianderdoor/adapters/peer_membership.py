"""Codec of the membership messages."""

from __future__ import annotations

from typing import Final

from ..core.membership_messages import (
    Ack,
    Gossip,
    IndirectPing,
    Ping,
    State,
    Update,
)
from .peer_codec import (
    Builder,
    decodes,
    encode_body,
    MAX_NAME_CHARS,
    read_name,
    Reader,
)

MAX_UPDATES: Final = 64


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


def _write_gossip(gossip: Gossip, part: Builder) -> None:
    out = part.init("gossip")
    out.revision = gossip.revision
    slots = out.init("updates", len(gossip.updates))
    for update, slot in zip(gossip.updates, slots):
        slot.name = update.name
        slot.incarnation = update.incarnation
        slot.refutations = update.refutations
        slot.state = int(update.state)
        slot.control = update.control
        slot.dataCentre = update.data_centre
        slot.region = update.region


def _read_gossip(raw: Reader) -> Gossip:
    if len(raw.updates) > MAX_UPDATES:
        raise ValueError("too many updates")
    return Gossip(raw.revision, tuple(map(_read_update, raw.updates)))


def _read_update(raw: Reader) -> Update:
    if len(raw.control) > MAX_NAME_CHARS:
        raise ValueError("bad address")
    return Update(
        read_name(raw.name),
        raw.incarnation,
        raw.refutations,
        State(raw.state),
        str(raw.control),
        read_name(raw.dataCentre),
        read_name(raw.region),
    )
