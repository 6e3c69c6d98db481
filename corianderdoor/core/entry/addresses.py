"""Where a process listens."""

from __future__ import annotations

# IP number and port.
Address = tuple[str, int]
