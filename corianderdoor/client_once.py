"""Sending a request that must not run twice, from the caller's side."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Final

import anyio
from expression import Error, Ok, Result
import httpx
import msgspec

from .core.clock import Clock, MS_PER_SECOND
from .core.errors import Fault, Kind, Outcome
from .core.records import Record

TICKET_PATH: Final = "/corianderdoor/v1/ticket"
HOP: Final = "corianderdoor-hop=1"
FIRST: Final = "corianderdoor-first-send"
OUTCOME: Final = "corianderdoor-outcome"
PROBLEM_PREFIX: Final = "urn:corianderdoor:problem:"
MAX_REDIRECTS: Final = 3
RETRY_MS: Final = 200
MINT_TIMEOUT_S: Final = 5.0

Find = Callable[[], Awaitable[list[str]]]


class _Ticket(msgspec.Struct):
    key: str
    address: str


class _Problem(msgspec.Struct):
    """The members of a problem that decide what to do next."""

    type: str = ""
    detail: str = ""
    step: str = ""
    peer: str = ""


class Payload(Record):
    """What is sent, the same at every repeat.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: Headers.
        content: Body.
    """

    __slots__ = ("method", "path", "headers", "content")

    def __init__(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        content: bytes,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.content = content


class OnceCall:
    """One operation under one key at a time, until its outcome is known.

    While no byte can have reached a backend server, a key minted by a lost
    entry host is exchanged for a new one. From then on the same key is
    sent again, and a refusal no longer makes the outcome `not-run`.
    """

    __slots__ = (
        "_http",
        "_find",
        "_clock",
        "_payload",
        "_key",
        "_minter",
        "_own",
        "_doubt",
        "_sent",
    )

    def __init__(
        self,
        http: httpx.AsyncClient,
        find: Find,
        clock: Clock,
        payload: Payload,
        key: str = "",
    ) -> None:
        """Prepares the call.

        Args:
            http: Connections to the entry hosts.
            find: Returns the addresses of entry hosts, best first.
            clock: Clock for the time limit.
            payload: What to send.
            key: The caller's own key; empty has a router mint one.
        """
        self._http = http
        self._find = find
        self._clock = clock
        self._payload = payload
        self._key = key
        self._own = key != ""
        self._minter = ""
        self._doubt = False
        self._sent = False

    async def run(self, timeout_s: float) -> Result[httpx.Response, Fault]:
        """Sends the request until its outcome is known or time is up.

        Returns:
            The whole answer, or a fault with the outcome of the operation.
        """
        until_ms = self._clock.now_ms() + int(timeout_s * MS_PER_SECOND)
        while True:
            done, wait_ms = await self._try_hosts(timeout_s)
            late = self._clock.now_ms() + wait_ms >= until_ms
            if done.is_ok() or wait_ms == 0 or late:
                return done
            await anyio.sleep(wait_ms / MS_PER_SECOND)

    async def _try_hosts(
        self, timeout_s: float
    ) -> tuple[Result[httpx.Response, Fault], int]:
        """Goes through the entry hosts once; a wait of 0 ms is the end."""
        last = self._fail("no entry host answered")
        for address in await self._list_hosts():
            try:
                resp = await self._send(address, timeout_s)
            except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
                last = self._fail(f"{type(exc).__name__} at {address}")
                if not self._doubt and not self._own:
                    self._key = ""
                    return Error(last), RETRY_MS
                continue
            except httpx.HTTPError as exc:
                self._doubt = True
                last = self._fail(f"{type(exc).__name__} at {address}")
                continue
            return self._judge(resp)
        return Error(last), RETRY_MS

    async def _list_hosts(self) -> list[str]:
        """Returns the hosts to try; the minter of the key is the first."""
        try:
            addresses = await self._find()
        except httpx.HTTPError:
            addresses = []
        if self._key == "":
            await self._mint(addresses)
        if self._key == "":
            return []
        if self._own:
            return addresses
        others = [host for host in addresses if host != self._minter]
        return [self._minter, *others]

    async def _mint(self, addresses: list[str]) -> None:
        for address in addresses:
            try:
                resp = await self._http.get(
                    address + TICKET_PATH,
                    headers=dict(self._payload.headers),
                    timeout=MINT_TIMEOUT_S,
                )
                resp.raise_for_status()
                ticket = msgspec.json.decode(resp.content, type=_Ticket)
            except (httpx.HTTPError, msgspec.MsgspecError):
                continue
            self._key = ticket.key
            self._minter = ticket.address or address
            return

    async def _send(self, address: str, timeout_s: float) -> httpx.Response:
        """Sends to a host and follows its redirects, none of which ran.

        A host that redirects to one that is gone is asked to serve the
        request itself, if it may.
        """
        resp = await self._post(address + self._payload.path, timeout_s)
        for _ in range(MAX_REDIRECTS):
            if not _was_sent_on(resp):
                return resp
            target = resp.headers["location"]
            try:
                resp = await self._post(target, timeout_s)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                if not target.endswith(HOP):
                    raise
                sign = "&" if "?" in self._payload.path else "?"
                target = address + self._payload.path + sign + HOP
                resp = await self._post(target, timeout_s)
        return resp

    async def _post(self, url: str, timeout_s: float) -> httpx.Response:
        headers = {**self._payload.headers, "idempotency-key": self._key}
        if not self._sent:
            headers[FIRST] = "1"
        self._sent = True
        return await self._http.request(
            self._payload.method,
            url,
            headers=headers,
            content=self._payload.content,
            timeout=timeout_s,
            follow_redirects=False,
        )

    def _judge(
        self, resp: httpx.Response
    ) -> tuple[Result[httpx.Response, Fault], int]:
        said = resp.headers.get(OUTCOME)
        if said is None or not said:
            return Ok(resp), 0
        fault = self._read_problem(resp, Outcome(said))
        if fault.kind is Kind.IN_PROGRESS:
            self._doubt = True
            return Error(fault), fault.retry_after_ms or RETRY_MS
        if fault.kind is Kind.UNRESOLVED and not (self._own or self._doubt):
            self._key = ""  # lost with its router, and never run
            return Error(fault.with_outcome(Outcome.NOT_RUN)), RETRY_MS
        if fault.kind in (Kind.STORE_FAILED, Kind.NOT_READY):
            return Error(self._word(fault)), fault.retry_after_ms or RETRY_MS
        if fault.outcome is not Outcome.NOT_RUN:
            return Error(fault), 0
        if fault.kind is Kind.DRAINING and not self._own:
            # Only the minter or its last record says so: no send ever ran.
            self._key = ""
            self._doubt = False
            return Error(fault), RETRY_MS
        fault = self._word(fault)
        if _was_sent_on(resp):
            return Error(fault), RETRY_MS
        return Error(fault), fault.retry_after_ms or 0

    def _read_problem(self, resp: httpx.Response, outcome: Outcome) -> Fault:
        try:
            problem = msgspec.json.decode(resp.content, type=_Problem)
        except msgspec.MsgspecError:
            problem = _Problem(detail=f"status {resp.status_code}")
        name = problem.type.removeprefix(PROBLEM_PREFIX)
        known = {kind.value: kind for kind in Kind}
        after = resp.headers.get("retry-after", "")
        return Fault(
            known.get(name, Kind.PEER_FAILED),
            problem.step or "send-once",
            problem.detail,
            problem.peer or str(resp.url.copy_with(path="/")),
            outcome,
            int(after) * MS_PER_SECOND if after.isdigit() else None,
        )

    def _fail(self, detail: str) -> Fault:
        fault = Fault(Kind.PEER_FAILED, "send-once", detail, self._minter)
        return self._word(fault)

    def _word(self, fault: Fault) -> Fault:
        """Returns `fault`, of a send that did not run, for all sends."""
        outcome = Outcome.UNKNOWN if self._doubt else Outcome.NOT_RUN
        return fault.with_outcome(outcome)


def _was_sent_on(resp: httpx.Response) -> bool:
    """Tells whether a router redirected; a backend server may as well."""
    return (
        resp.status_code == httpx.codes.TEMPORARY_REDIRECT
        and resp.headers.get(OUTCOME) == Outcome.NOT_RUN.value
        and "location" in resp.headers
    )
