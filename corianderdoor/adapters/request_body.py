"""Reads the bodies of requests, within a bound for all of them."""

from __future__ import annotations

from types import TracebackType
from typing import Final

import anyio
from expression import Error, Ok, Result

from ..core.connection_guard import ConnectionGuard, Phase
from ..core.errors import Fault, Kind
from .hypercorn_guard import GuardedServer, STATE_KEY
from .serving import Receive, Scope
from .work_turns import get_turns

MAX_BODY_BYTES: Final = 4_000_000
BODY_TIMEOUT_S: Final = 30.0
STEP: Final = "read-request"
# Steps of work that a part of a body takes.
PART_STEPS: Final = 32
# Memory of a header besides its bytes.
HEADER_BYTES: Final = 300
# A request that there was no memory for may be sent again after this time.
RETRY_MS: Final = 1_000


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class RequestBody:
    """The body of a request, and the memory that the request takes.

    Used in a `with` block for as long as the request is in progress.

    Attributes:
        order: Position of the beginning of its phase among all requests.
        served: Whether it has been served; never, as it comes once.
    """

    __slots__ = (
        "order",
        "served",
        "_conn",
        "_guard",
        "_scope",
        "_body",
        "_fixed_bytes",
        "_is_complete",
    )

    def __init__(self, scope: Scope) -> None:
        self.order = 0
        self.served = False
        state = scope.get("state") or {}
        self._conn: GuardedServer | None = state.get(STATE_KEY)
        self._guard: ConnectionGuard | None = None
        if self._conn is not None and self._conn.cfg is not None:
            self._guard = self._conn.cfg.requests
        self._scope = anyio.CancelScope()
        self._body = bytearray()
        self._fixed_bytes = sum(
            HEADER_BYTES + len(name) + len(value)
            for name, value in scope["headers"]
        )
        self._is_complete = False

    def __enter__(self) -> RequestBody:
        if self._conn is not None:
            self._conn.reading += 1
            self._conn.begin_phase()
        if self._guard is not None:
            self._guard.add(self)
            self._guard.record_bytes(self._fixed_bytes)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._guard is not None:
            self._guard.remove(self)
        if self._conn is None:
            return
        if self._is_complete:
            self._conn.serving -= 1
            self._conn.served = True
        else:
            self._conn.reading -= 1
        self._conn.begin_phase()

    @property
    def phase(self) -> Phase:
        """What the request is doing."""
        return Phase.SERVING if self._is_complete else Phase.RECEIVING

    def count_bytes(self) -> int:
        """Returns the memory that the request takes, in bytes."""
        # A complete body is held twice more while it is sent on.
        copies = 3 if self._is_complete else 1
        return self._fixed_bytes + copies * len(self._body)

    def evict(self) -> None:
        """Refuses the request, which has not arrived completely."""
        self._body = bytearray()
        self._scope.cancel()

    async def read(
        self, receive: Receive, length: int = 0, limit: int = MAX_BODY_BYTES
    ) -> Result[bytes, Fault]:
        """Reads the body.

        Args:
            receive: Receives from the caller.
            length: Value of Content-Length, in bytes; if it is over the
                limit, nothing is read.
            limit: Size of the largest body, in bytes.

        Raises:
            CallerDisconnectedError: The caller closed its connection first.
        """
        if length > limit:
            return _reject_length(limit)
        with self._scope:
            with anyio.move_on_after(BODY_TIMEOUT_S):
                await self._read_parts(receive, limit)
                return self._finish(limit)
            detail = f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s"
            return Error(Fault(Kind.SLOW_BODY, STEP, detail))
        return _refuse()

    async def _read_parts(self, receive: Receive, limit: int) -> None:
        """Reads the parts of the body until it ends or is too long."""
        turns = get_turns()
        while len(self._body) <= limit:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            await turns.take(PART_STEPS)
            part = message.get("body", b"")
            self._body += part
            if self._guard is not None:
                self._guard.record_bytes(len(part))
            if not message.get("more_body", False):
                return

    def _finish(self, limit: int) -> Result[bytes, Fault]:
        """Returns the body, unless there is no memory to serve it."""
        if len(self._body) > limit:
            return _reject_length(limit)
        body = bytes(self._body)
        if self._guard is not None:
            self._guard.record_bytes(2 * len(body))
            if not self._guard.has_room() or self._scope.cancel_called:
                return _refuse()
        self._is_complete = True
        if self._conn is not None:
            self._conn.reading -= 1
            self._conn.serving += 1
        return Ok(body)


def _refuse() -> Result[bytes, Fault]:
    detail = "requests take too much memory"
    return Error(Fault(Kind.OVERLOADED, STEP, detail, retry_after_ms=RETRY_MS))


def _reject_length(limit: int) -> Result[bytes, Fault]:
    detail = f"the body is over {limit} bytes"
    return Error(Fault(Kind.TOO_LARGE, STEP, detail))
