"""Command that runs an entry host on the users' platform."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import random
import signal
import sys
import types
from typing import Final

import anyio

from ..adapters.logs import set_up_entry_logs
from ..core.clock import SystemClock
from ..platform.settings import (
    as_mapping,
    EntrySettings,
    read_settings,
    settings_path,
    SettingsError,
)
from .host import EntryHost

EXIT_DONE: Final = 0
EXIT_USAGE: Final = 2
STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")


async def _serve(
    settings: EntrySettings, path: pathlib.Path, metrics_port: int | None
) -> None:
    clock = SystemClock()
    rng = random.Random(f"{settings.name}{clock.wall_ms()}")
    host = EntryHost(settings, path, clock, rng, metrics_port)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, host, stop)
        await host.run(stop)
        tasks.cancel_scope.cancel()


async def _handle_signals(host: EntryHost, stop: anyio.Event) -> None:
    loop = asyncio.get_running_loop()

    def begin_stop() -> None:
        # The settings may have changed without a signal.
        host.reload()
        stop.set()

    def handle_stop(number: int, frame: types.FrameType | None) -> None:
        # Runs before anything else does, also while the event loop is busy.
        host.record_stop_signal()
        loop.call_soon_threadsafe(begin_stop)

    for number in STOP_SIGNALS:
        signal.signal(number, handle_stop)
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        try:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
            async for _ in signals:
                host.reload()
        finally:
            # Nothing handles them from here to the end of the process.
            for number in STOP_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
            signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def main(argv: list[str] | None = None) -> int:
    """Serves until SIGTERM or SIGINT.

    SIGHUP reloads the settings.

    Returns:
        The exit status: 0 when done, 2 if the settings can't be used.
    """
    parser = argparse.ArgumentParser(
        prog="corianderdoor-entry",
        description="Serves callers on an entry host of the platform.",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=settings_path(),
        help="path of the settings file that the platform writes",
    )
    parser.add_argument(
        "--check", action="store_true", help="show the settings and exit"
    )
    parser.add_argument("--log-level", choices=LEVELS, default="INFO")
    parser.add_argument(
        "--metrics-port", type=int, help="serve metrics as text on this port"
    )
    args = parser.parse_args(argv)
    try:
        settings = read_settings(args.settings)
    except SettingsError as exc:
        print(f"corianderdoor-entry: {exc}", file=sys.stderr)
        return EXIT_USAGE
    if args.check:
        print(json.dumps(as_mapping(settings), indent=2))
        return EXIT_DONE
    set_up_entry_logs(settings.name, args.log_level, SystemClock())
    anyio.run(
        _serve,
        settings,
        args.settings,
        args.metrics_port,
        backend_options={"use_uvloop": True},
    )
    return EXIT_DONE
