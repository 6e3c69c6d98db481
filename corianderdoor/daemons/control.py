"""What a router tells other daemons and operators, and hears from them."""

from __future__ import annotations

import random
import socket
from typing import Final, Protocol

import anyio

from ..adapters.control_http import ControlApp
from ..adapters.keyring import Keyring
from ..adapters.peer_capnp import bind_datagrams, UdpPeers
from ..adapters.serving import bind_socket, serve
from ..core.clock import Clock
from ..core.config import Config
from ..core.topology import EntryHost
from ..ports.store import Store
from .config_runner import ConfigRunner
from .fleet_view import FleetView

LAST_ANSWERS_S: Final = 0.2
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
    """A daemon whose configuration and view of the fleet are kept here."""

    def enforce(self, cfg: Config) -> None:
        """Puts `cfg` in force, if it is newer."""

    def set_view(self, view: FleetView) -> None:
        """Judges by `view` from now on which daemons are live."""

    def refresh(self) -> None:
        """Takes note of a change in the view."""


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
        """Creates the parts and joins them to `daemon`.

        Args:
            own: This daemon; its address for callers is not used.
            store: The key-value service.
            peers: The datagrams to other daemons.
            keyring: Keys of the fleet.
            clock: The clock of the daemon.
            rng: Source of choices and jitter.
            daemon: What configuration and view are for.
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
            self._take_view,
            self.config.record_peer_revision,
        )
        daemon.set_view(self.view)

    async def run(self, sock: socket.socket) -> None:
        """Serves the control port and keeps all up to date until `stop`."""
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
                await serve(app, sock, self._stopped.wait, LAST_ANSWERS_S)
            tg.cancel_scope.cancel()

    def stop(self) -> None:
        """Ends `run`."""
        self._stopped.set()

    async def _stop_when_cancelled(self) -> None:
        """Lets the server end its connections itself."""
        try:
            await anyio.sleep_forever()
        finally:
            self._stopped.set()

    def _enforce(self, cfg: Config) -> None:
        self._daemon.enforce(cfg)
        self.view.set_revision(cfg.revision)

    def _take_view(self) -> None:
        self.config.set_members(self.view.alive())
        self._daemon.refresh()
