"""The operators' side of a rollout, for fleets of stand-ins."""

from __future__ import annotations

from collections import Counter
from typing import Any, Final

import anyio

from ..platform.rollouts import (
    decode_status,
    encode_order,
    ORDER_PREFIX,
    STATUS_PREFIX,
)
from .bad_versions import BadVersion
from .platform_fleet import COLD_START_S, ENGINE_SERVICE, PlatformFleet
from .platform_worker import Worker

NEW_VERSION: Final = "v2"
GOOD: Final = "good"
POLL_S: Final = 0.02
# Time from a revert to the drain of the new servers.
DRAIN_DELAY_S: Final = 2.0
# Time after the budget within which the outcome has to be stored.
OUTCOME_MARGIN_S: Final = 6.0


class Rollout:
    """One rollout of a new version of a service.

    Attributes:
        service: Name of the service.
        duration_s: Time budget.
        state: The final state in the store; the last one seen if the time is
            over.
        outcome_s: Time from the order to that state, in s.
        new: The workers of the new version.
        old: The workers of the old version.
    """

    def __init__(
        self, fleet: PlatformFleet, service: str, duration_s: float
    ) -> None:
        self.service = service
        self.duration_s = duration_s
        self.state = ""
        self.outcome_s = 0.0
        self.new: list[Worker] = []
        self._engine = service == ENGINE_SERVICE
        self.old = [
            worker
            for worker in fleet.workers.values()
            if worker.engine == self._engine
        ]
        self._fleet = fleet

    async def start(self, kind: str = GOOD) -> None:
        """Orders the rollout and starts the new workers.

        Args:
            kind: `GOOD`, or a kind of `BadVersion`.
        """
        self._fleet.store.state.put(
            ORDER_PREFIX + self.service,
            encode_order(self.service, NEW_VERSION, self.duration_s),
        )
        for number in range(len(self.old)):
            worker = await self._fleet.add_worker(
                f"{self.service}-{NEW_VERSION}-{number}",
                self._engine,
                NEW_VERSION,
                cold_remaining_ms=1_000 * COLD_START_S if self._engine else 0,
            )
            if kind != GOOD:
                worker.bad_version = BadVersion(kind)
            self.new.append(worker)

    def withdraw(self) -> None:
        """Removes the order."""
        self._fleet.store.state.remove(ORDER_PREFIX + self.service)

    async def finish(self) -> str:
        """Waits for the outcome and does what the operators do then.

        Returns:
            The state in the store.
        """
        began_s = anyio.current_time()
        key = STATUS_PREFIX + self.service
        with anyio.move_on_after(self.duration_s + OUTCOME_MARGIN_S):
            while self.state not in ("completed", "reverted"):
                await anyio.sleep(POLL_S)
                value = self._fleet.store.state.read_value(key)
                if value is not None:
                    self.state = decode_status(self.service, value)[0]
        self.outcome_s = anyio.current_time() - began_s
        if self.state == "completed":
            for worker in self.old:
                worker.stop()
                self._fleet.store.state.remove(f"servers/{worker.id}")
        elif self.state == "reverted":
            await anyio.sleep(DRAIN_DELAY_S)
            for worker in self.new:
                self._fleet.drain_worker(worker.id)
        return self.state

    def report(self) -> dict[str, Any]:
        """Returns the outcome and the requests of each version."""
        runs: Counter[str] = Counter()
        for worker in self.old + self.new:
            runs[worker.version] += sum(worker.runs.values())
        return {
            "service": self.service,
            "state": self.state or "none",
            "outcome_s": round(self.outcome_s, 1),
            "requests": dict(runs),
            "bad_answers": sum(
                worker.bad_version.bad_answers
                for worker in self.new
                if worker.bad_version is not None
            ),
            "cut_off": sum(worker.cut_off for worker in self.old),
        }
