"""The demo: a small fleet, a chat that returns, a payment sent thrice."""

from __future__ import annotations

import json
import pathlib
import sys

import anyio
from fleet import CENTRES, Fleet
import httpx

from corianderdoor.client import Client

RULES = pathlib.Path(__file__).parent.parent / "examples" / "demo.rules"
PROMPT_TOKENS = 2_000


async def show_chat(client: Client) -> None:
    """Sends one chat twice; the second time its prompt is cached."""
    body = {"model": "redactor", "chat": "chat-17"}
    for turn in (1, 2):
        content = json.dumps(
            {**body, "prompt_tokens": PROMPT_TOKENS, "answer_tokens": 8}
        ).encode()
        resp = await client.request(
            "POST", "/v1/chat", chat="chat-17", content=content
        )
        resp.raise_for_status()
        assert resp.content.endswith(b"data: [DONE]\n\n")
        print(
            f"chat-17 turn {turn}: server={resp.headers['x-server']} "
            f"cached_tokens={resp.headers['x-cached-tokens']}"
        )


PAYMENT = b'{"family": "f-9", "amount": 41000}'
OWN_KEY = "payment-2026-12-0001"


async def show_payment(fleet: Fleet) -> None:
    """Sends a payment through three entry hosts; it runs once."""
    entries = [entry["address"] for entry in fleet.listing["entries"]]
    workspace = {"corianderdoor-workspace": "maule-norte"}
    async with httpx.AsyncClient(trust_env=False, headers=workspace) as http:
        minted = await http.get(entries[0] + "/corianderdoor/v1/ticket")
        for key in (minted.json()["key"], OWN_KEY):
            for entry in entries[:3]:
                resp = await http.post(
                    entry + "/payments",
                    headers={"idempotency-key": key},
                    content=PAYMENT,
                    follow_redirects=True,
                )
                resp.raise_for_status()
                again = resp.headers.get("corianderdoor-replayed", "0")
                print(f"payment {key[:20]}: {resp.text} replayed={again}")
            runs = await count_runs(http, fleet, key)
            print(f"payment {key[:20]}: sent 3 times, ran {runs} time(s)")
            assert runs == 1


async def count_runs(http: httpx.AsyncClient, fleet: Fleet, key: str) -> int:
    """Counts in the services' own records how often `key` ran."""
    runs = 0
    for server in fleet.listing["servers"]:
        if server["engine"]:
            continue
        resp = await http.get(server["address"] + "/standin/records")
        runs += sum(record[2] == key for record in resp.json())
    return runs


async def run(fleet: Fleet) -> None:
    """Runs the main job against a started fleet."""
    seeds = [entry["address"] for entry in fleet.listing["entries"]]
    client = Client(seeds, "maule-norte")
    try:
        await show_chat(client)
        await show_payment(fleet)
    finally:
        await client.close()


def main() -> int:
    """Starts the fleet, runs the job and ends every process."""
    with Fleet() as fleet:
        for number, centre in enumerate(CENTRES):
            fleet.add_server("engine", f"engine-{number}", "redactor", centre)
            fleet.add_server(
                "service", f"accounts-{number}", "cuentas", centre
            )
            fleet.add_router(f"entry-{number}", centre)
        fleet.publish()
        store = fleet.urls["store"]
        apply = fleet.control("apply", "apply", str(RULES), "--store", store)
        if apply.wait() != 0:
            print(fleet.logs("apply"))
            return 1
        fleet.wait_ready()
        try:
            anyio.run(run, fleet)
        except (httpx.HTTPError, AssertionError):
            for name in fleet.procs:
                print(f"--- {name}\n{fleet.logs(name)}")
            raise
    return 0


if __name__ == "__main__":
    sys.exit(main())
