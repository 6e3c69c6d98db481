"""Headers of requests and answers, in both directions."""

from __future__ import annotations

from typing import Final

from ..adapters.hop_headers import HOP_BY_HOP_HEADERS
from ..adapters.http1 import Headers
from ..core.entry.addresses import Address
from ..core.entry.requests import CallerRequest, PromptPart
from ..core.records import Record

ATTEMPT_ID: Final = b"attempt-id"
DEADLINE: Final = b"deadline-ms"
LAST_EVENT_ID: Final = b"last-event-id"
PROMPT_PARTS: Final = b"prompt-prefix"
TOKENS: Final = b"token-usage"
KEY: Final = b"authorization"
KEY_SCHEME: Final = "token "
NOT_RUN: Final = b"not-executed"
SIGNATURE: Final = b"response-signature"
LOAD: Final = b"instance-load"
SERVER_ID: Final = b"instance-id"
COLD_MS: Final = b"cold-start-ms"
# Headers that only this system may set, or that are for it alone.
OWN: Final = frozenset(
    {
        KEY,
        DEADLINE,
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
HOP: Final = HOP_BY_HOP_HEADERS | {b"expect"}
# Headers that a `Connection` header can't take away.
KEPT: Final = frozenset(
    {ATTEMPT_ID, LAST_EVENT_ID, PROMPT_PARTS, TOKENS, b"model-name", b"host"}
)
MISDIRECTED: Final = 421


class HeaderError(Exception):
    """A header of a caller has no valid value; the text says which."""


class AnswerHead(Record):
    """What the head of a server's answer says.

    Attributes:
        status: HTTP status.
        not_run: The server says that it has not run the request.
        wrong_server: Another server has the address.
        signed: It bears the server's proof.
        request_id: Request that it answers; None if it does not say.
        encoded: The body is not the server's own bytes.
        load: Requests that run and wait at the server; None if untold.
        idle_s: How long the server keeps an idle connection; None if
            untold.
        closes: The connection ends after this answer.
        headers: Headers to pass on.
    """

    __slots__ = (
        "status",
        "not_run",
        "wrong_server",
        "signed",
        "request_id",
        "encoded",
        "load",
        "idle_s",
        "closes",
        "headers",
    )

    def __init__(self, status: int, headers: Headers) -> None:
        found = dict(headers)
        self.status = status
        self.wrong_server = status == MISDIRECTED
        self.not_run = NOT_RUN in found and status >= 400
        self.signed = SIGNATURE in found
        self.request_id = found.get(ATTEMPT_ID)
        encoding = found.get(b"content-encoding", b"identity").lower()
        self.encoded = encoding != b"identity"
        self.load = _read_load(found.get(LOAD))
        self.idle_s = _read_idle(found.get(b"keep-alive"))
        self.closes = b"close" in found.get(b"connection", b"").lower()
        self.headers = [
            pair
            for pair in headers
            if pair[0] not in HOP and pair[0] != b"content-length"
        ]


def _read_load(value: bytes | None) -> int | None:
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]) + int(parts[1])


def _read_idle(value: bytes | None) -> int | None:
    if value is None:
        return None
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return int(seconds)
    return None


def read_caller_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> CallerRequest:
    """Returns the request that a caller sent.

    Raises:
        HeaderError: A header that decides has no valid value.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in values and (name in OWN or name in KEPT):
            raise HeaderError(f"{name.decode('latin-1')} stands twice")
        values[name] = value
    request_id = values.get(ATTEMPT_ID, b"")
    if not request_id:
        raise HeaderError("attempt-id is missing")
    if b"host" not in values:
        raise HeaderError("host is missing")
    if not target.startswith(b"/"):
        raise HeaderError("the target is no path")
    parts = _read_parts(values.get(PROMPT_PARTS))
    return CallerRequest(
        request_id.decode("latin-1"),
        method.decode("latin-1"),
        target.decode("latin-1"),
        values[b"host"].decode("latin-1").lower().partition(":")[0],
        _read_key(values.get(KEY)),
        _read_number(values, DEADLINE),
        parts,
        sum(part.tokens for part in parts),
        _read_event_id(values),
        _pass_on(headers, values.get(b"connection", b"")),
        body,
    )


def _read_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    text = value.decode("latin-1").strip()
    if not text.lower().startswith(KEY_SCHEME):
        return None
    return text[len(KEY_SCHEME) :].strip()


def _read_number(values: dict[bytes, bytes], name: bytes) -> float | None:
    value = values.get(name)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number < 1e9:
        raise HeaderError(f"{name.decode()} is no number of milliseconds")
    return number


def _read_event_id(values: dict[bytes, bytes]) -> int | None:
    value = values.get(LAST_EVENT_ID)
    if value is None or not value.isdigit():
        return None
    return int(value)


def _read_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Returns the parts of a prompt; none if they can't be read."""
    if value is None:
        return ()
    parts = []
    for item in value.decode("latin-1").split(","):
        name, _, tokens = item.strip().partition(":")
        if not (name and tokens.isascii() and tokens.isdigit()):
            return ()
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def _pass_on(headers: Headers, connection: bytes) -> Headers:
    named = {token.strip().lower() for token in connection.split(b",")}
    dropped = HOP | OWN | (named - KEPT) | {b"content-length", LAST_EVENT_ID}
    return [pair for pair in headers if pair[0] not in dropped]


def build_server_headers(
    req: CallerRequest,
    server_id: str,
    workspace: str | None,
    urgency: int,
    left_ms: int,
    last_event_id: int | None,
    fetch_from: Address | None,
) -> Headers:
    """Returns the headers with which a request goes to a server.

    Args:
        req: The request.
        server_id: The server that it is for; another one rejects it.
        workspace: Workspace that asks, None if there is none.
        urgency: Rank at the server, 0 first.
        left_ms: Time that is left.
        last_event_id: Event of a stream after which to go on.
        fetch_from: Server from which to copy cached parts of the prompt.
    """
    headers = list(req.headers)
    if req.body or req.method not in ("GET", "HEAD"):
        headers.append((b"Content-Length", str(len(req.body)).encode()))
    headers.append((b"Deadline-Ms", str(max(1, left_ms)).encode()))
    headers.append((b"Expected-Instance", server_id.encode()))
    if workspace is not None:
        headers.append((b"Tenant-Name", workspace.encode()))
    if req.parts:
        headers.append((b"Request-Priority", str(urgency).encode()))
    if fetch_from is not None:
        source = f"{fetch_from[0]}:{fetch_from[1]}"
        headers.append((b"Kv-Fetch", source.encode()))
    if last_event_id is not None:
        headers.append((b"Last-Event-Id", str(last_event_id).encode()))
    return headers


def build_refusal_headers(
    request_id: str | None, retry_after_ms: int | None
) -> Headers:
    """Returns the headers of a failure of our own."""
    headers: Headers = []
    if request_id is not None:
        headers.append((b"Attempt-Id", request_id.encode("latin-1")))
    if retry_after_ms is not None:
        seconds = f"{retry_after_ms / 1000:.3f}"
        headers.append((b"Retry-After", seconds.encode()))
    return headers
