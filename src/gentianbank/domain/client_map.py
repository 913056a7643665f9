"""Compact map from client addresses to sites."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from dataclasses import dataclass
import ipaddress
import json
import struct
from typing import TYPE_CHECKING

from gentianbank.domain.configuration import ClientBlock
from gentianbank.domain.configuration import MAX_V6_PREFIX_LENGTH

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

BLOCKS_PER_CHUNK = 50_000
_V6_SHIFT = 128 - MAX_V6_PREFIX_LENGTH
_V4_BITS = 32
# Site numbers take 16 bits; the largest one stands for no site.
_NO_SITE = 0xFFFF


@dataclass(frozen=True, slots=True)
class _Ranges:
    """Disjoint address ranges, each up to the start of the next one."""

    starts: array[int]
    sites: array[int]

    def find(self, address: int) -> int:
        index = bisect_right(self.starts, address) - 1
        return self.sites[index] if index >= 0 else _NO_SITE


@dataclass(frozen=True, slots=True)
class ClientMap:
    """Site of each client block; the longest prefix wins.

    Of IPv6 addresses only the first 64 bits count.
    """

    sites: tuple[str, ...]
    _v4: _Ranges
    _v6: _Ranges

    def site_of(self, client: str) -> str | None:
        """Return the site of a client's address, or ``None``.

        Raises
        ------
        ValueError
            If ``client`` is not an IP address.
        """
        address = ipaddress.ip_address(client)
        if address.version == 4:
            site = self._v4.find(int(address))
        else:
            site = self._v6.find(int(address) >> _V6_SHIFT)
        return None if site == _NO_SITE else self.sites[site]


@dataclass(frozen=True, slots=True)
class _FamilyBlocks:
    """Client blocks of one address family, one field per attribute."""

    starts: tuple[int, ...]
    lengths: bytes
    sites: tuple[int, ...]


def pack_blocks(blocks: Iterable[ClientBlock]) -> list[bytes]:
    """Encode client blocks as chunks of bounded size, in address order."""
    rows = sorted(_encode_row(block) for block in blocks)
    return [
        pack_rows(rows[start : start + BLOCKS_PER_CHUNK])
        for start in range(0, len(rows), BLOCKS_PER_CHUNK)
    ]


def unpack_blocks(chunk: bytes) -> Iterator[ClientBlock]:
    """Decode the client blocks of a chunk."""
    names, v4, v6 = _unpack_chunk(chunk)
    for family_blocks, bits, shift in (
        (v4, _V4_BITS, 0),
        (v6, 128, _V6_SHIFT),
    ):
        for start, length, site in zip(
            family_blocks.starts,
            family_blocks.lengths,
            family_blocks.sites,
            strict=True,
        ):
            address = (
                ipaddress.IPv4Address(start)
                if bits == _V4_BITS
                else ipaddress.IPv6Address(start << shift)
            )
            yield ClientBlock(prefix=f'{address}/{length}', site=names[site])


def build_client_map(chunks: Iterable[bytes]) -> ClientMap:
    """Build the map from chunks in the order of ``pack_blocks``."""
    site_numbers: dict[str, int] = {}
    v4 = _RangeBuilder('I', _V4_BITS)
    v6 = _RangeBuilder('Q', MAX_V6_PREFIX_LENGTH)
    for chunk in chunks:
        names, v4_blocks, v6_blocks = _unpack_chunk(chunk)
        sites = [
            site_numbers.setdefault(name, len(site_numbers)) for name in names
        ]
        v4.add(v4_blocks, sites)
        v6.add(v6_blocks, sites)
    return ClientMap(tuple(site_numbers), v4.finish(), v6.finish())


class _RangeBuilder:
    """Converts sorted, possibly nested blocks to disjoint ranges."""

    def __init__(self, type_code: str, bits: int) -> None:
        self._starts = array(type_code)
        self._sites = array('H')
        self._address_bits = bits
        self._limit = 1 << bits
        self._open_blocks: list[tuple[int, int]] = []

    def add(self, family_blocks: _FamilyBlocks, sites: list[int]) -> None:
        """Add the blocks of the next chunk in address order.

        ``sites`` converts site numbers of the chunk to those of the map.
        """
        for start, length, site in zip(
            family_blocks.starts,
            family_blocks.lengths,
            family_blocks.sites,
            strict=True,
        ):
            if self._open_blocks:
                self._end_blocks_until(start)
            self._begin_range(start, sites[site])
            end = start + (1 << (self._address_bits - length))
            self._open_blocks.append((end, sites[site]))

    def finish(self) -> _Ranges:
        """Return the ranges after the last chunk was added."""
        self._end_blocks_until(self._limit)
        return _Ranges(self._starts, self._sites)

    def _end_blocks_until(self, position: int) -> None:
        while self._open_blocks and self._open_blocks[-1][0] <= position:
            end, _ = self._open_blocks.pop()
            outer_site = (
                self._open_blocks[-1][1] if self._open_blocks else _NO_SITE
            )
            self._begin_range(end, outer_site)

    def _begin_range(self, start: int, site: int) -> None:
        if start >= self._limit:
            return
        if self._starts and self._starts[-1] == start:
            self._sites[-1] = site
        elif not self._sites or self._sites[-1] != site:
            self._starts.append(start)
            self._sites.append(site)


def _encode_row(block: ClientBlock) -> tuple[int, int, int, str]:
    network = ipaddress.ip_network(block.prefix)
    start = int(network.network_address)
    if network.version == 6:
        start >>= _V6_SHIFT
    return (network.version, start, network.prefixlen, block.site)


def pack_rows(rows: list[tuple[int, int, int, str]]) -> bytes:
    """Encode sorted rows of IP version, start, prefix length and site."""
    names = sorted({row[3] for row in rows})
    site_numbers = {name: index for index, name in enumerate(names)}
    columns = b''
    counts = []
    for version, type_code in ((4, 'I'), (6, 'Q')):
        family_rows = [row for row in rows if row[0] == version]
        counts.append(len(family_rows))
        columns += struct.pack(
            f'<{len(family_rows)}{type_code}', *(r[1] for r in family_rows)
        )
        columns += bytes(row[2] for row in family_rows)
        columns += struct.pack(
            f'<{len(family_rows)}H',
            *(site_numbers[row[3]] for row in family_rows),
        )
    header = json.dumps({'sites': names, 'counts': counts}).encode()
    return header + b'\n' + columns


def _unpack_chunk(
    chunk: bytes,
) -> tuple[list[str], _FamilyBlocks, _FamilyBlocks]:
    header, _, data = chunk.partition(b'\n')
    document = json.loads(header)
    columns = []
    offset = 0
    for count, type_code in zip(document['counts'], 'IQ', strict=True):
        starts = struct.unpack_from(f'<{count}{type_code}', data, offset)
        offset += struct.calcsize(f'<{count}{type_code}')
        lengths = data[offset : offset + count]
        offset += count
        sites = struct.unpack_from(f'<{count}H', data, offset)
        offset += struct.calcsize(f'<{count}H')
        columns.append(_FamilyBlocks(starts, lengths, sites))
    return document['sites'], columns[0], columns[1]
