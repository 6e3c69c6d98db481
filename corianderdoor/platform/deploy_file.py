"""The file that tells the platform where each program runs."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any, Final

# Who may call a role from outside.
SERVES: Final = frozenset({"edge", "control_plane", "registry"})
# The one that answers callers where to connect.
DIRECTORY: Final = "registry"
LONGEST_TEMPLATE: Final = 65_536


def find_errors(path: pathlib.Path) -> list[str]:
    """Returns what is wrong with a deploy file; empty if nothing is.

    Paths in the file are taken from the folder above its own, which is the
    root of the repository.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return [f"{path} can't be read: {exc}"]
    except tomllib.TOMLDecodeError as exc:
        return [f"{path} is not valid TOML: {exc}"]
    roles = raw.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [f"{path} names no role"]
    root = path.resolve().parent.parent
    faults = [
        f"{path}: role {name}: {fault}"
        for name, role in roles.items()
        for fault in _check_role(role, root)
    ]
    serves = [x for r in roles.values() for x in _list(r, "serves")]
    if DIRECTORY not in serves:
        faults.append(f"{path}: no role tells callers where to connect")
    return faults


def _list(role: Any, key: str) -> list[Any]:
    value = role.get(key) if isinstance(role, dict) else None
    return value if isinstance(value, list) else []


def _check_role(role: Any, root: pathlib.Path) -> list[str]:
    if not isinstance(role, dict):
        return ["it is no table"]
    faults = [
        f"{key} is missing" for key in ("run", "on") if not role.get(key)
    ]
    unknown = [x for x in _list(role, "serves") if x not in SERVES]
    if unknown:
        faults.append(f"it can't serve {', '.join(map(repr, unknown))}")
    metrics = role.get("metrics")
    if metrics is not None:
        port = str(metrics).partition("/")[0]
        if not (port.isascii() and port.isdigit() and "/" in str(metrics)):
            faults.append(f"metrics {metrics!r} has not the form PORT/PATH")
    template = role.get("template")
    if template is not None:
        faults += _check_template(root / str(template))
    return faults


def _check_template(path: pathlib.Path) -> list[str]:
    try:
        size = path.stat().st_size
    except OSError as exc:
        return [f"its template can't be read: {exc}"]
    if size >= LONGEST_TEMPLATE:
        return [f"its template is longer than {LONGEST_TEMPLATE - 1} bytes"]
    return []
