"""Encoding of the messages between entry hosts."""

from __future__ import annotations

import itertools
import pathlib
from typing import Any, Final
import zlib

import capnp

from ..core.entry.brittle_room import RoomReport
from ..core.entry.heartbeat import Heartbeat
from ..core.entry.replica import Change, Page
from ..core.entry.rollout_evidence import MAX_ROUTES, MAX_SERVERS
from ..core.entry.rollout_records import RolloutReport, RouteCounts
from .crash_codec import (
    decode_attempts,
    decode_parts,
    encode_attempts,
    encode_parts,
)
from .limit_codec import decode_limits, encode_limits
from .packed_messages import is_whole

_SCHEMA: Any = capnp.load(str(pathlib.Path(__file__).with_name("entry.capnp")))
# Highest values that the fields of a heartbeat can hold; higher ones are sent
# as these.
MAX_ENCODED_CONTACT_AGE_MS: Final = 2**32 - 1
MAX_COUNT: Final = 2**16 - 1
# The fastest level; the records are text, which compresses well at any level.
COMPRESSION_LEVEL: Final = 1
MAX_PERCENT: Final = 100
# Rollouts in one heartbeat, each of about 650 bytes at most.
MAX_ROLLOUTS: Final = 4
MAX_ANSWERS: Final = 2**32 - 1
MAX_TOKENS: Final = 2**32 - 1
MAX_PAGE_BYTES: Final = 33_554_432
# Traversal limit in words; stops messages with pointers to themselves.
MAX_WORDS: Final = 4_194_304
# The same for a heartbeat. The largest datagram has 13,000 words of loads; a
# damaged one that names far more took half a second to read.
MAX_HEARTBEAT_WORDS: Final = 65_536


class MessageError(Exception):
    """Raised when bytes can't be decoded as the expected message."""


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Returns `heartbeat` as a datagram."""
    message = _SCHEMA.Heartbeat.new_message(
        sender=heartbeat.sender,
        boot=heartbeat.boot,
        revision=heartbeat.revision,
        contactAgeMs=min(MAX_ENCODED_CONTACT_AGE_MS, heartbeat.contact_age_ms),
        leaving=heartbeat.leaving,
        livePeers=min(MAX_COUNT, heartbeat.live_peers),
        ejected=list(heartbeat.ejected),
        crashes=[
            {"request": fingerprint, "server": server}
            for fingerprint, server in heartbeat.crashes
        ],
        loads=[
            {
                "server": server,
                "count": min(MAX_COUNT, count),
                "unread": min(MAX_TOKENS, unread),
            }
            for server, count, unread in heartbeat.loads
        ],
        cachedParts=[
            {"part": part, "server": server}
            for part, server in heartbeat.cached_parts
        ],
        intervalMs=min(MAX_COUNT, heartbeat.interval_ms),
        cpuPercent=min(MAX_PERCENT, heartbeat.cpu_percent),
        unreached=list(heartbeat.unreached),
        linksCut=heartbeat.links_cut,
        era=heartbeat.era,
        leavingServers=list(heartbeat.leaving_servers),
        rooms=[
            {
                "server": report.server,
                "limit": report.limit,
                "rejected": min(MAX_COUNT, report.rejected),
                "room": min(MAX_COUNT, report.room),
            }
            for report in heartbeat.rooms
        ],
        rollouts=_encode_rollouts(heartbeat.rollouts),
        attempts=encode_attempts(heartbeat.attempts),
        parts=encode_parts(heartbeat.parts),
        limits=encode_limits(heartbeat.limits),
        hasOverrides=heartbeat.has_overrides,
        overridesDigest=heartbeat.overrides_digest,
    )
    return bytes(message.to_bytes_packed())


def _encode_rollouts(
    reports: tuple[RolloutReport, ...],
) -> list[dict[str, Any]]:
    # Verdicts come first, as the bounds must not leave one out.
    ordered = sorted(reports, key=lambda report: not report.is_bad)
    return [
        {
            "service": report.service,
            "orderRevision": report.order_revision,
            "sharePermille": min(MAX_COUNT, report.share_permille),
            "isBad": report.is_bad,
            "routes": [
                {
                    "route": counts.route,
                    "oldAnswers": min(MAX_ANSWERS, counts.old_answers),
                    "oldBad": min(MAX_ANSWERS, counts.old_bad),
                    "newAnswers": min(MAX_ANSWERS, counts.new_answers),
                    "newBad": min(MAX_ANSWERS, counts.new_bad),
                }
                for counts in report.routes[:MAX_ROUTES]
            ],
            "servers": [
                {
                    "server": server,
                    "answers": min(MAX_ANSWERS, answers),
                    "bad": min(MAX_ANSWERS, bad),
                }
                for server, answers, bad in report.servers[:MAX_SERVERS]
            ],
        }
        for report in ordered[:MAX_ROLLOUTS]
    ]


def _decode_rollouts(rollouts: Any) -> tuple[RolloutReport, ...]:
    return tuple(
        RolloutReport(
            raw.service,
            raw.orderRevision,
            raw.sharePermille,
            raw.isBad,
            tuple(
                RouteCounts(
                    counts.route,
                    counts.oldAnswers,
                    counts.oldBad,
                    counts.newAnswers,
                    counts.newBad,
                )
                for counts in itertools.islice(raw.routes, MAX_ROUTES)
            ),
            tuple(
                (server.server, server.answers, server.bad)
                for server in itertools.islice(raw.servers, MAX_SERVERS)
            ),
        )
        for raw in itertools.islice(rollouts, MAX_ROLLOUTS)
    )


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Returns the heartbeat in a datagram.

    Raises:
        MessageError: `data` is not a valid heartbeat.
    """
    try:
        if not is_whole(data):
            raise ValueError("message ends before its last segment")
        raw = _SCHEMA.Heartbeat.from_bytes_packed(
            data, traversal_limit_in_words=MAX_HEARTBEAT_WORDS
        )
        return Heartbeat(
            raw.sender,
            raw.boot,
            raw.revision,
            raw.contactAgeMs,
            raw.leaving,
            tuple(
                (load.server, load.count, load.unread) for load in raw.loads
            ),
            tuple((cached.part, cached.server) for cached in raw.cachedParts),
            raw.livePeers,
            tuple(raw.ejected),
            tuple((crash.request, crash.server) for crash in raw.crashes),
            raw.intervalMs,
            raw.cpuPercent,
            tuple(raw.unreached),
            raw.linksCut,
            raw.era,
            tuple(raw.leavingServers),
            tuple(
                RoomReport(room.server, room.limit, room.rejected, room.room)
                for room in raw.rooms
            ),
            _decode_rollouts(raw.rollouts),
            decode_attempts(raw.attempts),
            decode_parts(raw.parts),
            decode_limits(raw.limits),
            raw.hasOverrides,
            raw.overridesDigest,
        )
    except (capnp.KjException, ValueError) as exc:
        raise MessageError(str(exc)) from exc


def encode_page(page: Page) -> bytes:
    """Returns `page` as a body, compressed because links may be slow."""
    message = _SCHEMA.Page.new_message(
        revision=page.revision,
        full=page.full,
        era=page.era,
        restoredRevision=page.restored_revision,
        changes=_encode_changes(page.changes),
        overrides=_encode_changes(page.overrides),
        listed=list(page.listed),
    )
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


def _encode_changes(changes: tuple[Change, ...]) -> list[dict[str, Any]]:
    return [
        {
            "key": change.key,
            "revision": change.revision,
            "removed": change.value is None,
            "graceMs": change.grace_ms,
            "value": change.value or b"",
        }
        for change in changes
    ]


def _decode_changes(changes: Any) -> tuple[Change, ...]:
    return tuple(
        Change(
            change.key,
            None if change.removed else bytes(change.value),
            change.revision,
            change.graceMs,
        )
        for change in changes
    )


def decode_page(data: bytes) -> Page:
    """Returns the page in a body.

    Raises:
        MessageError: `data` is not a valid page.
    """
    try:
        content = _decompress(data)
        with _SCHEMA.Page.from_bytes(
            content, traversal_limit_in_words=MAX_WORDS
        ) as raw:
            return Page(
                _decode_changes(raw.changes),
                raw.revision,
                raw.full,
                raw.era,
                raw.restoredRevision,
                _decode_changes(raw.overrides),
                tuple(raw.listed),
            )
    except (capnp.KjException, ValueError, zlib.error) as exc:
        raise MessageError(str(exc)) from exc


def _decompress(data: bytes) -> bytes:
    """Returns the decompressed content of `data`.

    Raises:
        ValueError: The content is truncated or exceeds `MAX_PAGE_BYTES`.
        zlib.error: `data` is not compressed data.
    """
    unpacker = zlib.decompressobj()
    content = unpacker.decompress(data, MAX_PAGE_BYTES)
    if not unpacker.eof:
        raise ValueError("page is truncated or larger than 32 MiB")
    return content


def encode_caches(pairs: list[tuple[int, str]]) -> bytes:
    """Returns the contents of the servers' caches as a value for the store.

    Args:
        pairs: Digests of prompt parts with the ids of servers that cache
            them.
    """
    names = sorted({server_id for _, server_id in pairs})
    index_of = {name: index for index, name in enumerate(names)}
    message = _SCHEMA.Caches.new_message(
        servers=names,
        cachedParts=[
            {"part": part, "server": index_of[server_id]}
            for part, server_id in pairs
        ],
    )
    return bytes(message.to_bytes_packed())


def decode_caches(data: bytes) -> list[tuple[int, str]]:
    """Returns the digests of prompt parts and the ids of their servers.

    Raises:
        MessageError: `data` is not a valid value.
    """
    try:
        if not is_whole(data):
            raise ValueError("message ends before its last segment")
        raw = _SCHEMA.Caches.from_bytes_packed(
            data, traversal_limit_in_words=MAX_WORDS
        )
        names = [str(name) for name in raw.servers]
        return [
            (cached.part, names[cached.server])
            for cached in raw.cachedParts
            if cached.server < len(names)
        ]
    except (capnp.KjException, ValueError) as exc:
        raise MessageError(str(exc)) from exc
