"""Signals that an entry host gets outside its time of service."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import time

from corianderdoor.standins.platform_fleet import build_settings

ROOT = pathlib.Path(__file__).parents[1]
WAIT_S = 20


def is_started(proc):
    """Returns whether the start module has begun to run."""
    lines = pathlib.Path(f"/proc/{proc.pid}/status").read_text().splitlines()
    blocked = next(line for line in lines if line.startswith("SigBlk:"))
    return bool(int(blocked.split()[1], 16) & 1 << signal.SIGHUP - 1)


# Guards against hosts that end by themselves: a change of the settings that
# was signalled while the process started, or after its end, ended it.
def test_settings_that_change_during_the_start_end_no_process(tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(build_settings("h", "127.77.0.1", ("127.77.0.1", 1)))
    proc = subprocess.Popen(
        [sys.executable, "-m", "corianderdoor.entry", "--settings", path],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    try:
        until_s = time.monotonic() + WAIT_S
        while proc.poll() is None and not is_started(proc):
            assert time.monotonic() < until_s
        proc.send_signal(signal.SIGHUP)
        assert proc.stdout is not None
        lines = []
        while not any(b"event=reloaded" in line for line in lines):
            lines.append(proc.stdout.readline())
            assert lines[-1], lines
        proc.send_signal(signal.SIGTERM)
        while not any(b"event=stopped" in line for line in lines):
            lines.append(proc.stdout.readline())
            assert lines[-1], lines
        proc.send_signal(signal.SIGHUP)
        assert proc.wait(WAIT_S) == 0
    finally:
        proc.kill()
        proc.wait()
