"""Control port: signed HTTP between daemons and from operators.

Interface, all under /corianderdoor/control/v1:
    GET /config?have=R    the configuration; only the deltas after revision R
                          if they are still in the archive
    PUT /config?revision=R   a configuration that the key-value service has
                          accepted, pushed by an operator
    GET /status           name, revision in force, members, readiness
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import hashlib
from typing import Any, Final

from expression import Error, Ok, Result
import httpx
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..core.config import MAX_CONFIG_BYTES
from ..core.config_delta import ConfigArchive, Delta
from ..core.errors import Fault, Kind, Outcome
from .keyring import Keyring
from .problems import STATUS_BY_KIND
from .request_body import CallerDisconnectedError, RequestBody

PATH_PREFIX: Final = "/corianderdoor/control/v1"
SIGNATURE_HEADER: Final = "corianderdoor-signature"
CALL_TIMEOUT_S: Final = 2.0
MAX_ANSWER_BYTES: Final = 2 * MAX_CONFIG_BYTES
UNAUTHORIZED: Final = 401
BAD_REQUEST: Final = 400
ACCEPTED: Final = 202


class _Change(msgspec.Struct, array_like=True):
    base: int
    revision: int
    start: int
    end: int
    middle: bytes


class _ConfigAnswer(msgspec.Struct):
    revision: int
    digest: bytes
    full: bytes = b""
    changes: list[_Change] = []


class Status(msgspec.Struct):
    """Status of a daemon, as `GET /status` returns it.

    Attributes:
        name: Name of the daemon.
        revision: Revision in force; 0 for none.
        members: Sorted names of the daemons believed alive, including itself.
        ready: Whether the configuration that it holds is in force.
    """

    name: str
    revision: int
    members: list[str]
    ready: bool


class ControlApp:
    """The ASGI application of a control port."""

    __slots__ = ("_keyring", "_archive", "_load", "_status")

    def __init__(
        self,
        keyring: Keyring,
        archive: ConfigArchive,
        load: Callable[[int, bytes], Awaitable[bool]],
        status: Callable[[], Status],
    ) -> None:
        """Creates the application.

        Args:
            keyring: Shared keys of the fleet.
            archive: Configuration and deltas that `GET /config` serves.
            load: Loads a pushed configuration; returns False if it is
                invalid.
            status: Returns the status for `GET /status`.
        """
        self._keyring = keyring
        self._archive = archive
        self._load = load
        self._status = status

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        config = PATH_PREFIX + "/config"
        return Starlette(
            routes=[
                Route(config, self._get_config, methods=["GET"]),
                Route(config, self._put_config, methods=["PUT"]),
                Route(PATH_PREFIX + "/status", self._get_status),
            ]
        )

    async def _get_config(self, req: Request) -> Response:
        have = req.query_params.get("have", "0")
        if not self._is_signed(req, b"") or not have.isdigit():
            return Response(status_code=UNAUTHORIZED)
        return self._answer(req, _encode_answer(self._archive, int(have)))

    async def _put_config(self, req: Request) -> Response:
        with RequestBody(req.scope) as request_body:
            try:
                body = await request_body.read(
                    req.receive, limit=MAX_CONFIG_BYTES
                )
            except CallerDisconnectedError:
                return Response(status_code=BAD_REQUEST)
            if body.is_error():
                status = STATUS_BY_KIND[body.error.kind]
                return Response(status_code=status)
            return await self._load_config(req, body.ok)

    async def _load_config(self, req: Request, body: bytes) -> Response:
        revision = req.query_params.get("revision", "")
        if not self._is_signed(req, body):
            return Response(status_code=UNAUTHORIZED)
        if not revision.isdigit() or not await self._load(int(revision), body):
            return Response(status_code=BAD_REQUEST)
        return Response(status_code=ACCEPTED)

    async def _get_status(self, req: Request) -> Response:
        if not self._is_signed(req, b""):
            return Response(status_code=UNAUTHORIZED)
        return self._answer(req, msgspec.json.encode(self._status()))

    def _is_signed(self, req: Request, body: bytes) -> bool:
        return self._keyring.accepts(
            _decode_hex(req.headers.get(SIGNATURE_HEADER, "")),
            req.method.encode(),
            _request_target(req.url.path, req.url.query),
            body,
        )

    def _answer(self, req: Request, body: bytes) -> Response:
        target = _request_target(req.url.path, req.url.query)
        signature = self._keyring.sign(b"answer", target, body)
        return Response(body, headers={SIGNATURE_HEADER: signature.hex()})


class ControlClient:
    """Calls the control ports of daemons."""

    __slots__ = ("_keyring", "_client")

    def __init__(self, keyring: Keyring) -> None:
        self._keyring = keyring
        self._client = httpx.AsyncClient(
            timeout=CALL_TIMEOUT_S, trust_env=False
        )

    async def pull(
        self, control: str, have: int, old: bytes
    ) -> Result[tuple[int, bytes], Fault]:
        """Returns a peer's newest revision and its stored form.

        Args:
            control: "ip:port" of the peer.
            have: Revision that the caller already has; 0 for none.
            old: Stored form of that revision, to apply deltas to.

        Returns:
            A `Kind.PEER_FAILED` fault if the call fails or the result does
            not match the digest in the answer.
        """
        body = await self._get(control, f"/config?have={have}")
        return body.bind(lambda raw: _decode_answer(raw, have, old, control))

    async def push(
        self, control: str, revision: int, raw: bytes
    ) -> Result[None, Fault]:
        """Sends a daemon a configuration accepted by the service."""
        result = await self._call(
            "PUT", control, f"/config?revision={revision}", raw
        )
        return result.map(lambda _: None)

    async def status(self, control: str) -> Result[Status, Fault]:
        """Returns the status of a daemon."""
        body = await self._get(control, "/status")
        return body.bind(lambda raw: _decode_status(raw, control))

    async def close(self) -> None:
        """Closes every connection."""
        await self._client.aclose()

    async def _get(self, control: str, path: str) -> Result[bytes, Fault]:
        return await self._call("GET", control, path, b"")

    async def _call(
        self, method: str, control: str, path: str, body: bytes
    ) -> Result[bytes, Fault]:
        target = PATH_PREFIX + path
        signature = self._keyring.sign(method.encode(), target.encode(), body)
        try:
            async with self._client.stream(
                method,
                f"http://{control}{target}",
                content=body,
                headers={SIGNATURE_HEADER: signature.hex()},
            ) as resp:
                answer = await _read_answer(resp)
        except httpx.HTTPError as exc:
            return _fail(control, f"{type(exc).__name__}: {exc}")
        if resp.is_error:
            return _fail(control, f"status {resp.status_code}")
        if method == "GET" and not self._keyring.accepts(
            _decode_hex(resp.headers.get(SIGNATURE_HEADER, "")),
            b"answer",
            target.encode(),
            answer,
        ):
            return _fail(control, "the answer is not signed with a fleet key")
        return Ok(answer)


def _encode_answer(archive: ConfigArchive, have: int) -> bytes:
    digest = hashlib.sha256(archive.raw).digest()
    answer = _ConfigAnswer(archive.revision, digest)
    deltas = archive.since(have)
    if deltas is None:
        answer.full = archive.raw
    else:
        answer.changes = [
            _Change(
                delta.base,
                delta.revision,
                delta.start,
                delta.end,
                delta.middle,
            )
            for delta in deltas
        ]
    return msgspec.msgpack.encode(answer)


def _decode_answer(
    raw: bytes, have: int, old: bytes, peer: str
) -> Result[tuple[int, bytes], Fault]:
    try:
        answer = msgspec.msgpack.decode(raw, type=_ConfigAnswer)
    except msgspec.MsgspecError as exc:
        return _fail(peer, str(exc))
    text = answer.full or old
    for change in answer.changes:
        delta = Delta(
            change.base,
            change.revision,
            change.start,
            change.end,
            change.middle,
        )
        text = delta.apply(text)
        if len(text) > MAX_CONFIG_BYTES:
            return _fail(peer, "the configuration is too large")
    if hashlib.sha256(text).digest() != answer.digest:
        return _fail(peer, f"deltas after {have} do not match the digest")
    return Ok((answer.revision, text))


def _decode_status(raw: bytes, peer: str) -> Result[Status, Fault]:
    try:
        return Ok(msgspec.json.decode(raw, type=Status))
    except msgspec.MsgspecError as exc:
        return _fail(peer, str(exc))


async def _read_answer(resp: httpx.Response) -> bytes:
    parts, size = [], 0
    async for part in resp.aiter_bytes():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise httpx.DecodingError("the answer is too large")
        parts.append(part)
    return b"".join(parts)


def _request_target(path: str, query: str) -> bytes:
    return f"{path}?{query}".encode() if query else path.encode()


def _decode_hex(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        return b""


def _fail(peer: str, detail: str) -> Result[Any, Fault]:
    return Error(
        Fault(Kind.PEER_FAILED, "control", detail, peer, Outcome.UNKNOWN)
    )
