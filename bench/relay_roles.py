"""The processes that bench/relay.py measures: engine, relay and caller."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import time
from typing import Any, Final

import anyio
import httpx
from httpx_aiohttp import AiohttpTransport
import uvloop

from corianderdoor.adapters.backend_http import HttpBackend
from corianderdoor.adapters.caller_http import CallerApp
from corianderdoor.adapters.serving import bind_socket, serve
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.config import Config
from corianderdoor.core.dispatch import Dispatcher
from corianderdoor.core.limits import Limits
from corianderdoor.core.placement import BoundedPlacement
from corianderdoor.core.retry import RetryBudget
from corianderdoor.core.rules_text import parse_rules
from corianderdoor.core.topology import Server

CHUNK: Final = b'data: {"token": 12345, "text": "palabra"}\n\n'
LAST_CHUNK: Final = b"data: [DONE]\n\n"
CHUNK_PREFIX: Final = b"data: {"
MAX_CONNECTIONS: Final = 10_000


async def read_request(receive: Any) -> None:
    """Reads a request's body to its end."""
    while (await receive()).get("more_body", False):
        pass


async def send_cpu_time(send: Any) -> None:
    """Answers with the CPU time that this process has used, in ns."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    body = str(time.process_time_ns()).encode()
    await send({"type": "http.response.body", "body": body})


class EngineApp:
    """Streams chunks by number and interval in the request's query."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        await read_request(receive)
        chunks, pace_ms = map(
            float, scope["query_string"].decode().split("&")[0].split(",")
        )
        headers = [(b"content-type", b"text/event-stream")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        for _ in range(int(chunks)):
            await send(
                {"type": "http.response.body", "body": CHUNK, "more_body": 1}
            )
            await asyncio.sleep(pace_ms / 1000)
        await send({"type": "http.response.body", "body": LAST_CHUNK})


class PlainRelay:
    """Minimal relay: the baseline and its variants.

    Args:
        engine: Base URL of the engine.
        transport: The transport under httpx.
        hold_ms: Time for which chunks are collected and sent as one, in ms;
            0 sends each at once.
    """

    def __init__(
        self, engine: str, transport: httpx.AsyncBaseTransport, hold_ms: float
    ) -> None:
        self._engine = engine
        self._hold_ms = hold_ms
        self._client = httpx.AsyncClient(
            transport=transport, trust_env=False, timeout=60
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        if scope["path"] == "/cpu":
            await send_cpu_time(send)
            return
        await read_request(receive)
        query = scope["query_string"].decode()
        url = f"{self._engine}{scope['path']}?{query}"
        async with self._client.stream("POST", url, content=b"{}") as resp:
            headers = [(b"content-type", b"text/event-stream")]
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": headers,
                }
            )
            if self._hold_ms:
                await self._relay_batched(resp, send)
            else:
                async for part in resp.aiter_raw():
                    await send_part(send, part)
        await send({"type": "http.response.body", "body": b""})

    async def _relay_batched(self, resp: httpx.Response, send: Any) -> None:
        held: list[bytes] = []
        loop = asyncio.get_running_loop()
        flushing: asyncio.Task[None] | None = None

        async def flush() -> None:
            await asyncio.sleep(self._hold_ms / 1000)
            part = b"".join(held)
            held.clear()
            await send_part(send, part)

        async for part in resp.aiter_raw():
            held.append(part)
            if flushing is None or flushing.done():
                flushing = loop.create_task(flush())
        if flushing is not None:
            await flushing


async def send_part(send: Any, part: bytes) -> None:
    """Sends one part of a body, with more to follow."""
    await send({"type": "http.response.body", "body": part, "more_body": True})


class PackageRelay:
    """The package's own caller app, with its dispatcher and backend."""

    def __init__(self, engine: str, backend: HttpBackend) -> None:
        text = "path=/* -> p idempotent=yes deadline=60s # bench\n"
        rules = parse_rules(text).default_value(None)  # type: ignore
        placement = BoundedPlacement(1.5)
        server = Server("e", "h", "dc", "p", engine, 1, MAX_CONNECTIONS)
        placement.set_servers((server,), 0)
        dispatcher = Dispatcher(
            placement, Limits("entry-1"), RetryBudget(random.Random(1))
        )
        dispatcher.set_config(Config(1, "c", "bench", text, rules))
        self._app = CallerApp(dispatcher, backend, SystemClock(), tuple)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http" and scope["path"] == "/cpu":
            await send_cpu_time(send)
            return
        await self._app(scope, receive, send)


def build_relay(design: str, engine: str) -> Any:
    """Returns the relay application that `design` names."""
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
    )
    if design.startswith("own"):
        return PackageRelay(engine, HttpBackend())
    transport: httpx.AsyncBaseTransport
    if "aiohttp" in design:
        transport = AiohttpTransport(limits=limits)
    else:
        http2 = "engine-h2" in design
        transport = httpx.AsyncHTTPTransport(
            limits=limits, http2=http2, http1=not http2
        )
    hold_ms = next(
        (float(p[5:]) for p in design.split("+") if p.startswith("hold=")), 0.0
    )
    return PlainRelay(engine, transport, hold_ms)


async def call_h1(
    port: int, path: str, gaps: list[float]
) -> tuple[int, float]:
    """Sends one HTTP/1.1 request.

    Appends the gaps between reads, in s, to `gaps`.

    Returns:
        The number of chunks and the first-byte time in s.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = (
        f"POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n"
        "connection: close\r\ncorianderdoor-workspace: w\r\n\r\n{}"
    )
    began = time.perf_counter()
    writer.write(head.encode())
    count, first, last = 0, 0.0, 0.0
    while data := await reader.read(65536):
        chunks_found = data.count(CHUNK_PREFIX)
        now = time.perf_counter()
        if chunks_found and not first:
            first = now - began
        elif chunks_found:
            gaps.append(now - last)
        last = now
        count += chunks_found
    writer.close()
    return count, first


async def call_h2(
    client: httpx.AsyncClient, url: str, gaps: list[float]
) -> tuple[int, float]:
    """Sends one HTTP/2 request; otherwise as `call_h1`."""
    began = time.perf_counter()
    count, first, last = 0, 0.0, 0.0
    headers = {"corianderdoor-workspace": "w"}
    async with client.stream(
        "POST", url, content=b"{}", headers=headers
    ) as resp:
        async for data in resp.aiter_raw():
            now = time.perf_counter()
            chunks_found = data.count(CHUNK_PREFIX)
            if not first:
                first = now - began
            else:
                gaps.append(now - last)
            last = now
            count += chunks_found
    return count, first


def percentile_95(values: list[float]) -> float:
    """Returns the 95th percentile, 0 for fewer than two values."""
    if len(values) < 2:
        return 0.0
    return statistics.quantiles(values, n=20)[-1]


async def run_load(args: argparse.Namespace) -> dict[str, float]:
    """Sends `streams` concurrent requests; returns the caller's results."""
    gaps: list[float] = []
    path = f"/v1/chat?{args.chunks},{args.pace_ms}"
    async with httpx.AsyncClient(
        http1=not args.h2, http2=args.h2, trust_env=False, timeout=60
    ) as client:

        async def call() -> tuple[int, float]:
            if args.h2:
                url = f"http://127.0.0.1:{args.port}{path}"
                return await call_h2(client, url, gaps)
            return await call_h1(args.port, path, gaps)

        async def call_after_offset(number: int) -> tuple[int, float]:
            await asyncio.sleep(number * args.pace_ms / 1000 / args.streams)
            return await call()

        began = time.perf_counter()
        done = await asyncio.gather(
            *map(call_after_offset, range(args.streams))
        )
    return {
        "chunks": sum(count for count, _ in done),
        "first_ms": statistics.median(first for _, first in done) * 1000,
        "gap_p95_ms": percentile_95(gaps) * 1000,
        "wall_s": time.perf_counter() - began,
    }


async def measure_first(args: argparse.Namespace) -> dict[str, float]:
    """Returns median first-byte times of two ports, asked alternately."""
    ports = [args.port, args.other_port]
    samples_ms: list[list[float]] = [[], []]
    for _ in range(args.streams):
        for times_ms, port in zip(samples_ms, ports):
            _, first = await call_h1(port, "/v1/chat?2,0", [])
            times_ms.append(first * 1000)
    return {
        "through_ms": statistics.median(samples_ms[0]),
        "direct_ms": statistics.median(samples_ms[1]),
    }


async def serve_app(app: Any, port: int) -> None:
    """Serves until the process ends."""
    sock = bind_socket("127.0.0.1", port)
    await serve(app, sock, anyio.sleep_forever, 0.1)


def main() -> int:
    """Runs one role."""
    parser = argparse.ArgumentParser()
    parser.add_argument("role", choices=["engine", "relay", "load", "first"])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--other-port", type=int, default=0)
    parser.add_argument("--design", default="")
    parser.add_argument("--engine", default="")
    parser.add_argument("--streams", type=int, default=1)
    parser.add_argument("--chunks", type=int, default=1)
    parser.add_argument("--pace-ms", type=float, default=0.0)
    parser.add_argument("--h2", action="store_true")
    args = parser.parse_args()
    if args.role == "load":
        print(json.dumps(uvloop.run(run_load(args))))
        return 0
    if args.role == "first":
        print(json.dumps(uvloop.run(measure_first(args))))
        return 0

    async def run() -> None:
        app: Any = EngineApp()
        if args.role == "relay":
            app = build_relay(args.design, args.engine)
        await serve_app(app, args.port)

    options = {"loop_factory": uvloop.new_event_loop}
    if "asyncio" in args.design:
        options = {}
    anyio.run(run, backend_options=options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
