"""Starts the command of an entry host."""

from __future__ import annotations

import sys

from .command import main

if __name__ == "__main__":
    sys.exit(main())
