"""Decodes and encodes what the store holds about streams in progress."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import struct
from typing import Final

import msgspec

from ..core.entry.stream_versions import StreamOrigin
from ..core.entry.version_ledger import VersionLedger
from .decoding import decode_fields, RecordError, UNDECODABLE

STREAMS_PREFIX: Final = "corianderdoor/streams/"
# Versions that may have begun streams.
LEDGER_KEY: Final = STREAMS_PREFIX + "versions"
# Streams in progress, a record for each start of a host.
BEGUN_PREFIX: Final = STREAMS_PREFIX + "begun/"
# A digest of a stream.
_DIGEST: Final = struct.Struct("<Q")


class _Ledger(msgspec.Struct):
    era: int
    versions: dict[str, list[str]]
    complete: bool


class _Begun(msgspec.Struct):
    service: str
    version: str
    streams: bytes


def encode_ledger(ledger: VersionLedger) -> bytes:
    """Returns the encoded ledger."""
    versions = {
        service: sorted(names)
        for service, names in sorted(ledger.versions.items())
    }
    return msgspec.json.encode(_Ledger(ledger.era, versions, ledger.complete))


def decode_ledger(value: bytes) -> VersionLedger:
    """Returns the decoded ledger.

    Raises:
        RecordError: The ledger is malformed.
    """
    raw = decode_fields(value, _Ledger, "versions of streams")
    versions = {name: frozenset(vs) for name, vs in raw.versions.items()}
    return VersionLedger(raw.era, versions, raw.complete)


def encode_begun(groups: Mapping[StreamOrigin, Sequence[int]]) -> bytes:
    """Returns the encoded digests of streams, by where they began."""
    return msgspec.json.encode(
        [
            _Begun(
                origin.service,
                origin.version,
                b"".join(_DIGEST.pack(stream) for stream in streams),
            )
            for origin, streams in groups.items()
        ]
    )


def decode_begun(value: bytes) -> dict[int, StreamOrigin]:
    """Returns the origins of streams by their digests.

    Raises:
        RecordError: The record is malformed.
    """
    try:
        groups = msgspec.json.decode(value, type=list[_Begun])
        found: dict[int, StreamOrigin] = {}
        for group in groups:
            origin = StreamOrigin(group.service, group.version)
            for (stream,) in _DIGEST.iter_unpack(group.streams):
                found[stream] = origin
        return found
    except (*UNDECODABLE, struct.error) as exc:
        raise RecordError(f"streams in progress: {exc}") from exc
