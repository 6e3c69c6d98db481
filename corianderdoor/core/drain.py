"""Draining of this entry host: redirects of new requests to others."""

from __future__ import annotations

from .addresses import in_service
from .config import Config
from .errors import Fault, Kind
from .rendezvous import rank
from .topology import EntryHost

DRAINING_RETRY_MS = 1_000


class EntryDrain:
    """Redirects new requests while this host stops or is drained."""

    __slots__ = ("_name", "_data_centre", "_stopping")

    def __init__(self, name: str, data_centre: str) -> None:
        self._name = name
        self._data_centre = data_centre
        self._stopping = False

    def stop(self) -> None:
        """Stops accepting new requests, as the process is about to exit."""
        self._stopping = True

    @property
    def stopping(self) -> bool:
        """Whether the process is about to exit."""
        return self._stopping

    def accepts_work(self, cfg: Config) -> bool:
        """Returns whether this host accepts new requests under `cfg`."""
        return not (
            self._stopping
            or self._data_centre in cfg.drained_centres
            or self._name in cfg.drained_hosts
        )

    def choose_redirect_target(
        self, chat: str, entries: tuple[EntryHost, ...], cfg: Config
    ) -> EntryHost | Fault:
        """Returns the host to redirect to, by rendezvous hashing of `chat`.

        A fault if no other entry host is in service.
        """
        others = {
            entry.name: entry
            for entry in in_service(entries, cfg)
            if entry.name != self._name
        }
        if not others:
            return Fault(
                Kind.DRAINING,
                "redirect",
                "this host takes no new work, and no other is in service",
                self._name,
                retry_after_ms=DRAINING_RETRY_MS,
            )
        return others[rank(chat, others)[0]]
