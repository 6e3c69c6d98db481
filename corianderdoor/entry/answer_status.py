"""Tells by its head whether a complete answer may go to the caller."""

from __future__ import annotations

from typing import Final

from ..core.entry.flights import Ending
from ..platform.answer_head import AnswerHead

# To the caller these promise that the request did not run.
PROMISING_STATUSES: Final = frozenset({408, 421, 429, 503})
SUCCESS_STATUSES: Final = range(200, 300)


def find_failure(head: AnswerHead, repeatable: bool) -> Ending | None:
    """Returns why an answer can't be passed on as it is.

    Args:
        head: Head of a complete answer to the request.
        repeatable: Whether the request may run more than once.
    """
    if head.wrong_server:
        return Ending.WRONG_SERVER
    if head.not_run:
        return Ending.NOT_RUN
    if head.status in SUCCESS_STATUSES:
        if not head.signed or head.encoded:
            return Ending.INVALID_ANSWER
    elif head.status in PROMISING_STATUSES:
        # A signature shows that the request ran.
        if not (head.signed and repeatable):
            return Ending.SERVER_ERROR
    return None
