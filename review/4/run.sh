#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
exec "$(dirname "$0")/../lib/run.sh" 4
