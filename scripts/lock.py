"""Writes lock files with hashes for the versions that pip resolves."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
LOCKS = {
    "requirements.in": "requirements.lock",
    "requirements-dev.in": "requirements-dev.lock",
}


def resolve(source: pathlib.Path) -> list[tuple[str, str, str]]:
    """Returns (name, version, SHA-256) of each package that `source` needs."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "pip", "install", "--quiet"]
        command += ["--dry-run", "--ignore-installed"]
        command += ["--report", report.name, "-r", str(source)]
        subprocess.run(command, check=True)
        found = json.load(report)
    return sorted(
        (
            item["metadata"]["name"].lower(),
            item["metadata"]["version"],
            item["download_info"]["archive_info"]["hashes"]["sha256"],
        )
        for item in found["install"]
    )


def main() -> int:
    """Writes every lock file."""
    for source, target in LOCKS.items():
        lines = [
            f"{name}=={version} \\\n    --hash=sha256:{digest}\n"
            for name, version, digest in resolve(ROOT / source)
        ]
        (ROOT / target).write_text("".join(lines), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
