"""Checks a drain and a return of a data centre with real processes.

Sends chats to all entry hosts, drains a data centre, restarts a router with
the key-value service stopped, and counts what engines of that data centre
began more than `LIMIT_S` after the drain was accepted. Exits with 1 if any.
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
LIMIT_S = 3.0
WATCH_S = 3.0
PAUSE_S = 0.1
READY = "/corianderdoor/v1/ready"
NAME = "dc-a"


class Caller(threading.Thread):
    """Sends chats to entry hosts in turn and counts the answers."""

    def __init__(self, urls: list[str]) -> None:
        super().__init__(daemon=True)
        self._urls = urls
        self.answers: dict[int, int] = {}
        self.done = threading.Event()

    def run(self) -> None:
        """Sends until `done` is set."""
        number = 0
        with httpx.Client(follow_redirects=True, timeout=10.0) as client:
            while not self.done.wait(PAUSE_S):
                number += 1
                resp = client.post(
                    self._urls[number % len(self._urls)] + "/v1/chat",
                    headers={"corianderdoor-workspace": "w1"},
                    json={"model": "redactor", "chat": f"c{number}"},
                )
                status = resp.status_code
                self.answers[status] = self.answers.get(status, 0) + 1


def count_started(fleet: Fleet) -> int:
    """Returns how many requests the engine of the data centre began."""
    url = fleet.urls["engine-0"] + "/standin/records"
    return len(httpx.get(url).json())


def run_ctl(fleet: Fleet, name: str, *args: str) -> None:
    """Runs the operators' tool and fails unless it is done."""
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
    run_ctl(fleet, "drain", "drain", "data-centre", NAME)
    time.sleep(LIMIT_S)
    before = count_started(fleet)
    time.sleep(WATCH_S)
    late = count_started(fleet) - before
    print(f"begun over {LIMIT_S} s after the drain: {late}")
    run_ctl(fleet, "return", "return", "data-centre", NAME)
    wait_until(lambda: count_started(fleet) > before, "work back", 20.0)
    caller.done.set()
    caller.join()
    print(f"answers by status: {caller.answers}")
    fleet.stop("store")
    fleet.stop("entry-1")
    fleet.start_router("entry-1")
    url = fleet.urls["entry-1"] + READY
    wait_until(lambda: is_ready(url), "start without the service", 20.0)
    print("a router restarted without the service is ready")
    return 1 if late or set(caller.answers) != {httpx.codes.OK} else 0


def is_ready(url: str) -> bool:
    """Tells whether a router serves a configuration."""
    try:
        return httpx.get(url).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False


def main() -> int:
    """Starts the fleet, runs the check and ends every process."""
    with Fleet() as fleet:
        for number, centre in enumerate(CENTRES):
            fleet.add_server("engine", f"engine-{number}", "redactor", centre)
            fleet.add_router(f"entry-{number}", centre)
        fleet.publish()
        return check(fleet)


if __name__ == "__main__":
    sys.exit(main())
