"""Injects the planned faults into the deployment of a soak run."""

from __future__ import annotations

import signal

import anyio
from soak_deployment import CENTRES, Deployment, Host

from corianderdoor.soak.ledger import EVERYWHERE, Span
from corianderdoor.soak.plan import PLANNED, Step
from corianderdoor.soak.proxy import Proxy

POLL_MS = 20
# The platform's grace period after SIGTERM; a host that still runs is killed.
SIGTERM_GRACE_MS = 8_000
# Longer than hosts may go on sending to a server that leaves or is evacuated,
# so that the checks see requests sent after that limit.
REMOVE_AFTER_MS = 4_500
RETURN_AFTER_MS = 1_500
MIN_EVACUATION_MS = 5_500
COLD_PERIOD_MS = 3_000
# Time that restarting engines are unreachable, and the time from their
# registration in the store until they accept connections.
ENGINE_DOWNTIME_MS = 1_500
ACCEPT_DELAY_MS = 200


class FaultInjector:
    """Runs the steps of a plan against a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._clock = deployment.clock
        self._fleet = deployment.fleet
        self._ledger = deployment.ledger
        self._born = 1
        self._evacuated: set[str] = set()
        self._leaving: set[str] = set()

    async def run_steps(self, plan: list[Step]) -> None:
        """Starts each step at its time; returns when all have ended."""
        began_ms = self._clock.now_ms()
        async with anyio.create_task_group() as steps:
            for step in plan:
                wait_ms = began_ms + step.at_ms - self._clock.now_ms()
                await anyio.sleep(max(0, wait_ms) / 1_000)
                steps.start_soon(self._apply, step)

    async def _apply(self, step: Step) -> None:
        apply = {
            "term": self._disturb_host,
            "kill": self._disturb_host,
            "pause": self._disturb_host,
            "hup": self._hup,
            "config": self._change_desired,
            "leave": self._remove_worker,
            "evacuate": self._evacuate,
            "store-link": self._disturb_store_link,
            "store-trouble": self._disturb_store,
            "store-history": self._compact_history,
            "worker-link": self._disturb_worker_link,
            "worker-mode": self._disturb_worker,
            "all-cold": self._restart_engines_cold,
        }[step.kind]
        await apply(step)

    def _open_span(self, step: Step, scope: str) -> Span:
        return self._ledger.open_span(
            self._clock.now_ms(), scope, step.kind, step.kind in PLANNED
        )

    def _close_span(self, span: Span) -> None:
        span.end_ms = self._clock.now_ms()

    def _find_idle_host(self, step: Step) -> Host | None:
        """Returns the target host of a step, None if steps must skip it."""
        host = self._deployment.hosts[
            step.target % len(self._deployment.hosts)
        ]
        return None if host.under_fault else host

    async def _disturb_host(self, step: Step) -> None:
        host = self._find_idle_host(step)
        if host is None:
            return
        host.under_fault = True
        span = self._open_span(step, host.name)
        host.record_peak_memory()
        if step.kind == "pause":
            await self._pause(host, step.duration_ms)
        else:
            if step.kind == "term":
                await self._term(host)
            else:
                await self._kill(host, step.duration_ms)
            await self._deployment.restart_host(host)
        self._close_span(span)
        host.under_fault = False

    async def _term(self, host: Host) -> None:
        host.proc.send_signal(signal.SIGTERM)
        with anyio.move_on_after(SIGTERM_GRACE_MS / 1_000):
            while host.proc.poll() is None:
                await anyio.sleep(POLL_MS / 1_000)
        if host.proc.poll() is None:
            host.proc.kill()
            host.proc.wait()

    async def _kill(self, host: Host, duration_ms: int) -> None:
        host.proc.kill()
        host.proc.wait()
        await anyio.sleep(duration_ms / 1_000)

    async def _pause(self, host: Host, duration_ms: int) -> None:
        host.proc.send_signal(signal.SIGSTOP)
        await anyio.sleep(duration_ms / 1_000)
        host.proc.send_signal(signal.SIGCONT)

    async def _hup(self, step: Step) -> None:
        host = self._find_idle_host(step)
        if host is not None:
            self._close_span(self._open_span(step, host.name))
            host.proc.send_signal(signal.SIGHUP)

    async def _change_desired(self, step: Step) -> None:
        if step.target % 2:
            self._deployment.probe_route_enabled = (
                not self._deployment.probe_route_enabled
            )
        else:
            self._deployment.second_key_enabled = (
                not self._deployment.second_key_enabled
            )
        self._deployment.put_desired()

    def _pick_worker(self, step: Step) -> str | None:
        """Returns the target worker of a step, if it may be removed.

        None while another worker leaves or a data centre is evacuated, since
        a service could lose its last server.
        """
        names = sorted(self._fleet.workers)
        name = names[step.target % len(names)]
        if self._leaving or self._evacuated:
            return None
        return name

    async def _remove_worker(self, step: Step) -> None:
        name = self._pick_worker(step)
        if name is None:
            return
        self._leaving.add(name)
        address, centre = self._deployment.worker_locations[name]
        self._fleet.register_worker(
            name, address, "draining", zone=centre, born=self._born
        )
        span = Span(self._clock.now_ms(), name, "leave", True)
        self._ledger.exclusions[name].append(span)
        await anyio.sleep(REMOVE_AFTER_MS / 1_000)
        self._fleet.store.state.remove(f"servers/{name}")
        await anyio.sleep((RETURN_AFTER_MS + step.duration_ms) / 1_000)
        self._close_span(span)
        self._born += 1
        worker = self._fleet.workers[name]
        worker.cached.clear()
        cold_ms = COLD_PERIOD_MS if worker.engine else 0
        self._deployment.cold_until_ms[name] = self._clock.now_ms() + cold_ms
        self._fleet.register_worker(
            name,
            address,
            zone=centre,
            born=self._born,
            cold_remaining_ms=cold_ms,
        )
        self._leaving.discard(name)

    async def _evacuate(self, step: Step) -> None:
        if self._evacuated or self._leaving:
            return
        centre = CENTRES[step.target % len(CENTRES)]
        self._evacuated.add(centre)
        state = self._fleet.store.state
        state.put(f"op/evacuate/{centre}", b"{}")
        spans = []
        for name, (_, place) in self._deployment.worker_locations.items():
            if place == centre:
                span = Span(self._clock.now_ms(), name, "evacuate", True)
                self._ledger.exclusions[name].append(span)
                spans.append(span)
        await anyio.sleep((MIN_EVACUATION_MS + step.duration_ms) / 1_000)
        for span in spans:
            self._close_span(span)
        state.remove(f"op/evacuate/{centre}")
        self._evacuated.discard(centre)

    async def _disturb_store_link(self, step: Step) -> None:
        host = self._deployment.hosts[
            step.target % len(self._deployment.hosts)
        ]
        proxy = self._deployment.store_links[host.name]
        await self._disturb_link(step, host.name, proxy)

    async def _disturb_worker_link(self, step: Step) -> None:
        names = sorted(self._deployment.worker_links)
        name = names[step.target % len(names)]
        await self._disturb_link(
            step, name, self._deployment.worker_links[name]
        )

    async def _disturb_link(
        self, step: Step, scope: str, proxy: Proxy
    ) -> None:
        if proxy.mode:
            return
        span = self._open_span(step, scope)
        proxy.set_mode(step.variant)
        await anyio.sleep(step.duration_ms / 1_000)
        proxy.set_mode("")
        self._close_span(span)

    async def _disturb_store(self, step: Step) -> None:
        if self._fleet.store.fault:
            return
        span = self._open_span(step, EVERYWHERE)
        self._fleet.store.fault = step.variant
        await anyio.sleep(step.duration_ms / 1_000)
        self._fleet.store.fault = ""
        for proxy in self._deployment.store_links.values():
            proxy.reset_all()  # silent calls would otherwise never end
        self._close_span(span)

    async def _compact_history(self, step: Step) -> None:
        span = self._open_span(step, EVERYWHERE)
        self._fleet.store.state.compact_history()
        self._close_span(span)

    async def _disturb_worker(self, step: Step) -> None:
        names = sorted(self._fleet.workers)
        worker = self._fleet.workers[names[step.target % len(names)]]
        if worker.mode or (step.variant == "cut" and not worker.engine):
            return
        span = self._open_span(step, worker.id)
        worker.mode = step.variant
        await anyio.sleep(step.duration_ms / 1_000)
        worker.mode = ""
        self._close_span(span)

    async def _restart_engines_cold(self, step: Step) -> None:
        """Restarts all engines at the same time, with cold caches."""
        engines = [w.id for w in self._fleet.workers.values() if w.engine]
        links = [self._deployment.worker_links[name] for name in engines]
        if self._leaving or any(link.mode for link in links):
            return
        span = self._open_span(step, EVERYWHERE)
        for link in links:
            link.set_mode("reset")
        await anyio.sleep(ENGINE_DOWNTIME_MS / 1_000)
        self._born += 1
        for name in engines:
            address, centre = self._deployment.worker_locations[name]
            self._fleet.workers[name].cached.clear()
            self._deployment.cold_until_ms[name] = (
                self._clock.now_ms() + COLD_PERIOD_MS
            )
            self._fleet.register_worker(
                name,
                address,
                zone=centre,
                born=self._born,
                cold_remaining_ms=COLD_PERIOD_MS,
            )
        await anyio.sleep(ACCEPT_DELAY_MS / 1_000)
        for link in links:
            link.set_mode("")
        await anyio.sleep(COLD_PERIOD_MS / 1_000)
        self._close_span(span)
