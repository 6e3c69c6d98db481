"""The commands `orders list` and `orders set` of `corianderdoorctl`."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
from typing import Any, Final

import anyio
from expression import Result

from ..adapters.engines_http import HttpEngines
from ..adapters.hosts_http import HttpHosts
from ..adapters.store_http import HttpStore
from ..core.desired import (
    decode_desired,
    Desired,
    DESIRED_KEY,
    EMPTY_DESIRED,
)
from ..core.errors import Fault, Outcome
from ..core.lease import LEADER_KEY
from ..core.lease_messages import decode_leader
from ..core.orders import plan_steps, Report
from ..core.topology import HostList, Server
from ..ports.store import Store

EXIT_DONE: Final = 0
EXIT_REFUSED: Final = 1
EXIT_UNKNOWN: Final = 3
CALL_TIMEOUT_MS: Final = 2_000
MAX_CONCURRENT_CALLS: Final = 32


def add_orders_parser(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds these commands to `corianderdoorctl`."""
    orders = commands.add_parser("orders", help="desired state of engines")
    actions = orders.add_subparsers(dest="action", required=True)
    listing = actions.add_parser(
        "list", help="show desired and reported state"
    )
    listing.add_argument("--hosts", required=True, help="host list URL")
    listing.add_argument("--json", action="store_true", help="for programs")
    setting = actions.add_parser("set", help="set the desired state")
    setting.add_argument("file", type=pathlib.Path)
    for parser in (listing, setting):
        parser.add_argument(
            "--store", required=True, help="key-value service URL"
        )


async def run_orders(args: argparse.Namespace) -> int:
    """Runs the command in `args`; returns the exit code."""
    store = HttpStore(args.store)
    try:
        if args.action == "set":
            return await set_desired(store, args.file)
        return await list_orders(store, args.hosts, args.json)
    finally:
        await store.close()


async def set_desired(store: Store, path: pathlib.Path) -> int:
    """Writes the desired state in `path` to the key-value service."""
    try:
        value = path.read_bytes()
    except OSError as exc:
        return _print_error(f"{path}: {exc.strerror}")
    match decode_desired(value, 0):
        case Result(error=Fault() as fault):
            return _print_error(f"{path}: {fault.detail}")
    match await store.read(DESIRED_KEY):
        case Result(tag="ok", ok=found):
            version = found.version if found else 0
        case Result(error=fault):
            return _print_error(f"{fault.step}: {fault.detail} ({fault.peer})")
    match await store.write(DESIRED_KEY, value, version):
        case Result(tag="ok", ok=new):
            print(f"desired state set, version {new}")
            return EXIT_DONE
        case Result(error=fault):
            return await _resolve_write(store, value, version, fault)


async def _resolve_write(
    store: Store, value: bytes, version: int, fault: Fault
) -> int:
    """Finds out whether a write with an unknown outcome took effect."""
    if fault.outcome is not Outcome.UNKNOWN:
        return _print_error(f"{fault.step}: {fault.detail} ({fault.peer})")
    match await store.read(DESIRED_KEY):
        case Result(tag="ok", ok=found):
            pass
        case _:
            print(
                "outcome unknown: run 'corianderdoorctl orders list' once"
                " the service answers",
                file=sys.stderr,
            )
            return EXIT_UNKNOWN
    if found is None or found.version == version:
        return _print_error("not set: the write did not reach the service")
    if found.value == value:
        print(f"desired state set, version {found.version}")
        return EXIT_DONE
    return _print_error(f"another change came first, version {found.version}")


async def list_orders(store: Store, hosts_url: str, as_json: bool) -> int:
    """Prints the leader and, for each engine, the orders still missing."""
    hosts = HttpHosts(hosts_url)
    match await hosts.list_hosts():
        case Result(tag="ok", ok=listing):
            pass
        case Result(error=fault):
            return _print_error(f"{fault.step}: {fault.detail} ({fault.peer})")
    await hosts.close()
    match await _read_desired(store):
        case Result(tag="ok", ok=desired):
            pass
        case Result(error=fault):
            return _print_error(f"{fault.step}: {fault.detail} ({fault.peer})")
    leader = await _read_leader(store)
    reports = await _read_reports(listing)
    rows = [
        describe_engine(desired, server, reports.get(server.name))
        for server in listing.servers
        if server.engine
    ]
    if as_json:
        listed = {"leader": leader, "version": desired.version}
        print(json.dumps({**listed, "engines": rows}))
    else:
        _print_table(leader, desired.version, rows)
    return EXIT_DONE


async def _read_desired(store: Store) -> Result[Desired, Fault]:
    found = await store.read(DESIRED_KEY)
    return found.bind(
        lambda item: (
            decode_desired(item.value, item.version)
            if item
            else Result.Ok(EMPTY_DESIRED)
        )
    )


async def _read_leader(store: Store) -> str:
    match await store.read(LEADER_KEY):
        case Result(tag="ok", ok=found):
            if found is None:
                return "none"
            record = decode_leader(found.value, found.version)
            holder = record.holder or "none, resigned"
            return f"{holder} (fence {record.version})"
        case _:
            return "unknown"


async def _read_reports(listing: HostList) -> dict[str, Report]:
    engines = HttpEngines(CALL_TIMEOUT_MS)
    limit = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)
    reports: dict[str, Report] = {}

    async def read(server: Server) -> None:
        async with limit:
            match await engines.read_state(server):
                case Result(tag="ok", ok=report):
                    reports[server.name] = report
                case _:
                    pass

    async with anyio.create_task_group() as tasks:
        for server in listing.servers:
            if server.engine:
                tasks.start_soon(read, server)
    await engines.close()
    return reports


def describe_engine(
    desired: Desired, server: Server, report: Report | None
) -> dict[str, Any]:
    """Returns a row with an engine's desired and reported state."""
    goal = desired.goal(server, {})
    row: dict[str, Any] = {
        "engine": server.name,
        "pool": server.pool,
        "desired": _format_models(goal.spec.models) if goal else "",
        "reported": "no answer",
        "role": "",
        "fence": 0,
        "loading": [],
        "missing": [],
    }
    if report is None:
        return row
    row["reported"] = _format_models(report.models)
    row["role"] = report.role.value
    row["fence"] = report.fence
    row["loading"] = sorted(report.loading)
    steps = plan_steps(goal.spec, report) if goal else ()
    row["missing"] = [f"{step.kind.value} {step.name}" for step in steps]
    return row


def _format_models(models: Any) -> str:
    return ",".join(f"{name}@{models[name]}" for name in sorted(models))


def _print_table(
    leader: str, version: int, rows: list[dict[str, Any]]
) -> None:
    print(f"leader: {leader}; desired state: version {version}")
    columns = ("engine", "pool", "desired", "reported", "role", "missing")
    cells = [columns] + [
        tuple(
            ", ".join(row[column]) if column == "missing" else str(row[column])
            for column in columns
        )
        for row in rows
    ]
    widths = [
        max(len(row_cells[index]) for row_cells in cells)
        for index in range(len(columns))
    ]
    for row_cells in cells:
        text = "  ".join(
            cell.ljust(width)
            for cell, width in zip(row_cells, widths, strict=True)
        )
        print(text.rstrip())


def _print_error(detail: str) -> int:
    """Prints an error; returns the exit code."""
    print(detail, file=sys.stderr)
    return EXIT_REFUSED
