"""Drops what is known of a server's process once that process has ended.

A server may start again under its id, with nothing of what it held before.
The table of all that is kept is in docs/design/server_facts.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .server_selection import ServerSelection


def drop_at_ends(selection: ServerSelection) -> None:
    """Lets the list of servers drop the facts of processes that have ended.

    Servers that leave are kept by incarnation, and counts of this host's own
    requests end with them.
    """
    servers, pauses = selection.servers, selection.pauses
    servers.on_ended += [
        selection.caches.remove,
        selection.ejections.remove,
        selection.limits.remove,
        selection.rooms.begin_process,
        selection.waiting.remove,
        lambda server_id: pauses.begin_process(servers.get(server_id)),
    ]
