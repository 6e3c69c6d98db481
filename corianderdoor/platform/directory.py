"""Readiness and directory requests to an entry host."""

from __future__ import annotations

from typing import Final

import msgspec

from ..core.entry.addresses import Address

READINESS_PATH: Final = b"/corianderdoor/readiness"
DIRECTORY_PATH: Final = b"/corianderdoor/resolution"
MAX_ADDRESSES: Final = 64


def encode_directory(addresses: list[Address], ttl_s: float) -> bytes:
    """Returns the body of a directory answer that lists entry hosts.

    Args:
        addresses: Addresses of the hosts; those after the first
            `MAX_ADDRESSES` are left out.
        ttl_s: How long callers may use the answer.
    """
    listed = [f"{host}:{port}" for host, port in addresses[:MAX_ADDRESSES]]
    return msgspec.json.encode({"addresses": listed, "ttl_s": ttl_s})
