"""The control port: signed HTTP between daemons and from operators.

Interface, all under /corianderdoor/control/v1:
    GET /config?have=R    the configuration, as changes after R if kept
    PUT /config?revision=R   an accepted configuration, pushed by operators
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

PREFIX: Final = "/corianderdoor/control/v1"
SIGNATURE: Final = "corianderdoor-signature"
CALL_TIMEOUT_S: Final = 2.0
MAX_ANSWER_BYTES: Final = 2 * MAX_CONFIG_BYTES
UNAUTHORIZED: Final = 401
TOO_LARGE: Final = 413
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
    """What a daemon tells of itself.

    Attributes:
        name: Its name.
        revision: Revision in force; 0 for none.
        members: Names of all live daemons that it knows, itself included.
        ready: Whether it has a configuration in force.
    """

    name: str
    revision: int
    members: list[str]
    ready: bool


class ControlApp:
    """The ASGI application of a control port."""

    __slots__ = ("_keyring", "_archive", "_take", "_status")

    def __init__(
        self,
        keyring: Keyring,
        archive: ConfigArchive,
        take: Callable[[int, bytes], Awaitable[bool]],
        status: Callable[[], Status],
    ) -> None:
        """Creates the application.

        Args:
            keyring: Keys of the fleet.
            archive: What `GET /config` serves.
            take: Takes a pushed configuration; False if it is not valid.
            status: Returns what `GET /status` tells.
        """
        self._keyring = keyring
        self._archive = archive
        self._take = take
        self._status = status

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        config = PREFIX + "/config"
        return Starlette(
            routes=[
                Route(config, self._get_config, methods=["GET"]),
                Route(config, self._put_config, methods=["PUT"]),
                Route(PREFIX + "/status", self._get_status),
            ]
        )

    async def _get_config(self, req: Request) -> Response:
        have = req.query_params.get("have", "0")
        if not self._is_signed(req, b"") or not have.isdigit():
            return Response(status_code=UNAUTHORIZED)
        return self._answer(req, _encode_answer(self._archive, int(have)))

    async def _put_config(self, req: Request) -> Response:
        body = await _read_bounded(req)
        if body is None:
            return Response(status_code=TOO_LARGE)
        revision = req.query_params.get("revision", "")
        if not self._is_signed(req, body):
            return Response(status_code=UNAUTHORIZED)
        if not revision.isdigit() or not await self._take(int(revision), body):
            return Response(status_code=BAD_REQUEST)
        return Response(status_code=ACCEPTED)

    async def _get_status(self, req: Request) -> Response:
        if not self._is_signed(req, b""):
            return Response(status_code=UNAUTHORIZED)
        return self._answer(req, msgspec.json.encode(self._status()))

    def _is_signed(self, req: Request, body: bytes) -> bool:
        return self._keyring.accepts(
            _from_hex(req.headers.get(SIGNATURE, "")),
            req.method.encode(),
            _target(req.url.path, req.url.query),
            body,
        )

    def _answer(self, req: Request, body: bytes) -> Response:
        target = _target(req.url.path, req.url.query)
        signature = self._keyring.sign(b"answer", target, body)
        return Response(body, headers={SIGNATURE: signature.hex()})


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
            have: Revision that is already here; 0 for none.
            old: Its stored form.
        """
        body = await self._get(control, f"/config?have={have}")
        return body.bind(lambda raw: _decode_answer(raw, have, old, control))

    async def push(
        self, control: str, revision: int, raw: bytes
    ) -> Result[None, Fault]:
        """Gives a daemon a configuration that the service has accepted."""
        done = await self._call(
            "PUT", control, f"/config?revision={revision}", raw
        )
        return done.map(lambda _: None)

    async def status(self, control: str) -> Result[Status, Fault]:
        """Returns what a daemon tells of itself."""
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
        target = PREFIX + path
        signature = self._keyring.sign(method.encode(), target.encode(), body)
        try:
            async with self._client.stream(
                method,
                f"http://{control}{target}",
                content=body,
                headers={SIGNATURE: signature.hex()},
            ) as resp:
                answer = await _collect(resp)
        except httpx.HTTPError as exc:
            return _fail(control, f"{type(exc).__name__}: {exc}")
        if resp.is_error:
            return _fail(control, f"status {resp.status_code}")
        if method == "GET" and not self._keyring.accepts(
            _from_hex(resp.headers.get(SIGNATURE, "")),
            b"answer",
            target.encode(),
            answer,
        ):
            return _fail(control, "the answer is not signed by the fleet")
        return Ok(answer)


def _encode_answer(archive: ConfigArchive, have: int) -> bytes:
    digest = hashlib.sha256(archive.raw).digest()
    answer = _ConfigAnswer(archive.revision, digest)
    deltas = archive.since(have)
    if deltas is None:
        answer.full = archive.raw
    else:
        answer.changes = [
            _Change(one.base, one.revision, one.start, one.end, one.middle)
            for one in deltas
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
    for one in answer.changes:
        delta = Delta(one.base, one.revision, one.start, one.end, one.middle)
        text = delta.apply(text)
        if len(text) > MAX_CONFIG_BYTES:
            return _fail(peer, "the configuration is too large")
    if hashlib.sha256(text).digest() != answer.digest:
        return _fail(peer, f"changes after {have} do not give its digest")
    return Ok((answer.revision, text))


def _decode_status(raw: bytes, peer: str) -> Result[Status, Fault]:
    try:
        return Ok(msgspec.json.decode(raw, type=Status))
    except msgspec.MsgspecError as exc:
        return _fail(peer, str(exc))


async def _read_bounded(req: Request) -> bytes | None:
    parts, size = [], 0
    async for part in req.stream():
        size += len(part)
        if size > MAX_CONFIG_BYTES:
            return None
        parts.append(part)
    return b"".join(parts)


async def _collect(resp: httpx.Response) -> bytes:
    parts, size = [], 0
    async for part in resp.aiter_bytes():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise httpx.DecodingError("the answer is too large")
        parts.append(part)
    return b"".join(parts)


def _target(path: str, query: str) -> bytes:
    return f"{path}?{query}".encode() if query else path.encode()


def _from_hex(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        return b""


def _fail(peer: str, detail: str) -> Result[Any, Fault]:
    return Error(
        Fault(Kind.PEER_FAILED, "control", detail, peer, Outcome.UNKNOWN)
    )
