"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from typing import Any

from loguru import logger

NEEDS_QUOTES = frozenset(' "=')


def format_pairs(pairs: dict[str, Any]) -> str:
    """Returns `pairs` as key=value text, quoted where needed."""
    return " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())


def _quote(value: Any) -> str:
    text = str(value)
    if text.isprintable() and text and not NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{"".join(map(_escape, escaped))}"'


def _escape(char: str) -> str:
    """Returns `char` so that it neither ends a line nor moves a cursor."""
    if char.isprintable():
        return char
    return char.encode("unicode_escape").decode("ascii")


def set_up_logs(daemon: str, name: str, level: str = "INFO") -> None:
    """Sends every event as one line to standard error.

    Args:
        daemon: Kind of the daemon, such as "router".
        name: Name of this host.
        level: Lowest level that is written.
    """
    logger.remove()
    logger.configure(extra={"daemon": daemon, "host": name})
    logger.add(
        sys.stderr,
        level=level,
        format=(
            "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} "
            "daemon={extra[daemon]} host={extra[host]} {message}"
        ),
        backtrace=False,
        diagnose=False,
    )


def log_event(event: str, /, level: str = "INFO", **pairs: Any) -> None:
    """Writes one event.

    Args:
        event: Stable name of the event, listed in docs/LOGS.md.
        level: Level of the line.
        **pairs: What is known about it; never a body or a key in clear.
    """
    logger.log(level, "{}", format_pairs({"event": event, **pairs}))
