"""Mutual authentication with a shared key when a connection opens.

The dialling node sends a :class:`Hello`, the dialled node answers with a
:class:`Challenge` that holds its own proof, and the dialling node ends the
handshake with a :class:`Proof`. A proof is an HMAC over the role, both nonces
and both VM names. The nonces keep a recorded proof from being replayed on
another connection; the role keeps the dialled node's proof from being
returned to it.
"""

from __future__ import annotations

from dataclasses import dataclass
import hashlib
import hmac
import os
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Message
from gentianbank.control.messages import register_message
from gentianbank.domain import schema

if TYPE_CHECKING:
    from websockets.asyncio.client import ClientConnection
    from websockets.asyncio.server import ServerConnection

    from gentianbank.control.peers import AddressResolver

NONCE_BYTES = 16
PURPOSE_CONTROL = 'control'
PURPOSE_REQUESTS = 'requests'


@register_message('hello')
@dataclass(frozen=True, slots=True, kw_only=True)
class Hello(Message):
    """First message of the dialling node.

    Parameters
    ----------
    purpose
        Whether the connection carries control messages or requests.
    """

    vm: str = schema.name()
    purpose: str = schema.text(choices=(PURPOSE_CONTROL, PURPOSE_REQUESTS))
    nonce: bytes = schema.binary(NONCE_BYTES)


@register_message('challenge')
@dataclass(frozen=True, slots=True, kw_only=True)
class Challenge(Message):
    """Answer of the dialled node, with the proof that it holds the key."""

    vm: str = schema.name()
    nonce: bytes = schema.binary(NONCE_BYTES)
    proof: bytes = schema.binary(32)


@register_message('proof')
@dataclass(frozen=True, slots=True, kw_only=True)
class Proof(Message):
    """Last message of the dialling node: proof that it holds the key."""

    proof: bytes = schema.binary(32)


@dataclass(frozen=True, slots=True)
class Identity:
    """VM name of an authenticated peer, and what the connection is for."""

    vm: str
    purpose: str


@dataclass(frozen=True, slots=True)
class HandshakeRefused:
    """The handshake failed, so the connection is refused."""

    cause: str


@dataclass(frozen=True, slots=True)
class Credentials:
    """VM name of this node and the key that it shares with the peer."""

    vm: str
    fleet_key: bytes


async def authenticate_as_client(
    connection: ClientConnection, own: Credentials, purpose: str
) -> Result[Identity, HandshakeRefused]:
    """Run the handshake as the dialling node."""
    nonce = os.urandom(NONCE_BYTES)
    hello = Hello(vm=own.vm, purpose=purpose, nonce=nonce)
    await connection.send(encode_message(hello))
    challenge = await _receive(connection)
    if not isinstance(challenge, Challenge):
        return Error(HandshakeRefused('no challenge'))
    nonces = nonce + challenge.nonce
    expected = _compute_proof(own, 'server', nonces, own.vm, challenge.vm)
    if not hmac.compare_digest(challenge.proof, expected):
        return Error(HandshakeRefused('the peer does not hold the key'))
    proof = _compute_proof(own, 'client', nonces, own.vm, challenge.vm)
    await connection.send(encode_message(Proof(proof=proof)))
    return Ok(Identity(challenge.vm, purpose))


async def authenticate_as_server(
    connection: ServerConnection, own: Credentials, address_of: AddressResolver
) -> Result[Identity, HandshakeRefused]:
    """Run the handshake as the dialled node.

    Parameters
    ----------
    address_of
        Returns the peer address of a VM, if it is known. A peer that
        connects from another host is refused.
    """
    hello = await _receive(connection)
    if not isinstance(hello, Hello):
        return Error(HandshakeRefused('no hello'))
    if hello.vm == own.vm:
        return Error(HandshakeRefused('the peer claims the name of this node'))
    known_address = address_of(hello.vm)
    remote_host = connection.remote_address[0]
    if (
        known_address is not None
        and known_address.rpartition(':')[0] != remote_host
    ):
        cause = f'{remote_host} claims the name of {hello.vm}'
        return Error(HandshakeRefused(cause))
    nonce = os.urandom(NONCE_BYTES)
    nonces = hello.nonce + nonce
    proof = _compute_proof(own, 'server', nonces, hello.vm, own.vm)
    challenge = Challenge(vm=own.vm, nonce=nonce, proof=proof)
    await connection.send(encode_message(challenge))
    answer = await _receive(connection)
    expected = _compute_proof(own, 'client', nonces, hello.vm, own.vm)
    if not isinstance(answer, Proof):
        return Error(HandshakeRefused('no proof'))
    if not hmac.compare_digest(answer.proof, expected):
        return Error(HandshakeRefused('the peer does not hold the key'))
    return Ok(Identity(hello.vm, hello.purpose))


def _compute_proof(
    own: Credentials, role: str, nonces: bytes, client: str, server: str
) -> bytes:
    data = f'{role}/{client}/{server}/'.encode() + nonces
    return hmac.digest(own.fleet_key, data, hashlib.sha256)


async def _receive(
    connection: ClientConnection | ServerConnection,
) -> Message | None:
    data = await connection.recv()
    if isinstance(data, str):
        return None
    match decode_message(data):
        case Result(tag='ok', ok=message):
            return message
    return None
