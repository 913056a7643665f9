"""Entry point of the daemon: runs a node of the configured interface."""

from __future__ import annotations

import importlib
from pathlib import Path
import sys
from typing import Any

from expression import Result
import fire

from gentianbank.domain.settings import read_document

EXIT_BAD_SETTINGS = 2
OWN_INTERFACE = 'own'
# Module that builds and runs a node of each interface. Only the module in
# use is imported, so that a node does not load libraries that it never uses.
INTERFACE_MODULES = {
    OWN_INTERFACE: 'gentianbank.nodes.own',
    'platform': 'gentianbank.nodes.steering',
}


def serve(settings: str) -> None:
    """Run a node until it is asked to stop.

    Parameters
    ----------
    settings
        Path of the settings file.
    """
    path = Path(settings)
    match read_document(path):
        case Result(tag='ok', ok=raw):
            pass
        case Result(error=error):
            _exit_bad_settings(str(error))
    interface = _pop_interface(raw)
    if interface not in INTERFACE_MODULES:
        known = ', '.join(sorted(INTERFACE_MODULES))
        _exit_bad_settings(
            f'{path}: interface: {interface!r} is none of {known}'
        )
    node = importlib.import_module(INTERFACE_MODULES[interface])
    match node.run(path, raw):
        case Result(error=error) if error is not None:
            _exit_bad_settings(str(error))


def main() -> None:
    """Run the command line of the daemon."""
    fire.Fire(serve, name='gentianbankd')


def _pop_interface(raw: Any) -> Any:
    return (
        raw.pop('interface', OWN_INTERFACE)
        if isinstance(raw, dict)
        else OWN_INTERFACE
    )


def _exit_bad_settings(cause: str) -> None:
    print(cause, file=sys.stderr)
    raise SystemExit(EXIT_BAD_SETTINGS)


if __name__ == '__main__':
    main()
