"""Tests that the client retries only requests known not to have run."""

from contextlib import asynccontextmanager
import json

import anyio
from fakes import raw_server
import httpx
import pytest

from corianderdoor.client import Client

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def two_hosts(first):
    """Yields a client, a host that runs `first`, and one that answers."""
    hosts = []

    async def script(conn):
        head = await conn.read_request()
        if b"/v1/address" in head:
            listed = [
                {"name": f"r{host.port}", "address": url(host)}
                for host in hosts
            ]
            answer = json.dumps({"hosts": listed, "valid_ms": 60_000})
            await conn.answer(head, answer.encode(), b"connection: close")
            return
        if conn.server is hosts[0]:
            await first(conn, url(hosts[1]))
        else:
            await conn.answer(head, b"second", b"connection: close")

    async with raw_server(script) as one, raw_server(script) as two:
        hosts += [one, two]
        client = Client([url(two)], "w1")
        try:
            yield client, one, two
        finally:
            await client.close()


def url(host):
    """Returns the base URL of a fake."""
    return f"http://127.0.0.1:{host.port}"


def count(host):
    """Returns how many POST requests a host received."""
    return sum(head.startswith(b"POST") for head in host.requests)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        b"HTTP/1.1 307 X\r\nlocation: %s\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 502 X\r\ncorianderdoor-outcome: unknown\r\n"
        b"content-length: 0\r\n\r\n",
    ],
)
async def test_request_that_may_have_run_goes_to_no_other_host(answer):
    async def first(conn, other):
        await conn.send(answer.replace(b"%s", other.encode()))

    async with two_hosts(first) as (client, one, two):
        try:
            resp = await client.request("POST", "/payments", content=b"{}")
            assert resp.status_code >= 300
        except httpx.TransportError:
            pass
        assert (count(one), count(two)) == (1, 0)


async def test_redirect_that_says_not_run_is_followed_with_all_headers():
    async def first(conn, other):
        await conn.send(
            b"HTTP/1.1 307 X\r\ncorianderdoor-outcome: not-run\r\n"
            b"connection: close\r\ncontent-length: 0\r\nlocation: "
            + (other + "/payments\r\n\r\n").encode()
        )

    async with two_hosts(first) as (client, one, two):
        resp = await client.request(
            "POST",
            "/payments",
            headers={"authorization": "key"},
            content=b"{}",
        )
        assert resp.content == b"second"
        assert b"authorization: key" in two.requests[-1].lower()


async def test_host_that_accepts_no_connection_is_skipped():
    async def first(conn, other):
        await anyio.sleep_forever()

    async with two_hosts(first) as (client, one, two):
        port, one.port = one.port, 9
        resp = await client.request("POST", "/payments", content=b"{}")
        one.port = port
        assert resp.content == b"second"
