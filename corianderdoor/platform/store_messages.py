"""Bodies of the calls to the platform's store and of their answers."""

from __future__ import annotations

import base64
from collections.abc import Mapping

import msgspec


class RawItem(msgspec.Struct):
    """A key, or its removal, as the store encodes it."""

    key: str
    revision: int = 0
    value: str = ""
    deleted: bool = False


class RawPage(msgspec.Struct):
    """A page of items or of changes."""

    at: int
    entries: list[RawItem] = []
    events: list[RawItem] = []
    has_more: bool = False


class RawLease(msgspec.Struct):
    """A lease that was granted or renewed."""

    lease_id: int = 0


class RawDone(msgspec.Struct):
    """A transaction that was executed."""

    revision: int = 0


def encode_commit(
    expected: Mapping[str, int], writes: Mapping[str, bytes], lease_id: int
) -> bytes:
    """Returns the body of a transaction.

    Args:
        expected: Revision that each key must have; 0 if it must not exist.
        writes: New values by key.
        lease_id: Lease of the written keys; 0 for none.
    """
    return msgspec.json.encode(
        {
            "expected_revision": [
                {"key": key, "revision": revision}
                for key, revision in expected.items()
            ],
            "write": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease_id": lease_id,
                }
                for key, value in writes.items()
            ],
            "remove": [],
        }
    )
