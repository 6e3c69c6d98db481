"""Decodes changes of the store's keys into typed changes."""

from __future__ import annotations

from typing import TypeAlias

from ..core.entry.addresses import Address
from ..core.entry.replica import Change
from ..core.entry.rollout_records import RolloutOrder, RolloutRecord
from ..core.entry.routing import DesiredState
from ..core.entry.servers import BackendServer
from ..core.entry.stored_verdicts import StoredVerdicts
from ..core.entry.version_ledger import VersionLedger
from ..core.records import Record
from .decoding import RecordError
from .records import (
    CACHES_KEY,
    decode_desired,
    decode_host,
    DESIRED_KEY,
    EVACUATION_PREFIX,
    HOST_PREFIX,
    SERVER_PREFIX,
)
from .rollouts import (
    decode_order,
    decode_record,
    ORDER_PREFIX,
    ROLLOUT_PREFIX,
)
from .server_records import decode_server
from .stream_records import decode_ledger, LEDGER_KEY
from .verdict_records import decode_verdicts, VERDICTS_KEY


class ServerListed(Record):
    """A backend server was added, or its entry changed."""

    __slots__ = ("server",)

    def __init__(self, server: BackendServer) -> None:
        self.server = server


class ServerRemoved(Record):
    """The entry of a backend server was removed.

    Attributes:
        id: Id of the server.
        grace_ms: How long the removal may still be undone; 0 if it is
            final.
    """

    __slots__ = ("id", "grace_ms")

    def __init__(self, id: str, grace_ms: int) -> None:
        self.id = id
        self.grace_ms = grace_ms


class Evacuation(Record):
    """The evacuation of a data centre began or ended."""

    __slots__ = ("data_centre", "active")

    def __init__(self, data_centre: str, active: bool) -> None:
        self.data_centre = data_centre
        self.active = active


class DesiredStateChange(Record):
    """The operators wrote a desired state."""

    __slots__ = ("state",)

    def __init__(self, state: DesiredState) -> None:
        self.state = state


class HostListed(Record):
    """An entry host in service was added, or its record changed."""

    __slots__ = ("name", "callers", "peers", "data_centre", "link_mbps")

    def __init__(
        self,
        name: str,
        callers: Address,
        peers: Address,
        data_centre: str,
        link_mbps: float,
    ) -> None:
        self.link_mbps = link_mbps
        self.name = name
        self.callers = callers
        self.peers = peers
        self.data_centre = data_centre


class HostRemoved(Record):
    """The record of an entry host was removed."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class CacheSnapshot(Record):
    """A snapshot of the servers' cache contents, as entry hosts encode it."""

    __slots__ = ("value",)

    def __init__(self, value: bytes) -> None:
        self.value = value


class RolloutOrderChange(Record):
    """The operators' order of a rollout was written or removed.

    Attributes:
        service: Name of the service.
        order: The order; None if it was removed.
    """

    __slots__ = ("service", "order")

    def __init__(self, service: str, order: RolloutOrder | None) -> None:
        self.service = service
        self.order = order


class RolloutRecordChange(Record):
    """The hosts' record of a rollout was written or removed.

    Attributes:
        service: Name of the service.
        record: The record; None if it was removed.
    """

    __slots__ = ("service", "record")

    def __init__(self, service: str, record: RolloutRecord | None) -> None:
        self.service = service
        self.record = record


class LedgerChange(Record):
    """The hosts' ledger of the versions of streams was written or removed.

    Attributes:
        ledger: The ledger; None if it was removed.
    """

    __slots__ = ("ledger",)

    def __init__(self, ledger: VersionLedger | None) -> None:
        self.ledger = ledger


class VerdictsChange(Record):
    """The hosts' verdicts on crashing requests were written or removed.

    Attributes:
        stored: The verdicts; None if they were removed.
    """

    __slots__ = ("stored",)

    def __init__(self, stored: StoredVerdicts | None) -> None:
        self.stored = stored


class UnusableRecord(Record):
    """A value in the store that can't be decoded.

    Attributes:
        key: Its key.
        detail: What is wrong with it.
        field: Name of the invalid field; empty if there is no such field.
    """

    __slots__ = ("key", "detail", "field")

    def __init__(self, key: str, detail: str, field: str = "") -> None:
        self.key = key
        self.detail = detail
        self.field = field


DecodedChange: TypeAlias = (
    ServerListed
    | ServerRemoved
    | Evacuation
    | DesiredStateChange
    | HostListed
    | HostRemoved
    | CacheSnapshot
    | RolloutOrderChange
    | RolloutRecordChange
    | LedgerChange
    | VerdictsChange
    | UnusableRecord
)


def decode_change(change: Change) -> DecodedChange | None:
    """Returns the decoded `change`; None if it is not relevant here."""
    try:
        return _decode(change)
    except RecordError as exc:
        return UnusableRecord(change.key, str(exc), exc.field)
    except RecursionError:
        # The decoder raises it for values that are nested too deep.
        return UnusableRecord(change.key, "nested too deep")


def _decode(change: Change) -> DecodedChange | None:
    key = change.key
    if key.startswith(SERVER_PREFIX):
        return _decode_server_change(change, key[len(SERVER_PREFIX) :])
    if key.startswith(EVACUATION_PREFIX):
        data_centre = key[len(EVACUATION_PREFIX) :]
        return Evacuation(data_centre, change.value is not None)
    if key.startswith(HOST_PREFIX):
        return _decode_host_change(change, key[len(HOST_PREFIX) :])
    if key.startswith(ORDER_PREFIX):
        return _decode_order_change(change, key[len(ORDER_PREFIX) :])
    if key.startswith(ROLLOUT_PREFIX):
        return _decode_rollout_change(change, key[len(ROLLOUT_PREFIX) :])
    if key == LEDGER_KEY:
        return LedgerChange(
            None if change.value is None else decode_ledger(change.value)
        )
    if key == VERDICTS_KEY:
        return VerdictsChange(
            None if change.value is None else decode_verdicts(change.value)
        )
    if key == DESIRED_KEY and change.value is not None:
        return DesiredStateChange(decode_desired(change.value))
    if key == CACHES_KEY and change.value is not None:
        return CacheSnapshot(change.value)
    return None


def _decode_server_change(change: Change, name: str) -> DecodedChange:
    if change.value is None:
        return ServerRemoved(name, change.grace_ms)
    return ServerListed(decode_server(name, change.value))


def _decode_host_change(change: Change, name: str) -> DecodedChange:
    if change.value is None:
        return HostRemoved(name)
    return HostListed(name, *decode_host(name, change.value))


def _decode_order_change(change: Change, service: str) -> DecodedChange:
    if change.value is None:
        return RolloutOrderChange(service, None)
    return RolloutOrderChange(
        service, decode_order(service, change.value, change.revision)
    )


def _decode_rollout_change(change: Change, service: str) -> DecodedChange:
    if change.value is None:
        return RolloutRecordChange(service, None)
    return RolloutRecordChange(
        service, decode_record(service, change.value, change.revision)
    )
