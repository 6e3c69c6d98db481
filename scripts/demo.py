"""Demo of a returning chat, a call sent three times and a drain.

The environment variable DEPLOYMENT names the folder of `examples` that holds
the deployment.
"""

from __future__ import annotations

from functools import partial
import json
import os
import pathlib
import sys
from typing import Any

import anyio
import anyio.to_thread
from fleet import Fleet, wait_until
import httpx

from corianderdoor.client import Client

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
FOLDER = EXAMPLES / os.environ.get("DEPLOYMENT", "cuidadoras")
ORDERS_TIMEOUT_S = 60.0
# Settings that the script sets itself, since all processes use loopback.
LOCAL_SETTINGS = (
    "name",
    "data_centre",
    "region",
    "listen",
    "port",
    "control_port",
    "store_url",
    "hosts_url",
    "weights_url",
)
PROMPT_TOKENS = 2_000
CALLERS = 6
CHAT_PAUSE_S = 0.1
DRAIN_SETTLE_S = 3.0
OBSERVE_S = 2.0


def read_example(name: str) -> dict[str, Any]:
    """Returns one of the deployment's JSON files."""
    text = (FOLDER / f"{name}.json").read_text(encoding="utf-8")
    return dict(json.loads(text))


def read_settings(name: str) -> dict[str, Any]:
    """Returns the settings of an example that also apply on loopback."""
    found = read_example(name).items()
    return {key: value for key, value in found if key not in LOCAL_SETTINGS}


async def show_chat(client: Client, model: str) -> None:
    """Sends two turns of one chat; the second finds its prompt cached."""
    body = {"model": model, "chat": "chat-17"}
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


OWN_KEY = "operation-2026-12-0001"


async def show_operation(fleet: Fleet, demo: dict[str, Any]) -> None:
    """Sends a call that must not run twice through three entry hosts."""
    entries = [entry["address"] for entry in fleet.listing["entries"]]
    workspace = {"corianderdoor-workspace": demo["workspace"]}
    path, body = demo["operation"], json.dumps(demo["body"]).encode()
    async with httpx.AsyncClient(trust_env=False, headers=workspace) as http:
        minted = await http.get(entries[0] + "/corianderdoor/v1/ticket")
        for key in (minted.json()["key"], OWN_KEY):
            for entry in entries[:3]:
                resp = await http.post(
                    entry + path,
                    headers={"idempotency-key": key},
                    content=body,
                    follow_redirects=True,
                )
                resp.raise_for_status()
                replayed = resp.headers.get("corianderdoor-replayed", "0")
                print(f"{path} {key[:20]}: {resp.text} replayed={replayed}")
            runs = await count_runs(http, fleet, key)
            print(f"{path} {key[:20]}: sent 3 times, ran {runs} time(s)")
            assert runs == 1


async def count_runs(http: httpx.AsyncClient, fleet: Fleet, key: str) -> int:
    """Returns how often `key` ran by the records of the services."""
    runs = 0
    for server in fleet.listing["servers"]:
        if server["engine"]:
            continue
        resp = await http.get(server["address"] + "/standin/records")
        runs += sum(record[2] == key for record in resp.json())
    return runs


class Load:
    """Callers that send chats until `stopped` is set."""

    def __init__(self, seeds: list[str], demo: dict[str, Any]) -> None:
        self.seeds = seeds
        self.demo = demo
        self.complete_count = 0
        self.stopped = False

    async def chat(self, number: int) -> None:
        """Sends turns of one chat until `stopped` is set.

        Raises:
            AssertionError: An answer was incomplete.
        """
        client = Client(self.seeds, self.demo["workspace"])
        chat = f"chat-{number}"
        body = {"model": self.demo["model"], "chat": chat}
        while not self.stopped:
            resp = await client.request(
                "POST", "/v1/chat", chat, content=json.dumps(body).encode()
            )
            resp.raise_for_status()
            assert resp.content.endswith(b"data: [DONE]\n\n")
            self.complete_count += 1
            await anyio.sleep(CHAT_PAUSE_S)
        await client.close()


async def show_drain(fleet: Fleet, load: Load) -> None:
    """Drains a data centre under load and returns it to service."""
    keys = read_example("router")["fleet_keys"]
    centre = read_example("deployment")["data_centres"][0]
    async with anyio.create_task_group() as tg:
        for number in range(CALLERS):
            tg.start_soon(load.chat, number)
        await anyio.sleep(OBSERVE_S)
        await change_centre(fleet, keys, "drain", centre)
        await anyio.sleep(DRAIN_SETTLE_S)
        before, served = await count_chats(fleet, centre), load.complete_count
        await anyio.sleep(OBSERVE_S)
        new = await count_chats(fleet, centre) - before
        print(
            f"{centre} is out: {new} new chats there and "
            f"{load.complete_count - served} elsewhere in {OBSERVE_S:.0f} s"
        )
        assert new == 0 and load.complete_count > served
        await change_centre(fleet, keys, "return", centre)
        load.stopped = True
    print(f"{load.complete_count} chats under the moves, all whole")


async def change_centre(
    fleet: Fleet, keys: list[str], command: str, centre: str
) -> None:
    """Drains or returns a data centre.

    Raises:
        RuntimeError: The change is not in force on every router.
    """
    change = partial(fleet.run_ctl, keys, command, "data-centre", centre)
    if await anyio.to_thread.run_sync(change) != 0:
        raise RuntimeError(fleet.logs(f"ctl-{command}"))


async def count_chats(fleet: Fleet, centre: str) -> int:
    """Returns how many chats engines of a data centre have started."""
    count = 0
    async with httpx.AsyncClient(trust_env=False) as http:
        for server in fleet.listing["servers"]:
            if server["engine"] and server["data_centre"] == centre:
                url = server["address"] + "/standin/records"
                count += len((await http.get(url)).json())
    return count


async def run(fleet: Fleet) -> None:
    """Runs the chat, operation and drain demos against a running fleet."""
    seeds = [entry["address"] for entry in fleet.listing["entries"]]
    demo = read_example("deployment")["demo"]
    client = Client(seeds, demo["workspace"])
    try:
        await show_chat(client, demo["model"])
        await show_operation(fleet, demo)
        await show_drain(fleet, Load(seeds, demo))
    finally:
        await client.close()


def start(fleet: Fleet) -> None:
    """Starts the processes of the deployment and publishes the host list."""
    deployment = read_example("deployment")
    centres = deployment["data_centres"]
    fleet.start_weights()
    for pool in deployment["pools"]:
        flags = [] if pool["checks"] else ["--unfenced"]
        flags += ["--weights", fleet.urls["weights"]]
        for number in range(pool["count"]):
            fleet.add_server(
                pool["kind"],
                f"{pool['name']}-{number + 1}",
                pool["name"],
                centres[number % len(centres)],
                pool["capacity"],
                flags,
            )
    for number in range(deployment["entry_hosts"]):
        centre = centres[number % len(centres)]
        fleet.add_router(
            f"entry-{number + 1}", centre, **read_settings("router")
        )
    fleet.publish()
    for number in range(deployment["controllers"]):
        fleet.add_controller(
            f"controller-{number + 1}", **read_settings("controller")
        )


def run_ctl(fleet: Fleet, name: str, *args: str) -> None:
    """Runs the operators' tool.

    Raises:
        RuntimeError: The tool failed.
    """
    tool = fleet.start_ctl(name, *args, "--store", fleet.urls["store"])
    if tool.wait() != 0:
        raise RuntimeError(fleet.logs(name))


def show_orders(fleet: Fleet) -> None:
    """Waits until engines hold the desired models, then prints a list."""
    desired = read_example("desired")["pools"]
    engines = [
        (server["address"] + "/state", desired[server["pool"]]["models"])
        for server in fleet.listing["servers"]
        if server["engine"]
    ]
    wait_until(
        lambda: all(
            httpx.get(url).json()["models"] == models
            for url, models in engines
        ),
        "orders",
        ORDERS_TIMEOUT_S,
    )
    run_ctl(fleet, "list", "orders", "list", "--hosts", fleet.urls["hosts"])
    print(fleet.logs("list"))


def main() -> int:
    """Starts the fleet, runs the demo and stops every process."""
    with Fleet() as fleet:
        try:
            start(fleet)
            run_ctl(fleet, "apply", "apply", str(FOLDER / "routing.rules"))
            desired = str(FOLDER / "desired.json")
            run_ctl(fleet, "set", "orders", "set", desired)
            fleet.wait_ready()
            anyio.run(run, fleet)
            show_orders(fleet)
        except (httpx.HTTPError, AssertionError, TimeoutError, RuntimeError):
            for name in fleet.procs:
                print(f"--- {name}\n{fleet.logs(name)}")
            raise
    return 0


if __name__ == "__main__":
    sys.exit(main())
