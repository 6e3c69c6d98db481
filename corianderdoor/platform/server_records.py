"""Decodes the entries of the servers.

They may come from another writer than the server.
"""

from __future__ import annotations

import re
from typing import Annotated, Final, Literal

import msgspec

from ..core.entry.servers import BackendServer
from .decoding import decode_fields, RecordError
from .settings import parse_remote_address, SettingsError

# An id is sent in a header.
_ID: Final = re.compile(r"[\x21-\x7e]+")
MAX_SLOTS: Final = 1_000_000
# A day; slow starts take seconds.
MAX_COLD_MS: Final = 86_400_000
# Largest whole number that all JSON encoders write exactly.
MAX_WHOLE: Final = 2**53 - 1

_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_Cold = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
_Instant = Annotated[int, msgspec.Meta(ge=1, le=MAX_WHOLE)]


class _Server(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    version: str
    slots: _Slots
    state: Literal["available", "draining"]
    cold_remaining_ms: _Cold
    sequence_number: _Count
    born: _Instant


def decode_server(server_id: str, value: bytes) -> BackendServer:
    """Returns the backend server that an entry describes.

    Raises:
        RecordError: The entry is invalid.
    """
    name = f"entry of server {server_id!r}"
    if not _ID.fullmatch(server_id):
        raise RecordError(f"{name}: not an id", "id")
    raw = decode_fields(value, _Server, name)
    try:
        host, port = parse_remote_address(raw.address)
    except SettingsError as exc:
        raise RecordError(f"{name}: {exc}", "address") from exc
    return BackendServer(
        server_id,
        raw.service,
        host,
        port,
        raw.zone,
        raw.state == "available",
        raw.slots,
        raw.cold_remaining_ms,
        raw.born,
        raw.version,
        raw.sequence_number,
    )
