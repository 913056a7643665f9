"""Metrics of a node that serves before the metrics library is loaded."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
import importlib
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gentianbank.telemetry.metrics import Metrics

MAX_HELD_MEASUREMENTS = 20_000


@dataclass(frozen=True, slots=True)
class LabelledValue:
    """One of several values of a gauge."""

    value: float
    labels: dict[str, str]


@dataclass(frozen=True, slots=True)
class Gauge:
    """A value, or several with labels, read when metrics are scraped."""

    name: str
    description: str
    read: Callable[[], float | list[LabelledValue]]


@dataclass(frozen=True, slots=True)
class LabelledGauge:
    """Values of a bounded number of labels, read as a ``Gauge`` is.

    Parameters
    ----------
    label
        Name of the label.
    read
        Returns the value of each label.
    """

    name: str
    description: str
    label: str
    read: Callable[[], dict[str, float]]


class DeferredMetrics:
    """Holds measurements until the metrics library is loaded.

    The import of the library would delay the start of a node, so a node
    serves callers first and loads the library afterwards.

    Parameters
    ----------
    vm, region
        Attributes of the metrics.
    """

    def __init__(self, vm: str, region: str) -> None:
        self._vm = vm
        self._region = region
        self._metrics: Metrics | None = None
        self._held_measurements: deque[Callable[[Metrics], None]] = deque()
        self._dropped = 0

    def record(self, measure: Callable[[Metrics], None]) -> None:
        """Apply a measurement, now or once the library is loaded.

        Measurements beyond ``MAX_HELD_MEASUREMENTS`` are dropped until then.
        """
        if self._metrics is not None:
            measure(self._metrics)
        elif len(self._held_measurements) < MAX_HELD_MEASUREMENTS:
            self._held_measurements.append(measure)
        else:
            self._dropped += 1

    async def load(self, gauges: Iterable[Gauge | LabelledGauge]) -> None:
        """Import the library in a thread and apply the held measurements."""
        module = await asyncio.to_thread(
            importlib.import_module, 'gentianbank.telemetry.metrics'
        )
        metrics: Metrics = module.Metrics(self._vm, self._region)
        for gauge in gauges:
            if isinstance(gauge, LabelledGauge):
                metrics.add_labelled_gauge(
                    gauge.name, gauge.description, gauge.label, gauge.read
                )
            else:
                metrics.add_gauge(gauge.name, gauge.description, gauge.read)
        while self._held_measurements:
            self._held_measurements.popleft()(metrics)
        if self._dropped:
            logging.warning(
                'measurements dropped before the metrics library was loaded',
                extra={'count': self._dropped},
            )
        self._metrics = metrics

    def render(self) -> bytes | None:
        """Return all metrics as text; ``None`` until the library is loaded."""
        return self._metrics.render() if self._metrics else None
