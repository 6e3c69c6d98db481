"""States of one connection to a backend server.

The pages of states and reasons are in docs/design/server_connections.md.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import re
from typing import Final

# A second status line inside a reason or a header's value: what came before
# it is the start of another answer.
SPLICED_STATUS_LINE: Final = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
# Answers to other requests that are skipped before the own one. A server may
# repeat the answers of the last seconds one after the other.
MAX_STRAY_ANSWERS: Final = 16
BAD_REQUEST: Final = 400
# HTTP has no class of statuses above this one (RFC 9110, section 15).
MAX_STATUS: Final = 599


class ExchangeState(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    SENDING = "sending"
    HEAD = "head"
    SKIPPING = "skipping"
    BODY = "body"
    ENDED = "ended"
    UNUSABLE = "unusable"


class HeadVerdict(enum.Enum):
    """Whose answer a head begins.

    Attributes:
        OWN: That to the request that was sent last.
        OTHER: That to another request, or to none.
        UNKNOWN: It can't be told.
    """

    OWN = "own"
    OTHER = "other"
    UNKNOWN = "unknown"


class ServerExchange:
    """Follows the exchanges on one connection.

    Attributes:
        state: What the connection is doing.
        strays: Answers to other requests since the request was sent.
    """

    __slots__ = ("state", "strays", "_is_first", "_own_id", "_framed")

    def __init__(self) -> None:
        self.state = ExchangeState.IDLE
        self.strays = 0
        self._is_first = True
        self._own_id = b""
        self._framed = True

    def begin(self, own_id: bytes, framed: bool, unread: int) -> bool:
        """Begins an exchange.

        Args:
            own_id: Id of the request.
            framed: Whether the length of an answer shows in the answer
                alone, which it does not after HEAD.
            unread: Bytes that arrived before the request.

        Returns:
            Whether the request may be sent.
        """
        if self.state is not ExchangeState.IDLE or unread:
            self.state = ExchangeState.UNUSABLE
            return False
        self.state = ExchangeState.SENDING
        self.strays = 0
        self._own_id = own_id
        self._framed = framed
        return True

    def record_sent(self) -> None:
        """Records that the request is written."""
        if self.state is ExchangeState.SENDING:
            self.state = ExchangeState.HEAD

    def judge_head(
        self, request_id: bytes | None, status: int, refuses: bool
    ) -> HeadVerdict:
        """Tells whose answer a head begins.

        Args:
            request_id: Id in the head; None if it has none.
            status: Status of the answer.
            refuses: Whether it says that the request did not run.
        """
        if self.state is not ExchangeState.HEAD:
            return self._give_up()
        if request_id == self._own_id:
            self.state = ExchangeState.BODY
            return HeadVerdict.OWN
        if request_id is None and refuses and status != BAD_REQUEST:
            # Whether the server turned this request away shows only where
            # no other answer can have been left over. Otherwise the own one
            # may follow.
            if self._is_first and not self.strays:
                self.state = ExchangeState.BODY
                return HeadVerdict.OWN
        if not self._framed or self.strays >= MAX_STRAY_ANSWERS:
            return self._give_up()
        self.strays += 1
        self.state = ExchangeState.SKIPPING
        return HeadVerdict.OTHER

    def record_end(self) -> None:
        """Records the end of an answer."""
        if self.state is ExchangeState.SKIPPING:
            self.state = ExchangeState.HEAD
        elif self.state is ExchangeState.BODY:
            self.state = ExchangeState.ENDED

    def release(self) -> bool:
        """Returns whether the connection can take another request."""
        if self.state is not ExchangeState.ENDED:
            self.state = ExchangeState.UNUSABLE
            return False
        self.state = ExchangeState.IDLE
        self._is_first = False
        return True

    def record_unusable(self) -> None:
        """Records bytes of which it can't be told whose they are."""
        self.state = ExchangeState.UNUSABLE

    def _give_up(self) -> HeadVerdict:
        self.state = ExchangeState.UNUSABLE
        return HeadVerdict.UNKNOWN


def is_spliced(reason: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Returns whether a head holds the status line of another one.

    A parser takes the cut start of one answer and the whole of the next as
    a single head with a long reason, or a long value of a header.
    """
    # `find` takes half as long as `in`.
    if reason.find(b"HTTP/") >= 0:
        return True
    values = b"\n".join([value for _, value in headers])
    return values.find(b"HTTP/") >= 0 and bool(
        SPLICED_STATUS_LINE.search(values)
    )
