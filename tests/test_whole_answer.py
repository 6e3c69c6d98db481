"""Tests that a request gets its own complete answer, or a fault."""

from contextlib import asynccontextmanager

import anyio
from fakes import build_call, find_id, raw_server
import pytest

from corianderdoor.adapters.backend_http import HttpBackend
from corianderdoor.core.messages import Stage
from corianderdoor.ports.backend import AnswerTruncated

pytestmark = pytest.mark.anyio
LIMITS = (10_000, 10_000)
SSE = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


@asynccontextmanager
async def http_backend():
    """Yields a backend and closes it."""
    backend = HttpBackend()
    try:
        yield backend
    finally:
        await backend.close()


async def read(answer) -> bytes:
    """Reads an answer to its end and closes it."""
    try:
        return b"".join([chunk async for chunk in answer.chunks()])
    finally:
        await answer.close()


async def fail_to_read(script, engine=True):
    """Returns the fault that ends the answer of `script`."""
    async with raw_server(script) as fake, http_backend() as backend:
        sent = await backend.send(fake.server(engine), build_call(), *LIMITS)
        with pytest.raises(AnswerTruncated) as cut:
            await read(sent.ok)
        return cut.value.fault


async def test_complete_answers_share_a_connection():
    async def script(conn):
        while True:
            await conn.answer(await conn.read_request(), b"hello")

    async with raw_server(script) as fake, http_backend() as backend:
        for _ in range(3):
            sent = await backend.send(fake.server(), build_call(), *LIMITS)
            assert await read(sent.ok) == b"hello"
        assert fake.accepted == 1


@pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
async def test_library_sends_no_request_twice(method):
    async def script(conn):
        await conn.read_request()

    async with raw_server(script) as fake, http_backend() as backend:
        call = build_call(method)
        sent = await backend.send(fake.server(), call, *LIMITS)
        assert sent.error.stage is Stage.SENT
        assert sent.error.broken
        assert len(fake.requests) == 1


async def test_broken_kept_alive_connection_does_not_count_as_unsent():
    async def script(conn):
        await conn.answer(await conn.read_request(), b"hello")
        await conn.read_request()

    async with raw_server(script) as fake, http_backend() as backend:
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        await read(sent.ok)
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        assert sent.error.stage is Stage.SENT
        assert (fake.accepted, len(fake.requests)) == (1, 2)


async def test_refused_connection_counts_as_unsent():
    async with raw_server(anyio.sleep) as fake:
        server = fake.server()
    async with http_backend() as backend:
        sent = await backend.send(server, build_call(), *LIMITS)
        assert sent.error.stage is Stage.CONNECT
        assert sent.error.server_at_fault


async def test_no_cookie_or_header_leaks_to_the_next_request():
    async def script(conn):
        while True:
            head = await conn.read_request()
            await conn.answer(head, b"", b"set-cookie: secret=1; Path=/")

    async with raw_server(script) as fake, http_backend() as backend:
        server = fake.server()
        server.address = f"http://localhost:{fake.port}"
        for _ in range(2):
            sent = await backend.send(server, build_call(), *LIMITS)
            await read(sent.ok)
    names = {
        line.partition(b":")[0].lower()
        for line in fake.requests[1].split(b"\r\n")[1:]
    }
    assert names <= {
        b"host",
        b"content-length",
        b"content-type",
        b"x-request-id",
        b"corianderdoor-deadline-ms",
    }


async def test_late_answer_on_a_reused_connection_is_not_forwarded():
    async def script(conn):
        if conn.number == 1:
            head = await conn.read_request()
            await conn.answer(head, b"first")
            await conn.answer(head, b"first again")
        while True:
            await conn.answer(await conn.read_request(), b"second")

    async with raw_server(script) as fake, http_backend() as backend:
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        assert await read(sent.ok) == b"first"
        call = build_call(id="r2")
        sent = await backend.send(fake.server(), call, *LIMITS)
        if sent.is_ok():
            assert await read(sent.ok) == b"second"
        else:
            assert sent.error.stage is Stage.SENT


async def test_answer_with_another_request_id_is_rejected():
    async def script(conn):
        await conn.read_request()
        await conn.answer(b"\r\nx-request-id: another", b"crossed")

    async with raw_server(script) as fake, http_backend() as backend:
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        assert sent.error.stage is Stage.SENT
        assert "another" in sent.error.detail
        assert sent.error.server_at_fault


async def test_refusal_without_request_id_is_not_trusted():
    async def script(conn):
        await conn.read_request()
        await conn.send(
            b"HTTP/1.1 503 X\r\ncorianderdoor-outcome: not-run\r\n"
            b"content-length: 0\r\n\r\n"
        )

    async with raw_server(script) as fake, http_backend() as backend:
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        assert sent.error.stage is Stage.SENT


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"5\r\nhel",
        b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello",
        b"HTTP/1.0 200 OK\r\n\r\nhello",
        SSE + b"connection: close\r\n\r\ndata: 1\n\n",
        SSE + CHUNKED + b"9\r\ndata: 1\n\n\r\n0\r\n\r\n",
    ],
)
async def test_truncated_answer_is_a_fault(answer):
    async def script(conn):
        await conn.read_request()
        await conn.send(answer)

    fault = await fail_to_read(script)
    assert fault.stage is Stage.ANSWER
    assert fault.broken


async def test_close_delimited_stream_with_end_marker_is_complete():
    async def script(conn):
        await conn.read_request()
        await conn.send(SSE + b"connection: close\r\n\r\ndata: [DO")
        await conn.send(b"NE]\n\n")

    async with raw_server(script) as fake, http_backend() as backend:
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        assert await read(sent.ok) == b"data: [DONE]\n\n"


async def test_connection_of_an_unread_answer_is_not_reused():
    async def script(conn):
        head = await conn.read_request()
        if conn.number == 1:
            await conn.send(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab")
            await conn.wait_closed()
            return
        await conn.answer(head, b"whole")

    async with raw_server(script) as fake, http_backend() as backend:
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        await sent.ok.close()
        with anyio.fail_after(5):
            await fake.closed.wait()
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        assert await read(sent.ok) == b"whole"
        assert fake.accepted == 2


async def test_timeout_is_blamed_on_the_connection_before_the_server():
    async def script(conn):
        if conn.number == 1:
            await conn.answer(await conn.read_request(), b"hello")
        await conn.read_request()
        await conn.wait_closed()

    async with raw_server(script) as fake, http_backend() as backend:
        sent = await backend.send(fake.server(), build_call(), *LIMITS)
        await read(sent.ok)
        at_fault = []
        for _ in range(2):
            sent = await backend.send(fake.server(), build_call(), 9_000, 30)
            assert sent.error.silent
            assert sent.error.stage is Stage.SENT
            at_fault.append(sent.error.server_at_fault)
        assert at_fault == [False, True]
        assert fake.accepted == 2


@pytest.mark.parametrize(
    ("offset", "status", "whole"),
    [(b"5", b"206", True), (b"4", b"206", False), (b"5", b"200", False)],
)
async def test_stream_resumes_only_at_the_exact_byte(offset, status, whole):
    async def script(conn):
        head = await conn.read_request()
        echo = b"x-request-id: " + find_id(head) + b"\r\n"
        if conn.number == 1:
            await conn.send(
                b"HTTP/1.1 200 OK\r\ncorianderdoor-resume: s1\r\n"
                + (echo + b"content-length: 9\r\n\r\nhello")
            )
            return
        assert b"corianderdoor-resume: s1" in head.lower()
        assert b"corianderdoor-resume-offset: 5" in head.lower()
        await conn.send(
            (b"HTTP/1.1 %s X\r\n" % status + echo)
            + (b"corianderdoor-resume-offset: %s\r\n" % offset)
            + b"content-length: 4\r\n\r\n you"
        )

    async with raw_server(script) as fake, http_backend() as backend:
        server, call = fake.server(), build_call()
        first = (await backend.send(server, call, *LIMITS)).ok
        got = b""
        with pytest.raises(AnswerTruncated):
            async for chunk in first.chunks():
                got += chunk
        await first.close()
        rest = await backend.resume(server, call, first, *LIMITS)
        assert rest.is_ok() is whole
        if whole:
            assert got + await read(rest.ok) == b"hello you"
