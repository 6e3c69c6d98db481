"""The operators' tool: `corianderdoorctl`."""

from __future__ import annotations

import argparse
import getpass
import pathlib
import sys
from typing import Final
import uuid

import anyio
from expression import Result

from .. import VERSION
from ..adapters.store_http import HttpStore
from ..core.config import (
    Config,
    CONFIG_KEY,
    decode_config,
    EMPTY_CONFIG,
    encode_config,
)
from ..core.errors import Fault, Outcome
from ..core.rules import parse_rules, RuleSet
from ..ports.store import Store
from .orders import add_orders_parser, run_orders

EXIT_DONE: Final = 0
EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNKNOWN: Final = 3


def _read_rules(path: pathlib.Path) -> tuple[str, RuleSet] | None:
    """Reads a rules file; prints its errors and returns None if any."""
    text = path.read_text(encoding="utf-8")
    match parse_rules(text):
        case Result(tag="ok", ok=rules):
            return text, rules
        case Result(error=errors):
            for error in errors:
                print(f"{path}: {error}", file=sys.stderr)
            return None


def _check(args: argparse.Namespace) -> int:
    parsed = _read_rules(args.rules)
    if parsed is None:
        return EXIT_REFUSED
    print(f"{args.rules}: {len(parsed[1].rules)} rules, OK")
    return EXIT_DONE


async def _read_config(store: Store) -> Result[Config, Fault]:
    found = await store.read(CONFIG_KEY)
    return found.bind(
        lambda versioned: (
            decode_config(versioned.value, versioned.version)
            if versioned
            else Result.Ok(EMPTY_CONFIG)
        )
    )


async def _apply(args: argparse.Namespace) -> int:
    parsed = _read_rules(args.rules)
    if parsed is None:
        return EXIT_REFUSED
    store = HttpStore(args.store)
    match await _read_config(store):
        case Result(tag="ok", ok=old):
            pass
        case Result(error=fault):
            return _report_fault(fault)
    new = Config(
        old.revision,
        uuid.uuid4().hex,
        args.author,
        parsed[0],
        parsed[1],
        old.drained_centres,
        old.drained_hosts,
    )
    written = await store.write(CONFIG_KEY, encode_config(new), old.revision)
    match written:
        case Result(tag="ok", ok=revision):
            print(f"applied as revision {revision}")
            return EXIT_DONE
        case Result(error=fault):
            return _report_fault(fault)


def _report_fault(fault: Fault) -> int:
    print(f"{fault.step}: {fault.detail} ({fault.peer})", file=sys.stderr)
    if fault.outcome is Outcome.UNKNOWN:
        return EXIT_UNKNOWN
    return EXIT_REFUSED


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="corianderdoorctl", description="Operates a router fleet."
    )
    parser.add_argument("--version", action="version", version=VERSION)
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser("check", help="check a rules file")
    check.add_argument("rules", type=pathlib.Path)
    apply = commands.add_parser("apply", help="put a rules file in force")
    apply.add_argument("rules", type=pathlib.Path)
    apply.add_argument("--store", required=True, help="key-value service URL")
    apply.add_argument("--author", default=getpass.getuser())
    add_orders_parser(commands)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs the program `corianderdoorctl`."""
    args = _build_parser().parse_args(argv)
    if args.command == "check":
        return _check(args)
    if args.command == "orders":
        return anyio.run(run_orders, args)
    return anyio.run(_apply, args)


if __name__ == "__main__":
    sys.exit(main())
