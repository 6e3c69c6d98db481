"""Checks deploy files, which tell the platform where each program runs."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any, Final

# Values of a role's `serves`: who may call the role from outside.
SERVES_VALUES: Final = frozenset({"edge", "control_plane", "registry"})
# Served by the role that tells callers which hosts to connect to.
REGISTRY: Final = "registry"
# Templates must be smaller than this.
TEMPLATE_LIMIT_BYTES: Final = 65_536


def find_errors(path: pathlib.Path) -> list[str]:
    """Returns the errors in a deploy file; empty if there are none.

    Paths in the file are relative to the parent of the file's directory,
    which is the root of the repository.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return [f"{path} can't be read: {exc}"]
    except tomllib.TOMLDecodeError as exc:
        return [f"{path} is not valid TOML: {exc}"]
    roles = raw.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [f"{path} defines no roles"]
    root = path.resolve().parent.parent
    errors = [
        f"{path}: role {name}: {error}"
        for name, role in roles.items()
        for error in _check_role(role, root)
    ]
    serves = [
        group for role in roles.values() for group in _get_list(role, "serves")
    ]
    if REGISTRY not in serves:
        errors.append(
            f"{path}: no role serves the registry, so callers find no host"
        )
    return errors


def _get_list(role: Any, key: str) -> list[Any]:
    value = role.get(key) if isinstance(role, dict) else None
    return value if isinstance(value, list) else []


def _check_role(role: Any, root: pathlib.Path) -> list[str]:
    if not isinstance(role, dict):
        return ["not a table"]
    errors = [
        f"{key} is missing" for key in ("run", "on") if not role.get(key)
    ]
    unknown = [
        group
        for group in _get_list(role, "serves")
        if group not in SERVES_VALUES
    ]
    if unknown:
        errors.append(
            f"unknown value in serves: {', '.join(map(repr, unknown))}"
        )
    metrics = role.get("metrics")
    if metrics is not None:
        port = str(metrics).partition("/")[0]
        if not (port.isascii() and port.isdigit() and "/" in str(metrics)):
            errors.append(f"metrics {metrics!r} is not of the form PORT/PATH")
    template = role.get("template")
    if template is not None:
        errors += _check_template(root / str(template))
    return errors


def _check_template(path: pathlib.Path) -> list[str]:
    try:
        size = path.stat().st_size
    except OSError as exc:
        return [f"template can't be read: {exc}"]
    if size >= TEMPLATE_LIMIT_BYTES:
        return [f"template is longer than {TEMPLATE_LIMIT_BYTES - 1} bytes"]
    return []
