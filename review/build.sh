#!/usr/bin/env bash
# Checks and compiles the stand-ins and cases, which are plain Python.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
