"""Which share of the requests of each priority and workspace is admitted."""

from __future__ import annotations

from typing import Final

# Counts cover one to two windows.
WINDOW_MS: Final = 4_000


class Share:
    """Requests of one group.

    Attributes:
        offered: Requests that arrived.
        admitted: How many of them were admitted.
    """

    __slots__ = ("offered", "admitted")

    def __init__(self, offered: int = 0, admitted: int = 0) -> None:
        self.offered = offered
        self.admitted = admitted

    def add(self, admitted: bool) -> None:
        """Counts a request."""
        self.offered += 1
        self.admitted += admitted

    def plus(self, other: Share | None) -> Share:
        """Returns the sum of both."""
        if other is None:
            return self
        return Share(
            self.offered + other.offered, self.admitted + other.admitted
        )

    def ratio(self, expected: float = 1.0) -> float:
        """Returns the admitted share.

        Args:
            expected: Share assumed for one more request, so that a group
                with few requests differs little from it.
        """
        return (self.admitted + expected) / (self.offered + 1)


class _Window:
    """Requests of one service in one window."""

    __slots__ = ("total", "priorities", "workspaces")

    def __init__(self) -> None:
        self.total = Share()
        self.priorities: dict[int, Share] = {}
        self.workspaces: dict[int, dict[str, Share]] = {}

    def add(self, priority: int, workspace: str, admitted: bool) -> None:
        """Counts a request."""
        self.total.add(admitted)
        share = self.priorities.get(priority)
        if share is None:
            share = self.priorities[priority] = Share()
            self.workspaces[priority] = {}
        share.add(admitted)
        group = self.workspaces[priority]
        if workspace not in group:
            group[workspace] = Share()
        group[workspace].add(admitted)


class ServedShares:
    """Counts the requests of one service at this host, lately.

    Holds two counters for each workspace that sent requests in the last two
    windows.
    """

    __slots__ = ("_current", "_previous", "_started_ms")

    def __init__(self) -> None:
        self._current = _Window()
        self._previous = _Window()
        self._started_ms = 0

    def add(
        self, priority: int, workspace: str, admitted: bool, now_ms: int
    ) -> None:
        """Counts a request that was admitted or refused."""
        age_ms = now_ms - self._started_ms
        if age_ms >= WINDOW_MS:
            old = self._current if age_ms < 2 * WINDOW_MS else _Window()
            self._previous, self._current = old, _Window()
            self._started_ms = now_ms
        self._current.add(priority, workspace, admitted)

    def total(self) -> Share:
        """Returns all requests."""
        return self._current.total.plus(self._previous.total)

    def of_priority(self, priority: int) -> Share:
        """Returns the requests of a priority."""
        share = self._current.priorities.get(priority, Share())
        return share.plus(self._previous.priorities.get(priority))

    def of_workspace(self, priority: int, workspace: str) -> Share:
        """Returns the requests of a workspace with a priority."""
        share = self._current.workspaces.get(priority, {}).get(workspace)
        previous = self._previous.workspaces.get(priority, {})
        return (share or Share()).plus(previous.get(workspace))

    def count_workspaces(self, priority: int) -> int:
        """Returns the number of workspaces with requests of a priority."""
        current = self._current.workspaces.get(priority, {})
        previous = self._previous.workspaces.get(priority, {})
        return len(current.keys() | previous.keys())
