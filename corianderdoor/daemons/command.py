"""Command line shared by all daemons."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable
import pathlib
import signal
import sys
from typing import Final, TypeVar

import anyio
from expression import Result
import msgspec
import uvloop

from .. import VERSION
from ..adapters.settings import load_settings

EXIT_DONE: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


def run_daemon(
    name: str,
    about: str,
    kind: type[SettingsT],
    serve: Callable[[SettingsT], Awaitable[None]],
    argv: list[str] | None = None,
) -> int:
    """Parses the command line, validates the settings and serves.

    Args:
        name: Name of the program.
        about: Description of the program for `--help`.
        kind: Type that the settings are validated against.
        serve: Serves until a signal stops it.
        argv: Arguments; defaults to those of the process.

    Returns:
        The exit code: 0 done, 1 failed, 2 usage or bad settings.
    """
    parser = argparse.ArgumentParser(prog=name, description=about)
    parser.add_argument("--version", action="version", version=VERSION)
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "settings", type=pathlib.Path, help="path of the JSON settings file"
    )
    args = parser.parse_args(argv)
    match load_settings(args.settings, kind):
        case Result(tag="ok", ok=settings):
            pass
        case Result(error=fault):
            print(f"{name}: {fault.detail}", file=sys.stderr)
            return EXIT_USAGE
    if args.check:
        print(f"{args.settings}: OK")
        return EXIT_DONE
    anyio.run(
        serve,
        settings,
        backend_options={"loop_factory": uvloop.new_event_loop},
    )
    return EXIT_DONE


async def wait_for_signal() -> None:
    """Returns when the process receives SIGINT or SIGTERM."""
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            return
