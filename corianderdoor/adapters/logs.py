"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import os
import select
import sys
from typing import Any, Final

from loguru import logger

from ..core.clock import Clock, MS_PER_SECOND

NEEDS_QUOTES = frozenset(' "=')
# Lines that one host writes in a second at most.
MAX_LINES_PER_S: Final = 400
# Bytes that a pipe takes at once if it takes any (POSIX PIPE_BUF on Linux).
PIPE_BUF_BYTES: Final = 4_096


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


class BoundedOutput:
    """Writes lines to a file descriptor without ever waiting for it.

    At most `LINES_PER_S` lines a second are written, and none while the
    reader is behind; a line then says how many were left out.
    """

    __slots__ = ("_fd", "_clock", "_poll", "_second", "_quota", "_dropped")

    def __init__(self, fd: int, clock: Clock) -> None:
        self._fd = fd
        self._clock = clock
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._second = -1
        self._quota = 0
        self._dropped = 0

    def write(self, line: str) -> None:
        """Writes `line`, or counts it as left out."""
        second = self._clock.now_ms() // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._quota = MAX_LINES_PER_S
        if self._quota <= 0 or not self._ready():
            self._dropped += 1
            return
        self._quota -= 1
        if self._dropped:
            line = f"{format_lines_left_out(self._dropped)}\n{line}"
            self._dropped = 0
        try:
            os.write(self._fd, line.encode()[:PIPE_BUF_BYTES])
        except OSError:
            self._dropped += 1  # there is no other place to say so

    def _ready(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))


def format_lines_left_out(count: int) -> str:
    """Returns the line that tells of `count` lines that were left out."""
    return format_pairs({"event": "lines_left_out", "count": count})


def set_up_entry_logs(name: str, level: str, clock: Clock) -> None:
    """Sends every event as one line to standard output, bounded.

    Args:
        name: Name of this host.
        level: Lowest level that is written.
        clock: Times the bound.
    """
    logger.remove()
    logger.configure(extra={"daemon": "entry", "host": name})
    output = BoundedOutput(sys.stdout.fileno(), clock)
    logger.add(
        output.write,
        level=level,
        format=(
            "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} "
            "host={extra[host]} {message}"
        ),
        backtrace=False,
        diagnose=False,
        catch=False,
    )


def log_event(event: str, /, level: str = "INFO", **pairs: Any) -> None:
    """Writes one event.

    Args:
        event: Stable name of the event, listed in docs/LOGS.md.
        level: Level of the line.
        **pairs: What is known about it; never a body or a key in clear.
    """
    logger.log(level, "{}", format_pairs({"event": event, **pairs}))
