"""Tests of the start of an entry host."""

from __future__ import annotations

import gc

import anyio

from corianderdoor.standins.platform_fleet import run_fleet


def test_garbage_is_collected_again_once_a_host_serves():
    async def run() -> None:
        async with run_fleet(1, 1, 1):
            assert gc.isenabled()

    gc.disable()  # as the start module does
    try:
        anyio.run(run)
    finally:
        gc.enable()
        gc.unfreeze()
