"""Codec of the notices about configuration revisions."""

from __future__ import annotations

from ..core.config_sync import ConfigNotice
from .peer_codec import Builder, decodes, encode_body, Reader


@encode_body.register
def _(body: ConfigNotice, out: Builder) -> None:
    part = out.init("configNotice")
    part.revision = body.revision
    part.ask = body.ask


@decodes("configNotice")
def _read_config_notice(raw: Reader) -> ConfigNotice:
    return ConfigNotice(raw.revision, raw.ask)
