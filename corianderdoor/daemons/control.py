"""Exchange of a router with other daemons and with operators."""

from __future__ import annotations

import random
import socket
from typing import Final, Protocol

import anyio

from ..adapters.control_http import ControlApp
from ..adapters.keyring import Keyring
from ..adapters.peer_capnp import bind_datagrams, UdpPeers
from ..adapters.serving import bind_socket, serve, ServingLimits
from ..core.clock import Clock
from ..core.config import Config
from ..core.topology import EntryHost
from ..ports.store import Store
from .config_runner import ConfigRunner
from .fleet_view import FleetView

SHUTDOWN_GRACE_S: Final = 0.2
BIND_ATTEMPTS: Final = 20


def bind_control(host: str, port: int) -> tuple[socket.socket, socket.socket]:
    """Returns a TCP and a UDP socket bound to the same port.

    Port 0 takes any port that is free for both.

    Raises:
        OSError: The port is in use.
    """
    for left in reversed(range(BIND_ATTEMPTS if port == 0 else 1)):
        tcp = bind_socket(host, port)
        try:
            return tcp, bind_datagrams(host, tcp.getsockname()[1])
        except OSError:
            tcp.close()
            if not left:
                raise
    raise AssertionError("unreachable")


class ControlledDaemon(Protocol):
    """A daemon that `Control` provides with configuration and members."""

    def enforce(self, cfg: Config) -> None:
        """Puts `cfg` in force, if it is newer."""

    def set_view(self, view: FleetView) -> None:
        """Sets the view that decides which daemons are alive."""

    def refresh(self) -> None:
        """Applies a change of the view."""


class Control:
    """Membership, configuration and the control port of one daemon."""

    __slots__ = ("_daemon", "_keyring", "_stopped", "config", "view")

    def __init__(
        self,
        own: EntryHost,
        store: Store,
        peers: UdpPeers,
        keyring: Keyring,
        clock: Clock,
        rng: random.Random,
        daemon: ControlledDaemon,
    ) -> None:
        """Creates the parts and connects them to `daemon`.

        Args:
            own: This daemon; its address for callers is not used.
            store: The key-value service.
            peers: Port to the other daemons.
            keyring: Shared keys of the fleet.
            clock: The clock of the daemon.
            rng: Source of random choices and jitter.
            daemon: Receives the configuration and the view.
        """
        self._daemon = daemon
        self._keyring = keyring
        self._stopped = anyio.Event()
        self.config = ConfigRunner(
            own, store, peers, keyring, clock, rng, self._enforce
        )
        self.view = FleetView(
            own,
            peers,
            clock,
            rng,
            self._update_view,
            self.config.record_peer_revision,
        )
        daemon.set_view(self.view)

    async def run(
        self, sock: socket.socket, limits: ServingLimits | None = None
    ) -> None:
        """Serves the control port and runs all parts until `stop`.

        Args:
            sock: Listening socket of the port.
            limits: Bounds what its callers make the daemon keep.
        """
        app = ControlApp(
            self._keyring,
            self.config.archive,
            self.config.load,
            self.config.status,
        ).app()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.view.run)
            tg.start_soon(self.config.run)
            tg.start_soon(self._stop_when_cancelled)
            with anyio.CancelScope(shield=True):
                await serve(
                    app, sock, self._stopped.wait, SHUTDOWN_GRACE_S, limits
                )
            tg.cancel_scope.cancel()

    def stop(self) -> None:
        """Ends `run`."""
        self._stopped.set()

    async def _stop_when_cancelled(self) -> None:
        """Lets the HTTP server close its connections on cancellation."""
        try:
            await anyio.sleep_forever()
        finally:
            self._stopped.set()

    def _enforce(self, cfg: Config) -> None:
        self._daemon.enforce(cfg)
        self.view.set_revision(cfg.revision)

    def _update_view(self) -> None:
        self.config.set_members(self.view.alive())
        self._daemon.refresh()
