#!/bin/sh
# Checks what the scripts 11 to 15 need. Their stand-ins are Python modules of
# review/lib-3 that use the standard library only; the nodes use target/deps,
# which the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
test -f target/deps/.done
python3 -m compileall -q review/lib-3 >/dev/null
echo "review 3: stand-ins built"
