"""Checks that a leader paused past its lease gives no more orders.

Starts two controllers, an engine that checks fencing tokens and one that
does not, as real processes. Stops the leader with SIGSTOP while it has an
order to give; the other controller takes over and gives newer orders. Then
resumes the first one while the key-value service is unreachable, so that
only its own clock can show that its lease has expired. It must give no
further order.
"""

from __future__ import annotations

import json
import signal
import sys
import time
from typing import Any

from fleet import Fleet, wait_until
import httpx

TIMEOUT_S = 30.0
LEASE_MS = 2_000
OBSERVE_S = 2.0 * LEASE_MS / 1_000
SETTINGS = {
    "lease_ttl_ms": LEASE_MS,
    "lease_margin_ms": 300,
    "lease_renew_ms": 500,
    "lease_poll_ms": 200,
    "longest_order_ms": 500,
    "reread_ms": 500,
    "controllers": 2,
    "fencing_pools": ["redactor"],
}
ENGINES = {"checks": "redactor", "ignores": "cuentas"}


def set_desired_version(fleet: Fleet, name: str, version: str) -> None:
    """Sets one model version for both pools by the operators' tool.

    Raises:
        RuntimeError: The tool failed.
    """
    pools = {pool: {"models": {"model": version}} for pool in ENGINES.values()}
    path = fleet.folder / f"{name}.json"
    path.write_text(json.dumps({"pools": pools}), encoding="utf-8")
    store = fleet.urls["store"]
    tool = fleet.start_ctl(name, "orders", "set", str(path), "--store", store)
    if tool.wait() != 0:
        raise RuntimeError(fleet.logs(name))


def engines_report(fleet: Fleet, version: str) -> bool:
    """Returns whether both engines report `version` as loaded."""
    states = [
        httpx.get(fleet.urls[name] + "/state").json() for name in ENGINES
    ]
    return all(state["models"] == {"model": version} for state in states)


def read_orders(fleet: Fleet, name: str) -> list[list[Any]]:
    """Returns the orders that an engine has applied."""
    listed = httpx.get(fleet.urls[name] + "/standin/orders").json()
    return list(listed)


def read_leader(fleet: Fleet) -> str:
    """Returns the holder of the lease; empty if there is none."""
    url = fleet.urls["store"] + "/kv/corianderdoor/leader"
    resp = httpx.get(url)
    return str(resp.json()["holder"]) if resp.is_success else ""


def set_unreachable(fleet: Fleet, name: str, unreachable: bool) -> None:
    """Makes a stand-in refuse all requests, or serve them again."""
    params = {"kind": "down", "count": -1 if unreachable else 0}
    httpx.post(fleet.urls[name] + "/standin/fault", params=params)


def run(fleet: Fleet) -> None:
    """Pauses the leader until the other controller leads, then resumes it."""
    set_desired_version(fleet, "first", "v1")
    wait_until(lambda: engines_report(fleet, "v1"), "v1", TIMEOUT_S)
    paused = read_leader(fleet)
    # Holds back the next order: the leader needs the size of the weights.
    set_unreachable(fleet, "weights", True)
    set_desired_version(fleet, "blocked", "v1b")
    time.sleep(OBSERVE_S / 2)
    fleet.procs[paused].send_signal(signal.SIGSTOP)
    try:
        set_unreachable(fleet, "weights", False)
        set_desired_version(fleet, "second", "v2")
        wait_until(lambda: engines_report(fleet, "v2"), "v2", TIMEOUT_S)
        second = read_leader(fleet)
        set_unreachable(fleet, "store", True)
    finally:
        fleet.procs[paused].send_signal(signal.SIGCONT)
    before = {name: len(read_orders(fleet, name)) for name in ENGINES}
    time.sleep(OBSERVE_S)
    assert paused != second, "the paused leader still holds the lease"
    assert engines_report(fleet, "v2"), "the paused leader changed an engine"
    for name in ENGINES:
        orders = read_orders(fleet, name)
        fences = [order[0] for order in orders]
        assert len(set(fences)) == 2, fences
        assert fences == sorted(fences), fences
        late = orders[before[name] :]
        assert all(order[0] == fences[-1] for order in late), late
        print(f"{name}: {len(orders)} orders, fencing numbers {fences}")
    assert "event=lease_lost" in fleet.logs(paused)
    print(f"{paused} was paused past its lease; {second} leads; no order")


def main() -> int:
    """Starts the processes, runs the check and stops every process."""
    with Fleet() as fleet:
        fleet.start_weights()
        weights = ["--weights", fleet.urls["weights"]]
        for name, pool in ENGINES.items():
            flags = ["--unfenced"] if name == "ignores" else []
            fleet.add_server("engine", name, pool, "dc-a", 8, weights + flags)
        fleet.publish()
        for number in (1, 2):
            fleet.add_controller(f"controller-{number}", **SETTINGS)
        try:
            run(fleet)
        except (AssertionError, TimeoutError):
            for name in fleet.procs:
                print(f"--- {name}\n{fleet.logs(name)}")
            raise
    return 0


if __name__ == "__main__":
    sys.exit(main())
