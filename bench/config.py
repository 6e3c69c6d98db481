"""Measures time and cost until a change is in force everywhere.

Run: PYTHONPATH=. python bench/config.py [--sizes 8 100 330]

A pull takes three one-way lags (connect, request, answer) and 200 ms more
for each lost segment. Membership runs on the same simulated network.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
from typing import Any

from bench.driver import OUT
from bench.members import MemberFleet
from corianderdoor.core.config import Config
from corianderdoor.core.config_sync import (
    Action,
    ConfigLoaded,
    ConfigNotice,
    ConfigSync,
    Enforce,
    Event,
    MembersChanged,
    Pull,
    PullFailed,
    RevisionReported,
    SendNotice,
    SyncTick,
)
from corianderdoor.core.rules import RuleSet

REGIONS = {8: 1, 100: 3, 330: 7}
SETTLE_MS = 60_000
CHANGES = 12
CHANGE_INTERVAL_MS = 6_650  # 13,000 a day
TARGET_MS = 8_000
MAX_WATCH_LAG_MS = 50
RETRANSMIT_MS = 200
PULL_TIMEOUT_MS = 2_000
TICK_MS = 500
PUSHES_PER_CENTRE = 2


class Daemon:
    """Configuration sync of one daemon, on top of its membership."""

    def __init__(self, fleet: Fleet, name: str, number: int):
        entry = fleet.members.entries[name]
        self.fleet = fleet
        self.name = name
        self.sync = ConfigSync(
            name, entry.data_centre, entry.region, random.Random(number), 0
        )
        self.alive_members: Any = None
        self.in_force: dict[int, int] = {}

    def feed(self, event: Event) -> None:
        """Passes an event to the core and performs its actions."""
        now_ms = self.fleet.loop.now_ms
        for action in self.sync.handle(event, now_ms):
            self._perform(action, now_ms)

    def _perform(self, action: Action, now_ms: int) -> None:
        match action:
            case SendNotice(name=to, notice=notice):
                self.fleet.notices += 1
                self.fleet.loop.transmit(self.name, [(to, notice)])
            case Enforce(cfg=cfg):
                assert cfg.revision > max(self.in_force, default=0)
                self.in_force[cfg.revision] = now_ms
                member = self.fleet.members.members[self.name]
                member.core.revision = cfg.revision
            case Pull(name=peer):
                self.fleet.pulls += 1
                self._pull(peer)

    def _pull(self, peer: str) -> None:
        loop = self.fleet.loop
        delay_ms = 3 * loop.rng.randint(*loop.lag_bounds_ms(self.name, peer))
        for _ in range(4):
            if loop.rng.random() < loop.loss:
                delay_ms += RETRANSMIT_MS
        if delay_ms > PULL_TIMEOUT_MS:
            loop.after(PULL_TIMEOUT_MS, lambda: self.feed(PullFailed(peer)))
            return
        source = self.fleet.daemons[peer]
        loop.after(delay_ms, lambda: self.feed(ConfigLoaded(source.sync.held)))


class Fleet:
    """Daemons in one virtual time.

    Attributes:
        notices: Number of notices sent.
        pulls: Number of pulls between daemons.
        store_calls: Number of calls on the store.
    """

    def __init__(self, count: int, loss: float, seed: int):
        regions = REGIONS.get(count, 1)
        self.members = MemberFleet(count, regions, seed, loss)
        self.loop = self.members.simulation
        self.notices = self.pulls = self.store_calls = 0
        self.daemons = {
            name: Daemon(self, name, number)
            for number, name in enumerate(self.members.entries)
        }
        for name, member in self.members.members.items():
            self._intercept_messages(self.daemons[name], member)
        self.loop.every(TICK_MS, self._tick)
        for daemon in self.daemons.values():
            daemon.feed(ConfigLoaded(build_config(1), from_store=True))

    def _intercept_messages(self, daemon: Daemon, member: Any) -> None:
        receive_member_message = member.receive

        def receive(sender: str, message: Any, now_ms: int) -> Any:
            if isinstance(message, ConfigNotice):
                daemon.feed(
                    RevisionReported(sender, message.revision, message.ask)
                )
                return []
            pairs = receive_member_message(sender, message, now_ms)
            gossip = getattr(message[1], "gossip", None)
            if gossip is not None:
                daemon.feed(RevisionReported(sender, gossip.revision))
            return pairs

        member.receive = receive

    def _tick(self) -> None:
        for name, daemon in self.daemons.items():
            alive = self.members.members[name].core.alive()
            if alive is not daemon.alive_members:
                daemon.alive_members = alive
                daemon.feed(MembersChanged(alive))
            daemon.feed(SyncTick())

    def submit_change(self, revision: int, store_up: bool) -> None:
        """Submits a change.

        With `store_up`, daemons that watch the store receive it; otherwise
        the operators push it to some daemons of each data centre.
        """
        cfg = build_config(revision)
        self.store_calls += 1  # the operator's write
        by_centre: dict[str, list[str]] = {}
        for name, daemon in self.daemons.items():
            centre = self.members.entries[name].data_centre
            by_centre.setdefault(centre, []).append(name)
            if store_up and daemon.sync.should_watch:
                self.store_calls += (
                    1  # the daemon's watch returns and is renewed
                )
                self._deliver_config(daemon, cfg, store_up)
        if not store_up:
            for names in by_centre.values():
                for name in sorted(names)[:PUSHES_PER_CENTRE]:
                    self._deliver_config(self.daemons[name], cfg, store_up)

    def _deliver_config(
        self, daemon: Daemon, cfg: Config, from_store: bool
    ) -> None:
        lag_ms = self.loop.rng.randint(1, MAX_WATCH_LAG_MS)
        self.loop.after(
            lag_ms, lambda: daemon.feed(ConfigLoaded(cfg, from_store))
        )


def build_config(revision: int) -> Config:
    """Returns a configuration with the given revision."""
    return Config(revision, f"change-{revision}", "bench", "", RuleSet())


def measure(count: int, loss: float, store_up: bool) -> dict[str, Any]:
    """Returns times and costs of changes at the daily rate."""
    fleet = Fleet(count, loss, seed=11)
    fleet.members.run_for(SETTLE_MS)
    assert all(daemon.sync.ready for daemon in fleet.daemons.values())
    fleet.notices = fleet.pulls = fleet.store_calls = 0
    started: dict[int, int] = {}
    for revision in range(2, 2 + CHANGES):
        started[revision] = fleet.loop.now_ms
        fleet.submit_change(revision, store_up)
        fleet.members.run_for(CHANGE_INTERVAL_MS)
    fleet.members.run_for(2 * TARGET_MS)
    spread_ms = [
        max(
            min(at for held, at in daemon.in_force.items() if held >= revision)
            for daemon in fleet.daemons.values()
        )
        - at_ms
        for revision, at_ms in started.items()
    ]
    return {
        "daemons": count,
        "loss": loss,
        "service": "up" if store_up else "down",
        "mean_ms": statistics.mean(spread_ms),
        "worst_ms": max(spread_ms),
        "within_8_s": max(spread_ms) <= TARGET_MS,
        "notices_per_daemon": fleet.notices / count / CHANGES,
        "pulls_per_daemon": fleet.pulls / count / CHANGES,
        "store_calls": fleet.store_calls / CHANGES,
    }


def main() -> None:
    """Prints a table and writes config.json."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 100, 330])
    args = parser.parse_args()
    rows = [
        measure(count, loss, store_up)
        for count in args.sizes
        for loss in (0.01, 0.05)
        for store_up in (True, False)
    ]
    OUT.mkdir(exist_ok=True)
    (OUT / "config.json").write_text(json.dumps(rows, indent=1))
    print(*(f"{head:>18}" for head in rows[0]))
    for row in rows:
        cells = [
            f"{c:.3g}" if isinstance(c, float) else c for c in row.values()
        ]
        print(*(f"{str(cell):>18}" for cell in cells))


if __name__ == "__main__":
    main()
