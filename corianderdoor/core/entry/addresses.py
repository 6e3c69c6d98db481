"""Network addresses."""

from __future__ import annotations

# IP address and port.
Address = tuple[str, int]
