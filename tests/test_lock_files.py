"""Tests that the lock files install on each supported platform.

For every lock file, architecture and Python version, pip chooses wheels as on
that platform, downloads them and compares their hashes. Nothing is installed.
Environment markers are evaluated for the interpreter that runs the tests. A
missing hash is not found where another wheel fits too: of a package that also
has a pure Python wheel, pip takes that one.

They need the package registry, so `make check-locks` runs them apart from the
other tests.
"""

import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
# Wheels for glibc 2.17 to 2.28; pip takes each --platform literally.
GLIBC_MINORS = range(17, 29)
# pip lists every hash of the lock file beside the one that differs.
OTHER_HASH = re.compile(r" *Expected +or ")


def list_platforms(architecture):
    tags = [f"manylinux_2_{minor}" for minor in GLIBC_MINORS]
    return [f"{tag}_{architecture}" for tag in ("manylinux2014", *tags)]


# The oldest supported version, and the newest with wheels for all packages.
@pytest.mark.parametrize("version", ["3.11", "3.14"])
@pytest.mark.parametrize("architecture", ["x86_64", "aarch64"])
@pytest.mark.parametrize(
    "lock", ["requirements.lock", "requirements-dev.lock"]
)
def test_lock_file_installs_on_linux(lock, architecture, version, tmp_path):
    command = [sys.executable, "-m", "pip", "install", "-qq", "--dry-run"]
    command += ["--require-hashes", "--only-binary=:all:"]
    command += ["--implementation", "cp", "--python-version", version]
    for platform in list_platforms(architecture):
        command += ["--platform", platform]
    # pip takes another platform only together with a target folder.
    command += ["--target", str(tmp_path), "-r", str(ROOT / lock)]
    done = subprocess.run(command, capture_output=True, text=True)
    lines = done.stderr.splitlines()
    errors = [line for line in lines if not OTHER_HASH.match(line)]
    assert done.returncode == 0, "\n".join(errors)
