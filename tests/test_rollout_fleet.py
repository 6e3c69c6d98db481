"""Rollouts of a good and of a bad version through real entry hosts."""

from __future__ import annotations

import random

import anyio

from corianderdoor.standins.bad_versions import FAILS
from corianderdoor.standins.platform_fleet import PLAIN_SERVICE, run_fleet
from corianderdoor.standins.platform_rollout import GOOD, Rollout

# Long enough for the 40 answers that a version needs, also on a busy machine
# that sends a third of the rate.
BUDGET_S = 20.0
RATE_PER_S = 90.0
PATHS = ("/read/x", "/pay/x")


async def run_rollout(kind: str) -> tuple[dict, int, set[int]]:
    """Runs a rollout under load.

    Returns:
        The report, the number of requests from the order to its end, and the
        statuses that callers got.
    """
    rng = random.Random(3)
    statuses: set[int] = set()
    async with run_fleet(1, 4, 2, ("rollout",)) as fleet:
        rollout = Rollout(fleet, PLAIN_SERVICE, BUDGET_S)
        requests = 0

        async def send(number: int) -> None:
            host = rng.choice(list(fleet.hosts))
            path = rng.choice(PATHS)
            reply = await fleet.chat(host, f"r{number}", path)
            statuses.add(reply.status)

        async def send_all() -> None:
            nonlocal requests
            while True:
                requests += 1
                tasks.start_soon(send, requests)
                await anyio.sleep(rng.expovariate(RATE_PER_S))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_all)
            await rollout.start(kind)
            await rollout.finish()
            # Requests after the outcome must not meet what was stopped.
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        return rollout.report(), requests, statuses


# Guards against a good version that does not get all traffic, or that cuts
# off requests on the way.
def test_good_version_takes_over_within_its_budget():
    report, _, statuses = anyio.run(run_rollout, GOOD)
    assert report["state"] == "completed"
    assert report["outcome_s"] <= BUDGET_S
    assert report["cut_off"] == 0
    assert statuses == {200}


# Guards against a bad version that gets more requests than the bound allows
# or is not taken back.
def test_bad_version_is_reverted_within_the_bound_on_exposure():
    report, requests, _ = anyio.run(run_rollout, FAILS)
    assert report["state"] == "reverted"
    assert report["outcome_s"] <= BUDGET_S
    assert report["requests"]["v2"] <= 0.1 * requests + 50
