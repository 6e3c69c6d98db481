"""The commands `history` and `diff` on the stored configuration."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
import difflib
import json
from typing import Final

from expression import Result

from ..adapters.store_http import HttpStore
from ..core.config import Config
from .changes import read_config
from .config_commands import (
    existing_file,
    EXIT_DONE,
    EXIT_REFUSED,
    read_rules,
    report_fault,
)

EXIT_DIFFERS: Final = 1


def add_history_parsers(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds these commands to `corianderdoorctl`."""
    history = commands.add_parser(
        "history", help="the latest changes, newest first"
    )
    history.add_argument("--json", action="store_true", help="for programs")
    diff = commands.add_parser(
        "diff",
        help="what a rules file would change; exit code 1 if anything",
    )
    diff.add_argument("rules", type=existing_file)
    for parser in (history, diff):
        parser.add_argument(
            "--store", required=True, help="key-value service URL"
        )


async def run_history(args: argparse.Namespace) -> int:
    """Runs the command in `args`; returns the exit code."""
    store = HttpStore(args.store)
    try:
        found = await read_config(store)
    finally:
        await store.close()
    match found:
        case Result(tag="ok", ok=cfg):
            return (
                _diff(cfg, args)
                if args.command == "diff"
                else _list(cfg, args.json)
            )
        case Result(error=fault):
            return report_fault(fault, "")


def list_changes(cfg: Config) -> Iterator[tuple[str, str]]:
    """Yields (change id, author), the change in force first."""
    if not cfg.revision:
        return
    yield cfg.change_id, cfg.author
    for line in cfg.history:
        change_id, _, author = line.partition(" ")
        yield change_id, author


def _list(cfg: Config, as_json: bool) -> int:
    rows = list(list_changes(cfg))
    if as_json:
        listed = [{"change": row[0], "author": row[1]} for row in rows]
        print(json.dumps({"revision": cfg.revision, "changes": listed}))
        return EXIT_DONE
    print(f"revision {cfg.revision}")
    for number, (change_id, author) in enumerate(rows):
        mark = "in force" if number == 0 else ""
        print(f"{change_id:34}{author:24}{mark}".rstrip())
    return EXIT_DONE


def _diff(cfg: Config, args: argparse.Namespace) -> int:
    parsed = read_rules(args.rules)
    if parsed is None:
        return EXIT_REFUSED
    lines = difflib.unified_diff(
        cfg.rules_text.splitlines(),
        parsed[0].splitlines(),
        f"in force, revision {cfg.revision}",
        str(args.rules),
        lineterm="",
    )
    changed = list(lines)
    print("\n".join(changed) if changed else "no difference")
    return EXIT_DIFFERS if changed else EXIT_DONE
