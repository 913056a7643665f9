#!/bin/sh
# Compiles the stand-ins that the cases 6 to 10 start: those in lib-2 and the
# project's own store and server. They need target/deps, which the build of
# the deploy file makes.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/lib-2 src/gentianbank_standins
