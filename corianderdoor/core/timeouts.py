"""Timeout for servers that send no data, from the latency targets."""

from __future__ import annotations

from typing import Final

FIRST_TOKEN_TARGET_MS: Final = 640
BETWEEN_TOKENS_TARGET_MS: Final = 29
SILENCE_FACTOR: Final = 15

# A stream may pause while the server processes another request's prompt, as
# if it waited for a first token. A pause of 15 times that target is a failure
# rather than slowness.
SILENCE_MS: Final = SILENCE_FACTOR * FIRST_TOKEN_TARGET_MS


def choose_silence_ms(may_rerun: bool, left_ms: int) -> int:
    """Returns the timeout for a server that sends no data, in ms.

    Args:
        may_rerun: Whether another attempt could follow. If not, an early
            timeout would only turn a late answer into an unknown outcome.
        left_ms: Time left until the deadline, in ms.
    """
    return min(SILENCE_MS, left_ms) if may_rerun else left_ms
