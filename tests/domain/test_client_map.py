"""Tests of the client map against a linear search."""

from __future__ import annotations

import ipaddress

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gentianbank.domain.client_map import build_client_map
from gentianbank.domain.client_map import pack_blocks
from gentianbank.domain.client_map import unpack_blocks
from gentianbank.domain.configuration import ClientBlock

# Only the high 4 bits vary, so that blocks are often nested or adjacent.
ADDRESSES = st.integers(0, 15).map(lambda bits: bits << 28)
SITES = st.sampled_from(('north', 'south', 'east'))


@st.composite
def blocks(draw: st.DrawFn) -> ClientBlock:
    length = draw(st.integers(0, 6))
    address = draw(ADDRESSES) >> (32 - length) << (32 - length)
    site = draw(SITES)
    if draw(st.booleans()):
        v6 = ipaddress.IPv6Address(address << 96)
        return ClientBlock(prefix=f'{v6}/{length}', site=site)
    v4 = ipaddress.IPv4Address(address)
    return ClientBlock(prefix=f'{v4}/{length}', site=site)


def search(known: list[ClientBlock], client: str) -> str | None:
    address = ipaddress.ip_address(client)
    found: tuple[int, str] | None = None
    for block in known:
        network = ipaddress.ip_network(block.prefix)
        if network.version == address.version and address in network:
            found = max(found or (-1, ''), (network.prefixlen, block.site))
    return found[1] if found else None


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(
    st.lists(blocks(), max_size=8, unique_by=lambda block: block.prefix),
    st.lists(ADDRESSES, min_size=1, max_size=8),
)
def test_map_finds_the_longest_prefix(
    known: list[ClientBlock], addresses: list[int]
) -> None:
    built = build_client_map(pack_blocks(known))
    for address in addresses:
        for client in (
            str(ipaddress.IPv4Address(address)),
            str(ipaddress.IPv4Address(address + (1 << 28) - 1)),
            str(ipaddress.IPv6Address(address << 96)),
        ):
            assert built.site_of(client) == search(known, client), client


@settings(derandomize=True, database=None, deadline=None, max_examples=100)
@given(st.lists(blocks(), max_size=8, unique_by=lambda block: block.prefix))
def test_packed_blocks_unpack_to_themselves(known: list[ClientBlock]) -> None:
    unpacked = [
        b for chunk in pack_blocks(known) for b in unpack_blocks(chunk)
    ]
    assert {(b.prefix, b.site) for b in unpacked} == {
        (b.prefix, b.site) for b in known
    }
