"""Streams that an engine stand-in can resume after an interruption."""

from __future__ import annotations

import collections
from typing import Final
import uuid

from starlette.requests import Request

MAX_STREAMS: Final = 256
TOKEN_HEADER: Final = "corianderdoor-resume"
OFFSET_HEADER: Final = "corianderdoor-resume-offset"
REQUEST_ID_HEADER: Final = "x-request-id"


class ResumableStreams:
    """Keeps the latest streams by a token that only their reader knows."""

    __slots__ = ("_streams",)

    def __init__(self) -> None:
        self._streams: collections.OrderedDict[str, tuple[str, bytes]] = (
            collections.OrderedDict()
        )

    def add(self, request_id: str, body: bytes) -> str:
        """Stores the complete body of a stream; returns its token."""
        token = uuid.uuid4().hex
        self._streams[token] = (request_id, body)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
        return token

    def find_rest(self, req: Request) -> bytes | None:
        """Returns the body from the offset in `req` to its end.

        None if the token is unknown or belongs to another request, or the
        offset is missing or beyond the end.
        """
        request_id, body = self._streams.get(
            req.headers.get(TOKEN_HEADER, ""), ("", b"")
        )
        offset = req.headers.get(OFFSET_HEADER, "")
        if (
            request_id != req.headers.get(REQUEST_ID_HEADER)
            or not offset.isdigit()
        ):
            return None
        return body[int(offset) :] if int(offset) <= len(body) else None
