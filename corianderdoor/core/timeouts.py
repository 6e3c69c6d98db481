"""How long a connection may be silent, from the stated targets."""

from __future__ import annotations

from typing import Final

FIRST_TOKEN_TARGET_MS: Final = 640
BETWEEN_TOKENS_TARGET_MS: Final = 29
SILENCE_TARGETS: Final = 15

# A stream that pauses may stand behind another request's prompt, as if it
# waited for a first token; 15 times that target is no slowness any more.
SILENCE_MS: Final = SILENCE_TARGETS * FIRST_TOKEN_TARGET_MS


def choose_silence_ms(may_rerun: bool, left_ms: int) -> int:
    """Returns the longest time in which nothing may come.

    Args:
        may_rerun: Whether another attempt could follow. Without one, an
            early end would only make an unknown outcome of a late answer.
        left_ms: Time left until the deadline.
    """
    return min(SILENCE_MS, left_ms) if may_rerun else left_ms
