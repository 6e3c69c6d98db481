"""The directory names a host that was lost while the store was down."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import time

from fleet2.fleet import build_config, build_route, call, run_case
from fleet2.worker import Worker

HOSTS = int(os.environ.get("HOSTS", "3"))
STORE_DOWN_S = 4.5
KILL_AFTER_S = float(os.environ.get("KILL_AFTER_S", "0.3"))
CONNECTIVITY_S = 3.0
ALLOWED = 3


async def main(fleet, trouble):
    """Returns whether the rule held."""
    route = build_route("/read/", "idempotent", "accounts")
    fleet.store.put_json(
        "op/config", build_config(1, [route], {"accounts": {}})
    )
    worker = Worker(
        fleet.record,
        fleet.store,
        "i-0",
        "accounts",
        fleet.allocate_address(),
    )
    await worker.start()
    await fleet.start_hosts()
    await asyncio.sleep(4.0)
    stays, lost = fleet.hosts[0], fleet.hosts[1:]
    names = {"%s:%d" % host.callers for host in lost}
    began = time.monotonic()
    killed = None
    if trouble:
        fleet.record("store down")
        fleet.store.down = "silent"
        await asyncio.sleep(KILL_AFTER_S)
        for host in lost:
            host.kill()
        killed = time.monotonic()
        await asyncio.sleep(began + STORE_DOWN_S - time.monotonic())
        fleet.store.down = ""
        fleet.record("store up")
    in_touch = began + STORE_DOWN_S + CONNECTIVITY_S
    wrong = 0
    while time.monotonic() < began + 14.0:
        answer = await call(
            stays.directory,
            "GET",
            "/corianderdoor/resolution?name=chat.example&region=r&zone=a",
            [("Host", "x")],
            timeout_s=1.0,
        )
        now = time.monotonic()
        named = []
        if answer.status == 200:
            named = json.loads(answer.body)["addresses"]
        dead = sorted(names.intersection(named)) if killed else []
        late = (
            bool(dead)
            and now >= in_touch
            and now - killed > CONNECTIVITY_S + 3.0
            and len(named) > len(dead)
        )
        wrong += late
        fleet.record(
            "directory",
            status=answer.status,
            named=",".join(named),
            dead=",".join(dead),
            counts=late,
            hosts=",".join(fleet.store.keys("corianderdoor/hosts/")),
        )
        await asyncio.sleep(0.1)
    print(f"{wrong} answers name a lost host too late, {ALLOWED} allowed")
    return wrong <= ALLOWED


if __name__ == "__main__":
    contracts = ["base", "drain", "config", "cost", "retry", "recover"]
    contracts += ["engine", "stream", "tenants", "places", "platform"]
    folder = pathlib.Path(__file__).resolve().parent
    # TROUBLE=0 leaves the disruption out.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(main, folder, HOSTS, contracts, trouble))
