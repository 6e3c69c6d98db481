"""A small client that finds entry hosts and keeps to them."""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
import functools
from typing import Final

from expression import Error, Ok, Result
import httpx
import msgspec

from .client_once import OnceCall, Payload
from .core.clock import Clock, SystemClock
from .core.errors import Fault, Kind, Outcome

ADDRESS_PATH: Final = "/corianderdoor/v1/address"
MAX_REDIRECTS: Final = 3
OUTCOME: Final = "corianderdoor-outcome"


class _Host(msgspec.Struct):
    name: str
    address: str


class _Answer(msgspec.Struct):
    hosts: list[_Host]
    valid_ms: int


class Client:
    """Asks for addresses, keeps them for their validity, moves on.

    A request that no entry host accepted moves to the next one. A request
    of which a byte may have been written is never sent again; the caller
    gets the error of the HTTP library and decides.
    """

    __slots__ = ("_seeds", "_workspace", "_clock", "_http", "_kept")

    def __init__(
        self,
        seeds: list[str],
        workspace: str,
        clock: Clock | None = None,
        http: httpx.AsyncClient | None = None,
    ) -> None:
        self._seeds = seeds
        self._workspace = workspace
        self._clock = clock or SystemClock()
        self._http = http or httpx.AsyncClient(trust_env=False)
        self._kept: dict[tuple[str, str], tuple[int, list[str]]] = {}

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        chat: str = "",
        headers: Mapping[str, str] | None = None,
        content: bytes = b"",
        timeout_s: float = 60.0,
    ) -> AsyncIterator[httpx.Response]:
        """Sends a request and yields its response while it streams.

        Raises:
            httpx.HTTPError: No entry host could be reached, or the
                exchange broke.
        """
        sent = {"corianderdoor-workspace": self._workspace, **(headers or {})}
        if chat:
            sent["corianderdoor-chat"] = chat
        asked = {"chat": chat, "method": method, "path": path}
        asked["model"] = sent.get("corianderdoor-model", "")
        addresses = await self._find(asked)
        resp = await self._send(
            asked,
            [address + path for address in addresses],
            lambda url: self._http.build_request(
                method, url, headers=sent, content=content, timeout=timeout_s
            ),
        )
        try:
            yield resp
        finally:
            await resp.aclose()

    async def _send(
        self,
        asked: dict[str, str],
        urls: list[str],
        build: Callable[[str], httpx.Request],
    ) -> httpx.Response:
        """Sends to the first host that takes the request.

        It moves on only where no byte was written, or where a host says
        that it did not run the request and names another.
        """
        waiting = collections.deque(urls)
        redirects = 0
        while True:
            url = waiting.popleft()
            try:
                resp = await self._http.send(build(url), stream=True)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                self._kept.pop((asked["chat"], asked["path"]), None)
                if not waiting:
                    raise
                continue
            if redirects == MAX_REDIRECTS or not _was_sent_on(resp):
                return resp
            redirects += 1
            self._kept.pop((asked["chat"], asked["path"]), None)
            await resp.aclose()
            waiting.appendleft(resp.headers["location"])

    async def request(
        self,
        method: str,
        path: str,
        chat: str = "",
        headers: Mapping[str, str] | None = None,
        content: bytes = b"",
        timeout_s: float = 60.0,
    ) -> httpx.Response:
        """Sends a request and returns its response, read whole."""
        async with self.stream(
            method, path, chat, headers, content, timeout_s
        ) as resp:
            await resp.aread()
            return resp

    async def request_once(
        self,
        method: str,
        path: str,
        key: str = "",
        headers: Mapping[str, str] | None = None,
        content: bytes = b"",
        timeout_s: float = 60.0,
    ) -> Result[httpx.Response, Fault]:
        """Sends a request that must not run twice, until it is answered.

        Args:
            method: HTTP method.
            path: Path and query.
            key: The caller's own idempotency key; empty has a router mint
                one, which needs no key-value service.
            headers: Headers to add.
            content: Body.
            timeout_s: Longest time for all repeats together, in s.

        Returns:
            The whole answer of the one run, or a fault whose outcome tells
            whether the operation has run.
        """
        sent = {"corianderdoor-workspace": self._workspace, **(headers or {})}
        asked = {"chat": "", "method": method, "path": path, "model": ""}
        call = OnceCall(
            self._http,
            functools.partial(self._find, asked),
            self._clock,
            Payload(method, path, sent, content),
            key,
        )
        return await call.run(timeout_s)

    async def close(self) -> None:
        """Closes every connection."""
        await self._http.aclose()

    async def _find(self, asked: dict[str, str]) -> list[str]:
        slot = (asked["chat"], asked["path"])
        kept = self._kept.get(slot)
        if kept is not None and kept[0] > self._clock.now_ms():
            return kept[1]
        for seed in self._seeds:
            match await self._ask(seed, asked):
                case Result(tag="ok", ok=answer):
                    addresses = [host.address for host in answer.hosts]
                    until_ms = self._clock.now_ms() + answer.valid_ms
                    self._kept[slot] = (until_ms, addresses)
                    return addresses
                case _:
                    continue
        raise httpx.ConnectError("no entry host answered the address request")

    async def _ask(
        self, seed: str, asked: dict[str, str]
    ) -> Result[_Answer, Fault]:
        try:
            resp = await self._http.get(
                seed + ADDRESS_PATH,
                params={"workspace": self._workspace, **asked},
            )
            resp.raise_for_status()
            answer = msgspec.json.decode(resp.content, type=_Answer)
        except (httpx.HTTPError, msgspec.MsgspecError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            return Error(Fault(Kind.PEER_FAILED, "ask-address", detail, seed))
        if not answer.hosts:
            return Error(
                Fault(Kind.NOT_READY, "ask-address", "no entry host", seed)
            )
        return Ok(answer)


def _was_sent_on(resp: httpx.Response) -> bool:
    return (
        resp.status_code == httpx.codes.TEMPORARY_REDIRECT
        and resp.headers.get(OUTCOME) == Outcome.NOT_RUN.value
        and "location" in resp.headers
    )
