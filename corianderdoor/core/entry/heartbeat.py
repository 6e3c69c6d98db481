"""State that entry hosts send to each other periodically."""

from __future__ import annotations

from typing import Final

from ..records import Record
from .brittle_room import RoomReport
from .crash_evidence import AttemptReport
from .overrides import UNTOLD_DIGEST
from .part_reports import PartReport
from .rollout_records import RolloutReport
from .server_limits import LimitReport

# Heartbeat interval between active hosts. It grows with the number of active
# hosts, so that a host sends and receives at most 125 heartbeats per second.
HEARTBEAT_MS: Final = 200
HEARTBEAT_MS_PER_ACTIVE: Final = 8


def get_interval_ms(peers: int) -> int:
    """Returns the time between two heartbeats of an active host.

    Args:
        peers: Number of the other active hosts.
    """
    return max(HEARTBEAT_MS, HEARTBEAT_MS_PER_ACTIVE * peers)


class Heartbeat(Record):
    """State that a host sends to its peers periodically.

    Attributes:
        sender: Name of the host.
        boot: Number that rises with each start of the host's process.
        revision: Newest revision of the store at which an item changed in
            the host's replica.
        contact_age_ms: Time since the host's last contact with the store.
        leaving: Whether the host shuts down.
        loads: Digests of server ids, each with the number of the host's
            in-flight requests there and their prompt tokens not prefilled
            yet.
        cached_parts: Digests of prompt parts and of the servers that have
            them cached.
        live_peers: Number of peers from which the host gets heartbeats.
        ejected: Digests of the servers that the host has ejected.
        crashes: Fingerprints of requests and digests of the servers that
            crashed while they ran them; for hosts of an earlier release,
            which do not read `attempts`.
        interval_ms: Time until the next heartbeat to the same peer.
        cpu_percent: CPU use of the host in percent.
        unreached: Digests of the servers that the host could not reach
            lately.
        links_cut: Whether the host reaches servers only through its peers.
        era: Era of the store to which `revision` belongs.
        leaving_servers: Digests of the incarnations of servers whose
            answers to the host announced that they leave.
        rooms: Room of the brittle servers.
        rollouts: Rollouts in progress.
        attempts: Attempts at servers that crashed meanwhile.
        parts: Prompt parts suspected of crashing servers.
        limits: Rates that servers in need have named.
        has_overrides: Whether the host has something in force in place of
            items of the copy from which the store was restored.
        overrides_digest: Digest of that; 0 without any, or from a host of an
            earlier release.
    """

    __slots__ = (
        "sender",
        "boot",
        "revision",
        "contact_age_ms",
        "leaving",
        "loads",
        "cached_parts",
        "live_peers",
        "ejected",
        "crashes",
        "interval_ms",
        "cpu_percent",
        "unreached",
        "links_cut",
        "era",
        "leaving_servers",
        "rooms",
        "rollouts",
        "attempts",
        "parts",
        "limits",
        "has_overrides",
        "overrides_digest",
    )

    def __init__(
        self,
        sender: str,
        boot: int,
        revision: int,
        contact_age_ms: int,
        leaving: bool,
        loads: tuple[tuple[int, int, int], ...],
        cached_parts: tuple[tuple[int, int], ...] = (),
        live_peers: int = 0,
        ejected: tuple[int, ...] = (),
        crashes: tuple[tuple[int, int], ...] = (),
        interval_ms: int = HEARTBEAT_MS,
        cpu_percent: int = 0,
        unreached: tuple[int, ...] = (),
        links_cut: bool = False,
        era: int = 0,
        leaving_servers: tuple[int, ...] = (),
        rooms: tuple[RoomReport, ...] = (),
        rollouts: tuple[RolloutReport, ...] = (),
        attempts: tuple[AttemptReport, ...] = (),
        parts: tuple[PartReport, ...] = (),
        limits: tuple[LimitReport, ...] = (),
        has_overrides: bool = False,
        overrides_digest: int = 0,
    ) -> None:
        self.overrides_digest = overrides_digest
        self.has_overrides = has_overrides
        self.limits = limits
        self.attempts = attempts
        self.parts = parts
        self.rollouts = rollouts
        self.rooms = rooms
        self.era = era
        self.links_cut = links_cut
        self.leaving_servers = leaving_servers
        self.unreached = unreached
        self.interval_ms = interval_ms
        self.cpu_percent = cpu_percent
        self.crashes = crashes
        self.ejected = ejected
        self.live_peers = live_peers
        self.cached_parts = cached_parts
        self.sender = sender
        self.boot = boot
        self.revision = revision
        self.contact_age_ms = contact_age_ms
        self.leaving = leaving
        self.loads = loads

    @property
    def told_overrides(self) -> int:
        """The digest by which a host finds out whether to copy them."""
        if not self.has_overrides:
            return 0
        return self.overrides_digest or UNTOLD_DIGEST
