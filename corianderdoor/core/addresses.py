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
    """An answer to a caller that asks which entry host to use.

    Attributes:
        hosts: Entry hosts, best first.
        valid_ms: How long the caller may keep the answer, in ms.
    """

    __slots__ = ("hosts", "valid_ms")

    def __init__(
        self, hosts: tuple[EntryHost, ...], valid_ms: int = VALID_MS
    ) -> None:
        self.hosts = hosts
        self.valid_ms = valid_ms


def in_service(entries: tuple[EntryHost, ...], cfg: Config) -> list[EntryHost]:
    """Returns the entry hosts that operators have not taken out."""
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
    """Orders the entry hosts in service by the rendezvous of `chat`.

    The same chat gets the same order from every entry host with the same
    view, so that its requests meet in one place. The entry host `home`
    comes first if it is in service: there, the chat's backend server costs
    no message.
    """
    by_name = {entry.name: entry for entry in in_service(entries, cfg)}
    order = rank(chat, by_name)
    order.sort(key=lambda name: name != home)
    names = order[:MAX_HOSTS]
    return AddressAnswer(tuple(by_name[name] for name in names))
