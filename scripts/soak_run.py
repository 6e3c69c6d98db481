"""One run of the soak: starts, strikes and ends the processes.

A store and workers as stand-ins, a proxy before each of them, and entry hosts
as child processes, which are paused, killed and started again. Callers go on
all the while.
"""

from __future__ import annotations

import argparse
import pathlib
import random
import signal
import subprocess
import sys
from typing import Any, TextIO

import anyio
import anyio.abc

from corianderdoor.adapters.http1 import connect
from corianderdoor.adapters.http1_server import listen, Received
from corianderdoor.soak.callers import Caller
from corianderdoor.soak.ledger import (
    Arrival,
    Attempt,
    EVERYWHERE,
    Ledger,
    Span,
)
from corianderdoor.soak.plan import draw_plan, draw_theme, PLANNED, Step
from corianderdoor.soak.promises import (
    find_violations,
    Limits,
    RUN_ONCE,
    Violation,
)
from corianderdoor.soak.proxy import Proxy
from corianderdoor.standins.platform_caller import read_answer, write_chat
from corianderdoor.standins.platform_fleet import (
    build_config,
    build_route,
    build_settings,
    CALLER_HOST,
    COLD_FACTOR,
    COLD_SLACK,
    KEY,
    MAX_ATTEMPTS,
    PLAIN_SERVICE,
    PlatformFleet,
    PORT,
    READY_PORT,
    REPEAT_RATIO,
    ROUTES,
    TIMEOUT_MS,
)
from corianderdoor.standins.platform_worker import EVENTS, Worker

ROOT = pathlib.Path(__file__).parents[1]
CENTRES = ("a", "b")
SECOND_KEY = "key-2"
EXTRA = build_route("/probe/", "idempotent", PLAIN_SERVICE)
# Small enough that the load of a run reaches them.
COLD_PER_S = 1.0
REPEAT_SLACK = 4
LIMITS = Limits(
    TIMEOUT_MS,
    EVENTS,
    MAX_ATTEMPTS,
    REPEAT_RATIO,
    REPEAT_SLACK,
    COLD_PER_S * COLD_FACTOR + COLD_SLACK,
)
PROBE_GAP_MS = 250
POLL_MS = 20
EXPIRY_POLL_MS = 100
# Grace of SIGTERM on the platform; a host that still runs then is killed.
TERM_MS = 8_000
# Longer than hosts may go on sending there, so that it shows if they do.
REMOVE_AFTER_MS = 4_500
RETURN_AFTER_MS = 1_500
EVACUATED_MS = 5_500
COLD_MS = 3_000
# Time in which engines that start again are away, and from their entry in
# the store until they take connections.
RESTART_MS = 1_500
OPEN_MS = 200
# Time after the last fault in which service must be back (15 s in the
# platform's pages), and the requests that show it.
RECOVERY_MS = 15_000
RECOVERY_REQUESTS = 24
# Memory of the smallest host in the platform's pages.
MEMORY_KB = 200 * 1024


class Host:
    """One entry host as a child process."""

    def __init__(
        self, name: str, address: str, settings: pathlib.Path, log: TextIO
    ) -> None:
        self.name = name
        self.address = address
        self.busy = False
        self.peak_kb = 0
        self._settings = settings
        self._log = log
        self.proc = self.start()

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the process."""
        self.proc = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "corianderdoor.entry",
                "--settings",
                str(self._settings),
            ],
            cwd=ROOT,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        return self.proc

    def note_memory(self) -> None:
        """Reads the peak of the process's memory."""
        path = pathlib.Path(f"/proc/{self.proc.pid}/status")
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return  # it has just ended
        peaks = [int(x.split()[1]) for x in lines if x.startswith("VmHWM")]
        self.peak_kb = max([self.peak_kb, *peaks])


class Soak:
    """One run."""

    def __init__(
        self, args: argparse.Namespace, seed: int, folder: pathlib.Path
    ) -> None:
        self._args = args
        self._seed = seed
        self._folder = folder
        self._rng = random.Random(f"run {seed}")
        self._ledger = Ledger()
        self._hosts: list[Host] = []
        self._store_links: dict[str, Proxy] = {}
        self._worker_links: dict[str, Proxy] = {}
        self._places: dict[str, tuple[str, str]] = {}
        self._cold_until: dict[str, int] = {}
        self._born = 1
        self._version = 1
        self._extra_on = False
        self._second_key = False
        self._accepted_ms = 0
        self._out: set[str] = set()
        self._leaving: set[str] = set()
        self._recovered = False

    async def run(self) -> dict[str, Any]:
        """Plays the faults of the seed and returns the report."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._fleet = PlatformFleet(tasks)
            self._clock = self._fleet.clock
            try:
                await self._start()
                tasks.start_soon(self._watch_hosts)
                await self._call_and_play()
            finally:
                with anyio.CancelScope(shield=True):
                    self._end_hosts()
                tasks.cancel_scope.cancel()
        return self._report()

    async def _call_and_play(self) -> None:
        """Plays the faults while callers and probes go on."""
        stop = anyio.Event()
        async with anyio.create_task_group() as callers:
            for number in range(self._args.callers):
                callers.start_soon(self._caller(f"c{number}").run, stop)
            callers.start_soon(self._probe, callers, stop)
            await self._play()
            await self._recover()
            stop.set()

    async def _start(self) -> None:
        await self._fleet.start(0, 0, 0)
        value = build_config(self._version, cold_per_s=COLD_PER_S)
        self._fleet.store.state.put("op/config", value)
        for number in range(self._args.engines):
            await self._add_worker(f"engine-{number}", True, number)
        for number in range(self._args.plain):
            await self._add_worker(f"plain-{number}", False, number)
        for number in range(self._args.hosts):
            await self._add_host(f"host-{number}", number)
        for host in self._hosts:
            await self._fleet.wait_ready(host.name)
        self._tasks.start_soon(self._expire)
        self._accepted_ms = self._clock.now_ms()

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(EXPIRY_POLL_MS / 1_000)
            if not self._fleet.store.trouble:
                self._fleet.store.state.expire()

    async def _add_worker(self, id: str, engine: bool, number: int) -> None:
        worker = self._fleet.workers[id] = Worker(id, engine)
        worker.on_request = self._note_arrival
        at = (self._fleet.take_address(), PORT)
        await listen(at, self._tasks, worker.serve)
        proxy = self._worker_links[id] = Proxy(at)
        shown = self._fleet.take_address()
        await proxy.listen((shown, PORT))
        centre = CENTRES[number % len(CENTRES)]
        self._places[id] = (shown, centre)
        self._fleet.list_worker(id, shown, zone=centre)

    async def _add_host(self, name: str, number: int) -> None:
        proxy = self._store_links[name] = Proxy(self._fleet.store_at)
        store_at = (self._fleet.take_address(), PORT)
        await proxy.listen(store_at)
        address = self._fleet.take_address()
        path = self._folder / f"{name}.json"
        centre = CENTRES[number % len(CENTRES)]
        settings = build_settings(
            name, address, store_at, centre, REPEAT_SLACK
        )
        path.write_bytes(settings)
        log = (self._folder / f"{name}.log").open("a")
        self._fleet.hosts[name] = (address, PORT)
        self._hosts.append(Host(name, address, path, log))

    def _note_arrival(self, worker: Worker, req: Received, ran: bool) -> None:
        fields = dict(req.headers)
        now_ms = self._clock.now_ms()
        self._ledger.arrivals.append(
            Arrival(
                now_ms,
                worker.id,
                worker.engine,
                fields[b"attempt-id"].decode(),
                req.target,
                req.body,
                fields.get(b"tenant-name", b""),
                b"authorization" in fields,
                ran,
                now_ms < self._cold_until.get(worker.id, 0),
            )
        )

    def _caller(self, name: str) -> Caller:
        names = {f"{host.address}:{PORT}": host.name for host in self._hosts}
        return Caller(
            name,
            self._ledger,
            self._clock,
            random.Random(f"{self._seed} {name}"),
            [(host.address, READY_PORT) for host in self._hosts],
            lambda address: names.get(address, address),
        )

    # -- probes of the desired state

    async def _probe(
        self, tasks: anyio.abc.TaskGroup, stop: anyio.Event
    ) -> None:
        number = 0
        while not stop.is_set():
            await anyio.sleep(PROBE_GAP_MS / 1_000)
            number += 1
            host = self._rng.choice(self._hosts)
            if number % 2:
                path, key = "/probe/x", KEY
                allowed = 200 if self._extra_on else 404
            else:
                path, key = "/read/x", SECOND_KEY
                allowed = 200 if self._second_key else 401
            tasks.start_soon(
                self._send_probe, number, host, path, key, allowed
            )

    async def _send_probe(
        self, number: int, host: Host, path: str, key: str, allowed: int
    ) -> None:
        accepted_ms = self._accepted_ms
        wire = await connect((host.address, PORT), TIMEOUT_MS, 0)
        if wire is None:
            return
        now_ms = self._clock.now_ms()
        attempt = Attempt(f"p{number}", "probe", host.name, now_ms, True)
        self._ledger.attempts[attempt.id] = attempt
        write_chat(wire, CALLER_HOST, attempt.id, path, key, "", TIMEOUT_MS)
        with anyio.move_on_after(2 * TIMEOUT_MS / 1_000):
            await read_answer(wire, attempt)
        wire.abort()
        attempt.ended_ms = self._clock.now_ms()
        if accepted_ms == self._accepted_ms:
            self._ledger.probes.append(
                (attempt.id, accepted_ms, frozenset({allowed}))
            )

    # -- faults

    async def _play(self) -> None:
        """Plays all steps; returns once the last has ended."""
        began_ms = self._clock.now_ms()
        async with anyio.create_task_group() as steps:
            for step in draw_plan(self._seed, self._args.seconds * 1_000):
                wait_ms = began_ms + step.at_ms - self._clock.now_ms()
                await anyio.sleep(max(0, wait_ms) / 1_000)
                steps.start_soon(self._apply, step)

    async def _apply(self, step: Step) -> None:
        play = {
            "term": self._term,
            "hup": self._hup,
            "kill": self._kill,
            "pause": self._pause,
            "config": self._change_desired,
            "leave": self._let_leave,
            "evacuate": self._evacuate,
            "store-link": self._harm_store_link,
            "store-trouble": self._harm_store,
            "store-history": self._drop_history,
            "worker-link": self._harm_worker_link,
            "worker-mode": self._harm_worker,
            "all-cold": self._chill,
        }[step.kind]
        await play(step)

    def _open(self, step: Step, scope: str) -> Span:
        return self._ledger.open_span(
            self._clock.now_ms(), scope, step.kind, step.kind in PLANNED
        )

    def _close(self, span: Span) -> None:
        span.end_ms = self._clock.now_ms()

    def _idle_host(self, step: Step) -> Host | None:
        """Returns the host that a step strikes, if nothing else does."""
        host = self._hosts[step.target % len(self._hosts)]
        return None if host.busy else host

    async def _term(self, step: Step) -> None:
        host = self._idle_host(step)
        if host is None:
            return
        host.busy = True
        span = self._open(step, host.name)
        host.note_memory()
        host.proc.send_signal(signal.SIGTERM)
        with anyio.move_on_after(TERM_MS / 1_000):
            while host.proc.poll() is None:
                await anyio.sleep(POLL_MS / 1_000)
        if host.proc.poll() is None:
            host.proc.kill()
            host.proc.wait()
        await self._start_again(host)
        self._close(span)

    async def _kill(self, step: Step) -> None:
        host = self._idle_host(step)
        if host is None:
            return
        host.busy = True
        span = self._open(step, host.name)
        host.note_memory()
        host.proc.kill()
        host.proc.wait()
        await anyio.sleep(step.for_ms / 1_000)
        await self._start_again(host)
        self._close(span)

    async def _start_again(self, host: Host) -> None:
        host.start()
        with anyio.move_on_after(RECOVERY_MS / 1_000):
            await self._fleet.wait_ready(host.name)
        host.busy = False

    async def _pause(self, step: Step) -> None:
        host = self._idle_host(step)
        if host is None:
            return
        host.busy = True
        span = self._open(step, host.name)
        host.proc.send_signal(signal.SIGSTOP)
        await anyio.sleep(step.for_ms / 1_000)
        host.proc.send_signal(signal.SIGCONT)
        self._close(span)
        host.busy = False

    async def _hup(self, step: Step) -> None:
        host = self._idle_host(step)
        if host is not None:
            self._close(self._open(step, host.name))
            host.proc.send_signal(signal.SIGHUP)

    async def _change_desired(self, step: Step) -> None:
        self._version += 1
        if step.target % 2:
            self._extra_on = not self._extra_on
        else:
            self._second_key = not self._second_key
        routes = (*ROUTES, EXTRA) if self._extra_on else ROUTES
        keys = (KEY, SECOND_KEY) if self._second_key else (KEY,)
        value = build_config(self._version, routes, keys, COLD_PER_S)
        self._fleet.store.state.put("op/config", value)
        self._accepted_ms = self._clock.now_ms()

    def _pick_worker(self, step: Step) -> str | None:
        """Returns a worker that may leave without ending its service."""
        names = sorted(self._fleet.workers)
        name = names[step.target % len(names)]
        if self._leaving or self._out:
            return None
        return name

    async def _let_leave(self, step: Step) -> None:
        name = self._pick_worker(step)
        if name is None:
            return
        self._leaving.add(name)
        address, centre = self._places[name]
        self._fleet.list_worker(
            name, address, "draining", zone=centre, born=self._born
        )
        span = Span(self._clock.now_ms(), name, "leave", True)
        self._ledger.closed[name].append(span)
        await anyio.sleep(REMOVE_AFTER_MS / 1_000)
        self._fleet.store.state.remove(f"servers/{name}")
        await anyio.sleep((RETURN_AFTER_MS + step.for_ms) / 1_000)
        self._close(span)
        self._born += 1
        worker = self._fleet.workers[name]
        worker.cached.clear()
        cold_ms = COLD_MS if worker.engine else 0
        self._cold_until[name] = self._clock.now_ms() + cold_ms
        self._fleet.list_worker(
            name,
            address,
            zone=centre,
            born=self._born,
            cold_remaining_ms=cold_ms,
        )
        self._leaving.discard(name)

    async def _evacuate(self, step: Step) -> None:
        if self._out or self._leaving:
            return
        centre = CENTRES[step.target % len(CENTRES)]
        self._out.add(centre)
        state = self._fleet.store.state
        state.put(f"op/evacuate/{centre}", b"{}")
        spans = []
        for name, (_, place) in self._places.items():
            if place == centre:
                span = Span(self._clock.now_ms(), name, "evacuate", True)
                self._ledger.closed[name].append(span)
                spans.append(span)
        await anyio.sleep((EVACUATED_MS + step.for_ms) / 1_000)
        for span in spans:
            self._close(span)
        state.remove(f"op/evacuate/{centre}")
        self._out.discard(centre)

    async def _harm_store_link(self, step: Step) -> None:
        host = self._hosts[step.target % len(self._hosts)]
        proxy = self._store_links[host.name]
        await self._harm_link(step, host.name, proxy)

    async def _harm_worker_link(self, step: Step) -> None:
        names = sorted(self._worker_links)
        name = names[step.target % len(names)]
        await self._harm_link(step, name, self._worker_links[name])

    async def _harm_link(self, step: Step, scope: str, proxy: Proxy) -> None:
        if proxy.mode:
            return
        span = self._open(step, scope)
        proxy.set_mode(step.how)
        await anyio.sleep(step.for_ms / 1_000)
        proxy.set_mode("")
        self._close(span)

    async def _harm_store(self, step: Step) -> None:
        if self._fleet.store.trouble:
            return
        span = self._open(step, EVERYWHERE)
        self._fleet.store.trouble = step.how
        await anyio.sleep(step.for_ms / 1_000)
        self._fleet.store.trouble = ""
        for proxy in self._store_links.values():
            proxy.reset_all()  # else silent calls would wait for ever
        self._close(span)

    async def _drop_history(self, step: Step) -> None:
        span = self._open(step, EVERYWHERE)
        self._fleet.store.state.drop_history()
        self._close(span)

    async def _harm_worker(self, step: Step) -> None:
        names = sorted(self._fleet.workers)
        worker = self._fleet.workers[names[step.target % len(names)]]
        if worker.mode or (step.how == "cut" and not worker.engine):
            return
        span = self._open(step, worker.id)
        worker.mode = step.how
        await anyio.sleep(step.for_ms / 1_000)
        worker.mode = ""
        self._close(span)

    async def _chill(self, step: Step) -> None:
        """Has all engines end and start again at once, cold."""
        engines = [w.id for w in self._fleet.workers.values() if w.engine]
        links = [self._worker_links[name] for name in engines]
        if self._leaving or any(link.mode for link in links):
            return
        span = self._open(step, EVERYWHERE)
        for link in links:
            link.set_mode("reset")
        await anyio.sleep(RESTART_MS / 1_000)
        self._born += 1
        for name in engines:
            address, centre = self._places[name]
            self._fleet.workers[name].cached.clear()
            self._cold_until[name] = self._clock.now_ms() + COLD_MS
            self._fleet.list_worker(
                name,
                address,
                zone=centre,
                born=self._born,
                cold_remaining_ms=COLD_MS,
            )
        await anyio.sleep(OPEN_MS / 1_000)
        for link in links:
            link.set_mode("")
        await anyio.sleep(COLD_MS / 1_000)
        self._close(span)

    # -- the end

    async def _watch_hosts(self) -> None:
        while True:
            await anyio.sleep(PROBE_GAP_MS / 1_000)
            for host in self._hosts:
                host.note_memory()
                if host.busy or host.proc.poll() is None:
                    continue
                self._ledger.ended.append((host.name, host.proc.returncode))
                host.busy = True

    async def _recover(self) -> None:
        """Waits until a row of requests is served."""
        checker = self._caller("recovery")
        row = 0
        with anyio.move_on_after(RECOVERY_MS / 1_000):
            while row < RECOVERY_REQUESTS:
                await checker.look_up()
                attempt = await checker.call("chat" if row % 2 else "pay")
                served = attempt is not None and attempt.served
                row = row + 1 if served else 0
        self._recovered = row >= RECOVERY_REQUESTS

    def _end_hosts(self) -> None:
        for host in self._hosts:
            host.busy = True  # its end is no finding
            if host.proc.poll() is None:
                host.proc.kill()
                host.proc.wait()

    def _report(self) -> dict[str, Any]:
        found = find_violations(self._ledger, LIMITS)
        if not self._recovered:
            found.append(Violation("recover", "no row of served requests"))
        for host in self._hosts:
            if host.peak_kb > MEMORY_KB:
                found.append(
                    Violation("memory", f"{host.name}: {host.peak_kb} KB")
                )
        attempts = self._ledger.attempts.values()
        return {
            "seed": self._seed,
            "theme": draw_theme(self._seed),
            "steps": len(self._ledger.spans),
            "asked": len(attempts),
            "served": sum(attempt.served for attempt in attempts),
            "once": sum(attempt.kind in RUN_ONCE for attempt in attempts),
            "arrivals": len(self._ledger.arrivals),
            "probes": len(self._ledger.probes),
            "peak_mb": max(host.peak_kb for host in self._hosts) // 1024,
            "violations": [f"{item.promise}: {item.detail}" for item in found],
            "spans": [
                [span.begin_ms, span.end_ms, span.scope, span.kind]
                for span in self._ledger.spans
            ],
        }
