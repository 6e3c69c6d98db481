"""Which entry hosts a caller should use, in which order."""

from __future__ import annotations

from typing import Final

from .config import Config
from .records import Record
from .rendezvous import rank
from .topology import EntryHost

VALID_MS: Final = 30_000
MAX_HOSTS: Final = 4


class AddressAnswer(Record):
    """Answer to a caller that asks which entry hosts to use.

    Attributes:
        hosts: Entry hosts, best first.
        valid_ms: How long the caller may cache the answer, in ms.
    """

    __slots__ = ("hosts", "valid_ms")

    def __init__(
        self, hosts: tuple[EntryHost, ...], valid_ms: int = VALID_MS
    ) -> None:
        self.hosts = hosts
        self.valid_ms = valid_ms


def in_service(entries: tuple[EntryHost, ...], cfg: Config) -> list[EntryHost]:
    """Returns the entry hosts that operators have not drained."""
    return [
        entry
        for entry in entries
        if entry.data_centre not in cfg.drained_centres
        and entry.name not in cfg.drained_hosts
    ]


def answer_address(
    chat: str,
    entries: tuple[EntryHost, ...],
    cfg: Config,
    home: str = "",
) -> AddressAnswer:
    """Orders the entry hosts in service by rendezvous hashing of `chat`.

    Every entry host with the same view returns the same order for a chat,
    so that its requests go to the same host. The entry host `home` comes
    first if it is in service, as it needs no message to admit a request to
    the chat's backend server.
    """
    by_name = {entry.name: entry for entry in in_service(entries, cfg)}
    order = rank(chat, by_name)
    order.sort(key=lambda name: name != home)
    names = order[:MAX_HOSTS]
    return AddressAnswer(tuple(by_name[name] for name in names))
