"""Stand-in for the platform's store, as the pages describe it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from .http import build_answer, read_request

PREFIX = "/corianderdoor/"
PAGE_ITEMS = 500


class Store:
    """Items, leases and history, served over HTTP.

    Attributes:
        down: "" while it serves; "silent" or "reset" while it is down. Its
            leases pause meanwhile.
        slow_s: How long each answer takes while the store is slow.
        busy_at: Begin of the keys of writes with which the store becomes
            busy: it answers them, and all calls from then on, with 503.
        busy: Set when it has become busy; cleared to end that.
        calls: Number of calls by name.
    """

    def __init__(self):
        self.down = ""
        self.slow_s = 0.0
        self.busy_at = ""
        self.busy = asyncio.Event()
        self.calls = {}
        self._revision = 1
        self._items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = set()
        self._checked = time.monotonic()

    async def start(self, address):
        """Listens at an address."""
        self._server = await asyncio.start_server(self._serve, *address)
        self._tasks.add(asyncio.create_task(self._run_leases()))

    def close(self):
        """Stops listening."""
        for task in self._tasks:
            task.cancel()
        self._server.close()

    def put(self, key, value, lease=0):
        """Writes a key."""
        self._revision += 1
        created = self._items.get(key, {}).get("created_at", self._revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created_at": created,
            "lease_id": lease,
        }
        self._items[key] = item
        self._record(item)
        return self._revision

    def put_json(self, key, value):
        """Writes a key with a JSON value."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        """Removes a key if it exists."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._record(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def get(self, key):
        """Returns the value of a key; None if it does not exist."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def keys(self, prefix):
        """Returns the keys under a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _record(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _run_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            span, self._checked = now - self._checked, now
            for lease, [ttl, left] in list(self._leases.items()):
                if not self.down:
                    self._leases[lease][1] = left - span
                    if left - span <= 0:
                        self._end(lease)

    def _end(self, lease):
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease_id"] == lease:
                self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if self.down == "reset":
                    return
                if self.down:
                    await asyncio.sleep(3600)
                if self._is_busy(request):
                    writer.write(build_answer(503, [("Store-Era", 1)], b"{}"))
                    continue
                status, content = await self._answer(request)
                await asyncio.sleep(self.slow_s)
                if self.down:
                    # The answer does not get out any more.
                    await asyncio.sleep(3600)
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", 1),
                ]
                body = json.dumps(content).encode()
                writer.write(build_answer(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    def _is_busy(self, request):
        if self.busy_at and self.busy_at.encode() in request.body:
            self.busy.set()
        return self.busy.is_set()

    async def _answer(self, request):
        path, _, query = request.target.partition("?")
        fields = {k: v[0] for k, v in parse_qs(query, True).items()}
        name, _, argument = path.removeprefix(PREFIX).partition("/")
        self.calls[name] = self.calls.get(name, 0) + 1
        body = json.loads(request.body) if request.body else {}
        if name == "kv-key":
            item = self._items.get(fields["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "at": self._revision}
        if name == "kv-range":
            return self._page(fields["path_prefix"], fields.get("after", ""))
        if name == "kv-watch":
            return await self._watch(fields)
        if name == "kv-txn":
            return self._commit(body)
        if name == "kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_ms = max(1_000, min(600_000, body["ttl_ms"]))
            self._leases[lease] = [ttl_ms / 1000, ttl_ms / 1000]
            return 200, {"lease_id": lease, "ttl_ms": ttl_ms}
        if name == "kv-keep":
            found = self._leases.get(int(argument))
            if found is None:
                return 404, {}
            found[1] = found[0]
            return 200, {"ttl_ms": int(found[0] * 1000)}
        if name == "kv-lease-end":
            self._end(int(argument))
            return 200, {}
        return 404, {}

    def _page(self, prefix, after):
        keys = [key for key in self.keys(prefix) if key > after]
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {
            "entries": page,
            "has_more": len(keys) > len(page),
            "at": self._revision,
        }

    async def _watch(self, fields):
        after = int(fields["after"])
        end = time.monotonic() + int(fields["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(fields["path_prefix"])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _commit(self, body):
        for row in body.get("expected_revision", ()):
            item = self._items.get(row["key"])
            found = item["revision"] if item else 0
            if found != row["revision"]:
                return 412, {"entries": [item] if item else []}
        for row in body.get("write", ()):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease_id") and row["lease_id"] not in self._leases:
                return 404, {}
        for row in body.get("write", ()):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease_id", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self._revision}
