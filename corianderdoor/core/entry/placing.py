"""Orders in which the servers of a service are chosen."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import math
from typing import Final

import xxhash

from .requests import CallerRequest
from .servers import BackendServer

# Number of servers among which the chats with the same first part are
# spread: with fewer servers the part is prefilled less often, with more the
# load is balanced better.
SPREAD: Final = 3
# Number of steps from idle to full in which the loads of servers are compared
# for a request without a prompt.
LOAD_STEPS: Final = 3
# Loads above which a server gets no new chats, and no requests at all, as a
# multiple of the mean load and a constant. The second one is just inside
# the platform's bound, as the known loads are out of date.
NEW_CHAT_BOUND: Final = (1.4, 1.5)
FULL_BOUND: Final = (1.8, 2.5)
# Load above which a server holds too much by the platform's bound.
HIGHEST_BOUND: Final = (2.0, 3.0)
# Time to prefill a server's backlog above which it gets no new chats, as a
# multiple of the longest pause that its streams may make: prefill delays the
# events of all streams of a server.
NEW_CHAT_MAX_GAPS: Final = 0.5
# The same for a chat that the server has cached: with a gap of 400 ms, about
# the time to prefill the longest of those prompts at another server.
CACHED_CHAT_MAX_GAPS: Final = 1.25
# Bounds on backlogs are rounded to this number of tokens. A learnt rate
# varies by some percent, and bounds that follow it would move chats.
BACKLOG_STEP: Final = 500
MAX_SCORE: Final = 2**64


def max_backlog(gaps: float, gap_ms: float, rate: float) -> int:
    """Returns a bound on the prompt tokens to prefill at a server.

    Args:
        gaps: The bound as a multiple of `gap_ms`.
        gap_ms: Longest pause between two events of a stream.
        rate: Prefill rate in tokens per ms.
    """
    steps = round(gaps * gap_ms * rate / BACKLOG_STEP)
    return max(1, steps) * BACKLOG_STEP


def _score(key: str, server: BackendServer) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{server.id}".encode())


def rank_by_chat(
    req: CallerRequest, servers: Sequence[BackendServer]
) -> list[BackendServer]:
    """Returns `servers` by rendezvous hashing of the chat, best first."""
    return sorted(servers, key=lambda s: _score(req.session() or req.id, s))


def rank_by_prompt(
    req: CallerRequest, servers: Sequence[BackendServer]
) -> list[BackendServer]:
    """Returns `servers` by rendezvous hashing of the prompt, best first.

    All hosts compute the same order without communication. Chats that begin
    with the same part have the same first `SPREAD` servers, in an order of
    each chat, so that few servers prefill that part. The others follow in an
    order of each chat too: when the first ones are busy, hosts that have not
    received each other's choices yet would all take the same next one.
    """
    shared = req.shared_parts()
    first = shared[0].id if shared else req.id
    session = shared[-1].id if shared else req.id
    by_first = sorted(servers, key=lambda server: _score(first, server))
    near, others = by_first[:SPREAD], by_first[SPREAD:]
    for part in (near, others):
        part.sort(key=lambda server: _score(session, server))
    return near + others


def rank_by_load(
    servers: Sequence[BackendServer],
    load_of: Callable[[str], int],
    is_connected: Callable[[str], bool],
    host: str,
    data_centre: str,
) -> list[BackendServer]:
    """Returns `servers` by load per slot, lowest first.

    Ties are broken by a recently used connection, then by the same data
    centre, then by an order specific to this host, so that each host uses
    few connections steadily and the hosts spread over the servers.

    Args:
        servers: Servers to sort.
        load_of: Returns the number of in-flight requests at a server.
        is_connected: Returns whether a connection to a server was used
            recently.
        host: Name of this host.
        data_centre: Data centre of this host.
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


def rank_by_weight(
    req: CallerRequest,
    servers: Sequence[BackendServer],
    load_of: Callable[[str], int],
    unseen: float,
) -> list[BackendServer]:
    """Returns `servers` by weighted rendezvous hashing of the request.

    It is for services that finish many requests between two heartbeats.
    Hosts with the same old loads spread over all servers, and send more to
    those with less to do, without any of them becoming the choice of all.

    Args:
        req: The request.
        servers: Servers to sort.
        load_of: Returns the number of in-flight requests at a server.
        unseen: Requests that a server gets before this host learns of them.
    """

    def get_cost(server: BackendServer) -> float:
        point = (_score(req.id, server) + 1) / (MAX_SCORE + 1)
        weight = max(1, server.slots) / (unseen / 2 + load_of(server.id))
        return -math.log(point) / weight

    return sorted(servers, key=get_cost)


def measure_room(
    servers: Sequence[BackendServer],
    listed: Sequence[BackendServer],
    load_of: Callable[[str], int],
    bound: tuple[float, float],
) -> dict[str, float]:
    """Returns how many more requests fit at each server below `bound`.

    Args:
        servers: Servers to choose from.
        listed: All servers of their service, over which the mean is taken;
            those that get no requests at present lower it.
        load_of: Returns the number of in-flight requests at a server.
        bound: Highest load, as a multiple of the mean and a constant; an
            only server has none.
    """
    if len(servers) < 2:
        return {server.id: math.inf for server in servers}
    factor, slack = bound
    total = sum(load_of(server.id) for server in listed)
    most = factor * total / len(listed) + slack
    return {server.id: most - load_of(server.id) for server in servers}


def put_idle_first(
    servers: Sequence[BackendServer],
    unread_of: Callable[[str], int],
    most: int,
) -> list[BackendServer]:
    """Returns `servers` with those first that have few tokens to prefill.

    Servers up to `most` tokens keep their order; the others follow by the
    number of tokens.

    Args:
        servers: Servers to sort.
        unread_of: Returns the prompt tokens to prefill at a server.
        most: Number of tokens above which a server gets no new chats.
    """
    unread = {server.id: unread_of(server.id) for server in servers}
    return sorted(
        servers,
        key=lambda server: (
            0 if unread[server.id] <= most else unread[server.id]
        ),
    )
