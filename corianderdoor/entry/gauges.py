"""Gauges of an entry host, for its metrics."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..core.entry.answer_memory import AnswerMemory
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.replica import Replica


def build_gauges(
    planner: Planner,
    peers: Peers,
    replica: Replica,
    behind_ms: Callable[[], int],
    count_busy: Callable[[], int],
    memory: AnswerMemory,
    clock: Clock,
) -> dict[str, Callable[[], float]]:
    """Returns the functions that read the gauges, by name.

    Args:
        planner: State of the servers and of the requests.
        peers: The other hosts.
        replica: This host's replica of the store.
        behind_ms: Returns for how long the replica has been behind.
        count_busy: Returns the number of callers' requests in progress.
        memory: Bytes of answers that are held.
        clock: The clock.
    """

    def read_highest_load_share() -> float:
        """Returns the highest load of a server divided by the mean load."""
        now_ms = clock.now_ms()
        loads = [planner.loads.of(id, now_ms) for id in planner.servers.ids()]
        return max(loads) * len(loads) / sum(loads) if any(loads) else 0.0

    return {
        "in_progress": lambda: float(count_busy()),
        "held_answer_bytes": lambda: float(memory.held),
        "live_peers": lambda: float(peers.count_live(clock.now_ms())),
        "replica_revision": lambda: float(replica.revision),
        "replica_behind_milliseconds": lambda: float(behind_ms()),
        "replica_era": lambda: float(replica.era),
        "desired_version": lambda: float(
            planner.desired.version if planner.desired else 0
        ),
        "highest_load_share": read_highest_load_share,
        "brittle_servers": lambda: float(planner.rooms.count()),
        "crash_suspects": lambda: float(
            len(planner.crashing_requests.verdicts)
        ),
        "limited_servers": lambda: float(planner.selection.limits.count()),
        "lowest_room": planner.rooms.lowest_room,
    }
