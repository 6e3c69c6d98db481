"""Servers of a simulated fleet of entry hosts, and their service."""

from __future__ import annotations

from typing import Final, Generic, TypeVar

from ..core.entry.flights import Flight
from ..core.entry.routing import (
    DEFAULT_LIMITS,
    DesiredState,
    Route,
    RouteKind,
    Service,
    Workspace,
)
from ..core.entry.servers import BackendServer

SERVICE: Final = "llm"
KEY: Final = "key"
CRASHING_PART: Final = "crashing"

# Type of the hosts that send requests.
H = TypeVar("H")


class Server(Generic[H]):
    """One backend server, or an incarnation of it.

    Attributes:
        entry: Its record.
        is_up: Whether it runs.
        running: Requests in progress, by flight.
        arrivals: When each request arrived, and from which host.
        limit_per_s: Requests per second that its answers name as its limit;
            None for none.
        told: When each host first got such an answer.
        busy_until_ms: When each of the slots is free again, for requests that
            wait for one.
    """

    def __init__(self, entry: BackendServer) -> None:
        self.entry = entry
        self.is_up = True
        self.running: dict[Flight, H] = {}
        self.arrivals: list[tuple[int, H]] = []
        self.limit_per_s: float | None = None
        self.told: dict[H, int] = {}
        self.busy_until_ms = [0] * entry.slots

    def take_slot(self, now_ms: int, work_ms: int) -> int:
        """Gives a request the first slot that is free.

        Returns:
            The time in ms until the request is done.
        """
        free_ms = min(self.busy_until_ms)
        done_ms = max(now_ms, free_ms) + work_ms
        self.busy_until_ms[self.busy_until_ms.index(free_ms)] = done_ms
        return done_ms - now_ms


def is_crashing(flight: Flight) -> bool:
    """Returns whether a request crashes the server that answers it."""
    return any(part.id == CRASHING_PART for part in flight.req.parts)


def build_desired() -> DesiredState:
    """Returns a desired state with one service of models."""
    route = Route(
        "chat",
        "example.test",
        "/chat/",
        RouteKind.STREAM,
        6_000,
        1_000,
        1,
        ((SERVICE, 1.0),),
        2,
        False,
        True,
        400,
    )
    return DesiredState(
        1,
        [route],
        [Service(SERVICE, 2_000, 9.0, 200_000, 3_000)],
        DEFAULT_LIMITS,
        {KEY: Workspace("acme", None)},
        True,
    )
