"""Items and events of the platform's store, as its answers have them.

What is missing or of another type raises ``KeyError``, ``TypeError`` or
``ValueError``.
"""

from __future__ import annotations

import base64
import binascii
from typing import Any

from gentianbank.platform.credentials import without_keys
from gentianbank.platform.documents import CONFIGURATION_KEY
from gentianbank.storage.prefix_store import Removal
from gentianbank.storage.store import StoredValue


def decode_value(raw: dict[str, Any]) -> StoredValue:
    """Return an item as it was written."""
    try:
        value = base64.b64decode(raw.get('value') or '', validate=True)
    except binascii.Error:
        # Another client wrote invalid base64. An empty value fails only the
        # decoding of this entry and not of the whole listing.
        value = b''
    key = str(raw['key'])
    if key == CONFIGURATION_KEY:
        value = without_keys(value)
    return StoredValue(key, value, int(raw['revision']))


def decode_event(raw: dict[str, Any]) -> StoredValue | Removal:
    """Return an event of a watch: an item or a removal."""
    if raw.get('removed'):
        return Removal(str(raw['key']), int(raw['revision']))
    return decode_value(raw)
