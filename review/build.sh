#!/bin/sh
# Compile the stand-ins, which need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib
