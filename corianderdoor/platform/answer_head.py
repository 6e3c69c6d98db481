"""Decodes the heads of servers' answers."""

from __future__ import annotations

from collections.abc import Callable
import math
import re
from typing import Final, TypeVar

from ..adapters.http1 import Headers
from ..core.clock import MS_PER_SECOND
from ..core.entry.server_limits import StatedLimit
from ..core.entry.server_pauses import MAX_PAUSE_MS
from ..core.records import Record
from .headers import ATTEMPT_ID, get_values, HEADERS_NOT_FORWARDED

NOT_EXECUTED: Final = b"not-executed"
RESPONSE_SIGNATURE: Final = b"response-signature"
INSTANCE_LOAD: Final = b"instance-load"
SERVER_LEAVING: Final = b"server-leaving"
RETRY_AFTER: Final = b"retry-after"
SERVER_BRITTLE: Final = b"server-brittle"
# Digits of a number in a server's header; longer ones are not plausible.
MAX_DIGITS: Final = 6
CONTENT_TYPE: Final = b"content-type"
EVENT_STREAM: Final = b"text/event-stream"
OK: Final = 200
MISDIRECTED_REQUEST: Final = 421
# Status of a request that a server turned away.
SERVICE_UNAVAILABLE: Final = 503
SERVER_LIMIT: Final = b"server-limit"
# A server that takes more requests in a second is not in need.
LIMIT_PER_S: Final = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")
SECONDS: Final = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# A longer time that a server asks for is a mistake.
MAX_RETRY_AFTER_S: Final = MAX_PAUSE_MS // MS_PER_SECOND

_Value = TypeVar("_Value")


class AnswerHead(Record):
    """Decoded status and headers of a server's answer.

    Attributes:
        status: HTTP status.
        not_run: Whether the server states that it did not run the request;
            counts only with an error status.
        wrong_server: Whether the status says that the address belongs to
            another server.
        signed: Whether the answer has a response signature.
        request_id: Id of the request that it answers; None if missing.
        encoded: Whether the body has a content encoding and so is not the
            server's original output.
        load: Requests running and queued at the server; None if unknown.
        running: Requests running at the server; None if unknown.
        work_percent: How long work takes on the server's machine at present,
            100 as usual; None if the server does not say so.
        rejections_per_s: Requests that the server can turn away in a second
            without falling over; None if it does not say that it is brittle.
        stated_limit: What the server says about the rate of requests that it
            takes.
        keep_alive_s: How long the server keeps an idle connection; None if
            unknown.
        closes: Whether the connection ends with this answer.
        framed: Whether the end of the body shows in the answer itself, and
            not only by the end of the connection.
        has_length: Whether the head tells the length of the body.
        goes_on: Whether it can be the head of events that follow those of
            another answer.
        leaving: Whether the server announces that it leaves.
        pause_ms: How long the server, which turned the request away, wants
            no further ones; 0 if it asks for no pause.
        ignored_marks: Kinds of marks ("leaving", "pause", "load", "brittle",
            "limit") that are ignored because their values are invalid or
            appear more than once.
        headers: Headers to forward.
    """

    __slots__ = (
        "status",
        "not_run",
        "wrong_server",
        "signed",
        "request_id",
        "encoded",
        "load",
        "running",
        "work_percent",
        "rejections_per_s",
        "stated_limit",
        "keep_alive_s",
        "closes",
        "framed",
        "has_length",
        "goes_on",
        "leaving",
        "pause_ms",
        "ignored_marks",
        "headers",
    )

    def __init__(self, status: int, headers: Headers) -> None:
        by_name = dict(headers)
        self.status = status
        self.wrong_server = status == MISDIRECTED_REQUEST
        self.not_run = NOT_EXECUTED in by_name and status >= 400
        self.signed = RESPONSE_SIGNATURE in by_name
        # Several different ids match no request.
        ids = dict.fromkeys(get_values(headers, ATTEMPT_ID))
        self.request_id = b", ".join(ids) if ids else None
        encoding = by_name.get(b"content-encoding", b"identity").lower()
        self.encoded = encoding != b"identity"
        self.ignored_marks: list[str] = []
        load = self._decode(INSTANCE_LOAD, "load", headers, _parse_load)
        self.load = None if load is None else load[0] + load[1]
        self.running = None if load is None else load[0]
        self.work_percent = (
            load[3] if load is not None and len(load) > 3 else None
        )
        self.rejections_per_s = self._decode(
            SERVER_BRITTLE, "brittle", headers, _parse_count
        )
        self.stated_limit = StatedLimit(
            self._decode(SERVER_LIMIT, "limit", headers, _parse_limit),
            SERVER_LIMIT not in by_name,
        )
        self.keep_alive_s = _parse_keep_alive(by_name.get(b"keep-alive"))
        self.closes = any(
            b"close" in value.lower()
            for value in get_values(headers, b"connection")
        )
        self.has_length = b"content-length" in by_name
        self.framed = self.has_length or b"transfer-encoding" in by_name
        media_type, *_ = by_name.get(CONTENT_TYPE, EVENT_STREAM).split(b";")
        self.goes_on = status == OK and (
            media_type.strip().lower() == EVENT_STREAM
        )
        self.leaving = False
        self.pause_ms = 0
        if SERVER_LEAVING in by_name:
            self.leaving = get_values(headers, SERVER_LEAVING) == [b"1"]
            if not self.leaving:
                self.ignored_marks.append("leaving")
        if RETRY_AFTER in by_name and status == SERVICE_UNAVAILABLE:
            pause_ms = _parse_retry_after(get_values(headers, RETRY_AFTER))
            if pause_ms is None:
                self.ignored_marks.append("pause")
            else:
                self.pause_ms = pause_ms
        self.headers = [
            pair
            for pair in headers
            if pair[0] not in HEADERS_NOT_FORWARDED
            and pair[0] != b"content-length"
        ]

    def _decode(
        self,
        name: bytes,
        kind: str,
        headers: Headers,
        parse: Callable[[bytes], _Value | None],
    ) -> _Value | None:
        """Returns the value of a header about the server's state.

        Adds `kind` to `ignored_marks` if the value is invalid, or if the
        header appears more than once with different values.
        """
        values = set(get_values(headers, name))
        if not values:
            return None
        found = parse(next(iter(values))) if len(values) == 1 else None
        if found is None:
            self.ignored_marks.append(kind)
        return found


def _parse_count(value: bytes) -> int | None:
    text = value.strip()
    if not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _parse_limit(value: bytes) -> float | None:
    text = value.strip()
    return float(text) if LIMIT_PER_S.fullmatch(text) else None


def _parse_load(value: bytes) -> list[int] | None:
    """Returns running, waiting, slots and what follows; None if invalid.

    Figures after the fourth are ignored, so that servers may add some.
    """
    numbers: list[int] = []
    for part in value.split(b",")[:4]:
        number = _parse_count(part)
        if number is None:
            return None
        numbers.append(number)
    return numbers if len(numbers) >= 3 else None


def _parse_retry_after(values: list[bytes]) -> int | None:
    """Returns the time in ms, rounded up; None if it is invalid."""
    if len(values) != 1 or not SECONDS.fullmatch(values[0]):
        return None
    seconds = float(values[0])
    if seconds > MAX_RETRY_AFTER_S:
        return None
    return math.ceil(seconds * MS_PER_SECOND)


def _parse_keep_alive(value: bytes | None) -> int | None:
    if value is None:
        return None
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_count(seconds)
    return None
