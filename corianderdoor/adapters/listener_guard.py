"""Bounds of a listener, with a log of the connections that they close."""

from __future__ import annotations

from collections.abc import Callable
import functools

from ..core.connection_guard import ConnectionGuard
from ..core.process_limits import build_listener_limits, ListenerLimits
from .descriptors import read_descriptor_limit
from .logs import log_event


def guard_listener(
    name: str,
    memory_mb: float,
    descriptors: int,
    on_evicted: Callable[[str, int], None] | None = None,
) -> ListenerLimits:
    """Returns the limits of a listener.

    Args:
        name: Name of the listener, which decides its share.
        memory_mb: Memory that the process may take, in MB; 0 if unknown.
        descriptors: Descriptors that it may open; 0 for the limit of the
            operating system.
        on_evicted: Called with the reason and the number of connections
            that were closed.
    """
    limits = build_listener_limits(
        name, memory_mb, descriptors or read_descriptor_limit()
    )
    log_evictions(name, limits.guard, on_evicted)
    return limits


def log_evictions(
    name: str,
    guard: ConnectionGuard,
    on_evicted: Callable[[str, int], None] | None = None,
) -> None:
    """Logs what `guard` closes."""
    guard.on_evicted = functools.partial(_log_evicted, name, guard, on_evicted)


def _log_evicted(
    name: str,
    guard: ConnectionGuard,
    on_evicted: Callable[[str, int], None] | None,
    reason: str,
    count: int,
) -> None:
    log_event(
        "connections_evicted",
        "WARNING",
        listener=name,
        reason=reason,
        count=count,
        left=len(guard),
    )
    if on_evicted is not None:
        on_evicted(reason, count)
