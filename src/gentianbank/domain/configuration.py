"""The operators' configuration and the validation of it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
import functools
import ipaddress
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain import schema
from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument

FULL_SHARE_PERCENT = 100
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
MAX_V6_PREFIX_LENGTH = 64
# The client map numbers sites with 16 bits.
MAX_SITES = 60_000
SMALL = 'small'
LARGE = 'large'


@dataclass(frozen=True, slots=True, kw_only=True)
class Region:
    """A region and its capacity.

    Parameters
    ----------
    failure_domains
        Names of the failure domains in the region.
    declared_nodes
        Nodes that may run in the region at most. The part of a budget that
        each node may always use is computed from it.
    max_in_flight
        Requests that may be in flight to targets of the region at once.
    """

    failure_domains: tuple[str, ...] = schema.sequence(
        str, schema.NAME_PATTERN
    )
    declared_nodes: int = schema.integer(1, 10_000)
    max_in_flight: int = schema.integer(1, 10_000_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class Link:
    """One direction of the connection between two regions."""

    source: str = schema.name()
    destination: str = schema.name()
    cap_mbit_per_s: int = schema.integer(1, 10_000_000)
    one_way_delay_ms: float = schema.number(0, 10_000)

    @property
    def name(self) -> str:
        """Return the name of the link's budget."""
        return link_name(self.source, self.destination)

    @property
    def cap_bytes_per_s(self) -> float:
        """Return the cap in bytes per second."""
        return self.cap_mbit_per_s * BITS_PER_MBIT / BITS_PER_BYTE


@dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """A location of clients; look-ups send them to its region."""

    region: str = schema.name()


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientBlock:
    """A block of client addresses at a site."""

    prefix: str = schema.text(r'[0-9a-fA-F.:]+/\d{1,3}')
    site: str = schema.name()


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A back end of a service.

    Parameters
    ----------
    slots
        Requests that the target processes at once.
    max_connections
        Connections that all nodes together may hold to the target.
    draining
        Whether the target gets no new requests.
    """

    name: str = schema.name()
    failure_domain: str = schema.name()
    address: str = schema.text(schema.ADDRESS_PATTERN)
    slots: int = schema.integer(1, 10_000)
    max_connections: int = schema.integer(1, 100_000)
    draining: bool = schema.flag(default=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """A region where a service runs, and its share of the traffic."""

    region: str = schema.name()
    share_percent: int = schema.integer(0, FULL_SHARE_PERCENT)
    targets: tuple[Target, ...] = schema.sequence(Target)


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that callers reach through the entry VMs.

    Parameters
    ----------
    idempotent_methods
        HTTP methods that may be sent more than once.
    deadline_ms
        Deadline of a request whose caller sets none, counted from its
        arrival.
    max_deadline_ms
        Longest deadline that a caller may ask for.
    transfer
        ``large`` for services with large answers. They may use only a part
        of each budget, so that requests of ``small`` services are not held
        up.
    """

    idempotent_methods: tuple[str, ...] = schema.sequence(str, r'[A-Z]{1,20}')
    deadline_ms: int = schema.integer(1, 3_600_000)
    max_deadline_ms: int = schema.integer(1, 3_600_000)
    transfer: str = schema.text(choices=(SMALL, LARGE), default=SMALL)
    places: tuple[Place, ...] = schema.sequence(Place)

    @property
    def targets(self) -> tuple[Target, ...]:
        """Return the targets of every place."""
        return tuple(
            target for place in self.places for target in place.targets
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Lookups:
    """How look-ups are answered.

    Parameters
    ----------
    cache_ms
        Time for which callers may cache an answer.
    """

    cache_ms: int = schema.integer(100, 3_600_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Everything that operators decide, checked as a whole."""

    lookups: Lookups = schema.nested(Lookups)
    regions: dict[str, Region] = schema.mapping(Region)
    links: tuple[Link, ...] = schema.sequence(Link, default=())
    sites: dict[str, Site] = schema.mapping(Site, default_factory=dict)
    client_blocks: tuple[ClientBlock, ...] = schema.sequence(
        ClientBlock, default=()
    )
    services: dict[str, Service] = schema.mapping(
        Service, default_factory=dict
    )

    def link(self, source: str, destination: str) -> Link | None:
        """Return the link from one region to another, if there is one."""
        return self.links_by_name().get(link_name(source, destination))

    def links_by_name(self) -> dict[str, Link]:
        """Return the links by their names."""
        return {link.name: link for link in self.links}


@functools.lru_cache(maxsize=4096)
def link_name(source: str, destination: str) -> str:
    """Return the name of a link, ``source>destination``."""
    return f'{source}>{destination}'


def read_configuration(
    raw: Any, source: str
) -> Result[Configuration, InvalidDocument]:
    """Check the fields of a configuration document and their relations.

    Parameters
    ----------
    raw
        Plain document.
    source
        File or call that the document came from, named in errors.
    """
    match schema.read(Configuration, raw, source):
        case Result(tag='ok', ok=configuration):
            errors = _cross_check(configuration)
            if errors:
                return Error(InvalidDocument(source, tuple(errors)))
            return Ok(configuration)
        case Result(error=error):
            return Error(error)
    raise AssertionError('a result is either ok or an error')


def _cross_check(configuration: Configuration) -> list[FieldError]:
    return [
        *_check_links(configuration),
        *_check_sites(configuration),
        *_check_client_blocks(configuration),
        *_check_services(configuration),
    ]


def _check_links(configuration: Configuration) -> list[FieldError]:
    errors = []
    for index, link in enumerate(configuration.links):
        for end_name in ('source', 'destination'):
            region = getattr(link, end_name)
            if region not in configuration.regions:
                path = f'links[{index}].{end_name}'
                errors.append(_unknown_name(path, 'region', region))
        if link.source == link.destination:
            path = f'links[{index}].destination'
            errors.append(FieldError(path, 'equals the source'))
    names = Counter(link.name for link in configuration.links)
    for index, link in enumerate(configuration.links):
        if names[link.name] > 1:
            cause = f'link {link.name} is declared twice'
            errors.append(FieldError(f'links[{index}]', cause))
    return errors


def _check_sites(configuration: Configuration) -> list[FieldError]:
    errors = [
        _unknown_name(f'sites.{name}.region', 'region', site.region)
        for name, site in configuration.sites.items()
        if site.region not in configuration.regions
    ]
    if len(configuration.sites) > MAX_SITES:
        errors.append(FieldError('sites', f'more than {MAX_SITES}'))
    return errors


def _check_client_blocks(configuration: Configuration) -> list[FieldError]:
    errors = []
    seen: set[str] = set()
    for index, block in enumerate(configuration.client_blocks):
        path = f'client_blocks[{index}]'
        if block.site not in configuration.sites:
            errors.append(_unknown_name(f'{path}.site', 'site', block.site))
        cause = _check_prefix(block.prefix)
        if cause:
            errors.append(FieldError(f'{path}.prefix', cause))
        if block.prefix in seen:
            errors.append(FieldError(f'{path}.prefix', 'is named twice'))
        seen.add(block.prefix)
    return errors


def _check_prefix(prefix: str) -> str:
    try:
        network = ipaddress.ip_network(prefix)
    except ValueError as error:
        return str(error)
    if network.version == 6 and network.prefixlen > MAX_V6_PREFIX_LENGTH:
        return f'is longer than /{MAX_V6_PREFIX_LENGTH}'
    return ''


def _check_services(configuration: Configuration) -> list[FieldError]:
    errors = []
    owners: dict[str, str] = {}
    for name, service in configuration.services.items():
        path = f'services.{name}'
        errors += _check_service(configuration, service, path)
        for target in service.targets:
            if target.name in owners:
                cause = f'target {target.name} is already in '
                errors.append(FieldError(path, cause + owners[target.name]))
            owners[target.name] = name
    return errors


def _check_service(
    configuration: Configuration, service: Service, path: str
) -> list[FieldError]:
    errors = []
    share_percent = sum(place.share_percent for place in service.places)
    if share_percent != FULL_SHARE_PERCENT:
        cause = f'shares add up to {share_percent}, not 100 percent'
        errors.append(FieldError(f'{path}.places', cause))
    if service.deadline_ms > service.max_deadline_ms:
        cause = f'is over max_deadline_ms ({service.max_deadline_ms})'
        errors.append(FieldError(f'{path}.deadline_ms', cause))
    regions = Counter(place.region for place in service.places)
    for index, place in enumerate(service.places):
        place_path = f'{path}.places[{index}]'
        if regions[place.region] > 1:
            cause = f'region {place.region} is named twice'
            errors.append(FieldError(f'{place_path}.region', cause))
        errors += _check_place(configuration, place, place_path)
    return errors


def _check_place(
    configuration: Configuration, place: Place, path: str
) -> list[FieldError]:
    region = configuration.regions.get(place.region)
    if region is None:
        return [_unknown_name(f'{path}.region', 'region', place.region)]
    errors = []
    if place.share_percent and not place.targets:
        errors.append(FieldError(f'{path}.targets', 'a share needs targets'))
    for index, target in enumerate(place.targets):
        if target.failure_domain not in region.failure_domains:
            errors.append(
                _unknown_name(
                    f'{path}.targets[{index}].failure_domain',
                    f'failure domain of region {place.region}',
                    target.failure_domain,
                )
            )
    return errors


def _unknown_name(path: str, kind: str, value: str) -> FieldError:
    return FieldError(path, f'unknown {kind} {value!r}')
