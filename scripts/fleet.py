"""Starts and stops the processes of a small fleet on loopback.

This is a script outside the package because no process of the fleet starts
another. Every process is stopped by its id, also when the script is
interrupted.
"""

from __future__ import annotations

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import httpx

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
CHAT_RULE = "path=/v1/chat method=POST -> redactor idempotent=yes # a script\n"
CENTRES = ("dc-a", "dc-b", "dc-c")


def find_free_port() -> int:
    """Returns a TCP port that is free at the time of the call."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def wait_until(check: Any, description: str, timeout_s: float) -> None:
    """Polls `check` until it returns true.

    Raises:
        TimeoutError: `check` did not return true within `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{description}: not within {timeout_s} s")
        time.sleep(POLL_S)


class Fleet:
    """Stand-ins, routers and controllers as child processes of a script.

    Attributes:
        folder: Temporary folder for settings and logs.
        procs: Started processes by name.
        urls: URLs of the processes by name.
        listing: The host list that `publish` sends.
    """

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="corianderdoor-")
        self.folder = pathlib.Path(self._folder.name)
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self.urls: dict[str, str] = {}
        self.listing: dict[str, list[dict[str, Any]]] = {
            "entries": [],
            "servers": [],
        }

    def __enter__(self) -> Fleet:
        signal.signal(signal.SIGTERM, _raise_interrupt)
        self._start_standin("store")
        self._start_standin("hosts")
        return self

    def __exit__(self, *exc: object) -> None:
        for name in list(self.procs):
            self.stop(name, signal.SIGTERM)
        self._folder.cleanup()

    def add_server(
        self,
        kind: str,
        name: str,
        pool: str,
        centre: str,
        capacity: int = 8,
        args: list[str] | None = None,
    ) -> None:
        """Starts a backend server of `kind` and adds it to the host list."""
        flags = ["--capacity", str(capacity), *(args or [])]
        self._start_standin(kind, name, flags)
        self.listing["servers"].append(
            {
                "name": name,
                "host": f"host-{name}",
                "data_centre": centre,
                "pool": pool,
                "address": self.urls[name],
                "incarnation": time.time_ns() // 1_000_000,
                "capacity": capacity,
                "engine": kind == "engine",
            }
        )

    def add_router(self, name: str, centre: str, **extra: Any) -> None:
        """Starts a router and adds it to the host list."""
        port, control = find_free_port(), find_free_port()
        settings = {
            "name": name,
            "data_centre": centre,
            "region": "region-1",
            "listen": "127.0.0.1",
            "port": port,
            "control_port": control,
            "fleet_keys": ["a key for demos only"],
            "store_url": self.urls["store"],
            "hosts_url": self.urls["hosts"],
            "graceful_ms": 5_000,
            **extra,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self.urls[name] = f"http://127.0.0.1:{port}"
        self.listing["entries"].append(
            {
                "name": name,
                "data_centre": centre,
                "region": "region-1",
                "address": self.urls[name],
                "control": f"127.0.0.1:{control}",
            }
        )
        self.start_router(name)

    def start_chat_fleet(
        self, engines: int, routers: int, keys: list[str], args: list[str]
    ) -> None:
        """Starts engines and routers with one rule; waits until all are ready.

        Args:
            engines: Number of engines.
            routers: Number of routers.
            keys: Keys of the fleet.
            args: Command-line options of each engine.

        Raises:
            RuntimeError: The rule is not in force on every router.
        """
        for number in range(engines):
            centre = CENTRES[number % len(CENTRES)]
            self.add_server(
                "engine", f"e{number}", "redactor", centre, args=args
            )
        for number in range(routers):
            centre = CENTRES[number % len(CENTRES)]
            self.add_router(f"entry-{number}", centre, fleet_keys=keys)
        self.publish()
        rules = self.folder / "routing.rules"
        rules.write_text(CHAT_RULE, encoding="utf-8")
        if self.run_ctl(keys, "apply", str(rules)) != 0:
            raise RuntimeError(self.logs("ctl-apply"))
        self.wait_ready()

    def start_weights(self) -> None:
        """Starts the weight store."""
        self._start_standin("weights")

    def add_controller(self, name: str, **extra: Any) -> None:
        """Starts a controller."""
        urls = {
            f"{kind}_url": self.urls[kind]
            for kind in ("store", "hosts", "weights")
        }
        path = self.folder / f"{name}.json"
        settings = {"name": name, **urls, **extra}
        path.write_text(json.dumps(settings), encoding="utf-8")
        module = "corianderdoor.daemons.controller"
        self._start(name, [sys.executable, "-m", module, str(path)])

    def start_router(self, name: str) -> None:
        """Starts a router from the settings that `add_router` wrote."""
        path = self.folder / f"{name}.json"
        module = "corianderdoor.daemons.router"
        self._start(name, [sys.executable, "-m", module, str(path)])

    def publish(self) -> None:
        """Sends the host list to the stand-in of the platform."""
        resp = httpx.put(
            self.urls["hosts"] + "/standin/hosts", json=self.listing
        )
        resp.raise_for_status()

    def start_ctl(self, name: str, *args: str) -> subprocess.Popen[bytes]:
        """Starts `corianderdoorctl`; the caller must wait for it."""
        module = "corianderdoor.tools.ctl"
        return self._start(name, [sys.executable, "-m", module, *args])

    def run_ctl(self, keys: list[str], *command: str) -> int:
        """Runs a change with `corianderdoorctl` and returns its exit code."""
        path = self.folder / "keys.json"
        path.write_text(json.dumps(keys), encoding="utf-8")
        options = ["--store", self.urls["store"]]
        options += ["--hosts", self.urls["hosts"], "--keys", str(path)]
        return self.start_ctl(f"ctl-{command[0]}", *command, *options).wait()

    def wait_ready(self) -> None:
        """Waits until every listed router is ready."""
        for entry in self.listing["entries"]:
            url = entry["address"] + "/corianderdoor/v1/ready"
            wait_until(lambda u=url: _is_ready(u), entry["name"], 20.0)

    def stop(self, name: str, signum: int = signal.SIGTERM) -> None:
        """Sends `signum` to a process; kills it after `STOP_TIMEOUT_S`."""
        proc = self.procs.pop(name)
        if proc.poll() is None:
            proc.send_signal(signum)
        try:
            proc.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            proc.kill()
            proc.wait()

    def logs(self, name: str) -> str:
        """Returns the output of a process so far."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def _start_standin(
        self, kind: str, name: str = "", args: list[str] | None = None
    ) -> None:
        name = name or kind
        port = find_free_port()
        self.urls[name] = f"http://127.0.0.1:{port}"
        command = [sys.executable, "-m", "corianderdoor.standins", kind]
        command += ["--name", name, "--port", str(port), *(args or [])]
        self._start(name, command)
        wait_until(lambda: _accepts_connections(port), name, START_TIMEOUT_S)

    def _start(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("ab") as log:
            proc = subprocess.Popen(command, stdout=log, stderr=log)
        self.procs[name] = proc
        return proc


def _raise_interrupt(signum: int, frame: object) -> None:
    raise KeyboardInterrupt


def _accepts_connections(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == os.EX_OK


def _is_ready(url: str) -> bool:
    try:
        return httpx.get(url).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False
