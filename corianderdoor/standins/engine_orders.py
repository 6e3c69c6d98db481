"""Endpoints of the engine stand-in that accept orders.

Interface:
    POST /orders              {"id", "fence", "kind", "name", "version",
                              "not_after_ms"}; 202 accepted: from then on
                              the state shows the effect, or the artifact
                              as loading; 409 {"fence": N} if a larger
                              fencing token N was seen; 410 if it arrived
                              after `not_after_ms`. An unfenced engine
                              checks neither the token nor the time.
    GET /state                incarnation, role, models, adapters, loading,
                              fence, in_flight
    GET /standin/orders       orders applied, as [fence, kind, name,
                              version]
    Faults: lose-order (applied, but answered with 504), late-order
    (handled after LATE_ORDER_MS)
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import anyio
import httpx
import msgspec
from starlette.background import BackgroundTask
from starlette.datastructures import Headers
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..adapters.serving import App, Receive, Scope, Send
from ..core.clock import Clock, MS_PER_SECOND
from ..core.orders import accepts_fence, OrderKind, Role
from .faults import Faults

CHAT_PATH: Final = "/v1/chat"
LATE_ORDER_MS: Final = 1_500
LOAD_TIMEOUT_S: Final = 600.0
ACCEPTED: Final = 202
CONFLICT: Final = 409
GONE: Final = 410


class OrderBody(msgspec.Struct):
    """Body of an order."""

    id: str
    fence: int
    kind: OrderKind
    name: str = ""
    version: str = ""
    not_after_ms: int = 0


class EngineOrders:
    """Applies orders and reports the resulting state."""

    __slots__ = (
        "applied",
        "role",
        "models",
        "adapters",
        "loading",
        "fence",
        "_fenced",
        "_clock",
        "_faults",
        "_in_flight",
        "_incarnation",
        "_weights_url",
        "_load_ms",
    )

    def __init__(
        self,
        clock: Clock,
        faults: Faults,
        in_flight: Callable[[], int],
        incarnation: int = 0,
        fenced: bool = True,
        weights_url: str = "",
        load_ms: int = 0,
    ) -> None:
        self.applied: list[tuple[int, str, str, str]] = []
        self.role = Role.MIXED
        self.models: dict[str, str] = {}
        self.adapters: dict[str, str] = {}
        self.loading: set[str] = set()
        self.fence = 0
        self._fenced = fenced
        self._clock = clock
        self._faults = faults
        self._in_flight = in_flight
        self._incarnation = incarnation
        self._weights_url = weights_url
        self._load_ms = load_ms

    def routes(self) -> list[Route]:
        """Returns the routes to add to the engine's application."""
        return [
            Route("/orders", self._post, methods=["POST"]),
            Route("/state", self._get, methods=["GET"]),
            Route("/standin/orders", self._list_applied, methods=["GET"]),
        ]

    def refuse_when_idle(self, app: App) -> App:
        """Wraps `app` to refuse chat requests while the role is idle."""

        async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
            chat = scope.get("path") == CHAT_PATH
            if chat and self.role is Role.IDLE:
                headers = {
                    "corianderdoor-outcome": "not-run",
                    "x-request-id": Headers(scope=scope).get(
                        "x-request-id", ""
                    ),
                }
                resp = Response(status_code=503, headers=headers)
                await resp(scope, receive, send)
                return
            await app(scope, receive, send)

        return wrapped

    def state(self) -> dict[str, Any]:
        """Returns the reported state."""
        return {
            "incarnation": self._incarnation,
            "role": self.role.value,
            "models": self.models,
            "adapters": self.adapters,
            "loading": sorted(self.loading),
            "fence": self.fence,
            "in_flight": self._in_flight(),
        }

    def apply(self, order: OrderBody) -> int:
        """Applies an order, except for its load; returns the HTTP status.

        The caller runs the load and then calls `end_load`.
        """
        if self._fenced:
            if not accepts_fence(self.fence, order.fence):
                return CONFLICT
            if self._clock.wall_ms() > order.not_after_ms:
                return GONE
            self.fence = order.fence
        self.applied.append(
            (order.fence, order.kind.value, order.name, order.version)
        )
        match order.kind:
            case OrderKind.LOAD_MODEL | OrderKind.LOAD_ADAPTER:
                self.loading.add(f"{order.name}@{order.version}")
            case OrderKind.DROP_MODEL:
                self.models.pop(order.name, None)
            case OrderKind.DROP_ADAPTER:
                self.adapters.pop(order.name, None)
            case OrderKind.SET_ROLE:
                self.role = Role(order.name)
        return ACCEPTED

    def end_load(self, order: OrderBody, loaded: bool) -> None:
        """Ends the load of an applied order."""
        self.loading.discard(f"{order.name}@{order.version}")
        if not loaded:
            return
        if order.kind is OrderKind.LOAD_MODEL:
            self.models[order.name] = order.version
        else:
            self.adapters[order.name] = order.version

    async def _post(self, req: Request) -> Response:
        order = msgspec.json.decode(await req.body(), type=OrderBody)
        if self._faults.consume("late-order"):
            await anyio.sleep(LATE_ORDER_MS / MS_PER_SECOND)
        status = self.apply(order)
        if status == CONFLICT:
            return JSONResponse({"fence": self.fence}, status)
        task = None
        if status == ACCEPTED and order.kind.value.startswith("load-"):
            task = BackgroundTask(self._load, order)
        if self._faults.consume("lose-order"):
            return Response(status_code=504, background=task)
        return Response(status_code=status, background=task)

    async def _load(self, order: OrderBody) -> None:
        if not self._weights_url:
            await anyio.sleep(self._load_ms / MS_PER_SECOND)
            return self.end_load(order, loaded=True)
        url = f"{self._weights_url}/weights/{order.name}@{order.version}"
        loaded = False
        try:
            async with httpx.AsyncClient(
                timeout=LOAD_TIMEOUT_S, trust_env=False
            ) as client:
                loaded = (await client.get(url)).is_success
        except httpx.HTTPError:
            pass
        finally:
            self.end_load(order, loaded)

    async def _get(self, req: Request) -> Response:
        return JSONResponse(self.state())

    async def _list_applied(self, req: Request) -> Response:
        return JSONResponse(self.applied)
