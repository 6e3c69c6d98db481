"""Typed requests, events and actions of the request path."""

from __future__ import annotations

import copy
import enum
from typing import TypeAlias

from .errors import Fault
from .permits import Ask, PermitAnswer
from .records import Record
from .rules import Priority
from .topology import Server


class Req(Record):
    """A caller's request as the core sees it; the body stays outside.

    Attributes:
        id: Request id, made up by the router and unique.
        workspace: The caller's workspace.
        chat: Chat id, empty if the request belongs to no chat.
        path: Request path.
        method: HTTP method.
        model: Model name, empty if none.
        deadline_ms: Time left at arrival, in ms; None leaves it to the rule.
        key: Idempotency key, empty if none.
        weight: Expected work, in tokens.
        fingerprint: Digest of what the backend server would run; 0 if it
            is not known.
        traits: Digests of parts of it, which near copies share.
        caller_id: The caller's own id of it, which may not be unique.
        priority: What the caller asks for; None leaves it to the rule.
    """

    __slots__ = (
        "id",
        "workspace",
        "chat",
        "path",
        "method",
        "model",
        "deadline_ms",
        "key",
        "weight",
        "fingerprint",
        "traits",
        "caller_id",
        "priority",
    )

    def __init__(
        self,
        id: str,
        workspace: str,
        path: str,
        method: str,
        chat: str = "",
        model: str = "",
        deadline_ms: int | None = None,
        key: str = "",
        weight: int = 1,
        fingerprint: int = 0,
        traits: tuple[int, ...] = (),
        caller_id: str = "",
        priority: Priority | None = None,
    ) -> None:
        self.id = id
        self.workspace = workspace
        self.chat = chat
        self.path = path
        self.method = method
        self.model = model
        self.deadline_ms = deadline_ms
        self.key = key
        self.weight = weight
        self.fingerprint = fingerprint
        self.traits = traits
        self.caller_id = caller_id
        self.priority = priority

    def with_priority(self, priority: Priority) -> Req:
        """Returns a copy of this request that has `priority`."""
        other = copy.copy(self)
        other.priority = priority
        return other


class Stage(enum.Enum):
    """How far an attempt came before it failed."""

    CONNECT = "connect"  # no byte of the request was written
    REFUSED = "refused"  # the server itself said that it did not run it
    SENT = "sent"  # bytes were written, no answer began
    ANSWER = "answer"  # the answer began and did not end


class Arrived(Record):
    """Event: a caller's request was read."""

    __slots__ = ("req",)

    def __init__(self, req: Req) -> None:
        self.req = req


class Failed(Record):
    """Event: an attempt ended without a whole answer.

    Attributes:
        id: Request id.
        stage: How far the attempt came.
        detail: What the adapter saw.
        crashed: Whether the connection broke under the request and the
            server took no new one.
        retry_after_ms: When the server asked to be tried again, in ms.
        silent: Whether the connection went silent.
        server_at_fault: Whether the server, not the connection, is at fault.
        resumable: Whether the server can go on from the byte reached.
    """

    __slots__ = (
        "id",
        "stage",
        "detail",
        "crashed",
        "retry_after_ms",
        "silent",
        "server_at_fault",
        "resumable",
    )

    def __init__(
        self,
        id: str,
        stage: Stage,
        detail: str,
        crashed: bool = False,
        retry_after_ms: int | None = None,
        silent: bool = False,
        server_at_fault: bool = False,
        resumable: bool = False,
    ) -> None:
        self.id = id
        self.stage = stage
        self.detail = detail
        self.crashed = crashed
        self.retry_after_ms = retry_after_ms
        self.silent = silent
        self.server_at_fault = server_at_fault
        self.resumable = resumable


class FirstByte(Record):
    """Event: the first byte of the answer's body arrived."""

    __slots__ = ("id",)

    def __init__(self, id: str) -> None:
        self.id = id


class Finished(Record):
    """Event: the answer was relayed whole.

    Attributes:
        id: Request id.
        status: HTTP status of the answer.
    """

    __slots__ = ("id", "status")

    def __init__(self, id: str, status: int) -> None:
        self.id = id
        self.status = status


class CallerDisconnected(Record):
    """Event: the caller closed its connection before the answer's end."""

    __slots__ = ("id",)

    def __init__(self, id: str) -> None:
        self.id = id


class Waited(Record):
    """Event: the delay of a `Wait` action is over."""

    __slots__ = ("id",)

    def __init__(self, id: str) -> None:
        self.id = id


class PermitAnswered(Record):
    """Event: a router answered an `AskPermit`, or did not in time.

    Attributes:
        id: Request id.
        answer: The answer; None if there was none in time.
    """

    __slots__ = ("id", "answer")

    def __init__(self, id: str, answer: PermitAnswer | None) -> None:
        self.id = id
        self.answer = answer


Event: TypeAlias = (
    Arrived
    | Failed
    | FirstByte
    | Finished
    | CallerDisconnected
    | Waited
    | PermitAnswered
)


class Send(Record):
    """Action: send the request to a backend server.

    Attributes:
        id: Request id.
        server: Where to send it.
        attempt: Number of this attempt, from 1.
        timeout_ms: Time left until the deadline, in ms.
        silence_ms: Longest time in which nothing may come, in ms.
        priority: How late the server should shed it.
    """

    __slots__ = (
        "id",
        "server",
        "attempt",
        "timeout_ms",
        "silence_ms",
        "priority",
    )

    def __init__(
        self,
        id: str,
        server: Server,
        attempt: int,
        timeout_ms: int,
        silence_ms: int,
        priority: Priority = Priority.NORMAL,
    ) -> None:
        self.id = id
        self.server = server
        self.attempt = attempt
        self.timeout_ms = timeout_ms
        self.silence_ms = silence_ms
        self.priority = priority


class Resume(Record):
    """Action: ask the server for the rest of a cut answer.

    Attributes:
        id: Request id.
        server: The server that sent the first part.
        timeout_ms: Time left until the deadline, in ms.
        silence_ms: Longest time in which nothing may come, in ms.
    """

    __slots__ = ("id", "server", "timeout_ms", "silence_ms")

    def __init__(
        self, id: str, server: Server, timeout_ms: int, silence_ms: int
    ) -> None:
        self.id = id
        self.server = server
        self.timeout_ms = timeout_ms
        self.silence_ms = silence_ms


class Wait(Record):
    """Action: wait, then hand in a `Waited` event.

    Attributes:
        id: Request id.
        delay_ms: How long to wait, in ms.
    """

    __slots__ = ("id", "delay_ms")

    def __init__(self, id: str, delay_ms: int) -> None:
        self.id = id
        self.delay_ms = delay_ms


class Refuse(Record):
    """Action: end the request with a fault, or cut a begun answer.

    Attributes:
        id: Request id.
        fault: What to tell the caller.
        pool: The pool that its rule chose, empty if no rule matched.
    """

    __slots__ = ("id", "fault", "pool")

    def __init__(self, id: str, fault: Fault, pool: str = "") -> None:
        self.id = id
        self.fault = fault
        self.pool = pool


class Done(Record):
    """Action: nothing is left to do for the request."""

    __slots__ = ("id",)

    def __init__(self, id: str) -> None:
        self.id = id


class AskPermit(Record):
    """Action: ask another router for a permit, then hand in the answer.

    Attributes:
        id: Request id.
        home: Name of the router to ask.
        ask: What to ask.
        timeout_ms: How long to wait for the answer, in ms.
    """

    __slots__ = ("id", "home", "ask", "timeout_ms")

    def __init__(self, id: str, home: str, ask: Ask, timeout_ms: int) -> None:
        self.id = id
        self.home = home
        self.ask = ask
        self.timeout_ms = timeout_ms


Action: TypeAlias = Send | Resume | Wait | Refuse | Done | AskPermit
