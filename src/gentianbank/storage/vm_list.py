"""The platform's list of VMs, in the HTTP SD format of Prometheus.

The list lags behind the real state of the VMs.
"""

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
    """A VM on the platform's list, which may be out of date.

    Parameters
    ----------
    peer
        Address at which other nodes connect to the node on this VM.
    leaving
        The platform lists the VM in another state than ``live``.
    """

    vm: str
    region: str
    failure_domain: str
    peer: str
    leaving: bool


class VMList(ABC):
    """Reads the platform's list of VMs."""

    @abstractmethod
    async def read(self) -> Result[tuple[ListedVM, ...], StoreUnavailable]:
        """Return the VMs on the platform's list."""


class HttpVMList(VMList):
    """Reads the list over HTTP.

    Parameters
    ----------
    url
        URL of the list.
    timeout_ms
        Timeout of each phase of a request: connect, read, write.
    """

    def __init__(self, url: str, timeout_ms: int) -> None:
        self._url = url
        self._client = httpx.AsyncClient(
            timeout=timeout_ms / _MS_PER_S, trust_env=False
        )

    async def close(self) -> None:
        """Close the HTTP client."""
        await self._client.aclose()

    async def read(self) -> Result[tuple[ListedVM, ...], StoreUnavailable]:
        try:
            answer = await self._client.get(self._url)
            answer.raise_for_status()
            return Ok(
                tuple(_decode_listed_vm(group) for group in answer.json())
            )
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            cause = f'VM list: {type(error).__name__} {error}'
            return Error(StoreUnavailable(cause.strip()))


def _decode_listed_vm(group: dict[str, Any]) -> ListedVM:
    labels = group['labels']
    return ListedVM(
        vm=labels['vm'],
        region=labels['region'],
        failure_domain=labels['failure_domain'],
        peer=group['targets'][0],
        leaving=labels.get('state', 'live') != 'live',
    )
