"""State of an in-flight request, and the decisions about it."""

from __future__ import annotations

import enum

from ..records import Record
from .requests import CallerRequest
from .routing import Route, Workspace
from .servers import BackendServer


class Ending(enum.Enum):
    """How an attempt at a server failed.

    UNREACHED: No connection could be made; no byte of the request was sent.
    WITHDRAWN: Nothing was sent, as the server asked for no requests while
        the connection was opened, or sent bytes before any request.
    NOT_RUN: The server answered that it did not run the request.
    WRONG_SERVER: Another server has the address; it did not run the request.
    BROKEN: The connection ended before the answer was complete.
    SILENT: The server sent no data within the timeout for silence.
    INVALID_ANSWER: The received data is not a valid answer to this request.
    SERVER_ERROR: The server answered with an error.
    TIMEOUT: The deadline of the request passed.
    """

    UNREACHED = "unreached"
    WITHDRAWN = "withdrawn"
    NOT_RUN = "not-run"
    WRONG_SERVER = "wrong-server"
    BROKEN = "broken"
    SILENT = "silent"
    INVALID_ANSWER = "invalid-answer"
    SERVER_ERROR = "server-error"
    TIMEOUT = "timeout"


# Endings after which the server has certainly not run the request.
CERTAINLY_NOT_RUN = frozenset(
    {Ending.UNREACHED, Ending.NOT_RUN, Ending.WRONG_SERVER}
)


class AnswerProgress(enum.Enum):
    """How far the answer to the current attempt is.

    NONE: Nothing has arrived.
    BEGUN: The head has arrived.
    SOUND: The answer is complete, or has gone on for a while.
    """

    NONE = "none"
    BEGUN = "begun"
    SOUND = "sound"


class Send(Record):
    """Decision to send the request to `server`.

    Attributes:
        server: The chosen server.
        urgency: Priority at the server, 0 is the highest.
        left_ms: Time until the deadline of the request.
        silence_ms: Timeout for a server that sends no data; None to wait
            until the deadline.
        fetch_from: Server with more of the prompt in its cache, to copy it
            from; None if there is none.
    """

    __slots__ = ("server", "urgency", "left_ms", "silence_ms", "fetch_from")

    def __init__(
        self,
        server: BackendServer,
        urgency: int,
        left_ms: int,
        silence_ms: int | None,
        fetch_from: BackendServer | None = None,
    ) -> None:
        self.fetch_from = fetch_from
        self.server = server
        self.urgency = urgency
        self.left_ms = left_ms
        self.silence_ms = silence_ms


class Hold(Record):
    """Decision to hold the request and choose again after `delay_ms`."""

    __slots__ = ("delay_ms",)

    def __init__(self, delay_ms: int) -> None:
        self.delay_ms = delay_ms


class Forecast(Record):
    """Forecast of the time to the first event of a request.

    Attributes:
        first_event_ms: Time to the first event at the best server.
        wait_ms: Time until the least loaded server has worked off its queue.
        queued: Prompt tokens in that queue.
        rate: Prefill rate in tokens per ms.
        report_age_ms: Age of the newest report of a peer; None without one.
    """

    __slots__ = (
        "first_event_ms",
        "wait_ms",
        "queued",
        "rate",
        "report_age_ms",
    )

    def __init__(
        self,
        first_event_ms: int,
        wait_ms: int,
        queued: int,
        rate: float,
        report_age_ms: int | None,
    ) -> None:
        self.first_event_ms = first_event_ms
        self.wait_ms = wait_ms
        self.queued = queued
        self.rate = rate
        self.report_age_ms = report_age_ms


class Refuse(Record):
    """Decision to answer the caller with an error of this host.

    Attributes:
        status: HTTP status.
        reason: Reason as a stable word for logs and metrics.
        retry_after_ms: When the caller may retry; None if a retry is no use.
        forecast: The forecast behind the refusal; None if there is none.
    """

    __slots__ = ("status", "reason", "retry_after_ms", "forecast")

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
        forecast: Forecast | None = None,
    ) -> None:
        self.forecast = forecast
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Deliver(Record):
    """Decision to forward the error answer of the server."""

    __slots__ = ()


class Again(Record):
    """Decision to retry at another server."""

    __slots__ = ()


class Flight:
    """One in-flight request.

    Attributes:
        req: The request.
        route: Route that the request matched.
        service: Service that serves the request.
        workspace: Workspace of the API key; None if the request has no
            known key.
        arrived_ms: When the request was received, on the monotonic clock.
        deadline_ms: Deadline on the monotonic clock.
        server: Server that works on the request; None between attempts.
        reserved: Id of the server that the request is about to be sent to;
            None if there is none.
        cold_ms: When it was last counted as sent to a cold server; None if
            it was not.
        unread: Prompt tokens that the server has not prefilled yet.
        queued: Prompt tokens known at the server when the request was sent
            there, its own included.
        sent_ms: When the request was sent there.
        copies: Whether the server copies a part of the prompt.
        prefill_tokens: The same when the request was sent.
        excluded: Ids of the servers to which the request was sent or that were
            unreachable.
        runs: Number of servers that may have run the request.
        sends: Number of servers to which the request was sent.
        answer_started: Whether a part of the answer was sent to the caller.
        last_event_id: Id of the last event that the caller has; None before
            the first.
        version: Software version that began the stream; None before its first
            event.
        left_server: Id of the silent server that the request left for
            another one; it serves again if that one declines. None if there
            is none.
        spare_retry: Whether a retry is kept for the way back to that server.
        returning: Whether the request goes back there.
        interrupted_ms: When the begun answer lost its server; None unless
            it waits for one to resume it.
        progress: How far the answer of the current attempt is.
        first_event_ms: When its first event arrived; None before that.
        was_sound: Whether an answer of any attempt was sound.
        is_unnumbered: Whether the caller has events, none with a number.
    """

    __slots__ = (
        "req",
        "route",
        "service",
        "workspace",
        "arrived_ms",
        "deadline_ms",
        "server",
        "reserved",
        "cold_ms",
        "unread",
        "queued",
        "sent_ms",
        "copies",
        "prefill_tokens",
        "excluded",
        "runs",
        "sends",
        "answer_started",
        "last_event_id",
        "version",
        "left_server",
        "spare_retry",
        "returning",
        "interrupted_ms",
        "progress",
        "first_event_ms",
        "was_sound",
        "is_unnumbered",
    )

    def __init__(
        self,
        req: CallerRequest,
        route: Route,
        service: str,
        workspace: Workspace | None,
        arrived_ms: int,
        deadline_ms: int,
    ) -> None:
        self.req = req
        self.route = route
        self.service = service
        self.workspace = workspace
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.server: BackendServer | None = None
        self.reserved: str | None = None
        self.cold_ms: int | None = None
        self.unread = 0
        self.queued = 0
        self.sent_ms = 0
        self.copies = False
        self.prefill_tokens = 0
        self.excluded: set[str] = set()
        self.runs = 0
        self.sends = 0
        self.answer_started = False
        self.last_event_id = req.last_event_id
        self.version: str | None = None
        self.left_server: str | None = None
        self.spare_retry = False
        self.returning = False
        self.interrupted_ms: int | None = None
        self.progress = AnswerProgress.NONE
        self.first_event_ms: int | None = None
        self.was_sound = False
        self.is_unnumbered = False

    def urgency(self) -> int:
        """Returns the priority at the server, from 0 (highest) to 9."""
        rank = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            rank = self.workspace.priority
        return max(0, min(9, rank))
