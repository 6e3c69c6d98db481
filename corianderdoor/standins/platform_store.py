"""Stand-in for the platform's store, for tests and load runs."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qs

import anyio
import msgspec

from ..adapters.http1_server import ReceivedRequest, ServerConnection
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.routing import DEFAULT_LIMITS

PATH: Final = "/corianderdoor/"
PAGE_ITEMS: Final = 50
PAGE_BYTES: Final = 1_000_000
FIRST_REVISION: Final = 1
FIRST_ERA: Final = 1

Answer = tuple[int, dict[str, Any]]


class Snapshot:
    """Copy of a store's state at one moment."""

    __slots__ = (
        "revision",
        "compacted_revision",
        "items",
        "history",
        "leases",
        "next_lease",
    )

    def __init__(
        self,
        revision: int,
        compacted_revision: int,
        items: dict[str, dict[str, Any]],
        history: list[dict[str, Any]],
        leases: dict[int, tuple[int, int]],
        next_lease: int,
    ) -> None:
        self.revision = revision
        self.compacted_revision = compacted_revision
        self.items = items
        self.history = history
        self.leases = leases
        self.next_lease = next_lease


class StoreState:
    """Items, leases and history of a store.

    Attributes:
        era: Rises by one each time the store is restored from a snapshot.
        revision: Revision of the last change.
        compacted_revision: Changes up to this revision are no longer in
            the history.
    """

    __slots__ = (
        "era",
        "revision",
        "compacted_revision",
        "_items",
        "_history",
        "_leases",
        "_next_lease",
        "_clock",
        "_changed",
    )

    def __init__(self, clock: Clock) -> None:
        self.era = FIRST_ERA
        self.revision = FIRST_REVISION
        self.compacted_revision = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[int, int]] = {}
        self._next_lease = 1
        self._clock = clock
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key and returns the revision of the change."""
        self.revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_at": old["created_at"] if old else self.revision,
            "lease_id": lease,
        }
        self._items[key] = item
        self._record_event(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes a key if it exists."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._record_event(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def _record_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def take_snapshot(self) -> Snapshot:
        """Returns a copy of the current state."""
        return Snapshot(
            self.revision,
            self.compacted_revision,
            dict(self._items),
            list(self._history),
            dict(self._leases),
            self._next_lease,
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Returns to the state in `snapshot` and begins a new era.

        Revisions and lease ids since the snapshot are given out again.
        """
        self.era += 1
        self.revision = snapshot.revision
        self.compacted_revision = snapshot.compacted_revision
        self._items = dict(snapshot.items)
        self._history = list(snapshot.history)
        self._leases = dict(snapshot.leases)
        self._next_lease = snapshot.next_lease
        self._wake_watches()

    def compact_history(self) -> None:
        """Drops all changes from the history."""
        self._history.clear()
        self.compacted_revision = self.revision

    def expire_leases(self) -> None:
        """Ends expired leases and removes their keys."""
        now_ms = self._clock.now_ms()
        expired = [k for k, (_, at) in self._leases.items() if at <= now_ms]
        for lease in expired:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self._leases.pop(lease, None)
        owned = [k for k, v in self._items.items() if v["lease_id"] == lease]
        for key in owned:
            self.remove(key)

    def get(self, key: str) -> dict[str, Any] | None:
        """Returns an item; None if it does not exist."""
        return self._items.get(key)

    def read_value(self, key: str) -> bytes | None:
        """Returns the value of an item; None if it does not exist."""
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def read_page(self, prefix: str, after: str) -> Answer:
        """Returns the first page of items under `prefix` after a key."""
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        page: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self._items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(self._items[key])
        more = len(keys) > len(page)
        return 200, {"entries": page, "has_more": more, "at": self.revision}

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Answer:
        """Returns changes after a revision; waits if there are none yet.

        Status 410 if the store does not have that revision, because its
        history was compacted or because it was restored.
        """
        with anyio.move_on_after(wait_ms / MS_PER_SECOND):
            while self._has_revision(after) and not self._events(
                prefix, after
            ):
                await self._changed.wait()
        if not self._has_revision(after):
            return 410, {}
        events = self._events(prefix, after)
        return 200, {"events": events, "at": self.revision}

    def _has_revision(self, revision: int) -> bool:
        return self.compacted_revision <= revision <= self.revision

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def grant(self, ttl_ms: int) -> Answer:
        """Grants a lease."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return 200, {"lease_id": lease, "ttl_ms": ttl_ms}

    def renew(self, lease: int) -> Answer:
        """Renews a lease; status 404 if it does not exist."""
        if lease not in self._leases:
            return 404, {}
        ttl_ms, _ = self._leases[lease]
        self._leases[lease] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    def commit(self, change: dict[str, Any]) -> Answer:
        """Applies a transaction, or nothing if a condition fails."""
        for row in change.get("expected_revision", []):
            item = self._items.get(row["key"])
            found = item["revision"] if item else 0
            if found != row["revision"]:
                return 412, {"entries": [item] if item else []}
        for row in change.get("write", []):
            if row.get("lease_id") and row["lease_id"] not in self._leases:
                return 404, {}
        for row in change.get("write", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease_id", 0))
        for key in change.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class StoreServer:
    """Serves a store over HTTP, with injectable faults.

    Attributes:
        state: State of the store.
        fault: "" for none; "busy" answers 503, "silent" does not answer,
            "reset" resets the connection, "lost" executes the call and
            resets the connection instead of answering.
        calls: Number of calls by name.
    """

    __slots__ = ("state", "fault", "calls")

    def __init__(self, state: StoreState) -> None:
        self.state = state
        self.fault = ""
        self.calls: dict[str, int] = {}

    async def serve(self, conn: ServerConnection) -> None:
        """Serves one connection."""
        while True:
            received = await conn.read_request(DEFAULT_LIMITS)
            if not isinstance(received, ReceivedRequest):
                return
            if self.fault == "reset":
                conn.protocol.abort()
                return
            if self.fault == "silent":
                await anyio.sleep_forever()
            status, answer = 503, dict[str, Any]()
            if self.fault in ("", "lost"):
                status, answer = await self._answer(received)
            if self.fault == "lost":
                conn.protocol.abort()
                return
            headers = [
                (b"Content-Type", b"application/json"),
                (b"Store-Era", b"%d" % self.state.era),
            ]
            await conn.respond(status, headers, msgspec.json.encode(answer))
            if not await conn.finish():
                return

    async def _answer(self, received: ReceivedRequest) -> Answer:
        self.state.expire_leases()
        path, _, query = received.target.decode().partition("?")
        fields = {k: v[0] for k, v in parse_qs(query, True).items()}
        call, _, argument = path.removeprefix(PATH).partition("/")
        self.calls[call] = self.calls.get(call, 0) + 1
        if call == "kv-watch":
            return await self.state.watch(
                fields.get("path_prefix", ""),
                int(fields["after"]),
                int(fields["wait_ms"]),
            )
        body: dict[str, Any] = {}
        if received.body:
            body = msgspec.json.decode(received.body)
        return self._call(call, argument, fields, body)

    def _call(
        self,
        call: str,
        argument: str,
        fields: dict[str, str],
        body: dict[str, Any],
    ) -> Answer:
        state = self.state
        calls: dict[str, Callable[[], Answer]] = {
            "kv-range": lambda: state.read_page(
                fields.get("path_prefix", ""), fields.get("after", "")
            ),
            "kv-lease": lambda: state.grant(body["ttl_ms"]),
            "kv-keep": lambda: state.renew(int(argument)),
            "kv-txn": lambda: state.commit(body),
            "kv-lease-end": lambda: self._end_lease(int(argument)),
        }
        if call not in calls:
            return 404, {}
        return calls[call]()

    def _end_lease(self, lease: int) -> Answer:
        self.state.end_lease(lease)
        return 200, {}
