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


async def show_payment(client: Client, fleet: Fleet) -> None:
    """Sends one payment."""
    resp = await client.request(
        "POST",
        "/payments",
        headers={"idempotency-key": "payment-2026-12-0001"},
        content=b'{"family": "f-9", "amount": 41000}',
    )
    print(f"payment: status={resp.status_code} {resp.text}")


async def run(fleet: Fleet) -> None:
    """Runs the main job against a started fleet."""
    seeds = [entry["address"] for entry in fleet.listing["entries"]]
    client = Client(seeds, "maule-norte")
    try:
        await show_chat(client)
        await show_payment(client, fleet)
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
