"""Shared keys with which the daemons of a fleet authenticate messages."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

KEY_ID_BYTES: Final = 4
TAG_BYTES: Final = 16
SIGNATURE_BYTES: Final = KEY_ID_BYTES + TAG_BYTES


class Keyring:
    """Signs with the first key and accepts signatures of any key.

    To rotate keys without rejecting messages: append the new key on every
    daemon, then move it to the front on every daemon, then remove the old
    key.
    """

    __slots__ = ("_signing_key_id", "_keys")

    def __init__(self, keys: list[str]) -> None:
        """Creates a keyring.

        Args:
            keys: The keys as text; the first one signs.

        Raises:
            ValueError: `keys` is empty.
        """
        if not keys:
            raise ValueError("no fleet key given")
        raw = [key.encode() for key in keys]
        self._keys = {_key_id(key): key for key in reversed(raw)}
        self._signing_key_id = _key_id(raw[0])

    def sign(self, *parts: bytes) -> bytes:
        """Returns the signature of `parts`, `SIGNATURE_BYTES` long."""
        return self._signing_key_id + _tag(
            self._keys[self._signing_key_id], parts
        )

    def accepts(self, signature: bytes, *parts: bytes) -> bool:
        """Returns whether `signature` of `parts` was made with a known key."""
        if len(signature) != SIGNATURE_BYTES:
            return False
        key = self._keys.get(signature[:KEY_ID_BYTES])
        if key is None:
            return False
        expected = _tag(key, parts)
        return hmac.compare_digest(signature[KEY_ID_BYTES:], expected)


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(b"corianderdoor key id\0" + key).digest()[
        :KEY_ID_BYTES
    ]


def _tag(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()[:TAG_BYTES]
