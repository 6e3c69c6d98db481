"""Measures rollouts of good and bad versions over a fleet of entry hosts.

Each row is one kind of version, with the hosts' common counts or with each
host by itself ("plain": the same shares by time and the same test, with its
own answers only). The columns are the requests that the new version got, as
a share of all and of the bound (worst run), the longest time from the 50th
bad answer to the last request at the new version, the mean time to the final
state, and the runs with a wrong state: good versions that were reverted
("false") and bad ones that were not ("missed"). A wrong state of a bad
version counts its exposure until the end of the run.
"""

from __future__ import annotations

import argparse

from corianderdoor.core.entry.rollout_evidence import RolloutEvidence
from corianderdoor.core.entry.rollout_records import (
    RolloutOrder,
    RolloutReport,
    RolloutState,
)
from corianderdoor.core.entry.rollouts import Rollouts
from corianderdoor.standins.rollout_faults import BAD_KINDS, Kind
from corianderdoor.standins.rollout_fleet import RolloutFleet

STOP_AFTER_MS = 1_500
# Requests per second, servers of each version and share of active hosts.
SITES = {8: (300, 24, 1.0), 69: (600, 60, 0.25), 330: (1_000, 100, 0.25)}


class OwnEvidence(RolloutEvidence):
    """Evidence of a host that knows its own answers only."""

    __slots__ = ()

    def is_enough(self) -> bool:
        """Returns True: the shares follow the time alone."""
        return True


class PlainRollouts(Rollouts):
    """Rollouts in which each host decides by itself."""

    __slots__ = ()

    def set_order(
        self,
        service: str,
        order: RolloutOrder | None,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Applies an order, with evidence of this host alone."""
        super().set_order(service, order, now_ms, wall_ms)
        self._services[service].evidence = OwnEvidence()

    def merge(
        self,
        peer: str,
        boot: int,
        reports: tuple[RolloutReport, ...],
        now_ms: int,
    ) -> None:
        """Records the contact; takes every peer to be in stage full."""
        super().merge(peer, boot, (), now_ms)
        for progress in self._services.values():
            progress.reported[peer] = 1_000


def run_row(args: argparse.Namespace, kind: Kind, make: type) -> str:
    """Runs all seeds of one row; returns the row."""
    per_s, servers, active_share = SITES[args.hosts]
    share = bound = 0.0
    rollback_ms = wrong = 0
    finished_ms: list[int] = []
    wanted = RolloutState.COMPLETED
    if kind in BAD_KINDS:
        wanted = RolloutState.REVERTED
    for seed in range(1, args.seeds + 1):
        fleet = RolloutFleet(
            args.hosts,
            per_s,
            kind=kind,
            seed=seed,
            servers=servers,
            active_share=active_share,
            make_rollouts=make,
        ).run(stop_after_ms=STOP_AFTER_MS)
        requests = per_s * fleet.duration_ms / 1_000
        share = max(share, fleet.exposed / requests)
        bound = max(bound, fleet.exposed / (0.1 * requests + 50))
        rollback_ms = max(rollback_ms, fleet.rollback_ms() or 0)
        wrong += fleet.state is not wanted
        finished_ms.append(fleet.finished_ms or fleet.duration_ms)
    is_bad = kind in BAD_KINDS
    cells = [
        f"{args.hosts:5}",
        "plain" if make is PlainRollouts else "shared",
        f"{kind.value:22}",
        f"{share:7.3f}",
        f"{bound:6.2f}" if is_bad else "     -",
        f"{rollback_ms / 1_000:8.2f}" if is_bad else "       -",
        f"{sum(finished_ms) / len(finished_ms) / 1_000:6.1f}",
        "     -" if is_bad else f"{wrong:3}/{args.seeds}".rjust(6),
        f"{wrong:3}/{args.seeds}".rjust(6) if is_bad else "     -",
    ]
    return " | ".join(cells)


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, choices=SITES, default=8)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--kinds",
        default=",".join(kind.name for kind in Kind),
        help="names of kinds, separated by commas",
    )
    parser.add_argument(
        "--ways", default="shared,plain", help="ways, separated by commas"
    )
    args = parser.parse_args()
    print(
        "hosts | way    | kind                   | exposed | of bound"
        " | rollback s | end s | false | missed"
    )
    for name in args.kinds.split(","):
        for way, make in (("shared", Rollouts), ("plain", PlainRollouts)):
            if way in args.ways.split(","):
                print(run_row(args, Kind[name], make), flush=True)


if __name__ == "__main__":
    main()
