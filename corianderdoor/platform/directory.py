"""Questions that callers and the platform ask of an entry host."""

from __future__ import annotations

from typing import Final

import msgspec

from ..core.entry.addresses import Address

READINESS_PATH: Final = b"/corianderdoor/readiness"
DIRECTORY_PATH: Final = b"/corianderdoor/resolution"
MAX_ADDRESSES: Final = 64


def encode_directory(addresses: list[Address], ttl_s: float) -> bytes:
    """Returns the answer that names entry hosts."""
    shown = [f"{host}:{port}" for host, port in addresses[:MAX_ADDRESSES]]
    return msgspec.json.encode({"addresses": shown, "ttl_s": ttl_s})
