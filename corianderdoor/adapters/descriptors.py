"""Limits of the operating system for this process."""

from __future__ import annotations

import resource
from typing import Final

MAX_DESCRIPTORS: Final = 65_536


def read_descriptor_limit() -> int:
    """Returns how many descriptors this process may open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY:
        return MAX_DESCRIPTORS
    return min(limit, MAX_DESCRIPTORS)
