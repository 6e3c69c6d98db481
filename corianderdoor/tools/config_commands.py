"""The commands `apply`, `drain`, `return` and `status`."""

from __future__ import annotations

import argparse
import getpass
import json
import pathlib
import sys
from typing import Final
import uuid

from expression import Result
import msgspec

from ..adapters.control_http import ControlClient
from ..adapters.hosts_http import HttpHosts
from ..adapters.keyring import Keyring
from ..adapters.store_http import HttpStore
from ..core.config import build_change, Config
from ..core.errors import Fault, Outcome
from ..core.rules import RuleSet
from ..core.rules_text import parse_rules
from ..core.topology import EntryHost
from .changes import read_config, submit, submit_edit
from .rollout import read_statuses, roll_out

EXIT_DONE: Final = 0
EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNKNOWN: Final = 3


def add_config_parsers(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds these commands to `corianderdoorctl`."""
    apply = commands.add_parser("apply", help="put a rules file in force")
    apply.add_argument("rules", type=existing_file)
    for name, about in (
        ("drain", "take a host or data centre out of service"),
        ("return", "bring a host or data centre back"),
    ):
        parser = commands.add_parser(name, help=about)
        parser.add_argument("kind", choices=("host", "data-centre"))
        parser.add_argument("name")
        _add_change_options(parser)
    _add_change_options(apply)
    status = commands.add_parser("status", help="revision of each host")
    status.add_argument("--hosts", required=True, help="host list URL")
    status.add_argument("--keys", type=key_file, required=True)
    status.add_argument("--json", action="store_true", help="for programs")


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--store", required=True, help="key-value service URL")
    parser.add_argument("--author", default=getpass.getuser())
    parser.add_argument(
        "--hosts", help="host list URL; pushes to hosts and waits for them"
    )
    parser.add_argument(
        "--keys",
        type=key_file,
        help="JSON file with the list of fleet keys; the first one signs",
    )


def existing_file(text: str) -> pathlib.Path:
    """Parses an argument that names an existing file.

    Raises:
        argparse.ArgumentTypeError: The file does not exist.
    """
    path = pathlib.Path(text)
    if not path.is_file():
        raise argparse.ArgumentTypeError(f"{text}: no such file")
    return path


def key_file(text: str) -> Keyring:
    """Loads the fleet keys from the JSON file that an argument names.

    Raises:
        argparse.ArgumentTypeError: The file does not exist or does not
            hold a list of keys.
    """
    try:
        return Keyring(
            msgspec.json.decode(
                existing_file(text).read_bytes(), type=list[str]
            )
        )
    except (msgspec.MsgspecError, ValueError) as exc:
        raise argparse.ArgumentTypeError(f"{text}: {exc}") from exc


def read_rules(path: pathlib.Path) -> tuple[str, RuleSet] | None:
    """Parses a rules file; on errors, prints them and returns None."""
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as exc:
        print(f"{path}: not UTF-8 at byte {exc.start}", file=sys.stderr)
        return None
    match parse_rules(text):
        case Result(tag="ok", ok=rules):
            return text, rules
        case Result(error=errors):
            for error in errors:
                print(f"{path}: {error}", file=sys.stderr)
            return None


async def run_config(args: argparse.Namespace) -> int:
    """Runs the command in `args`; returns the exit code."""
    if args.command == "status":
        return await _status(args)
    if bool(args.hosts) != bool(args.keys):
        print("--hosts and --keys go together", file=sys.stderr)
        return EXIT_USAGE
    store = HttpStore(args.store)
    change_id = uuid.uuid4().hex
    try:
        if args.command == "apply":
            return await _apply(store, change_id, args)
        result = await submit_edit(
            store, change_id, args.author, lambda old: _set_drained(old, args)
        )
        return await _report_result(result, change_id, args)
    finally:
        await store.close()


async def _apply(
    store: HttpStore, change_id: str, args: argparse.Namespace
) -> int:
    parsed = read_rules(args.rules)
    if parsed is None:
        return EXIT_REFUSED
    match await read_config(store):
        case Result(tag="ok", ok=old):
            pass
        case Result(error=fault):
            return report_fault(fault, change_id)
    new = build_change(
        old,
        change_id,
        args.author,
        *parsed,
        old.drained_centres,
        old.drained_hosts,
    )
    return await _report_result(await submit(store, new), change_id, args)


def _set_drained(old: Config, args: argparse.Namespace) -> Config:
    """Returns `old` with one host or data centre drained or returned."""
    centres, hosts = set(old.drained_centres), set(old.drained_hosts)
    names = hosts if args.kind == "host" else centres
    if args.command == "drain":
        names.add(args.name)
    else:
        names.discard(args.name)
    return Config(
        old.revision,
        "",
        "",
        old.rules_text,
        old.rules,
        frozenset(centres),
        frozenset(hosts),
    )


async def _report_result(
    result: Result[Config, Fault], change_id: str, args: argparse.Namespace
) -> int:
    match result:
        case Result(tag="ok", ok=cfg):
            print(f"applied as revision {cfg.revision}", flush=True)
            if args.hosts:
                return await _roll_out(cfg, args)
            return EXIT_DONE
        case Result(error=fault):
            return report_fault(fault, change_id)


async def _roll_out(cfg: Config, args: argparse.Namespace) -> int:
    entries = await _list_entries(args.hosts)
    if entries is None:
        return EXIT_UNKNOWN
    client = ControlClient(args.keys)
    try:
        unconfirmed = await roll_out(client, entries, cfg, _show_progress)
    finally:
        await client.close()
    print(file=sys.stderr)
    if not unconfirmed:
        return EXIT_DONE
    print(
        f"accepted, but not confirmed by: {', '.join(unconfirmed)}\n"
        "see `corianderdoorctl status`",
        file=sys.stderr,
    )
    return EXIT_UNKNOWN


async def _status(args: argparse.Namespace) -> int:
    entries = await _list_entries(args.hosts)
    if entries is None:
        return EXIT_UNKNOWN
    client = ControlClient(args.keys)
    try:
        statuses = await read_statuses(client, entries)
    finally:
        await client.close()
    if args.json:
        rows = {
            name: {
                "revision": status.revision,
                "live": len(status.members),
            }
            for name, status in statuses.items()
            if status is not None
        }
        print(json.dumps({name: rows.get(name) for name in sorted(statuses)}))
    else:
        print(f"{'host':24} {'revision':>10} {'live peers':>10}")
        for name, status in sorted(statuses.items()):
            revision = str(status.revision) if status else "no answer"
            live = str(len(status.members)) if status else ""
            print(f"{name:24} {revision:>10} {live:>10}")
    return EXIT_DONE if all(statuses.values()) else EXIT_UNKNOWN


async def _list_entries(url: str) -> tuple[EntryHost, ...] | None:
    hosts = HttpHosts(url)
    try:
        match await hosts.list_hosts():
            case Result(tag="ok", ok=listing):
                return listing.entries
            case Result(error=fault):
                report_fault(fault, "")
                return None
    finally:
        await hosts.close()


def _show_progress(line: str) -> None:
    end = "" if sys.stderr.isatty() else "\n"
    start = "\r" if sys.stderr.isatty() else ""
    print(f"{start}{line}", end=end, file=sys.stderr, flush=True)


def report_fault(fault: Fault, change_id: str) -> int:
    """Prints a fault; returns the exit code for it."""
    print(f"{fault.step}: {fault.detail} ({fault.peer})", file=sys.stderr)
    if fault.outcome is not Outcome.UNKNOWN:
        return EXIT_REFUSED
    if change_id:
        print(
            f"it may have taken effect: look for change {change_id} in "
            "`corianderdoorctl history` before you apply it again",
            file=sys.stderr,
        )
    return EXIT_UNKNOWN
