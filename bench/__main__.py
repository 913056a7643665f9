"""Runs the measurements, or those that are named."""

from __future__ import annotations

import sys

from bench import client_map
from bench import connections
from bench import control
from bench import download
from bench import lookups
from bench import request_path

BENCHES = {
    'client_map': client_map.run,
    'connections': connections.run,
    'control': control.run,
    'download': download.run,
    'lookups': lookups.run,
    'request_path': request_path.run,
}


def main() -> None:
    """Run the measurements that the command line names."""
    names = sys.argv[1:] or list(BENCHES)
    for name in names:
        print(f'== {name}')
        BENCHES[name]()
        print()


if __name__ == '__main__':
    main()
