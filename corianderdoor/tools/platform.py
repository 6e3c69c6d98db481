"""The commands `platform status` and `platform check` of `corianderdoorctl`.

They inspect a deployment on the users' platform.
"""

from __future__ import annotations

import argparse
from collections import Counter
import json
import pathlib
import sys
from typing import Any

from ..core.clock import SystemClock
from ..core.entry.addresses import Address
from ..core.entry.counters import Counters
from ..core.entry.replica import Change
from ..platform.changes import (
    decode_change,
    DesiredStateChange,
    Evacuation,
    HostListed,
    ServerListed,
    UnusableRecord,
)
from ..platform.deploy_file import find_errors
from ..platform.settings import (
    as_mapping,
    parse_address,
    read_settings,
    SettingsError,
)
from ..platform.store import StoreClient, StoreError
from .config_commands import EXIT_DONE, EXIT_REFUSED, EXIT_UNKNOWN
from .platform_rollouts import print_rollout, summarize_rollouts


def add_platform_parser(commands: Any) -> None:
    """Adds the command `platform` with its subcommands."""
    parser = commands.add_parser(
        "platform", help="inspect a deployment on the users' platform"
    )
    subcommands = parser.add_subparsers(dest="platform_command", required=True)
    status = subcommands.add_parser(
        "status", help="show the deployment in the store"
    )
    status.add_argument(
        "--store",
        required=True,
        type=_address_argument,
        help="IP:PORT of the store",
    )
    status.add_argument("--json", action="store_true", help="for programs")
    check = subcommands.add_parser(
        "check", help="check settings and deploy files"
    )
    check.add_argument("--settings", type=pathlib.Path, help="settings file")
    check.add_argument("--deploy", type=pathlib.Path, help="deploy file")


def _address_argument(text: str) -> Address:
    try:
        return parse_address(text)
    except SettingsError as exc:
        raise argparse.ArgumentTypeError(str(exc)) from exc


async def run_platform(args: argparse.Namespace) -> int:
    """Runs `platform status` or `platform check`."""
    if args.platform_command == "check":
        return _check(args)
    try:
        items, revision = await StoreClient(args.store, Counters()).read_all(
            ""
        )
    except StoreError as exc:
        print(f"corianderdoorctl: {exc}", file=sys.stderr)
        return EXIT_UNKNOWN
    changes = [Change(x.key, x.value, x.revision) for x in items]
    summary = summarize(changes, revision, SystemClock().wall_ms())
    if args.json:
        print(json.dumps(summary, indent=2))
    else:
        _print_status(summary)
    return EXIT_DONE


def summarize(
    changes: list[Change], revision: int, wall_ms: int = 0
) -> dict[str, Any]:
    """Summarizes the deployment that the items of a store describe.

    Args:
        changes: The items.
        revision: Revision of the store.
        wall_ms: Time since the Unix epoch in ms.
    """
    servers: dict[str, Counter[str]] = {}
    hosts = []
    summary: dict[str, Any] = {
        "revision": revision,
        "desired": None,
        "evacuated": [],
        "unusable": [],
    }
    for change in changes:
        decoded = decode_change(change)
        if isinstance(decoded, DesiredStateChange):
            summary["desired"] = {
                "version": decoded.state.version,
                "revision": change.revision,
                "services": sorted(decoded.state.services),
            }
        elif isinstance(decoded, Evacuation) and decoded.active:
            summary["evacuated"].append(decoded.data_centre)
        elif isinstance(decoded, HostListed):
            hosts.append(
                {
                    "name": decoded.name,
                    "data_centre": decoded.data_centre,
                    "callers": _format_address(decoded.callers),
                    "link_mbps": decoded.link_mbps,
                }
            )
        elif isinstance(decoded, ServerListed):
            server = decoded.server
            state = "draining"
            if server.available:
                state = "cold" if server.cold_ms > 0 else "warm"
            servers.setdefault(server.service, Counter())[state] += 1
        elif isinstance(decoded, UnusableRecord):
            summary["unusable"].append(
                {"key": decoded.key, "detail": decoded.detail}
            )
    summary["servers"] = {
        name: dict(servers[name]) for name in sorted(servers)
    }
    summary["rollouts"] = summarize_rollouts(changes, wall_ms)
    summary["hosts"] = sorted(hosts, key=lambda host: str(host["name"]))
    return summary


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _print_status(summary: dict[str, Any]) -> None:
    desired = summary["desired"]
    print(f"revision {summary['revision']}")
    if desired is None:
        print("desired state: none that can be used")
    else:
        print(
            f"desired state: version {desired['version']} since revision "
            f"{desired['revision']}, services "
            f"{', '.join(desired['services'])}"
        )
    evacuated = ", ".join(summary["evacuated"]) or "none"
    print(f"evacuated data centres: {evacuated}")
    for service, states in summary["servers"].items():
        counts = ", ".join(f"{n} {state}" for state, n in states.items())
        print(f"servers of {service}: {counts}")
    for service, rollout in summary["rollouts"].items():
        print_rollout(service, rollout)
    print(f"entry hosts: {len(summary['hosts'])}")
    for host in summary["hosts"]:
        print(
            f"  {host['name']:<24} {host['data_centre']:<14} "
            f"{host['callers']:<22} {host['link_mbps']:g} Mbit/s"
        )
    for item in summary["unusable"]:
        print(f"unusable: {item['key']}: {item['detail']}")


def _check(args: argparse.Namespace) -> int:
    if args.settings is None and args.deploy is None:
        print(
            "corianderdoorctl: give --settings, --deploy or both",
            file=sys.stderr,
        )
        return EXIT_REFUSED
    errors: list[str] = []
    if args.settings is not None:
        errors += _check_settings(args.settings)
    if args.deploy is not None:
        deploy_errors = find_errors(args.deploy)
        errors += deploy_errors
        if not deploy_errors:
            print(f"{args.deploy}: OK")
    for error in errors:
        print(f"corianderdoorctl: {error}", file=sys.stderr)
    return EXIT_REFUSED if errors else EXIT_DONE


def _check_settings(path: pathlib.Path) -> list[str]:
    try:
        settings = read_settings(path)
    except SettingsError as exc:
        return [str(exc)]
    print(f"{path}: {as_mapping(settings)['name']}, OK")
    return []
