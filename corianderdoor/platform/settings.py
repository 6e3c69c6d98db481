"""Reads the settings file that the platform gives to each process."""

from __future__ import annotations

import ipaddress
import os
import pathlib
from typing import Any, Final

import msgspec

from ..core.clock import MS_PER_SECOND
from ..core.entry.addresses import Address
from ..core.records import Record

# Contract under which the hosts carry out rollouts of versions.
ROLLOUT_CONTRACT: Final = "rollout"
PATH_VARIABLE: Final = "CORIANDERDOOR_BOOT"
DEFAULT_PATH: Final = "/etc/corianderdoor/boot.json"
# Operations on sockets raise OverflowError for higher ports.
MAX_PORT: Final = 65_535


class SettingsError(Exception):
    """The settings can't be read or are invalid."""


class EntrySettings(Record):
    """Settings of one entry host.

    Attributes:
        name: Name of the host.
        data_centre: Data centre of the host.
        address: IP address of the host.
        callers: Address on which callers are served.
        readiness: Address of the platform's readiness check.
        directory: Address on which callers look up which host to use.
        peer_ports: First and last port for traffic between entry hosts.
        store: Address of the platform's store.
        store_writes_per_s: Writes a second that the store takes of all hosts.
        heartbeat_ms: Interval between heartbeats of a backend server.
        grace_ms: Time between the stop signal and the kill.
        cold_factor: Multiple of a cold server's request rate that may be
            sent to it.
        cold_slack: Requests a second that may be sent on top of that.
        repeat_ratio: Retries that the retry budget grants per request.
        repeat_slack: Retries granted on top of that, for all hosts together.
        repeat_window_ms: Window over which retries are counted.
        directory_ttl_s: Longest time that callers may use a directory
            answer.
        link_mbps: Speed of the host's network link in Mbit/s; 0 if unknown.
        processor_share: Share of one CPU core that this process may use; at
            most 1, as it runs on one core at a time.
        memory_mb: Memory that this process may take, in MB; 0 if unknown.
        descriptors: Descriptors that this process may open; 0 if unknown.
        lost_after_ms: Time after which a host without connections is no
            longer held to the bounds of reaction times.
        first_start: Whether all hosts start for the first time, together.
        contracts: Names of the duties that the platform asks the hosts for.
        exposure_share: Share of a service's requests that a bad version may
            get.
        exposure_slack: Requests that a bad version may get on top of that.
        rollback_ms: Time from the 50th bad answer of a version to the last
            request that it may get, in ms.
    """

    __slots__ = (
        "name",
        "data_centre",
        "address",
        "callers",
        "readiness",
        "directory",
        "peer_ports",
        "store",
        "store_writes_per_s",
        "heartbeat_ms",
        "grace_ms",
        "cold_factor",
        "cold_slack",
        "repeat_ratio",
        "repeat_slack",
        "repeat_window_ms",
        "directory_ttl_s",
        "link_mbps",
        "processor_share",
        "memory_mb",
        "descriptors",
        "lost_after_ms",
        "first_start",
        "contracts",
        "exposure_share",
        "exposure_slack",
        "rollback_ms",
    )

    def __init__(self, raw: _File) -> None:
        bounds = raw.bounds
        self.name = raw.node_name
        self.data_centre = raw.zone
        self.address = raw.ip_address
        self.callers = parse_address(raw.listen_addresses.frontend)
        self.readiness = parse_address(raw.listen_addresses.ready)
        self.directory = parse_address(raw.listen_addresses.directory_service)
        self.peer_ports = raw.internal_port_range
        self.store = parse_address(raw.platform.address)
        self.store_writes_per_s = raw.platform.writes_per_s
        self.heartbeat_ms = raw.heartbeat_interval_ms
        self.grace_ms = int(bounds.grace_period_s * MS_PER_SECOND)
        self.cold_factor = bounds.cold_factor
        self.cold_slack = bounds.cold_slack
        self.repeat_ratio = bounds.retry_budget_ratio
        self.repeat_slack = bounds.retry_budget_slack
        self.repeat_window_ms = int(bounds.budget_window_s * MS_PER_SECOND)
        self.directory_ttl_s = bounds.ttl_max_s
        self.link_mbps = raw.limits.link_speed_mbps
        limits = raw.limits
        self.processor_share = min(1.0, limits.cpu_share * limits.cpu_cores)
        self.memory_mb = limits.memory_mb
        self.descriptors = int(limits.file_descriptors)
        self.lost_after_ms = int(bounds.connectivity_ms)
        self.first_start = raw.initial_start
        self.contracts = frozenset(
            name for name in raw.contracts or () if isinstance(name, str)
        )
        self.exposure_share = bounds.exposure_share
        self.exposure_slack = bounds.exposure_slack
        self.rollback_ms = int(bounds.rollback_ms)


class _Listen(msgspec.Struct):
    frontend: str
    ready: str
    directory_service: str


class _Bounds(msgspec.Struct):
    grace_period_s: float = 8.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    retry_budget_ratio: float = 0.0
    retry_budget_slack: float = 0.0
    budget_window_s: float = 10.0
    ttl_max_s: float = 5.0
    connectivity_ms: float = 3_000
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_ms: float = 5_000


class _Store(msgspec.Struct):
    address: str
    writes_per_s: float = 400.0


class _Limits(msgspec.Struct):
    memory_mb: float = 0.0
    file_descriptors: float = 0.0
    link_speed_mbps: float = 0.0
    # Share of each core, not of the host.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0


class _File(msgspec.Struct):
    node_name: str
    zone: str
    ip_address: str
    listen_addresses: _Listen
    internal_port_range: tuple[int, int]
    platform: _Store
    heartbeat_interval_ms: float = 1_200
    initial_start: bool = False
    contracts: list[Any] | None = None
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def parse_address(text: str) -> Address:
    """Returns the IPv4 address and the port of "IP:PORT".

    Raises:
        SettingsError: The text does not have this form.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit()):
        raise SettingsError(
            f"{text[:80]!r} is not an address of the form IP:PORT"
        )
    if len(port) > len(str(MAX_PORT)) or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{text[:80]!r} has no valid port")
    try:
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError as exc:
        raise SettingsError(f"{text[:80]!r} has no valid IP address") from exc


def parse_remote_address(text: str) -> Address:
    """Returns the address of another process in the form "IP:PORT".

    Raises:
        SettingsError: The text does not have this form, or nothing can be
            reached there.
    """
    address = parse_address(text)
    host = ipaddress.IPv4Address(address[0])
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        raise SettingsError(f"{text!r} is the address of no host")
    return address


def settings_path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE) or DEFAULT_PATH)


def decode_settings(content: bytes) -> EntrySettings:
    """Returns the settings in `content`; ignores unknown fields.

    Raises:
        SettingsError: A field is missing or invalid.
    """
    try:
        return EntrySettings(msgspec.json.decode(content, type=_File))
    except (msgspec.MsgspecError, OverflowError, RecursionError) as exc:
        raise SettingsError(f"invalid settings: {exc}") from exc


def read_settings(path: pathlib.Path) -> EntrySettings:
    """Returns the settings in the file at `path`.

    Raises:
        SettingsError: The file can't be read or is invalid.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as exc:
        raise SettingsError(f"{path} can't be read: {exc}") from exc


def as_mapping(settings: EntrySettings) -> dict[str, Any]:
    """Returns the settings as a mapping of names to values, for display."""
    return {name: getattr(settings, name) for name in settings.__slots__}
