"""Choice of the server from which another one copies cached prompt parts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .cache_map import CacheMap
from .requests import CallerRequest
from .servers import BackendServer

# Size of the smallest part that is worth copying from another server.
MIN_FETCH_TOKENS: Final = 64


def find_cache_source(
    req: CallerRequest,
    server: BackendServer,
    caches: CacheMap,
    find_source: Callable[[str], BackendServer | None],
    is_leaving: Callable[[BackendServer], bool],
    now_ms: int,
) -> BackendServer | None:
    """Returns the server to copy prompt parts from; None for none.

    This is the latest user of the last shared part that another server has
    cached, unless `server` has that part or a later one. A server that
    leaves gives its parts if no other has them.

    Args:
        req: The request.
        server: Server that the request is sent to.
        caches: Prompt parts that the servers have cached.
        find_source: Returns the server with an id if parts can be copied
            from it.
        is_leaving: Returns whether a server announced that it leaves.
        now_ms: Monotonic time in ms.
    """
    for part in reversed(req.shared_parts()):
        holders = caches.holders(part, now_ms)
        if server.id in holders:
            return None
        if part.tokens < MIN_FETCH_TOKENS:
            continue
        latest = sorted(holders, key=holders.__getitem__, reverse=True)
        sources = [s for s in map(find_source, latest) if s is not None]
        if sources:
            return min(sources, key=is_leaving)
    return None
