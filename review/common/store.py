"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote

from .http import encode_answer, read_body, read_head

PATH = "/corianderdoor/"
# Time that a call takes.
ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Items, leases, history and watches.

    Attributes:
        watches: Connections with a watch that waits.
        down: Whether the store answers nobody. Leases pause then.
        era: Rises by one when the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.down = False
        self.era = 1
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.watches: set[asyncio.StreamWriter] = set()
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease = 1
        self._connections: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens, and ends leases when they run out."""
        self._server = await asyncio.start_server(self._serve, host, port)
        asyncio.get_running_loop().create_task(self._expire())

    def stop(self) -> None:
        """Takes the store down: it ends and refuses all connections."""
        self.down = True
        for writer in list(self._connections):
            writer.transport.abort()

    def resume(self) -> None:
        """Brings the store back, with all that it had."""
        self.down = False

    def copy(self) -> tuple[int, dict[str, dict[str, Any]]]:
        """Returns a copy of the revision and all items."""
        return self.revision, {k: dict(v) for k, v in self.items.items()}

    def restore(self, copy: tuple[int, dict[str, dict[str, Any]]]) -> None:
        """Brings the store back from a copy; leases are gone.

        So are the items under them, which the hosts write again.
        """
        self.era += 1
        self.revision, items = copy
        self.items = {
            key: dict(item)
            for key, item in items.items()
            if not item["lease_id"]
        }
        self._history.clear()
        self._leases.clear()
        self.down = False

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a value as an operator or a worker does."""
        return self._put(key, json.dumps(value).encode(), lease)

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._add({"key": key, "revision": self.revision, "deleted": True})

    def _put(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_at": old["created_at"] if old else self.revision,
            "lease_id": lease,
        }
        self._add(self.items[key])
        return self.revision

    def _add(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.down:
                for lease, (ttl_ms, _) in self._leases.items():
                    self._leases[lease] = (ttl_ms, now + ttl_ms / 1_000)
            ended = [k for k, (_, at) in self._leases.items() if at <= now]
            for lease in ended:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease_id"] == lease:
                self.remove(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.down:
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.line.split(" ")
                body = await read_body(reader, head)
                path, _, query = target.partition("?")
                fields = {k: v[0] for k, v in parse_qs(query, True).items()}
                call, _, argument = path.removeprefix(PATH).partition("/")
                if call == "kv-watch":
                    self.watches.add(writer)
                    status, answer = await self._watch(fields)
                    self.watches.discard(writer)
                else:
                    await asyncio.sleep(ANSWER_S)
                    data = json.loads(body) if body else {}
                    status, answer = self._call(
                        call, unquote(argument), fields, data
                    )
                headers = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                text = json.dumps(answer).encode()
                writer.write(encode_answer(status, headers, text))
        except ConnectionError:
            pass
        finally:
            self._connections.discard(writer)
            self.watches.discard(writer)
            writer.close()

    async def _watch(self, fields: dict[str, str]) -> tuple[int, Any]:
        prefix, after = fields.get("path_prefix", ""), int(fields["after"])
        if after > self.revision:
            return 410, {}
        until = time.monotonic() + int(fields["wait_ms"]) / 1_000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _call(
        self, call: str, argument: str, fields: dict[str, str], data: Any
    ) -> tuple[int, Any]:
        calls = {
            "kv-key": lambda: self._read(fields["key"]),
            "kv-range": lambda: self._range(fields),
            "kv-txn": lambda: self._commit(data),
            "kv-lease": lambda: self._grant(data["ttl_ms"]),
            "kv-keep": lambda: self._keep(int(argument)),
            "kv-lease-end": lambda: (200, self._end_lease(int(argument))),
        }
        return calls[call]() if call in calls else (404, {})

    def _read(self, key: str) -> tuple[int, Any]:
        item = self.items.get(key)
        if item is None:
            return 404, {"at": self.revision}
        return 200, item | {"at": self.revision}

    def _range(self, fields: dict[str, str]) -> tuple[int, Any]:
        prefix, after = fields.get("path_prefix", ""), fields.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"entries": page, "has_more": more, "at": self.revision}

    def _grant(self, ttl_ms: int) -> tuple[int, Any]:
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
        return 200, {"lease_id": lease, "ttl_ms": ttl_ms}

    def _keep(self, lease: int) -> tuple[int, Any]:
        if lease not in self._leases:
            return 404, {}
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
        return 200, {"ttl_ms": ttl_ms}

    def _commit(self, data: Any) -> tuple[int, Any]:
        rows = data.get("expected_revision", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items.get(r["key"]) for r in rows]
                return 412, {"entries": [i for i in found if i]}
        writes = data.get("write", [])
        for row in writes:
            lease = row.get("lease_id", 0)
            if lease and lease not in self._leases:
                return 404, {}
        for row in writes:
            value = base64.b64decode(row["value"])
            self._put(row["key"], value, row.get("lease_id", 0))
        for key in data.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
