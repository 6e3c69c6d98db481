"""How long a queue each priority of a service may meet."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ..records import Record
from .routing import Route

# Longest queue for the most urgent requests, as a share of their target
# latency and of their timeout: the rest is for their own prompt, and for
# queues that are longer than known.
TARGET_SHARE: Final = 0.5
TIMEOUT_SHARE: Final = 0.5
# Least width of the range, as a share of the queue at which it starts; with a
# short target there would be none, and priorities would not differ.
MIN_RANGE: Final = 0.5


class Band(Record):
    """Queues at which requests are refused.

    Attributes:
        none_ms: Longest queue at which none is refused.
        all_ms: Shortest queue at which all are refused.
    """

    __slots__ = ("none_ms", "all_ms")

    def __init__(self, none_ms: float, all_ms: float) -> None:
        self.none_ms = none_ms
        self.all_ms = all_ms

    def refused_share(self, queue_ms: float) -> float:
        """Returns the share of requests to refuse at a queue.

        It grows steadily, because hosts that learn of a queue late would all
        refuse, and then all send, if it had a step.
        """
        if queue_ms <= self.none_ms:
            return 0.0
        if queue_ms >= self.all_ms:
            return 1.0
        return (queue_ms - self.none_ms) / (self.all_ms - self.none_ms)

    def lowered(self, bound_ms: float) -> Band:
        """Returns a band halfway to `bound_ms`."""
        return Band(
            (self.none_ms + bound_ms) / 2,
            (self.none_ms + self.all_ms) / 2,
        )


def compute_band(
    priority: int,
    priorities: tuple[int, ...],
    routes: Iterable[Route],
    bound_ms: float,
) -> Band:
    """Returns the band of a priority.

    The range from `bound_ms` to the longest queue is divided evenly among
    the priorities, the most urgent on top. A surge of a less urgent kind
    stays below the queues that a more urgent one may meet.

    Args:
        priority: The priority, 0 is the highest.
        priorities: Priorities in use, in order, `priority` among them.
        routes: Routes that count for `priority`.
        bound_ms: Queue up to which no request is refused.
    """
    top_ms = min(
        min(
            TARGET_SHARE * route.target_latency_ms,
            TIMEOUT_SHARE * route.timeout_ms,
        )
        for route in routes
    )
    range_ms = max(MIN_RANGE * bound_ms, top_ms - bound_ms)
    step_ms = range_ms / len(priorities)
    below = len(priorities) - 1 - priorities.index(priority)
    return Band(bound_ms + step_ms * below, bound_ms + step_ms * (below + 1))
