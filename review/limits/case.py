"""A desired state raises the largest size of a request's body."""

from __future__ import annotations

import asyncio
import copy
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import CALLER_HOST, Fleet, KEY, run_case  # noqa: E402
from common.requester import Connection  # noqa: E402

# With TROUBLE=0 the first desired state has the higher limit already.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
CONNS = 24
LOWER, HIGHER = 65_536, 4_194_304
# Mean and largest size of the sheet's requests.
USUAL, LARGE = 18_000, 110_000
# `configuration_apply_ms` and a second.
APPLIED_S = 3.0
TIME_BUDGET_S = 6.0
MAX_DENIED = 5


async def ask(conn: Connection, id: str, size: int) -> int:
    """Sends a request on a kept connection; returns its status."""
    headers = {"Host": CALLER_HOST, "Authorization": f"Token {KEY}"}
    body = b"p" * size
    reply = await conn.ask(
        id, "POST /registro/2f", headers, body, TIME_BUDGET_S
    )
    return reply.status


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    desired = copy.deepcopy(pays.DESIRED)
    desired["limits"]["max_body_bytes"] = LOWER if fleet.trouble else HIGHER
    for number in range(pays.WORKERS):
        fleet.add_worker(f"i-{number}", "cuentas")
    await fleet.start(HOSTS, desired)
    conns: list[Connection] = []
    for place in range(CONNS):
        conn = Connection(fleet.record, *fleet.hosts[place % HOSTS].front)
        await conn.open()
        await ask(conn, f"before-{place}", USUAL)
        conns.append(conn)
    desired = copy.deepcopy(desired)
    desired["limits"]["max_body_bytes"] = HIGHER
    fleet.write_desired(desired)
    await asyncio.sleep(APPLIED_S)
    statuses = [
        await ask(conn, f"after-{place}", LARGE)
        for place, conn in enumerate(conns)
    ]
    for conn in conns:
        conn.close()
    denied = statuses.count(413)
    fleet.record.say(f"large requests: {CONNS}, answered 413: {denied}")
    return denied <= MAX_DENIED + 2 * CONNS / 500


if __name__ == "__main__":
    run_case(__file__, run, 60, TROUBLE)
