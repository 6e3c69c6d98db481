"""Stand-in for a model engine.

Interface:
    POST /v1/chat             {"model", "chat", "prompt_tokens",
                              "answer_tokens"}; answers with server-sent
                              events, one per token, then [DONE];
                              X-Cached-Tokens holds the number of prompt
                              tokens that were cached
    GET /corianderdoor/v1/resume
                              the rest of an interrupted answer, if the
                              engine was started with `resumes`. The
                              interrupted answer has a token in its header
                              Corianderdoor-Resume; the request repeats
                              the token with X-Request-Id and
                              Corianderdoor-Resume-Offset, the number of
                              body bytes that arrived. 206 echoes all
                              three; 404 if the stream can't be resumed
                              at that byte
    GET /load                 load report: name, in_flight, work
                              (tokens of the bodies in progress, at four
                              bytes per token), capacity, completed,
                              cached_tokens, incarnation, uptime_ms,
                              leaving
    POST /standin/fault?kind=K&count=N
                              slow, silent (before recording), cut, cross
                              (another request's id in the answer),
                              refuse, crash, leave; cold: slow, with an
                              empty cache, and crashes when the requests
                              in progress exceed 1 plus those completed
                              since the fault was set
    GET /standin/records      requests run so far, as [id, chat, key]
"""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator, Callable, Iterator
import os
from typing import Any, Final

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..core.clock import Clock, MS_PER_SECOND
from .faults import Faults
from .resume import (
    OFFSET_HEADER,
    REQUEST_ID_HEADER,
    ResumableStreams,
    TOKEN_HEADER,
)

SLOW_FACTOR: Final = 20
SILENCE_S: Final = 3_600
BYTES_PER_TOKEN: Final = 4
CRASH_EXIT_CODE: Final = 70
RESUME_PATH: Final = "/corianderdoor/v1/resume"
LAST_EVENT: Final = b"data: [DONE]\n\n"


class ChatBody(msgspec.Struct):
    """Body of a chat request."""

    model: str = ""
    chat: str = ""
    prompt_tokens: int = 16
    answer_tokens: int = 8


def _tokens(count: int) -> Iterator[bytes]:
    return (b'data: {"token": %d}\n\n' % number for number in range(count))


def _exit() -> None:
    os._exit(CRASH_EXIT_CODE)


class EngineStandin:
    """Streams tokens and caches prompt prefixes up to a limit."""

    __slots__ = (
        "faults",
        "records",
        "_name",
        "_clock",
        "_started_ms",
        "_incarnation",
        "_capacity",
        "_in_flight",
        "_work",
        "_completed",
        "_completed_before_cold",
        "_crash",
        "_cache",
        "_cache_tokens",
        "_token_ms",
        "_prefill_tokens_per_ms",
        "_streams",
    )

    def __init__(
        self,
        name: str,
        clock: Clock,
        capacity: int = 8,
        cache_tokens: int = 100_000,
        token_ms: float = 5.0,
        prefill_tokens_per_ms: float = 50.0,
        crash: Callable[[], None] = _exit,
        resumes: bool = False,
    ) -> None:
        self.faults = Faults()
        self.records: list[tuple[str, str, str]] = []
        self._name = name
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._incarnation = clock.wall_ms()
        self._capacity = capacity
        self._in_flight = 0
        self._work = 0
        self._completed = 0
        self._completed_before_cold = 0
        self._crash = crash
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cache_tokens = cache_tokens
        self._token_ms = token_ms
        self._prefill_tokens_per_ms = prefill_tokens_per_ms
        self._streams = ResumableStreams() if resumes else None

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/chat", self._chat, methods=["POST"]),
                Route(RESUME_PATH, self._resume, methods=["GET"]),
                Route("/load", self._load, methods=["GET"]),
                Route("/standin/fault", self._fault, methods=["POST"]),
                Route("/standin/records", self._records, methods=["GET"]),
            ]
        )

    async def _chat(self, req: Request) -> Response:
        raw = await req.body()
        body = msgspec.json.decode(raw, type=ChatBody)
        request_id = req.headers.get("x-request-id", "")
        echoed_id = "another" if self.faults.consume("cross") else request_id
        headers = {"x-request-id": echoed_id, "x-server": self._name}
        if self.faults.consume("refuse") or self._in_flight >= self._capacity:
            headers["corianderdoor-outcome"] = "not-run"
            return Response(status_code=503, headers=headers)
        if self.faults.consume("crash"):
            _exit()
        if self._in_flight >= self._safe_concurrency():
            self._crash()
        if self.faults.consume("silent"):
            await anyio.sleep(SILENCE_S)
        key = req.headers.get("idempotency-key", "")
        self.records.append((request_id, body.chat, key))
        cached = self._touch_cache(body)
        headers["x-cached-tokens"] = str(cached)
        if self._streams is not None:
            complete_body = b"".join(_tokens(body.answer_tokens)) + LAST_EVENT
            headers[TOKEN_HEADER] = self._streams.add(
                request_id, complete_body
            )
        return StreamingResponse(
            self._stream(body, cached, 1 + len(raw) // BYTES_PER_TOKEN),
            headers=headers,
            media_type="text/event-stream",
        )

    async def _stream(
        self, body: ChatBody, cached: int, work: int
    ) -> AsyncIterator[bytes]:
        self._in_flight += 1
        self._work += work
        slow = self.faults.consume("slow") or self._is_cold()
        factor = SLOW_FACTOR if slow else 1
        cut_at = body.answer_tokens // 2 if self.faults.consume("cut") else -1
        try:
            uncached = max(0, body.prompt_tokens - cached)
            prefill_ms = uncached / self._prefill_tokens_per_ms
            await anyio.sleep(factor * prefill_ms / MS_PER_SECOND)
            for number, event in enumerate(_tokens(body.answer_tokens)):
                if number == cut_at:
                    raise ConnectionAbortedError("injected fault: cut")
                yield event
                await anyio.sleep(factor * self._token_ms / MS_PER_SECOND)
            self._completed += 1
            yield LAST_EVENT
        finally:
            self._in_flight -= 1
            self._work -= work

    async def _resume(self, req: Request) -> Response:
        rest = self._streams.find_rest(req) if self._streams else None
        if rest is None:
            return Response(status_code=404)
        headers = {
            name: req.headers[name]
            for name in (REQUEST_ID_HEADER, TOKEN_HEADER, OFFSET_HEADER)
        }
        return Response(rest, 206, headers, "text/event-stream")

    def _is_cold(self) -> bool:
        return self._safe_concurrency() < self._capacity

    def _safe_concurrency(self) -> int:
        """Returns how many concurrent requests it survives at present."""
        if "cold" not in self.faults.remaining():
            return self._capacity
        warmed = self._completed - self._completed_before_cold
        return min(self._capacity, 1 + warmed)

    def _touch_cache(self, body: ChatBody) -> int:
        """Caches the prompt; returns how many of its tokens were cached."""
        cached = min(self._cache.pop(body.chat, 0), body.prompt_tokens)
        if body.chat:
            self._cache[body.chat] = body.prompt_tokens + body.answer_tokens
        while sum(self._cache.values()) > self._cache_tokens:
            self._cache.popitem(last=False)
        return cached

    async def _load(self, req: Request) -> Response:
        report: dict[str, Any] = {
            "name": self._name,
            "in_flight": self._in_flight,
            "work": self._work,
            "capacity": self._capacity,
            "completed": self._completed,
            "cached_tokens": sum(self._cache.values()),
            "leaving": "leave" in self.faults.remaining(),
            "incarnation": self._incarnation,
            "uptime_ms": self._clock.now_ms() - self._started_ms,
        }
        return JSONResponse(report)

    async def _fault(self, req: Request) -> Response:
        self.faults.set(
            req.query_params["kind"], int(req.query_params["count"])
        )
        if req.query_params["kind"] == "cold":
            self._completed_before_cold = self._completed
            self._cache.clear()
        return JSONResponse(self.faults.remaining())

    async def _records(self, req: Request) -> Response:
        return JSONResponse(self.records)
