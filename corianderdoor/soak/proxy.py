"""TCP proxy on loopback that injects network faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import anyio

from ..core.clock import MS_PER_SECOND
from ..core.entry.addresses import Address

CHUNK_BYTES: Final = 65_536
DELAY_MS: Final = 250


class Proxy:
    """Forwards connections to one address.

    Attributes:
        mode: "" forwards data; "delay" adds `DELAY_MS` to each chunk;
            "reset" aborts connections; "silent" holds back data in both
            directions until the mode changes, like packets that are lost
            and retransmitted later; "one-way" holds back answers only.
    """

    __slots__ = ("mode", "_target", "_writers", "_mode_changed")

    def __init__(self, target: Address) -> None:
        self.mode = ""
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._mode_changed = asyncio.Event()

    async def listen(self, address: Address) -> asyncio.Server:
        """Accepts connections at `address`."""
        return await asyncio.start_server(self._serve, *address)

    def set_mode(self, mode: str) -> None:
        """Sets the mode of all open and new connections."""
        self.mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode == "reset":
            self.reset_all()

    def reset_all(self) -> None:
        """Aborts every open connection."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            await self._relay(reader, writer, upstream_reader, upstream_writer)
        except asyncio.CancelledError:
            return  # the run is over, and nothing awaits this task

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream_reader: asyncio.StreamReader,
        upstream_writer: asyncio.StreamWriter,
    ) -> None:
        self._writers |= {writer, upstream_writer}
        try:
            async with anyio.create_task_group() as tasks:
                cancel = tasks.cancel_scope.cancel
                tasks.start_soon(
                    self._copy, reader, upstream_writer, False, cancel
                )
                tasks.start_soon(
                    self._copy, upstream_reader, writer, True, cancel
                )
        finally:
            self._writers -= {writer, upstream_writer}
            writer.transport.abort()
            upstream_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
        cancel: Callable[[], None],
    ) -> None:
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                await self._apply_mode(is_answer)
                if not data:
                    if not writer.is_closing():
                        writer.write_eof()
                    return
                if writer.is_closing():
                    cancel()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            cancel()  # one side was reset; abort the other too

    async def _apply_mode(self, is_answer: bool) -> None:
        if self.mode == "delay":
            await anyio.sleep(DELAY_MS / MS_PER_SECOND)
        while self.mode == "silent" or (self.mode == "one-way" and is_answer):
            await self._mode_changed.wait()
