"""Sizes that the head of a request tells."""

from __future__ import annotations

import h11


def read_length(head: h11.Request) -> int:
    """Returns the length of the body that a head announces, or 0."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def count_head_bytes(head: h11.Request) -> int:
    """Returns how many bytes a head had, at least."""
    fields = sum(len(name) + len(value) + 1 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields
