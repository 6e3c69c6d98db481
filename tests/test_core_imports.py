"""Test that importing the core loads no I/O library."""

import subprocess
import sys

# asyncio is not listed: the library `expression` imports it.
FORBIDDEN = ("anyio", "httpx", "hypercorn", "loguru", "capnp", "starlette")
PROGRAM = """
import importlib, pkgutil, sys
import corianderdoor.core as core
for module in pkgutil.walk_packages(core.__path__, core.__name__ + "."):
    importlib.import_module(module.name)
print(" ".join(sys.modules))
"""


def test_core_loads_no_io_library():
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = done.stdout.split()
    assert "corianderdoor.core.dispatch" in loaded
    assert [name for name in FORBIDDEN if name in loaded] == []
