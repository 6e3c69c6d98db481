"""Tunnels: connections that a peer opens to a server and passes on."""

from __future__ import annotations

import anyio
import h11

from ..core.entry.addresses import Address
from .http1 import ConnectionBrokenError, H11Protocol
from .http1_connect import Connect
from .http1_server import ServerConnection

CONNECT_METHOD = b"CONNECT"
OK = 200


async def open_tunnel(
    connect: Connect,
    peer: Address,
    target: Address,
    timeout_ms: int,
    unacked_timeout_ms: int,
) -> H11Protocol | None:
    """Opens a connection to `target` through the peer at `peer`.

    Returns:
        The connection to `target`, which takes no request if the target sent
        bytes before any; None if the peer or the target could not be reached.
    """
    protocol = await connect(peer, timeout_ms, unacked_timeout_ms)
    if protocol is None:
        return None
    passed_on = False
    name = f"{target[0]}:{target[1]}"
    try:
        protocol.write(
            h11.Request(
                method=CONNECT_METHOD, target=name, headers=[("Host", name)]
            )
        )
        protocol.write(h11.EndOfMessage())
        event = await protocol.next_event()
        early = protocol.get_unparsed()
        if isinstance(event, h11.Response) and event.status_code == OK:
            protocol.restart_as_tunnel(peer, len(early))
            passed_on = True
    except ConnectionBrokenError:
        # The peer ended; the caller of this function asks another one.
        return None
    finally:
        if not passed_on:
            protocol.abort()
    return protocol if passed_on else None


async def pass_on(conn: ServerConnection, target: H11Protocol) -> None:
    """Answers that the tunnel is open, then passes bytes both ways.

    Returns when one side has ended. The bytes that the server sent last are
    still delivered; the server loses its connection at once, so that it
    stops its work when the caller has left.
    """
    near = conn.protocol
    ended = anyio.Event()

    def end_at_target() -> None:
        if target.lost and not target.eof:
            near.abort()
        else:
            near.close()
        ended.set()

    def end_at_near() -> None:
        target.abort()
        ended.set()

    try:
        conn.start(OK, [])
        # The rest of them alone could pass for an answer.
        early = target.get_unparsed()
        if early:
            near.write_raw(early)
        near.pass_to(target, end_at_near)
        target.pass_to(near, end_at_target)
        await ended.wait()
    finally:
        target.abort()
