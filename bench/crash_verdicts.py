"""Measures both errors of the verdicts on requests that crash servers.

A request that crashes each server that runs it comes again and again, beside
streams of other callers; other servers crash for other reasons. Counts the
runs of that request, and the sound requests that are refused. The host has
what all hosts know; nothing waits for a network.
"""

from __future__ import annotations

import pathlib
import random
import sys
from typing import Any, Final

from driver import write_result

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests"))

from entry_builders import build_request, build_route  # noqa: E402

from corianderdoor.core.clock import MS_PER_SECOND  # noqa: E402
from corianderdoor.core.entry.crashing_requests import (  # noqa: E402
    CrashingRequests,
)
from corianderdoor.core.entry.flights import (  # noqa: E402
    AnswerProgress,
    Flight,
)

SERVERS: Final = 5
SECONDS: Final = 600
CRASHING_EVERY_MS: Final = 1_600
# Sends of one request, over the tries of its caller.
MAX_SENDS: Final = 4
# Share of the streams in progress whose answer has not gone on for long, and
# of these, those whose head has arrived.
UNPROVEN_SHARE: Final = 0.1
BEGUN_SHARE: Final = 0.6
STREAMS: Final = (1, 20, 200)
OTHER_CRASHES_PER_S: Final = (0.0, 0.1, 1.0)
CRASHING_BODY: Final = b"crashing"
NAME: Final = "h1"


class Run:
    """One fleet with a crashing request.

    Attributes:
        runs: Runs of the crashing request.
        refused: Sound requests that were refused.
        sound: Sound requests that a crash interrupted.
    """

    def __init__(self, streams: int, crashes_per_s: float, seed: int) -> None:
        self.runs = 0
        self.refused = 0
        self.sound = 0
        self._streams = streams
        self._crashes_per_s = crashes_per_s
        self._rng = random.Random(seed)
        self._crashing = CrashingRequests(NAME)
        self._number = 0

    def play(self) -> None:
        """Plays `SECONDS` of the fleet."""
        for now_ms in range(0, SECONDS * MS_PER_SECOND, 100):
            self._crashing.tick(frozenset(), now_ms)
            if now_ms % CRASHING_EVERY_MS == 0:
                self._send_crashing(now_ms)
            if self._rng.random() < self._crashes_per_s / 10:
                self._crash(None, now_ms)

    def _send_crashing(self, now_ms: int) -> None:
        flight = self._build_flight(CRASHING_BODY)
        if self._crashing.find_refusal(flight, [NAME], now_ms):
            return
        self.runs += 1
        self._crash(flight, now_ms)

    def _build_flight(self, body: bytes) -> Flight:
        self._number += 1
        req = build_request("/once/x", f"r{self._number}", ())
        req.body = body
        return Flight(req, build_route("/once/"), "llm", None, 0, 6_000)

    def _crash(self, cause: Flight | None, now_ms: int) -> None:
        """Crashes a server, with what has just begun there."""
        server = f"s{self._rng.randrange(SERVERS)}-{now_ms}"
        beside = [
            self._build_flight(b"%d" % self._number)
            for _ in range(self._streams)
            if self._rng.random() < UNPROVEN_SHARE
        ]
        for flight in beside:
            if self._rng.random() < BEGUN_SHARE:
                flight.progress = AnswerProgress.BEGUN
            self._crashing.record_interruption(flight, server, now_ms)
        if cause is not None:
            self._crashing.record_interruption(cause, server, now_ms)
        self._crashing.confirm_crash(server, now_ms)
        for flight in beside:
            self._go_on(flight, now_ms)

    def _go_on(self, flight: Flight, now_ms: int) -> None:
        """Sends a sound request again, until it ends well."""
        self.sound += 1
        for _ in range(MAX_SENDS - 1):
            flight.progress = AnswerProgress.NONE
            if self._crashing.find_refusal(flight, [NAME], now_ms):
                self.refused += 1
                return
            # Another crash meets it in its first half second.
            if self._rng.random() >= self._crashes_per_s / SERVERS / 2:
                self._crashing.record_complete_answer(flight.req)
                self._crashing.record_sound_answer(flight, now_ms)
                return
            self._number += 1
            server = f"x{self._number}"
            self._crashing.record_interruption(flight, server, now_ms)
            self._crashing.confirm_crash(server, now_ms)


def main() -> None:
    """Measures all cases and writes the table."""
    rows: list[dict[str, Any]] = []
    for streams in STREAMS:
        for crashes_per_s in OTHER_CRASHES_PER_S:
            run = Run(streams, crashes_per_s, streams)
            run.play()
            rows.append(
                {
                    "streams_at_a_server": streams,
                    "other_crashes_per_s": crashes_per_s,
                    "runs_of_the_crashing_request": run.runs,
                    "sound_interrupted": run.sound,
                    "sound_refused": run.refused,
                }
            )
    write_result("crash_verdicts", rows)


if __name__ == "__main__":
    main()
