"""Streams that an engine stand-in goes on with after a cut."""

from __future__ import annotations

import collections
from typing import Final
import uuid

from starlette.requests import Request

MAX_STREAMS: Final = 256
TOKEN: Final = "corianderdoor-resume"
OFFSET: Final = "corianderdoor-resume-offset"
REQUEST_ID: Final = "x-request-id"


class ResumableStreams:
    """Remembers the last streams by a token that only their reader has."""

    __slots__ = ("_streams",)

    def __init__(self) -> None:
        self._streams: collections.OrderedDict[str, tuple[str, bytes]] = (
            collections.OrderedDict()
        )

    def add(self, request_id: str, whole: bytes) -> str:
        """Keeps what a stream will hold; returns its token."""
        token = uuid.uuid4().hex
        self._streams[token] = (request_id, whole)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
        return token

    def find_rest(self, req: Request) -> bytes | None:
        """Returns what follows the byte that `req` names.

        None if there is no such stream, it belongs to another request, or
        it has no such byte.
        """
        request_id, whole = self._streams.get(
            req.headers.get(TOKEN, ""), ("", b"")
        )
        offset = req.headers.get(OFFSET, "")
        if request_id != req.headers.get(REQUEST_ID) or not offset.isdigit():
            return None
        return whole[int(offset) :] if int(offset) <= len(whole) else None
