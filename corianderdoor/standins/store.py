"""Stand-in for the platform's key-value service.

Interface:
    GET /kv/KEY                          200 value, X-Version; 404
    GET /kv/KEY?above=V&wait_ms=T        200 once the version exceeds V;
                                         304 after T ms
    PUT /kv/KEY?version=V[&lease=L]      200, X-Version; 412 on a conflict;
                                         404 if there is no such lease
    POST /leases?ttl_ms=T                200 {"lease": L}
    POST /leases/L                       200 renewed; 404 if expired
    POST /standin/fault?kind=K&count=N   down, slow, lose-answer (writes,
                                         but answers with 504)
    GET /standin/calls                   number of calls so far, by kind
"""

from __future__ import annotations

import collections
from typing import Final
import uuid

import anyio
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..core.clock import Clock, MS_PER_SECOND
from .faults import Faults

MAX_VALUE_BYTES: Final = 1_000_000
SLOW_MS: Final = 1_500
LEASE_POLL_MS: Final = 50


class Entry:
    """A stored value."""

    __slots__ = ("value", "version", "lease")

    def __init__(self, value: bytes, version: int, lease: str) -> None:
        self.value = value
        self.version = version
        self.lease = lease


class StoreStandin:
    """An in-memory key-value service with compare-and-swap and leases."""

    __slots__ = (
        "faults",
        "calls",
        "_clock",
        "_entries",
        "_leases",
        "_last_version",
    )

    def __init__(self, clock: Clock) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, tuple[int, int]] = {}
        self._last_version = 0

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/kv/{key:path}", self._get, methods=["GET"]),
                Route("/kv/{key:path}", self._put, methods=["PUT"]),
                Route("/leases", self._grant, methods=["POST"]),
                Route("/leases/{lease}", self._renew, methods=["POST"]),
                Route("/standin/fault", self._fault, methods=["POST"]),
                Route("/standin/calls", self._calls, methods=["GET"]),
            ]
        )

    def write(
        self, key: str, value: bytes, version: int, lease: str = ""
    ) -> int:
        """Writes if `key` is at `version`; returns the new version, else 0."""
        self._expire()
        entry = self._entries.get(key)
        if (entry.version if entry else 0) != version:
            return 0
        self._last_version += 1
        self._entries[key] = Entry(value, self._last_version, lease)
        return self._last_version

    def read(self, key: str) -> Entry | None:
        """Returns the entry stored under `key`; None if there is none."""
        self._expire()
        return self._entries.get(key)

    async def _get(self, req: Request) -> Response:
        watches = "above" in req.query_params
        await self._begin_call("watch" if watches else "read")
        key = req.path_params["key"]
        above = int(req.query_params.get("above", -1))
        until_ms = self._clock.now_ms()
        until_ms += int(req.query_params.get("wait_ms", 0))
        while True:
            entry = self.read(key)
            if entry is not None and entry.version > above:
                return Response(
                    entry.value, headers={"x-version": str(entry.version)}
                )
            if self._clock.now_ms() >= until_ms:
                return Response(status_code=304 if watches else 404)
            await anyio.sleep(LEASE_POLL_MS / MS_PER_SECOND)

    async def _put(self, req: Request) -> Response:
        await self._begin_call("write")
        key = req.path_params["key"]
        value = await req.body()
        if len(value) > MAX_VALUE_BYTES:
            raise HTTPException(413)
        lease = req.query_params.get("lease", "")
        if lease and lease not in self._leases:
            raise HTTPException(404, "the lease has ended")
        expected = int(req.query_params["version"])
        version = self.write(key, value, expected, lease)
        if self.faults.consume("lose-answer"):
            raise HTTPException(504, "the answer was lost")
        if not version:
            entry = self._entries.get(key)
            current = str(entry.version if entry else 0)
            return Response(status_code=412, headers={"x-version": current})
        return Response(headers={"x-version": str(version)})

    async def _grant(self, req: Request) -> Response:
        await self._begin_call("lease")
        ttl_ms = int(req.query_params["ttl_ms"])
        lease = uuid.uuid4().hex
        self._leases[lease] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return JSONResponse({"lease": lease})

    async def _renew(self, req: Request) -> Response:
        await self._begin_call("lease")
        self._expire()
        lease = req.path_params["lease"]
        if lease not in self._leases:
            raise HTTPException(404)
        ttl_ms, _ = self._leases[lease]
        self._leases[lease] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return Response()

    async def _fault(self, req: Request) -> Response:
        self.faults.set(
            req.query_params["kind"], int(req.query_params["count"])
        )
        return JSONResponse(self.faults.remaining())

    async def _calls(self, req: Request) -> Response:
        return JSONResponse(dict(self.calls))

    async def _begin_call(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.faults.consume("slow"):
            await anyio.sleep(SLOW_MS / MS_PER_SECOND)
        if self.faults.consume("down"):
            raise HTTPException(503, "the service is down")

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        ended = {
            lease
            for lease, (_, until_ms) in self._leases.items()
            if until_ms <= now_ms
        }
        for lease in ended:
            del self._leases[lease]
        if ended:
            self._entries = {
                key: entry
                for key, entry in self._entries.items()
                if entry.lease not in ended
            }
