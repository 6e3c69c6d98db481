"""Operators' commands for the users' platform: `platform status`, `check`."""

from __future__ import annotations

import argparse
from collections import Counter
import json
import pathlib
import sys
from typing import Any

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


def add_platform_parser(commands: Any) -> None:
    """Adds the command `platform` with its own commands."""
    parser = commands.add_parser(
        "platform", help="look at a deployment on the users' platform"
    )
    own = parser.add_subparsers(dest="platform_command", required=True)
    status = own.add_parser("status", help="show what the store lists")
    status.add_argument(
        "--store", required=True, type=_address, help="IP:PORT of the store"
    )
    status.add_argument("--json", action="store_true", help="for programs")
    check = own.add_parser("check", help="check settings and deploy files")
    check.add_argument("--settings", type=pathlib.Path, help="settings file")
    check.add_argument("--deploy", type=pathlib.Path, help="deploy file")


def _address(text: str) -> Address:
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
    found = summarize(changes, revision)
    if args.json:
        print(json.dumps(found, indent=2))
    else:
        _print_status(found)
    return EXIT_DONE


def summarize(changes: list[Change], revision: int) -> dict[str, Any]:
    """Returns what the items of a store say of a deployment."""
    servers: dict[str, Counter[str]] = {}
    hosts = []
    found: dict[str, Any] = {
        "revision": revision,
        "desired": None,
        "evacuated": [],
        "unusable": [],
    }
    for change in changes:
        decoded = decode_change(change)
        if isinstance(decoded, DesiredStateChange):
            found["desired"] = {
                "version": decoded.state.version,
                "revision": change.revision,
                "services": sorted(decoded.state.services),
            }
        elif isinstance(decoded, Evacuation) and decoded.active:
            found["evacuated"].append(decoded.data_centre)
        elif isinstance(decoded, HostListed):
            hosts.append(
                {
                    "name": decoded.name,
                    "data_centre": decoded.data_centre,
                    "callers": _text(decoded.callers),
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
            found["unusable"].append(
                {"key": decoded.key, "detail": decoded.detail}
            )
    found["servers"] = {name: dict(servers[name]) for name in sorted(servers)}
    found["hosts"] = sorted(hosts, key=lambda host: str(host["name"]))
    return found


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _print_status(found: dict[str, Any]) -> None:
    desired = found["desired"]
    print(f"revision {found['revision']}")
    if desired is None:
        print("desired state: none that can be used")
    else:
        print(
            f"desired state: version {desired['version']} since revision "
            f"{desired['revision']}, services "
            f"{', '.join(desired['services'])}"
        )
    evacuated = ", ".join(found["evacuated"]) or "none"
    print(f"evacuated data centres: {evacuated}")
    for service, states in found["servers"].items():
        counts = ", ".join(f"{n} {state}" for state, n in states.items())
        print(f"servers of {service}: {counts}")
    print(f"entry hosts: {len(found['hosts'])}")
    for host in found["hosts"]:
        print(
            f"  {host['name']:<24} {host['data_centre']:<14} "
            f"{host['callers']:<22} {host['link_mbps']:g} Mbit/s"
        )
    for item in found["unusable"]:
        print(f"unusable: {item['key']}: {item['detail']}")


def _check(args: argparse.Namespace) -> int:
    if args.settings is None and args.deploy is None:
        print(
            "corianderdoorctl: give --settings, --deploy or both",
            file=sys.stderr,
        )
        return EXIT_REFUSED
    faults: list[str] = []
    if args.settings is not None:
        faults += _check_settings(args.settings)
    if args.deploy is not None:
        found = find_errors(args.deploy)
        faults += found
        if not found:
            print(f"{args.deploy}: OK")
    for fault in faults:
        print(f"corianderdoorctl: {fault}", file=sys.stderr)
    return EXIT_REFUSED if faults else EXIT_DONE


def _check_settings(path: pathlib.Path) -> list[str]:
    try:
        settings = read_settings(path)
    except SettingsError as exc:
        return [str(exc)]
    print(f"{path}: {as_mapping(settings)['name']}, OK")
    return []
