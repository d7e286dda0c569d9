#!/bin/sh
# Build the stand-ins of the scripts of the third review; the gateways come from the
# build of the deploy file. The stand-ins are plain Python without dependencies.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/sardineyard || sh deploy/build
python3 -m compileall -q review/harness-3
