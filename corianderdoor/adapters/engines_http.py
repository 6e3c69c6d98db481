"""HTTP clients for the engines' order interface and the weight store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from expression import Error, Ok, Result
import httpx
import msgspec

from ..core.clock import MS_PER_SECOND
from ..core.errors import Fault, Kind, Outcome
from ..core.orders import Order, Report, Role
from ..core.topology import Server

CALL_TIMEOUT_S: Final = 2.0
FIRST_BYTE_EVENTS: Final = (
    "http11.send_request_headers.started",
    "http2.send_request_headers.started",
)
CONFLICT: Final = 409
NOT_RUN_ERRORS: Final = (httpx.ConnectError, httpx.ConnectTimeout)


class _State(msgspec.Struct):
    """JSON body of `GET /state`."""

    incarnation: int
    role: Role
    models: dict[str, str] = {}
    adapters: dict[str, str] = {}
    loading: list[str] = []
    fence: int = 0
    in_flight: int = 0


class LeaseEnded(Exception):
    """The lease ended before the first byte of an order was written."""


def read_report(raw: bytes) -> Report:
    """Decodes the JSON state of an engine.

    Raises:
        msgspec.MsgspecError: `raw` is malformed.
    """
    state = msgspec.json.decode(raw, type=_State)
    return Report(
        state.incarnation,
        state.role,
        state.models,
        state.adapters,
        frozenset(state.loading),
        state.fence,
        state.in_flight,
    )


class HttpEngines:
    """A client of the engines' order interface."""

    __slots__ = ("_client",)

    def __init__(self, longest_order_ms: int) -> None:
        self._client = httpx.AsyncClient(
            timeout=longest_order_ms / MS_PER_SECOND, trust_env=False
        )

    async def read_state(self, server: Server) -> Result[Report, Fault]:
        """Returns the state that an engine reports."""
        try:
            resp = await self._client.get(server.address + "/state")
            resp.raise_for_status()
            return Ok(read_report(resp.content))
        except (httpx.HTTPError, msgspec.MsgspecError) as exc:
            return Error(_build_fault("read-state", exc, server.name))

    async def send_order(
        self, server: Server, order: Order, may_send: Callable[[], bool]
    ) -> Result[None, Fault]:
        """Sends an order; calls `may_send` right before the first byte.

        If `may_send` returns False, nothing is written and the fault is
        `Kind.LEASE_LOST`.
        """

        async def trace(event: str, info: Any) -> None:
            if event in FIRST_BYTE_EVENTS and not may_send():
                raise LeaseEnded

        try:
            resp = await self._client.post(
                server.address + "/orders",
                content=_encode_order(order),
                extensions={"trace": trace},
            )
        except LeaseEnded:
            detail = "the lease ended before the order was sent"
            return Error(
                Fault(Kind.LEASE_LOST, "give-order", detail, server.name)
            )
        except NOT_RUN_ERRORS as exc:
            return Error(_build_fault("give-order", exc, server.name))
        except httpx.HTTPError as exc:
            return Error(
                _build_fault("give-order", exc, server.name, Outcome.UNKNOWN)
            )
        return _read_answer(resp, server.name)

    async def close(self) -> None:
        """Closes every connection."""
        await self._client.aclose()


class HttpWeights:
    """A client of the weight store."""

    __slots__ = ("_client", "_peer")

    def __init__(self, base_url: str) -> None:
        self._peer = base_url
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=CALL_TIMEOUT_S, trust_env=False
        )

    async def size(self, artifact: str) -> Result[int, Fault]:
        """Returns the size of an artifact in bytes."""
        try:
            resp = await self._client.head(f"/weights/{artifact}")
            resp.raise_for_status()
            return Ok(int(resp.headers["x-size"]))
        except (httpx.HTTPError, KeyError, ValueError) as exc:
            return Error(_build_fault("read-size", exc, self._peer))

    async def close(self) -> None:
        """Closes every connection."""
        await self._client.aclose()


def _encode_order(order: Order) -> bytes:
    body = {
        "id": f"{order.fence}-{order.call}",
        "fence": order.fence,
        "kind": order.step.kind,
        "name": order.step.name,
        "version": order.step.version,
        "not_after_ms": order.not_after_ms,
    }
    return msgspec.json.encode(body)


def _read_answer(resp: httpx.Response, peer: str) -> Result[None, Fault]:
    if resp.is_success:
        return Ok(None)
    detail = f"status {resp.status_code}: {resp.text[:200]}"
    if resp.status_code == CONFLICT:
        return Error(Fault(Kind.CONFLICT, "give-order", detail, peer))
    outcome = Outcome.UNKNOWN if resp.is_server_error else Outcome.NOT_RUN
    return Error(Fault(Kind.PEER_FAILED, "give-order", detail, peer, outcome))


def _build_fault(
    step: str, exc: Exception, peer: str, outcome: Outcome = Outcome.NOT_RUN
) -> Fault:
    detail = f"{type(exc).__name__}: {exc}"
    return Fault(Kind.PEER_FAILED, step, detail, peer, outcome)
