"""Orders in which the servers of a service are considered."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import xxhash

from .requests import CallerRequest
from .servers import BackendServer

# Servers among which the chats of one common first part are spread; fewer
# read that part less often, more balance better.
SPREAD: Final = 3
# Steps of load, from idle to full, that tell servers without a cache apart.
LOAD_STEPS: Final = 3
# Load over which a server gets no new chat, and over which it gets nothing,
# as a multiple of the mean and a constant. The second is just inside the
# platform's bound, as views of the load are late.
NEW_CHAT_BOUND: Final = (1.4, 1.5)
FULL_BOUND: Final = (1.8, 2.5)
# Tokens still to be read over which a server gets no new chat: 0.2 s at the
# 32 tokens a millisecond of the platform's pages.
NEW_CHAT_BACKLOG: Final = 6_500
# The same for a chat whose prompt the server keeps: 0.5 s, about what
# reading the longest prompts there takes elsewhere.
HOLDER_BACKLOG: Final = 16_000


def _score(key: str, server: BackendServer) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{server.id}".encode())


def rank_by_prompt(
    req: CallerRequest, servers: Sequence[BackendServer]
) -> list[BackendServer]:
    """Returns `servers` in the order in which they suit the prompt.

    All hosts compute the same order without talking. Chats that begin with
    the same part share the first `SPREAD` servers of that part, so that
    few servers read it.
    """
    shared = req.shared_parts()
    first = shared[0].id if shared else req.id
    session = shared[-1].id if shared else req.id
    by_first = sorted(servers, key=lambda server: _score(first, server))
    near = by_first[:SPREAD]
    near.sort(key=lambda server: _score(session, server))
    return near + by_first[SPREAD:]


def rank_by_load(
    servers: Sequence[BackendServer],
    load_of: Callable[[str], int],
    is_connected: Callable[[str], bool],
    host: str,
    data_centre: str,
) -> list[BackendServer]:
    """Returns `servers` by load for each slot.

    On a tie come those first to which a connection was in use of late, then
    near ones, then an order of this host's own, so that each host keeps few
    connections in steady use and the hosts spread over the servers.
    """
    return sorted(
        servers,
        key=lambda server: (
            load_of(server.id) // max(1, server.slots // LOAD_STEPS),
            not is_connected(server.id),
            server.data_centre != data_centre,
            _score(host, server),
        ),
    )


def under_bound(
    servers: Sequence[BackendServer],
    listed: Sequence[BackendServer],
    load_of: Callable[[str], int],
    bound: tuple[float, float],
) -> list[BackendServer]:
    """Returns the servers that may take one request more.

    Args:
        servers: Servers to choose from.
        listed: All servers of their service, over which the mean is taken:
            those that get nothing now lower it.
        load_of: Tells the requests in progress at a server.
        bound: Highest load, as a multiple of the mean and a constant.
    """
    if len(servers) < 2:
        return list(servers)
    factor, slack = bound
    total = sum(load_of(server.id) for server in listed)
    most = factor * total / len(listed) + slack
    return [s for s in servers if load_of(s.id) + 1 <= most]


def put_idle_first(
    servers: Sequence[BackendServer], unread_of: Callable[[str], int]
) -> list[BackendServer]:
    """Returns `servers` with those first that have little to read.

    The order stays among those; the others follow by what they have to
    read.
    """
    unread = {server.id: unread_of(server.id) for server in servers}
    return sorted(
        servers,
        key=lambda server: (
            0 if unread[server.id] <= NEW_CHAT_BACKLOG else unread[server.id]
        ),
    )
