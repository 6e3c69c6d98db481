"""Ways in which a new version of a worker's software can be bad."""

from __future__ import annotations

from typing import Final

FAILS: Final = "fails"
SLOW: Final = "slow"
LATER: Final = "later"
UNDER_LOAD: Final = "load"
ONE_ROUTE: Final = "route"
KINDS: Final = (FAILS, SLOW, LATER, UNDER_LOAD, ONE_ROUTE)


class BadVersion:
    """Decides which requests a worker of a bad version serves badly.

    Attributes:
        kind: `FAILS` (answers with 500), `SLOW` (takes `slow_factor` times
            as long), `LATER` (fails from its `after`th request on),
            `UNDER_LOAD` (fails while at least `busy` requests are in
            progress), `ONE_ROUTE` (fails on paths that begin with `path`).
        share: Share of the affected requests that are served badly.
        slow_factor: See `SLOW`.
        after: See `LATER`.
        busy: See `UNDER_LOAD`.
        path: See `ONE_ROUTE`.
        bad_answers: Number of requests served badly.
    """

    __slots__ = (
        "kind",
        "share",
        "slow_factor",
        "after",
        "busy",
        "path",
        "bad_answers",
        "_requests",
        "_affected",
    )

    def __init__(
        self,
        kind: str,
        share: float = 0.3,
        slow_factor: float = 5.0,
        after: int = 20,
        busy: int = 3,
        path: str = "/read/",
    ) -> None:
        if kind not in KINDS:
            raise ValueError(f"unknown kind of bad version: {kind}")
        self.kind = kind
        self.share = share
        self.slow_factor = slow_factor
        self.after = after
        self.busy = busy
        self.path = path
        self.bad_answers = 0
        self._requests = 0
        self._affected = 0

    def affects(self, path: str, active: int) -> bool:
        """Counts a request; returns whether it is served badly.

        The share is kept exactly, without chance, so that runs can be
        repeated.

        Args:
            path: Path of the request.
            active: Requests in progress, this one included.
        """
        self._requests += 1
        if self.kind == LATER and self._requests <= self.after:
            return False
        if self.kind == UNDER_LOAD and active < self.busy:
            return False
        if self.kind == ONE_ROUTE and not path.startswith(self.path):
            return False
        self._affected += 1
        due = int(self._affected * self.share)
        bad = due > int((self._affected - 1) * self.share)
        self.bad_answers += bad
        return bad
