"""What holds for every pattern of more work than the servers can do."""

from __future__ import annotations

from typing import Any

from bench.overload import measure

# A less urgent kind may be served at most 5 in 100 more often; a group that is
# served under a quarter as often as all starves.
MAX_INVERSION = 0.05
STARVING_SHARE = 0.25
# Requests in time as a multiple of those of a host that refuses nothing.
LEAST_GAIN = 1.5


def check_pattern(pattern: str) -> dict[str, Any]:
    """Checks the shares of requests served in time, and returns them."""
    shares = measure(pattern, "this", 3)
    usual = measure(pattern, "no-refusals", 3)
    assert shares["all"] >= LEAST_GAIN * usual["all"], (shares, usual)
    kinds = [shares[name] for name in ("p0", "p1", "p2")]
    for urgent, lesser in zip(kinds, kinds[1:]):
        assert lesser <= urgent + MAX_INVERSION, shares
    groups = (*kinds, shares["p1_w0"], shares["worst_workspace"])
    assert min(groups) >= STARVING_SHARE * shares["all"], shares
    return shares
