"""Decodes and builds the headers of requests and answers."""

from __future__ import annotations

from collections.abc import Callable
import math
import re
from typing import Final, TypeVar

from ..adapters.hop_headers import HOP_BY_HOP_HEADERS
from ..adapters.http1 import Headers
from ..core.clock import MS_PER_SECOND
from ..core.entry.addresses import Address
from ..core.entry.events import MAX_ID_DIGITS
from ..core.entry.requests import CallerRequest, PromptPart
from ..core.records import Record

ATTEMPT_ID: Final = b"attempt-id"
DEADLINE_MS: Final = b"deadline-ms"
LAST_EVENT_ID: Final = b"last-event-id"
PROMPT_PREFIX: Final = b"prompt-prefix"
TOKEN_USAGE: Final = b"token-usage"
AUTHORIZATION: Final = b"authorization"
AUTH_SCHEME: Final = "token "
NOT_EXECUTED: Final = b"not-executed"
RESPONSE_SIGNATURE: Final = b"response-signature"
INSTANCE_LOAD: Final = b"instance-load"
INSTANCE_ID: Final = b"instance-id"
SERVER_LEAVING: Final = b"server-leaving"
RETRY_AFTER: Final = b"retry-after"
COLD_START_MS: Final = b"cold-start-ms"
SERVER_BRITTLE: Final = b"server-brittle"
# Digits of a number in a server's header; longer ones are not plausible.
MAX_DIGITS: Final = 6
# Digits of the tokens of a part of a prompt.
MAX_TOKEN_DIGITS: Final = 9
# Headers that only the entry host may set or that are meant for it alone;
# a caller's values are not forwarded.
RESERVED_HEADERS: Final = frozenset(
    {
        AUTHORIZATION,
        DEADLINE_MS,
        b"expected-instance",
        b"tenant-name",
        b"request-priority",
        b"expected-version",
        b"cache-retention",
        b"cache-pin-ms",
        b"kv-cache-backup",
        b"kv-fetch",
        b"kv-from",
    }
)
HEADERS_NOT_FORWARDED: Final = HOP_BY_HOP_HEADERS | {b"expect"}
# Headers that a caller can't have removed by naming them in `Connection`.
PROTECTED_HEADERS: Final = frozenset(
    {
        ATTEMPT_ID,
        LAST_EVENT_ID,
        PROMPT_PREFIX,
        TOKEN_USAGE,
        b"model-name",
        b"host",
    }
)
MISDIRECTED_REQUEST: Final = 421
# Status of a request that a server turned away.
SERVICE_UNAVAILABLE: Final = 503
SECONDS: Final = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# A longer time that a server asks for is a mistake.
MAX_RETRY_AFTER_S: Final = 3_600

_Value = TypeVar("_Value")


class HeaderError(Exception):
    """A header or the target of a caller's request is missing or invalid."""


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
        keep_alive_s: How long the server keeps an idle connection; None if
            unknown.
        closes: Whether the connection ends with this answer.
        framed: Whether the end of the body shows in the answer itself, and
            not only by the end of the connection.
        leaving: Whether the server announces that it leaves.
        pause_ms: How long the server, which turned the request away, wants
            no further ones; 0 if it asks for no pause.
        ignored_marks: Kinds of marks ("leaving", "pause", "load", "brittle")
            that are ignored because their values are invalid or appear more
            than once.
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
        "keep_alive_s",
        "closes",
        "framed",
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
        ids = dict.fromkeys(_get_values(headers, ATTEMPT_ID))
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
        self.keep_alive_s = _parse_keep_alive(by_name.get(b"keep-alive"))
        self.closes = any(
            b"close" in value.lower()
            for value in _get_values(headers, b"connection")
        )
        self.framed = (
            b"content-length" in by_name or b"transfer-encoding" in by_name
        )
        self.leaving = False
        self.pause_ms = 0
        if SERVER_LEAVING in by_name:
            self.leaving = _get_values(headers, SERVER_LEAVING) == [b"1"]
            if not self.leaving:
                self.ignored_marks.append("leaving")
        if RETRY_AFTER in by_name and status == SERVICE_UNAVAILABLE:
            pause_ms = _parse_retry_after(_get_values(headers, RETRY_AFTER))
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
        values = set(_get_values(headers, name))
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


def _get_values(headers: Headers, name: bytes) -> list[bytes]:
    return [value for other, value in headers if other == name]


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


def read_caller_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> CallerRequest:
    """Returns the decoded request of a caller.

    Raises:
        HeaderError: A required header is missing, a header that the entry
            host uses is duplicated or invalid, or the target is not a path.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in values and (
            name in RESERVED_HEADERS or name in PROTECTED_HEADERS
        ):
            raise HeaderError(
                f"{name.decode('latin-1')} appears more than once"
            )
        values[name] = value
    request_id = values.get(ATTEMPT_ID, b"")
    if not request_id:
        raise HeaderError("attempt-id is missing")
    if b"host" not in values:
        raise HeaderError("host is missing")
    if not target.startswith(b"/"):
        raise HeaderError("the target is not a path")
    parts = _parse_prompt_parts(values.get(PROMPT_PREFIX))
    return CallerRequest(
        request_id.decode("latin-1"),
        method.decode("latin-1"),
        target.decode("latin-1"),
        values[b"host"].decode("latin-1").lower().partition(":")[0],
        _parse_api_key(values.get(AUTHORIZATION)),
        _parse_ms(values, DEADLINE_MS),
        parts,
        sum(part.tokens for part in parts),
        _parse_event_id(values),
        _filter_headers(
            headers, b",".join(_get_values(headers, b"connection"))
        ),
        body,
    )


def _parse_api_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    text = value.decode("latin-1").strip()
    if not text.lower().startswith(AUTH_SCHEME):
        return None
    return text[len(AUTH_SCHEME) :].strip()


def _parse_ms(values: dict[bytes, bytes], name: bytes) -> float | None:
    value = values.get(name)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number < 1e9:
        raise HeaderError(f"{name.decode()} is not a valid number of ms")
    return number


def _parse_event_id(values: dict[bytes, bytes]) -> int | None:
    value = values.get(LAST_EVENT_ID)
    if value is None or not value.isdigit() or len(value) > MAX_ID_DIGITS:
        return None
    return int(value)


def _parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Returns the parts of a prompt; none if the value is invalid."""
    if value is None:
        return ()
    parts = []
    for item in value.decode("latin-1").split(","):
        name, _, tokens = item.strip().partition(":")
        if not (name and tokens.isascii() and tokens.isdigit()):
            return ()
        if len(tokens) > MAX_TOKEN_DIGITS:
            return ()
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def _filter_headers(headers: Headers, connection: bytes) -> Headers:
    named = {token.strip().lower() for token in connection.split(b",")}
    dropped = (
        HEADERS_NOT_FORWARDED
        | RESERVED_HEADERS
        | (named - PROTECTED_HEADERS)
        | {b"content-length", LAST_EVENT_ID}
    )
    return [pair for pair in headers if pair[0] not in dropped]


def build_server_headers(
    req: CallerRequest,
    server_id: str,
    workspace: str | None,
    priority: int,
    left_ms: int,
    last_event_id: int | None,
    fetch_from: Address | None,
) -> Headers:
    """Returns the headers of a request that is forwarded to a server.

    Args:
        req: The caller's request.
        server_id: Server that the request is for; any other rejects it.
        workspace: Workspace of the caller; None if there is none.
        priority: Rank at the server, 0 first; sent only with a prompt.
        left_ms: Time left until the deadline; sent as at least 1 ms.
        last_event_id: Event after which to resume a stream; None to start
            with the first.
        fetch_from: Server to copy cached parts of the prompt from; None
            for none.
    """
    headers = list(req.headers)
    if req.body or req.method not in ("GET", "HEAD"):
        headers.append((b"Content-Length", str(len(req.body)).encode()))
    headers.append((b"Deadline-Ms", str(max(1, left_ms)).encode()))
    headers.append((b"Expected-Instance", server_id.encode()))
    if workspace is not None:
        headers.append((b"Tenant-Name", workspace.encode()))
    if req.parts:
        headers.append((b"Request-Priority", str(priority).encode()))
    if fetch_from is not None:
        source = f"{fetch_from[0]}:{fetch_from[1]}"
        headers.append((b"Kv-Fetch", source.encode()))
    if last_event_id is not None:
        headers.append((b"Last-Event-Id", str(last_event_id).encode()))
    return headers


def find_request_id(headers: Headers) -> str | None:
    """Returns the caller's id of a request; None if it has none."""
    id = dict(headers).get(ATTEMPT_ID)
    return id.decode("latin-1") if id else None


def build_refusal_headers(
    request_id: str | None, retry_after_ms: int | None
) -> Headers:
    """Returns the headers of an error answer from the entry host itself."""
    headers: Headers = []
    if request_id is not None:
        headers.append((b"Attempt-Id", request_id.encode("latin-1")))
    if retry_after_ms is not None:
        seconds = f"{retry_after_ms / 1000:.3f}"
        headers.append((b"Retry-After", seconds.encode()))
    return headers
