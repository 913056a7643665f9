"""Claims on opaque request keys, in the platform's store.

An opaque key, chosen by the caller, does not name the incarnation that owns
it. The claim in the store does, so that only one incarnation sends the
request. A claim is created before the request is sent and outlives the
incarnation that holds it. It moves to another incarnation only by
compare-and-swap, and only after its holder has promised never to send the
request.
"""

from __future__ import annotations

from dataclasses import dataclass
import hashlib
import json
import secrets
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.storage.store import Expected
from gentianbank.storage.store import Put

if TYPE_CHECKING:
    from gentianbank.domain.request_key import OpaqueKey
    from gentianbank.storage.store import Store
    from gentianbank.storage.store import StoredValue

CLAIM_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Claim:
    """The incarnation that holds a key.

    Parameters
    ----------
    mod_revision
        Revision of the store at which the claim was written; a takeover
        compares it.
    written_by_this_call
        The call that returned this claim has written it.
    """

    incarnation: str
    mod_revision: int
    written_by_this_call: bool


class ClaimStore:
    """Claims keys for one incarnation.

    Parameters
    ----------
    key_prefix
        Prefix of the store keys.
    incarnation
        Incarnation that the claims are made for.
    """

    def __init__(
        self, store: Store, key_prefix: str, incarnation: str
    ) -> None:
        self._store = store
        self._prefix = f'{key_prefix}/claim/'
        self._incarnation = incarnation

    async def claim(self, key: OpaqueKey) -> Result[Claim, StoreUnavailable]:
        """Claim a key unless it is claimed; return the claim in the store."""
        return await self._write_and_read_back(key, 0)

    async def take_over(
        self, key: OpaqueKey, held: Claim
    ) -> Result[Claim, StoreUnavailable]:
        """Take over a claim whose holder promised not to send the request.

        Returns the claim in the store, which is another incarnation's if
        that one was faster.
        """
        return await self._write_and_read_back(key, held.mod_revision)

    async def _write_and_read_back(
        self, key: OpaqueKey, mod_revision: int
    ) -> Result[Claim, StoreUnavailable]:
        store_key = self._prefix + _key_digest(key)
        nonce = secrets.token_hex(8)
        document = {'incarnation': self._incarnation, 'nonce': nonce}
        value = json.dumps(document).encode()
        cause = StoreUnavailable('not tried')
        for _ in range(CLAIM_ATTEMPTS):
            # The result is ignored, as the answer may have been lost; the
            # read below and the nonce tell whether the write took effect.
            await self._store.commit(
                Expected(store_key, mod_revision), [Put(store_key, value)]
            )
            match await self._store.get(store_key):
                case Result(tag='ok', ok=stored) if stored is not None:
                    return _decode_claim(stored, nonce)
                case Result(tag='error', error=cause):
                    return Error(cause)
        return Error(cause)


def _key_digest(key: OpaqueKey) -> str:
    return hashlib.sha256(str(key).encode()).hexdigest()


def _decode_claim(
    stored: StoredValue, nonce: str
) -> Result[Claim, StoreUnavailable]:
    try:
        document = json.loads(stored.value)
        incarnation = str(document['incarnation'])
        fresh = document['nonce'] == nonce
    except (ValueError, KeyError, TypeError):
        return Error(StoreUnavailable(f'{stored.key} is not a claim'))
    return Ok(Claim(incarnation, stored.mod_revision, fresh))
