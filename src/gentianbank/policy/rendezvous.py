"""Rendezvous hashing: an order that is the same on every node."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_names(names: Iterable[str], topic: str) -> list[str]:
    """Order names by the hash of the topic and the name, lowest first."""
    return sorted(names, key=lambda name: (_score(name, topic), name))


def _score(name: str, topic: str) -> bytes:
    data = f'{topic}\0{name}'.encode()
    return hashlib.blake2b(data, digest_size=8).digest()
