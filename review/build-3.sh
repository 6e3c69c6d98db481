#!/bin/sh
# Prepares the stand-ins that the cases 11 to 15 start. They are Python
# modules and need what the deploy file's build line has installed.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "build-3: build the deploy file first" >&2; exit 1; }
python3 -m compileall -q corianderdoor review/common3 review/1[1-5]
