"""Client side of requests that must not run twice."""

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
    """The members of a problem answer that decide the next step."""

    type: str = ""
    detail: str = ""
    step: str = ""
    peer: str = ""


class Payload(Record):
    """Content of a request, the same in each attempt.

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
    """Sends one operation under one key at a time until its outcome is known.

    While no byte can have reached a backend server, a minted key whose
    entry host is unreachable or no longer knows it is replaced by a new
    one. After that, retries use the same key, and a refusal no longer makes
    the outcome `not-run`.
    """

    __slots__ = (
        "_http",
        "_find",
        "_clock",
        "_payload",
        "_key",
        "_minter",
        "_has_own_key",
        "_may_have_run",
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
            clock: Clock for the timeout.
            payload: Content to send.
            key: The caller's own key; if empty, a router mints one.
        """
        self._http = http
        self._find = find
        self._clock = clock
        self._payload = payload
        self._key = key
        self._has_own_key = key != ""
        self._minter = ""
        self._may_have_run = False
        self._sent = False

    async def run(self, timeout_s: float) -> Result[httpx.Response, Fault]:
        """Sends the request until its outcome is known or time runs out.

        Returns:
            The complete answer, or a fault with the outcome of the
            operation.
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
        """Tries the entry hosts once.

        Returns:
            The result and the delay before a retry, in ms; 0 if the result
            is final.
        """
        last = self._build_fault("no entry host answered")
        for address in await self._list_hosts():
            try:
                resp = await self._send(address, timeout_s)
            except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
                last = self._build_fault(f"{type(exc).__name__} at {address}")
                if not self._may_have_run and not self._has_own_key:
                    self._key = ""
                    return Error(last), RETRY_MS
                continue
            except httpx.HTTPError as exc:
                self._may_have_run = True
                last = self._build_fault(f"{type(exc).__name__} at {address}")
                continue
            return self._evaluate(resp)
        return Error(last), RETRY_MS

    async def _list_hosts(self) -> list[str]:
        """Returns the hosts to try; a minted key's minter comes first."""
        try:
            addresses = await self._find()
        except httpx.HTTPError:
            addresses = []
        if self._key == "":
            await self._mint(addresses)
        if self._key == "":
            return []
        if self._has_own_key:
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
        """Sends to a host and follows redirects, which did not run it.

        If the target of a redirect is unreachable, asks the redirecting
        host to serve the request itself, if it may.
        """
        resp = await self._post(address + self._payload.path, timeout_s)
        for _ in range(MAX_REDIRECTS):
            if not _is_redirect(resp):
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

    def _evaluate(
        self, resp: httpx.Response
    ) -> tuple[Result[httpx.Response, Fault], int]:
        outcome_header = resp.headers.get(OUTCOME)
        if outcome_header is None or not outcome_header:
            return Ok(resp), 0
        fault = self._read_problem(resp, Outcome(outcome_header))
        if fault.kind is Kind.IN_PROGRESS:
            self._may_have_run = True
            return Error(fault), fault.retry_after_ms or RETRY_MS
        if fault.kind is Kind.UNRESOLVED and not (
            self._has_own_key or self._may_have_run
        ):
            self._key = ""  # lost with its router; it never ran
            return Error(fault.with_outcome(Outcome.NOT_RUN)), RETRY_MS
        if fault.kind in (Kind.STORE_FAILED, Kind.NOT_READY):
            return (
                Error(self._with_outcome(fault)),
                fault.retry_after_ms or RETRY_MS,
            )
        if fault.outcome is not Outcome.NOT_RUN:
            return Error(fault), 0
        if fault.kind is Kind.DRAINING and not self._has_own_key:
            # Only the minter or its last record reports this: no attempt ran.
            self._key = ""
            self._may_have_run = False
            return Error(fault), RETRY_MS
        fault = self._with_outcome(fault)
        if _is_redirect(resp):
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

    def _build_fault(self, detail: str) -> Fault:
        fault = Fault(Kind.PEER_FAILED, "send-once", detail, self._minter)
        return self._with_outcome(fault)

    def _with_outcome(self, fault: Fault) -> Fault:
        """Returns `fault` of an attempt with the outcome of all attempts."""
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return fault.with_outcome(outcome)


def _is_redirect(resp: httpx.Response) -> bool:
    """Returns whether a router redirects; a backend server may do so too."""
    return (
        resp.status_code == httpx.codes.TEMPORARY_REDIRECT
        and resp.headers.get(OUTCOME) == Outcome.NOT_RUN.value
        and "location" in resp.headers
    )
