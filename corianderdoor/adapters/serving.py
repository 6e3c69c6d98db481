"""Serves ASGI applications on bound sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
import socket
from typing import Any

import hypercorn.asyncio
from hypercorn.config import Config

from ..core.connection_guard import ConnectionGuard
from ..core.process_limits import ListenerLimits
from . import hypercorn_guard, hypercorn_h2
from .socket_options import limit_buffer

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

LISTEN_BACKLOG = 1024
KEEP_ALIVE_S = 75


class ServingLimits:
    """What a server may take.

    Attributes:
        listener: Bounds of its connections.
        requests: Bounds the memory of its requests.
    """

    __slots__ = ("listener", "requests")

    def __init__(
        self, listener: ListenerLimits, requests: ConnectionGuard
    ) -> None:
        self.listener = listener
        self.requests = requests


def bind_socket(host: str, port: int) -> socket.socket:
    """Returns a listening TCP socket; port 0 selects any free port.

    Connections wait in the backlog of the socket until it is served.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    limit_buffer(sock)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


async def serve(
    app: App,
    sock: socket.socket,
    stop: Callable[[], Awaitable[None]],
    graceful_s: float,
    limits: ServingLimits | None = None,
) -> None:
    """Serves `app` over HTTP/1.1 and HTTP/2 until `stop` returns.

    Args:
        app: The ASGI application.
        sock: A listening socket; closed at the end.
        stop: Returns when the server has to stop accepting.
        graceful_s: Time limit for requests still in progress then, in s.
        limits: Bounds what the connections take; None for no bound.
    """
    hypercorn_h2.install()
    hypercorn_guard.install()
    cfg = Config()
    cfg.backlog = LISTEN_BACKLOG
    if limits is not None:
        cfg = hypercorn_guard.GuardedConfig(
            limits.listener.guard, limits.requests
        )
        cfg.backlog = limits.listener.backlog
    cfg.bind = [f"fd://{sock.detach()}"]
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    cfg.graceful_timeout = graceful_s
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.include_server_header = False
    await hypercorn.asyncio.serve(
        app, cfg, shutdown_trigger=stop  # type: ignore[arg-type]
    )
