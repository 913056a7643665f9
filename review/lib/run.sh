#!/usr/bin/env bash
# Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 "review/$1/case.py"
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
