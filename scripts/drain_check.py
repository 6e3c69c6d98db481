"""Checks the drain and return of a data centre with real processes.

Sends chats to all entry hosts, drains a data centre, returns it, and restarts
a router while the key-value service is stopped. Exits with 1 if engines of
the data centre start requests more than `DRAIN_LIMIT_S` after the drain was
accepted, or if a request is not answered with 200.
"""

from __future__ import annotations

import pathlib
import sys
import threading
import time

from fleet import CENTRES, Fleet, wait_until
import httpx

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
RULES = EXAMPLES / "cuidadoras" / "routing.rules"
DRAIN_LIMIT_S = 3.0
OBSERVE_S = 3.0
SEND_INTERVAL_S = 0.1
READY_PATH = "/corianderdoor/v1/ready"
DRAINED_CENTRE = "dc-a"


class Caller(threading.Thread):
    """Sends chats to entry hosts in turn and counts the answers."""

    def __init__(self, urls: list[str]) -> None:
        super().__init__(daemon=True)
        self._urls = urls
        self.answers: dict[int, int] = {}
        self.done = threading.Event()

    def run(self) -> None:
        """Sends requests until `done` is set."""
        number = 0
        with httpx.Client(follow_redirects=True, timeout=10.0) as client:
            while not self.done.wait(SEND_INTERVAL_S):
                number += 1
                resp = client.post(
                    self._urls[number % len(self._urls)] + "/v1/chat",
                    headers={"corianderdoor-workspace": "w1"},
                    json={"model": "redactor", "chat": f"c{number}"},
                )
                status = resp.status_code
                self.answers[status] = self.answers.get(status, 0) + 1


def count_started(fleet: Fleet) -> int:
    """Returns how many requests the drained centre's engine has started."""
    url = fleet.urls["engine-0"] + "/standin/records"
    return len(httpx.get(url).json())


def run_ctl(fleet: Fleet, name: str, *args: str) -> None:
    """Runs the operators' tool and asserts that it succeeds."""
    keys = fleet.folder / "keys.json"
    keys.write_text('["a key for demos only"]')
    urls = fleet.urls
    options = ["--store", urls["store"], "--hosts", urls["hosts"]]
    proc = fleet.start_ctl(name, *args, *options, "--keys", str(keys))
    code = proc.wait()
    print(fleet.logs(name).strip())
    assert code == 0, code


def check(fleet: Fleet) -> int:
    """Drains and returns a data centre under load."""
    run_ctl(fleet, "apply", "apply", str(RULES))
    fleet.wait_ready()
    urls = [entry["address"] for entry in fleet.listing["entries"]]
    caller = Caller(urls)
    caller.start()
    wait_until(lambda: count_started(fleet) > 0, "first chat", 20.0)
    run_ctl(fleet, "drain", "drain", "data-centre", DRAINED_CENTRE)
    time.sleep(DRAIN_LIMIT_S)
    before = count_started(fleet)
    time.sleep(OBSERVE_S)
    late = count_started(fleet) - before
    print(f"begun over {DRAIN_LIMIT_S} s after the drain: {late}")
    run_ctl(fleet, "return", "return", "data-centre", DRAINED_CENTRE)
    wait_until(lambda: count_started(fleet) > before, "work back", 20.0)
    caller.done.set()
    caller.join()
    print(f"answers by status: {caller.answers}")
    fleet.stop("store")
    fleet.stop("entry-1")
    fleet.start_router("entry-1")
    url = fleet.urls["entry-1"] + READY_PATH
    wait_until(lambda: is_ready(url), "start without the service", 20.0)
    print("a router restarted without the service is ready")
    return 1 if late or set(caller.answers) != {httpx.codes.OK} else 0


def is_ready(url: str) -> bool:
    """Returns whether a router is ready to serve requests."""
    try:
        return httpx.get(url).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False


def main() -> int:
    """Starts the fleet, runs the check and stops every process."""
    with Fleet() as fleet:
        for number, centre in enumerate(CENTRES):
            fleet.add_server("engine", f"engine-{number}", "redactor", centre)
            fleet.add_router(f"entry-{number}", centre)
        fleet.publish()
        return check(fleet)


if __name__ == "__main__":
    sys.exit(main())
