"""Reads and validates JSON settings files."""

from __future__ import annotations

import pathlib
from typing import TypeVar

from expression import Error, Ok, Result
import msgspec

from ..core.errors import Fault, Kind

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


class Settings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base class of all settings; rejects unknown keys."""


def load_settings(
    path: pathlib.Path, kind: type[SettingsT]
) -> Result[SettingsT, Fault]:
    """Reads the settings at `path` and validates them against `kind`.

    Returns:
        The settings, or a `Kind.BAD_CONFIG` fault that names the field.
    """
    try:
        raw = path.read_bytes()
    except OSError as exc:
        detail = f"{path}: {exc.strerror}"
        return Error(Fault(Kind.BAD_CONFIG, "read-settings", detail))
    try:
        return Ok(msgspec.json.decode(raw, type=kind))
    except msgspec.MsgspecError as exc:
        detail = f"{path}: {exc}"
        return Error(Fault(Kind.BAD_CONFIG, "check-settings", detail))
