"""Stand-in for a worker: a model engine or a plain service.

Reads one JSON object per line from standard input, each of which updates its
settings, and writes one JSON object per line to standard output for each
request that it gets, runs or turns away.
"""

import asyncio
import json
import sys
import time

SETTINGS = {
    "mode": "",
    "events": 20,
    "gap_ms": 30.0,
    "work_ms": 20.0,
    "extra": "",
    "answer_bytes": 0,
    "event_bytes": 0,
    "read_pause_s": 0.0,
    "endless_pause_ms": 5.0,
}


def tell(**what):
    """Writes one line about what happened."""
    what["at"] = round(time.time(), 4)
    sys.stdout.write(json.dumps(what) + "\n")
    sys.stdout.flush()


class Request:
    """A request as it arrived."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("attempt-id", "")


async def read_request(reader):
    """Returns the next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = b""
    if int(headers.get("content-length", "0")):
        await asyncio.sleep(SETTINGS["read_pause_s"])
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


class Worker:
    """One worker."""

    def __init__(self, name, engine):
        self.name = name
        self.engine = engine

    def head(self, req, status=200, *more):
        """Returns the head of an answer, without its last empty line."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"Attempt-Id: {req.id}",
            f"Response-Signature: sig.{req.id}.{self.name}",
            *more,
        ]
        if SETTINGS["extra"]:
            lines.append(SETTINGS["extra"])
        return ("\r\n".join(lines) + "\r\n").encode()

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    return
                tell(event="arrives", id=req.id, target=req.target)
                if req.headers.get("expected-instance") != self.name:
                    writer.write(
                        b"HTTP/1.1 421 X\r\nAttempt-Id: %b\r\n"
                        b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        % req.id.encode()
                    )
                    continue
                tell(event="runs", id=req.id, headers=req.headers)
                if not await self.answer(req, writer):
                    return
                tell(event="ends", id=req.id)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, req, writer):
        """Answers; returns whether the connection goes on."""
        if not self.engine:
            await asyncio.sleep(SETTINGS["work_ms"] / 1000)
            if SETTINGS["mode"].startswith("endless"):
                chunked = "Transfer-Encoding: chunked"
                writer.write(self.head(req, 200, chunked) + b"\r\n")
                return await self.send_endless(req, writer)
            body = b"done " + req.body[:100]
            if "/big" in req.target:
                body += b"x" * SETTINGS["answer_bytes"]
            length = f"Content-Length: {len(body)}"
            writer.write(self.head(req, 200, length) + b"\r\n" + body)
            await writer.drain()
            return True
        writer.write(
            self.head(
                req,
                200,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
            + b"\r\n"
        )
        if SETTINGS["mode"].startswith("endless"):
            return await self.send_endless(req, writer)
        first = int(req.headers.get("last-event-id") or 0) + 1
        for number in range(first, SETTINGS["events"] + 1):
            event = b"id: %d\ndata: token-%d%b\n\n" % (
                number,
                number,
                b"x" * SETTINGS["event_bytes"],
            )
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(SETTINGS["gap_ms"] / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def send_endless(self, req, writer):
        """Goes on with an answer until the caller closes."""
        unit = SETTINGS["mode"].partition(":")[2].encode()
        unit = unit.decode("unicode_escape").encode("latin-1")
        piece = unit * (65536 // len(unit))
        chunk = b"%x\r\n%b\r\n" % (len(piece), piece)
        tell(event="endless", id=req.id)
        while True:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(SETTINGS["endless_pause_ms"] / 1000)


async def main():
    """Serves until standard input ends."""
    name, kind, host, port = sys.argv[1:5]
    worker = Worker(name, kind == "engine")
    server = await asyncio.start_server(
        worker.serve, host, int(port), limit=2**20
    )
    tell(event="listens")
    loop = asyncio.get_running_loop()
    while True:
        line = await loop.run_in_executor(None, sys.stdin.readline)
        if not line:
            break
        SETTINGS.update(json.loads(line))
        tell(event="settings")
    server.close()


asyncio.run(main())
