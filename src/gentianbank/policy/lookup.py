"""Look-up answers: entry VMs for a caller, ranked by network delay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.domain.configuration import Configuration
    from gentianbank.domain.member import Member

# Limit on the entries of an answer, or those with weight plus two if more.
MAX_ENTRIES = 4
TOTAL_WEIGHT_PERCENT = 100


@dataclass(frozen=True, slots=True)
class LookupEntry:
    """An entry VM in a look-up answer."""

    vm: str
    address: str
    incarnation: str
    region: str
    weight_percent: int


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Entry VMs in order of preference.

    Parameters
    ----------
    cache_ms
        Time for which the caller may cache the answer.
    revision
        Revision of the configuration that the answer is based on.
    """

    entries: tuple[LookupEntry, ...]
    cache_ms: int
    revision: int


def answer_lookup(
    configuration: Configuration,
    revision: int,
    members: list[Member],
    client_region: str,
) -> LookupAnswer:
    """Rank the entry VMs for a caller.

    Parameters
    ----------
    members
        Members that are ready.
    client_region
        Region of the caller's site.

    Returns
    -------
    LookupAnswer
        Entries of the nearest region with a ready member get equal
        weights. Entries of farther regions follow with weight 0, for
        failover.
    """
    members_by_region: dict[str, list[Member]] = {}
    for member in members:
        members_by_region.setdefault(member.region, []).append(member)
    regions = sorted(
        members_by_region,
        key=lambda region: _delay_ms(configuration, client_region, region),
    )
    entries: list[LookupEntry] = []
    for index, region in enumerate(regions):
        region_members = sorted(
            members_by_region[region], key=lambda member: member.vm
        )
        weight = (
            TOTAL_WEIGHT_PERCENT // len(region_members) if index == 0 else 0
        )
        entries += [_entry(member, weight) for member in region_members]
    return LookupAnswer(
        tuple(_limit_entries(entries)),
        configuration.lookups.cache_ms,
        revision,
    )


def _delay_ms(
    configuration: Configuration, source: str, destination: str
) -> float:
    if source == destination:
        return 0.0
    link = configuration.link(source, destination)
    return link.one_way_delay_ms if link else float('inf')


def _entry(member: Member, weight_percent: int) -> LookupEntry:
    return LookupEntry(
        member.vm,
        member.http,
        member.incarnation,
        member.region,
        weight_percent,
    )


def _limit_entries(entries: list[LookupEntry]) -> list[LookupEntry]:
    """Keep every entry with weight, and at least two for failover."""
    weighted = sum(1 for entry in entries if entry.weight_percent)
    return entries[: max(MAX_ENTRIES, weighted + 2)]
