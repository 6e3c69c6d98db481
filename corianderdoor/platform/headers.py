"""Decodes and builds the headers of requests, and of own refusals."""

from __future__ import annotations

from typing import Final

from ..adapters.hop_headers import HOP_BY_HOP_HEADERS
from ..adapters.http1 import Headers
from ..core.entry.addresses import Address
from ..core.entry.events import MAX_ID_DIGITS
from ..core.entry.requests import CallerRequest, PromptPart

ATTEMPT_ID: Final = b"attempt-id"
DEADLINE_MS: Final = b"deadline-ms"
LAST_EVENT_ID: Final = b"last-event-id"
RESUMES: Final = b"resumes"
PROMPT_PREFIX: Final = b"prompt-prefix"
TOKEN_USAGE: Final = b"token-usage"
AUTHORIZATION: Final = b"authorization"
AUTH_SCHEME: Final = "token "
INSTANCE_ID: Final = b"instance-id"
COLD_START_MS: Final = b"cold-start-ms"
# Longer ids of attempts are not plausible.
MAX_ATTEMPT_ID_BYTES: Final = 256
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


class HeaderError(Exception):
    """A header or the target of a caller's request is missing or invalid."""


def get_values(headers: Headers, name: bytes) -> list[bytes]:
    """Returns all values of the header `name`."""
    return [value for other, value in headers if other == name]


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
    named = get_values(headers, RESUMES)
    resumes = _parse_resumed_id(named)
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
            headers, b",".join(get_values(headers, b"connection"))
        ),
        body,
        resumes,
        ("resumes",) if named and resumes is None else (),
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


def _parse_resumed_id(values: list[bytes]) -> str | None:
    """Returns the id of an attempt; None if there is no valid one."""
    if len(values) != 1 or len(values[0]) > MAX_ATTEMPT_ID_BYTES:
        return None
    id = values[0].decode("latin-1").strip()
    return id if id and id.isascii() and id.isprintable() else None


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
