"""Reads and validates callers' requests."""

from __future__ import annotations

import re
from typing import Final
import uuid

from expression import Error, Ok, Result
import msgspec
import xxhash

from ..core.errors import Fault, Kind
from ..core.messages import Req
from ..core.records import Record
from ..core.rules import Priority
from ..ports.backend import Call
from .backend_answer import drop_hop_by_hop_headers
from .serving import Scope

MAX_TARGET_BYTES: Final = 8_000
BYTES_PER_TOKEN: Final = 4
MIN_TRAIT_BYTES: Final = 64
STEP: Final = "read-request"
WORKSPACE_HEADER: Final = b"corianderdoor-workspace"
CHAT_HEADER: Final = b"corianderdoor-chat"
MODEL_HEADER: Final = b"corianderdoor-model"
DEADLINE_HEADER: Final = b"corianderdoor-deadline-ms"
PRIORITY_HEADER: Final = b"corianderdoor-priority"
CALLER_ID_HEADER: Final = b"corianderdoor-caller-request-id"
KEY_HEADER: Final = b"idempotency-key"
REQUEST_ID_HEADER: Final = b"x-request-id"
HEADER_PATTERNS: Final = {
    WORKSPACE_HEADER: re.compile(rb"[\x21-\x7e]{1,128}"),
    CHAT_HEADER: re.compile(rb"[\x21-\x7e]{0,256}"),
    MODEL_HEADER: re.compile(rb"[\x21-\x7e]{0,256}"),
    DEADLINE_HEADER: re.compile(rb"0*[1-9][0-9]{0,8}"),
    PRIORITY_HEADER: re.compile(rb"critical|high|normal|low"),
    KEY_HEADER: re.compile(rb"[\x20-\x7e]{1,256}"),
    REQUEST_ID_HEADER: re.compile(rb"[\x21-\x7e]{1,128}"),
    b"content-length": re.compile(rb"[0-9]{1,18}"),
}
TARGET_PATTERN: Final = re.compile(rb"/[\x21-\x7e]*")
HEADERS_NOT_FORWARDED: Final = frozenset(
    {
        b"host",
        b"content-length",
        b"cookie",
        b"expect",
        REQUEST_ID_HEADER,
        DEADLINE_HEADER,
        PRIORITY_HEADER,
        CALLER_ID_HEADER,
        b"corianderdoor-resume",
        b"corianderdoor-resume-offset",
        b"corianderdoor-outcome",
    }
)


class _ModelField(msgspec.Struct):
    """The only field of a JSON body that routing uses."""

    model: str = ""


class RequestHead(Record):
    """Validated headers of a request.

    Attributes:
        caller_id: The caller's own request id, or a generated one.
        workspace: The caller's workspace.
        chat: Chat id, empty if none.
        model: Model name from the headers, empty if none.
        deadline_ms: Time left, in ms; None to use the rule's.
        priority: Requested priority; None to use the rule's.
        key: Idempotency key, empty if none.
        length: Value of Content-Length, in bytes; 0 if none.
    """

    __slots__ = (
        "caller_id",
        "workspace",
        "chat",
        "model",
        "deadline_ms",
        "priority",
        "key",
        "length",
    )

    def __init__(self, values: dict[bytes, str]) -> None:
        deadline = values.get(DEADLINE_HEADER)
        priority = values.get(PRIORITY_HEADER)
        self.caller_id = values.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        self.workspace = values.get(WORKSPACE_HEADER, "")
        self.chat = values.get(CHAT_HEADER, "")
        self.model = values.get(MODEL_HEADER, "")
        self.deadline_ms = int(deadline) if deadline else None
        self.priority = Priority[priority.upper()] if priority else None
        self.key = values.get(KEY_HEADER, "")
        self.length = int(values.get(b"content-length", "0"))


def read_head(scope: Scope) -> Result[RequestHead, Fault]:
    """Parses and validates the headers and the target of a request."""
    fault = _check_target(scope)
    if fault is not None:
        return Error(fault)
    values: dict[bytes, str] = {}
    for name, value in scope["headers"]:
        if name not in HEADER_PATTERNS:
            if not _is_utf8(value):
                return _reject_request(
                    f"the header {_format_name(name)} is not UTF-8"
                )
            continue
        if name in values:
            return _reject_request(
                f"the header {_format_name(name)} stands twice"
            )
        if not HEADER_PATTERNS[name].fullmatch(value):
            return _reject_request(
                f"the header {_format_name(name)} has no valid value"
            )
        values[name] = value.decode("ascii")
    if WORKSPACE_HEADER not in values:
        return _reject_request("the header Corianderdoor-Workspace is missing")
    return Ok(RequestHead(values))


def read_caller_id(scope: Scope) -> str:
    """Returns the caller's request id if it is valid, or a new one."""
    found = [
        value for name, value in scope["headers"] if name == REQUEST_ID_HEADER
    ]
    if len(found) == 1 and HEADER_PATTERNS[REQUEST_ID_HEADER].fullmatch(
        found[0]
    ):
        return bytes(found[0]).decode("ascii")
    return uuid.uuid4().hex


def build_req(scope: Scope, head: RequestHead, body: bytes) -> Req:
    """Returns the core's form of the request, with a generated id.

    Callers may reuse an id; the generated one is unique.
    """
    model = head.model or _read_model(scope, body)
    return Req(
        uuid.uuid4().hex,
        head.workspace,
        scope["path"],
        scope["method"],
        chat=head.chat,
        model=model,
        deadline_ms=head.deadline_ms,
        key=head.key,
        weight=1 + len(body) // BYTES_PER_TOKEN,
        fingerprint=_digest(scope["method"], scope["path"], body),
        traits=_find_traits(scope, head, model, body),
        caller_id=head.caller_id,
        priority=head.priority,
    )


def build_call(scope: Scope, req: Req, body: bytes) -> Call:
    """Returns the request to send to a backend server."""
    headers = [
        pair
        for pair in drop_hop_by_hop_headers(scope["headers"])
        if pair[0] not in HEADERS_NOT_FORWARDED
    ]
    cookies = [value for name, value in scope["headers"] if name == b"cookie"]
    if cookies:
        headers.append((b"cookie", b"; ".join(cookies)))
    headers.append((CALLER_ID_HEADER, req.caller_id.encode()))
    return Call(req.id, req.method, read_target(scope).decode(), headers, body)


def read_target(scope: Scope) -> bytes:
    """Returns the path and the query, unchanged from the caller's."""
    path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    return path + b"?" + query if query else path


def _check_target(scope: Scope) -> Fault | None:
    target = read_target(scope)
    if len(target) > MAX_TARGET_BYTES:
        detail = f"the target is over {MAX_TARGET_BYTES} bytes"
        return Fault(Kind.BAD_REQUEST, STEP, detail)
    if not TARGET_PATTERN.fullmatch(target):
        return Fault(Kind.BAD_REQUEST, STEP, "the target is no path")
    if {".", ".."} & set(scope["path"].split("/")):
        detail = "the path holds the segment '.' or '..'"
        return Fault(Kind.BAD_REQUEST, STEP, detail)
    return None


def _reject_request(detail: str) -> Result[RequestHead, Fault]:
    return Error(Fault(Kind.BAD_REQUEST, STEP, detail))


def _is_utf8(value: bytes) -> bool:
    try:
        value.decode()
    except UnicodeDecodeError:
        return False
    return True


def _format_name(name: bytes) -> str:
    return name.decode("latin-1").title()


def _read_model(scope: Scope, body: bytes) -> str:
    kind = next(
        (v for name, v in scope["headers"] if name == b"content-type"), b""
    )
    if not kind.startswith(b"application/json"):
        return ""
    try:
        return msgspec.json.decode(body, type=_ModelField).model
    except msgspec.MsgspecError:
        return ""


def _digest(*parts: str | bytes) -> int:
    digest = xxhash.xxh3_64()
    for part in parts:
        raw = part.encode() if isinstance(part, str) else part
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    return digest.intdigest()


def _find_traits(
    scope: Scope, head: RequestHead, model: str, body: bytes
) -> tuple[int, ...]:
    """Returns digests that a near copy of the request shares.

    A single changed byte leaves at least one end of the body, its head or
    its tail, unchanged. Their length is a power of two so that it rarely
    changes when the length of the body does.
    """
    place = (head.workspace, scope["path"], model)
    traits = []
    if head.chat:
        traits.append(_digest("chat", *place, head.chat))
    if len(body) >= 2 * MIN_TRAIT_BYTES:
        size = 1 << ((len(body) // 2).bit_length() - 1)
        traits.append(_digest("head", *place, body[:size]))
        traits.append(_digest("tail", *place, body[-size:]))
    return tuple(traits)
