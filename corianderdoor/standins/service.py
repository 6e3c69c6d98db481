"""Stand-in for a plain service, some of whose calls are not idempotent.

Interface:
    POST /payments            records a payment; 201 {"number": N}
    POST /callbacks           records a callback; 201 {"number": N}
    GET /accounts/ID          account status
    GET /load                 load report: in_flight, completed, uptime_ms
    POST /standin/fault?kind=K&count=N
                              slow, silent, crash (all three after
                              recording), refuse
    GET /standin/records      calls run so far, as [path, id, key,
                              operation]; the operation is the header
                              X-Operation
"""

from __future__ import annotations

import os
from typing import Final

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..core.clock import Clock, MS_PER_SECOND, SystemClock
from .engine import CRASH_EXIT_CODE, SILENCE_S
from .faults import Faults

SLOW_MS: Final = 2_000


class ServiceStandin:
    """Records every call that it runs."""

    __slots__ = (
        "faults",
        "records",
        "_name",
        "_clock",
        "_started_ms",
        "_in_flight",
    )

    def __init__(self, name: str, clock: Clock | None = None) -> None:
        self.faults = Faults()
        self.records: list[tuple[str, str, str, str]] = []
        self._name = name
        self._clock = clock or SystemClock()
        self._started_ms = self._clock.now_ms()
        self._in_flight = 0

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/payments", self._run, methods=["POST"]),
                Route("/callbacks", self._run, methods=["POST"]),
                Route("/accounts/{account}", self._account, methods=["GET"]),
                Route("/load", self._load, methods=["GET"]),
                Route("/standin/fault", self._fault, methods=["POST"]),
                Route("/standin/records", self._records, methods=["GET"]),
            ]
        )

    async def _run(self, req: Request) -> Response:
        self._in_flight += 1
        try:
            return await self._record(req)
        finally:
            self._in_flight -= 1

    async def _record(self, req: Request) -> Response:
        request_id = req.headers.get("x-request-id", "")
        headers = {"x-request-id": request_id, "x-server": self._name}
        if self.faults.consume("refuse"):
            headers["corianderdoor-outcome"] = "not-run"
            return Response(status_code=503, headers=headers)
        key = req.headers.get("idempotency-key", "")
        operation = req.headers.get("x-operation", "")
        self.records.append((req.url.path, request_id, key, operation))
        if self.faults.consume("crash"):
            os._exit(CRASH_EXIT_CODE)
        if self.faults.consume("silent"):
            await anyio.sleep(SILENCE_S)
        if self.faults.consume("slow"):
            await anyio.sleep(SLOW_MS / MS_PER_SECOND)
        number = len(self.records)
        return JSONResponse({"number": number}, 201, headers)

    async def _account(self, req: Request) -> Response:
        headers = {
            "x-request-id": req.headers.get("x-request-id", ""),
            "x-server": self._name,
        }
        account = req.path_params["account"]
        return JSONResponse({"account": account, "owed": 0}, 200, headers)

    async def _load(self, req: Request) -> Response:
        report = {
            "in_flight": self._in_flight,
            "completed": len(self.records),
            "uptime_ms": self._clock.now_ms() - self._started_ms,
        }
        return JSONResponse(report)

    async def _fault(self, req: Request) -> Response:
        self.faults.set(
            req.query_params["kind"], int(req.query_params["count"])
        )
        return JSONResponse(self.faults.remaining())

    async def _records(self, req: Request) -> Response:
        return JSONResponse(self.records)
