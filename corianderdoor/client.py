"""Client that finds entry hosts and sends requests to them."""

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
    """Sends requests to entry hosts, whose addresses it caches while valid.

    A request that an entry host did not accept goes to the next one. A
    request of which a byte may have been written is not retried; the caller
    gets the error of the HTTP library and decides.
    """

    __slots__ = ("_seeds", "_workspace", "_clock", "_http", "_cache")

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
        self._cache: dict[tuple[str, str], tuple[int, list[str]]] = {}

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
                exchange failed.
        """
        sent = {"corianderdoor-workspace": self._workspace, **(headers or {})}
        if chat:
            sent["corianderdoor-chat"] = chat
        query = {"chat": chat, "method": method, "path": path}
        query["model"] = sent.get("corianderdoor-model", "")
        addresses = await self._find_addresses(query)
        resp = await self._send(
            query,
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
        query: dict[str, str],
        urls: list[str],
        build: Callable[[str], httpx.Request],
    ) -> httpx.Response:
        """Sends to the first host that accepts the request.

        Tries another host only if no byte was written, or if a host reports
        that it did not run the request and redirects to another.
        """
        pending = collections.deque(urls)
        redirects = 0
        while True:
            url = pending.popleft()
            try:
                resp = await self._http.send(build(url), stream=True)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                self._cache.pop((query["chat"], query["path"]), None)
                if not pending:
                    raise
                continue
            if redirects == MAX_REDIRECTS or not _is_redirect(resp):
                return resp
            redirects += 1
            self._cache.pop((query["chat"], query["path"]), None)
            await resp.aclose()
            pending.appendleft(resp.headers["location"])

    async def request(
        self,
        method: str,
        path: str,
        chat: str = "",
        headers: Mapping[str, str] | None = None,
        content: bytes = b"",
        timeout_s: float = 60.0,
    ) -> httpx.Response:
        """Sends a request and returns its complete response."""
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
        """Sends a request that must not run twice, with retries.

        Args:
            method: HTTP method.
            path: Path and query.
            key: The caller's own idempotency key; if empty, a router mints
                one, which needs no key-value service.
            headers: Headers to add.
            content: Body.
            timeout_s: Timeout for all attempts together, in s.

        Returns:
            The complete answer of the one run, or a fault whose outcome
            states whether the operation ran.
        """
        sent = {"corianderdoor-workspace": self._workspace, **(headers or {})}
        query = {"chat": "", "method": method, "path": path, "model": ""}
        call = OnceCall(
            self._http,
            functools.partial(self._find_addresses, query),
            self._clock,
            Payload(method, path, sent, content),
            key,
        )
        return await call.run(timeout_s)

    async def close(self) -> None:
        """Closes every connection."""
        await self._http.aclose()

    async def _find_addresses(self, query: dict[str, str]) -> list[str]:
        cache_key = (query["chat"], query["path"])
        cached = self._cache.get(cache_key)
        if cached is not None and cached[0] > self._clock.now_ms():
            return cached[1]
        for seed in self._seeds:
            match await self._fetch_addresses(seed, query):
                case Result(tag="ok", ok=answer):
                    addresses = [host.address for host in answer.hosts]
                    until_ms = self._clock.now_ms() + answer.valid_ms
                    self._cache[cache_key] = (until_ms, addresses)
                    return addresses
                case _:
                    continue
        raise httpx.ConnectError("no entry host answered the address request")

    async def _fetch_addresses(
        self, seed: str, query: dict[str, str]
    ) -> Result[_Answer, Fault]:
        try:
            resp = await self._http.get(
                seed + ADDRESS_PATH,
                params={"workspace": self._workspace, **query},
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


def _is_redirect(resp: httpx.Response) -> bool:
    return (
        resp.status_code == httpx.codes.TEMPORARY_REDIRECT
        and resp.headers.get(OUTCOME) == Outcome.NOT_RUN.value
        and "location" in resp.headers
    )
