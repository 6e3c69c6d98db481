"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Writes lines with the time since the start in ms."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now_ms(self) -> int:
        """Returns the time since the start."""
        return int((time.monotonic() - self._start) * 1_000)

    def add(self, event: str, **fields: object) -> int:
        """Writes a line and returns its time."""
        now_ms = self.now_ms()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_ms:7d} {event} {text}\n")
        self._file.flush()
        return now_ms

    def say(self, text: str) -> None:
        """Writes a line and prints it."""
        print(text, flush=True)
        self._file.write(f"{self.now_ms():7d} # {text}\n")
        self._file.flush()
