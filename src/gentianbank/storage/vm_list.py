"""The platform's lagging list of VMs, in Prometheus' HTTP SD format."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import httpx

from gentianbank.domain.errors import StoreUnavailable

_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedVM:
    """A VM as the platform lists it; a hint only."""

    vm: str
    region: str
    failure_domain: str
    peer: str
    leaving: bool


class VMList(ABC):
    """Port to the list."""

    @abstractmethod
    async def read(self) -> Result[tuple[ListedVM, ...], StoreUnavailable]:
        """Return the VMs of the system as the platform knows them."""


class HttpVMList(VMList):
    """Reads the list over HTTP."""

    def __init__(self, url: str, timeout_ms: int) -> None:
        self._url = url
        self._client = httpx.AsyncClient(
            timeout=timeout_ms / _MS_PER_S, trust_env=False
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(self) -> Result[tuple[ListedVM, ...], StoreUnavailable]:
        try:
            answer = await self._client.get(self._url)
            answer.raise_for_status()
            return Ok(tuple(_listed_vm(group) for group in answer.json()))
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            cause = f'VM list: {type(error).__name__} {error}'
            return Error(StoreUnavailable(cause.strip()))


def _listed_vm(group: dict[str, Any]) -> ListedVM:
    labels = group['labels']
    return ListedVM(
        vm=labels['vm'],
        region=labels['region'],
        failure_domain=labels['failure_domain'],
        peer=group['targets'][0],
        leaving=labels.get('state', 'live') != 'live',
    )
