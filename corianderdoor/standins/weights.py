"""Stand-in for the platform's rate-limited weight store.

Interface:
    HEAD /weights/NAME@VERSION   200, X-Size: bytes
    GET /weights/NAME@VERSION    200 after the time of the transfer;
                                 429, Retry-After, above the rate
    POST /standin/fault?kind=K&count=N   down, slow
    GET /standin/records         reads, as [ms since start, artifact, status]

The stand-in accepts every artifact and sends no weights: it only waits as
long as the transfer would take.
"""

from __future__ import annotations

from typing import Final

import anyio
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..core.clock import Clock
from ..core.weight_loads import ByteBucket, LoadLimits
from .faults import Faults

SLOW_FACTOR: Final = 10
RETRY_AFTER_S: Final = 1


class WeightsStandin:
    """Simulates transfers of weights of one size at a bounded rate."""

    __slots__ = (
        "faults",
        "records",
        "_clock",
        "_started_ms",
        "_limits",
        "_bucket",
        "_size",
    )

    def __init__(self, clock: Clock, limits: LoadLimits, size: int) -> None:
        self.faults = Faults()
        self.records: list[tuple[int, str, int]] = []
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._limits = limits
        self._bucket = ByteBucket(limits, clock.now_ms())
        self._size = size

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/weights/{artifact}", self._head, methods=["HEAD"]),
                Route("/weights/{artifact}", self._get, methods=["GET"]),
                Route("/standin/fault", self._fault, methods=["POST"]),
                Route("/standin/records", self._records, methods=["GET"]),
            ]
        )

    async def _head(self, req: Request) -> Response:
        self._check_available()
        return Response(headers={"x-size": str(self._size)})

    async def _get(self, req: Request) -> Response:
        self._check_available()
        artifact = req.path_params["artifact"]
        if not self._bucket.has_tokens(self._clock.now_ms()):
            self._record(artifact, 429)
            return Response(
                status_code=429, headers={"retry-after": str(RETRY_AFTER_S)}
            )
        self._bucket.spend(self._size)
        self._record(artifact, 200)
        factor = SLOW_FACTOR if self.faults.consume("slow") else 1
        await anyio.sleep(factor * self._size / self._limits.bytes_per_s)
        return Response()

    def _check_available(self) -> None:
        if self.faults.consume("down"):
            raise HTTPException(503, "the weight store is down")

    def _record(self, artifact: str, status: int) -> None:
        since_ms = self._clock.now_ms() - self._started_ms
        self.records.append((since_ms, artifact, status))

    async def _fault(self, req: Request) -> Response:
        self.faults.set(
            req.query_params["kind"], int(req.query_params["count"])
        )
        return JSONResponse(self.faults.remaining())

    async def _records(self, req: Request) -> Response:
        return JSONResponse(self.records)
