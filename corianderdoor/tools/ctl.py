"""The program `corianderdoorctl`, the operators' tool."""

from __future__ import annotations

import argparse
import sys

import anyio

from .. import VERSION
from .config_commands import (
    add_config_parsers,
    existing_file,
    EXIT_DONE,
    EXIT_REFUSED,
    read_rules,
    run_config,
)
from .explain import add_explain_parser, run_explain
from .history import add_history_parsers, run_history
from .orders import add_orders_parser, run_orders
from .platform import add_platform_parser, run_platform


def _check(args: argparse.Namespace) -> int:
    parsed = read_rules(args.rules)
    if parsed is None:
        return EXIT_REFUSED
    print(f"{args.rules}: {len(parsed[1].rules)} rules, OK")
    return EXIT_DONE


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="corianderdoorctl", description="Operates a router fleet."
    )
    parser.add_argument("--version", action="version", version=VERSION)
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser("check", help="check a rules file")
    check.add_argument("rules", type=existing_file)
    add_config_parsers(commands)
    add_history_parsers(commands)
    add_orders_parser(commands)
    add_explain_parser(commands)
    add_platform_parser(commands)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs the program `corianderdoorctl`."""
    args = _build_parser().parse_args(argv)
    if args.command == "check":
        return _check(args)
    if args.command == "explain":
        return run_explain(args)
    if args.command == "platform":
        return anyio.run(run_platform, args)
    if args.command == "orders":
        return anyio.run(run_orders, args)
    if args.command in ("history", "diff"):
        return anyio.run(run_history, args)
    return anyio.run(run_config, args)


if __name__ == "__main__":
    sys.exit(main())
