"""Messages by which routers ask a server's home router for permits."""

from __future__ import annotations

import enum
from typing import TypeAlias

from .load_sums import LoadDigest
from .records import Record
from .rules import Priority


class Verdict(enum.Enum):
    """A home router's answer to a request for a permit."""

    GRANTED = "granted"
    OVER_MEAN = "over-mean"  # above the set multiple of the mean load
    FULL = "full"  # at the server's capacity
    COLD = "cold"  # at the slow-start limit, below the server's capacity
    SHED = "shed"  # reserved for other workspaces or higher priorities
    LEAVING = "leaving"  # the server accepts no new work
    NOT_HOME = "not-home"  # not the server's home, or permit already released


class Tier(enum.IntEnum):
    """Stage of a search for a server.

    Only the first stage leaves free the part of the bound that a home in
    handover may use.
    """

    CHAT_ORDER = 0  # the chat's own order
    BEST_FIT = 1  # the lowest reported load first, up to near the bound
    BELOW_MEAN = 2  # also any server at or below the mean load


class Ask(Record):
    """Message: asks for a permit to send one request to one server.

    Repeating it has no further effect, as the id identifies the permit.

    Attributes:
        id: Id of the permit, unique per asking router.
        server: Name of the server.
        weight: Expected work of the request, in tokens.
        ttl_ms: Time until the permit expires if it is not released, in ms.
        tier: Stage of the search.
        workspace: Hash of the workspace's name, 32 bits.
        priority: Priority of the request for load shedding.
    """

    __slots__ = (
        "id",
        "server",
        "weight",
        "ttl_ms",
        "tier",
        "workspace",
        "priority",
    )

    def __init__(
        self,
        id: int,
        server: str,
        weight: int,
        ttl_ms: int,
        tier: Tier = Tier.CHAT_ORDER,
        workspace: int = 0,
        priority: Priority = Priority.NORMAL,
    ) -> None:
        self.id = id
        self.server = server
        self.weight = weight
        self.ttl_ms = ttl_ms
        self.tier = tier
        self.workspace = workspace
        self.priority = priority


class PermitAnswer(Record):
    """Message: the answer to an `Ask`.

    Attributes:
        id: Id of the permit.
        verdict: Whether the permit is granted, or why not.
    """

    __slots__ = ("id", "verdict")

    def __init__(self, id: int, verdict: Verdict) -> None:
        self.id = id
        self.verdict = verdict


class Release(Record):
    """Message: releases a permit.

    Attributes:
        id: Id of the permit.
        server: Name of the server.
        served: Whether the server sent a complete answer.
        first_token_ms: Time to the first token, in ms; None if unknown.
        crashed: Whether the server crashed while it ran the request.
    """

    __slots__ = ("id", "server", "served", "first_token_ms", "crashed")

    def __init__(
        self,
        id: int,
        server: str,
        served: bool = False,
        first_token_ms: int | None = None,
        crashed: bool = False,
    ) -> None:
        self.id = id
        self.server = server
        self.served = served
        self.first_token_ms = first_token_ms
        self.crashed = crashed


class HandOff(Record):
    """Message: the former home of a server reports its load to the new one.

    Attributes:
        server: Name of the server.
        incarnation: Incarnation of the server.
        work: Tokens of the requests in progress.
        requests: Requests in progress.
        allowed: The slow-start limit, in concurrent requests.
    """

    __slots__ = ("server", "incarnation", "work", "requests", "allowed")

    def __init__(
        self,
        server: str,
        incarnation: int,
        work: int,
        requests: int,
        allowed: int,
    ) -> None:
        self.server = server
        self.incarnation = incarnation
        self.work = work
        self.requests = requests
        self.allowed = allowed


class TakeOver(Record):
    """Message: a new home asks the former one to hand a server off.

    Attributes:
        server: Name of the server.
        incarnation: Incarnation of the server.
    """

    __slots__ = ("server", "incarnation")

    def __init__(self, server: str, incarnation: int) -> None:
        self.server = server
        self.incarnation = incarnation


PeerMessage: TypeAlias = (
    Ask | PermitAnswer | Release | HandOff | TakeOver | LoadDigest
)


class ToPeer(Record):
    """Action: send a message to another router.

    Attributes:
        peer: Name of the router.
        message: What to send.
    """

    __slots__ = ("peer", "message")

    def __init__(self, peer: str, message: PeerMessage) -> None:
        self.peer = peer
        self.message = message
