"""Options of TCP connections."""

from __future__ import annotations

import socket
from typing import Final

from ..core.entry.addresses import Address

# TCP keep-alive detects a dead network path within seconds: after the last
# probe, or after the timeout for unacknowledged bytes where one is set.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3

# Received bytes that the operating system holds for an accepted connection.
# By default they grow to megabytes while this process does not read. What it
# holds to send is not limited: that outlasts the process.
RECEIVE_BUFFER_BYTES: Final = 65_536


def bind_listener(address: Address) -> socket.socket:
    """Returns a bound socket whose connections have a small buffer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    limit_buffer(sock)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def limit_buffer(sock: socket.socket) -> None:
    """Limits the received bytes of the connections that `sock` accepts."""
    size = RECEIVE_BUFFER_BYTES
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def set_options(sock: socket.socket, unacked_timeout_ms: int) -> None:
    """Sets the options of a new connection.

    Args:
        sock: Its socket.
        unacked_timeout_ms: How long sent bytes may stay unacknowledged
            before the connection counts as lost (TCP_USER_TIMEOUT); 0 keeps
            the system's default.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    if unacked_timeout_ms:
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacked_timeout_ms)
