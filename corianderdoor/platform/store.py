"""Client of the platform's store."""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping
from typing import Final, TypeVar
from urllib.parse import urlencode

import anyio
import h11
import msgspec

from ..adapters.http1 import ConnectionBrokenError, H11Protocol
from ..adapters.http1_connect import connect
from ..core.clock import MS_PER_SECOND
from ..core.entry.addresses import Address
from ..core.entry.counters import Counters
from ..core.records import Record
from .store_answers import AnswerTooLargeError, Headers, read_answer
from .store_era import ERA_HEADER, StoreEra
from .store_messages import (
    encode_commit,
    RawDone,
    RawItem,
    RawLease,
    RawPage,
)

PATH: Final = "/corianderdoor"
WATCH_CALL: Final = "kv-watch"
CONNECT_TIMEOUT_MS: Final = 600
# Answers normally take milliseconds; this allows for a slow store.
CALL_TIMEOUT_MS: Final = 1_500
# Allowed on top of the wait time of a watch before it times out.
WATCH_MARGIN_MS: Final = 1_500
UNACKED_TIMEOUT_MS: Final = 1_500
MAX_PAGES: Final = 200

AnswerT = TypeVar("AnswerT")


class StoreError(Exception):
    """A call to the store failed.

    Attributes:
        step: Name of the call.
        reason: "unreached" (no connection), "silent" (timeout), "cut"
            (connection lost), "unreadable" (invalid answer), "too many
            pages", "too large" (an answer), "old era" (answer from before a
            restore of the store), "new era" (restore while pages were read),
            "withheld" (the caller may no longer make the call), or the HTTP
            status.
        not_applied: Whether the call certainly changed nothing.
        begun: Whether an answer began that was not usable as a whole.
    """

    def __init__(
        self, step: str, reason: str, not_applied: bool, begun: bool = False
    ) -> None:
        super().__init__(f"store call {step}: {reason}")
        self.step = step
        self.reason = reason
        self.not_applied = not_applied
        self.begun = begun


class HistoryGoneError(Exception):
    """The store's history no longer reaches back to the given revision."""


class Item(Record):
    """A key as written at a revision, or its removal.

    Attributes:
        key: The key.
        value: Its value; None if it was removed.
        revision: Revision of the change.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class StoreClient:
    """Makes calls to the platform's store, one at a time on one connection.

    A watch holds the connection while it waits and so needs its own client.
    The connection is discarded when an answer is lost, because nothing more
    arrives on it.

    Attributes:
        era: The store's era, which the clients of a host share. When a call
            returns, it is the era of the answer: answers of an older era
            raise `StoreError`.
    """

    __slots__ = ("era", "_address", "_counters", "_protocol", "_begun")

    def __init__(
        self,
        address: Address,
        counters: Counters,
        era: StoreEra | None = None,
    ) -> None:
        self.era = era or StoreEra(counters)
        self._address = address
        self._counters = counters
        self._protocol: H11Protocol | None = None
        self._begun = False

    def disconnect(self) -> None:
        """Aborts the connection; the next call opens a new one."""
        if self._protocol is not None:
            self._protocol.abort()
            self._protocol = None

    async def read_all(self, prefix: str) -> tuple[list[Item], int]:
        """Returns all items under `prefix` and the revision of the first page.

        The pages are not a consistent snapshot; a watch from the returned
        revision reports what changed while they were read.

        Raises:
            StoreError: A call failed or there were too many pages.
        """
        found: list[Item] = []
        first_revision: int | None = None
        first_era = self.era.known
        after: str | None = None
        for _ in range(MAX_PAGES):
            query = {"path_prefix": prefix}
            if after is not None:
                query["after"] = after
            page = await self._page("kv-range", query, CALL_TIMEOUT_MS)
            if first_revision is None:
                first_revision = page.at
                first_era = self.era.known
            if self.era.known != first_era:
                raise StoreError("kv-range", "new era", True)
            found.extend(_decode_item(raw) for raw in page.entries)
            if not page.has_more or not page.entries:
                return found, first_revision
            after = page.entries[-1].key
        raise StoreError("kv-range", "too many pages", True)

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[list[Item], int]:
        """Waits for changes under `prefix` after a revision.

        Returns:
            The changes, empty if there were none within `wait_ms`, and the
            store's revision.

        Raises:
            StoreError: The call failed.
            HistoryGoneError: The store no longer has these changes.
        """
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_ms": str(wait_ms),
        }
        page = await self._page(WATCH_CALL, query, wait_ms + WATCH_MARGIN_MS)
        return [_decode_item(raw) for raw in page.events], page.at

    async def _page(
        self, call: str, query: dict[str, str], timeout_ms: int
    ) -> RawPage:
        target = f"{PATH}/{call}?{urlencode(query)}"
        status, body = await self._call(call, "GET", target, b"", timeout_ms)
        if status == 410:
            raise HistoryGoneError
        return _decode(call, status, body, RawPage)

    async def grant(self, ttl_ms: int) -> int:
        """Returns the id of a new lease.

        Raises:
            StoreError: The call failed.
        """
        body = msgspec.json.encode({"ttl_ms": ttl_ms})
        status, answer = await self._call(
            "kv-lease", "POST", f"{PATH}/kv-lease", body, CALL_TIMEOUT_MS
        )
        return _decode("kv-lease", status, answer, RawLease).lease_id

    async def renew(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired or was ended.

        Raises:
            StoreError: The call failed.
        """
        target = f"{PATH}/kv-keep/{lease_id}"
        status, answer = await self._call(
            "kv-keep", "POST", target, b"", CALL_TIMEOUT_MS
        )
        if status == 404:
            return False
        _decode("kv-keep", status, answer, RawLease)
        return True

    async def end_lease(self, lease_id: int) -> None:
        """Ends a lease, which removes its keys.

        Raises:
            StoreError: The call failed.
        """
        target = f"{PATH}/kv-lease-end/{lease_id}"
        await self._call(
            "kv-lease-end", "DELETE", target, b"", CALL_TIMEOUT_MS
        )

    async def write(self, key: str, value: bytes, lease_id: int) -> bool:
        """Writes a key under a lease; returns False if the lease is gone.

        Raises:
            StoreError: The call failed.
        """
        status, answer = await self._commit({}, {key: value}, lease_id)
        if status == 404:
            return False
        _decode("kv-txn", status, answer, RawDone)
        return True

    async def compare_and_set(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        may_send: Callable[[], bool] = lambda: True,
        lease_id: int = 0,
    ) -> bool:
        """Writes keys if others still have the expected revisions.

        A call that gets no answer may have been executed, or may be executed
        later: `StoreError.not_applied` is False then. The caller has to read
        the keys again before it tries a second time.

        Args:
            expected: Revision of each key; 0 if it must not exist.
            writes: New values by key.
            may_send: Called right before the call is sent; if it returns
                False, nothing is sent.
            lease_id: Lease of the written keys; 0 for none.

        Returns:
            False if a key has another revision, so that nothing was written.

        Raises:
            StoreError: The call failed.
        """
        status, answer = await self._commit(
            expected, writes, lease_id, may_send
        )
        if status == 412:
            return False
        _decode("kv-txn", status, answer, RawDone)
        return True

    async def _commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        lease_id: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes]:
        return await self._call(
            "kv-txn",
            "POST",
            f"{PATH}/kv-txn",
            encode_commit(expected, writes, lease_id),
            CALL_TIMEOUT_MS,
            may_send,
        )

    async def _call(
        self,
        step: str,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes]:
        self._counters.add("store_calls", call=step)
        sent = self._begun = False
        try:
            with anyio.fail_after(timeout_ms / MS_PER_SECOND):
                protocol = await self._open(step)
                if not may_send():
                    raise StoreError(step, "withheld", True)
                sent = True
                status, headers, content = await self._exchange(
                    protocol, method, target, body
                )
        except TimeoutError as exc:
            self.disconnect()
            raise StoreError(step, "silent", not sent, self._begun) from exc
        except AnswerTooLargeError as exc:
            self.disconnect()
            raise StoreError(step, "too large", False, True) from exc
        except (ConnectionBrokenError, h11.ProtocolError) as exc:
            self.disconnect()
            raise StoreError(step, "cut", not sent, self._begun) from exc
        except BaseException:
            self.disconnect()
            raise
        if not protocol.reset_cycle():
            self.disconnect()
        eras = [value for name, value in headers if name == ERA_HEADER]
        if self.era.read(eras) < self.era.known:
            raise StoreError(step, "old era", False)
        return status, content

    async def _open(self, step: str) -> H11Protocol:
        if self._protocol is not None and self._protocol.reusable:
            return self._protocol
        self.disconnect()
        protocol = await connect(
            self._address, CONNECT_TIMEOUT_MS, UNACKED_TIMEOUT_MS
        )
        if protocol is None:
            raise StoreError(step, "unreached", True)
        self._protocol = protocol
        return protocol

    async def _exchange(
        self, protocol: H11Protocol, method: str, target: str, body: bytes
    ) -> tuple[int, Headers, bytes]:
        headers = [("Host", f"{self._address[0]}:{self._address[1]}")]
        if body:
            headers.append(("Content-Type", "application/json"))
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        protocol.write(
            h11.Request(method=method, target=target, headers=headers)
        )
        if body:
            protocol.write(h11.Data(data=body))
        protocol.write(h11.EndOfMessage())
        return await read_answer(protocol, self._record_begun)

    def _record_begun(self) -> None:
        self._begun = True


def _decode_item(raw: RawItem) -> Item:
    if raw.deleted:
        return Item(raw.key, None, raw.revision)
    try:
        value = base64.b64decode(raw.value, validate=True)
    except ValueError:
        # Treats invalid base64 as an empty value, which holds no record.
        value = b""
    return Item(raw.key, value, raw.revision)


def _decode(
    step: str, status: int, body: bytes, answer_type: type[AnswerT]
) -> AnswerT:
    if status != 200:
        raise StoreError(step, str(status), status in (429, 503))
    try:
        return msgspec.json.decode(body, type=answer_type)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise StoreError(step, "unreadable", False, True) from exc
