"""Listeners of an entry host, each with its share of what there is."""

from __future__ import annotations

import asyncio

import anyio.abc

from ..adapters.http1_server import Handler, listen
from ..adapters.listener_guard import guard_listener
from ..core.entry.counters import Counters
from ..platform.settings import EntrySettings


class Listeners:
    """Opens listeners with bounds on what their connections take.

    Attributes:
        addresses: Addresses of the listeners by name.
    """

    __slots__ = ("addresses", "_settings", "_counters")

    def __init__(
        self,
        settings: EntrySettings,
        metrics_port: int | None,
        counters: Counters,
    ) -> None:
        """Initializes the object.

        Args:
            settings: Settings of the host.
            metrics_port: Port that serves metrics; None for none.
            counters: Counts the connections that are closed for others.
        """
        self.addresses = {
            "callers": settings.callers,
            "directory": settings.directory,
            "peers": (settings.address, settings.peer_ports[0]),
        }
        if settings.readiness != settings.directory:
            self.addresses["readiness"] = settings.readiness
        if metrics_port is not None:
            self.addresses["metrics"] = (settings.address, metrics_port)
        self._settings = settings
        self._counters = counters

    async def open(
        self, name: str, tasks: anyio.abc.TaskGroup, handler: Handler
    ) -> asyncio.Server:
        """Accepts connections and runs `handler` for each.

        Args:
            name: Name of the listener.
            tasks: Runs the handlers.
            handler: Serves one connection.
        """
        settings = self._settings

        def count_evicted(reason: str, count: int) -> None:
            self._counters.add(
                "evicted_connections", count, listener=name, reason=reason
            )

        limits = guard_listener(
            name, settings.memory_mb, settings.descriptors, count_evicted
        )
        address = self.addresses[name]
        return await listen(
            address, tasks, handler, limits.guard, limits.backlog
        )
