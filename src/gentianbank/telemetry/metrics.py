"""Metrics of a node: OpenTelemetry, exported in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest

from gentianbank.telemetry.deferred import LabelledValue

ReadGauge = Callable[[], float | list[LabelledValue]]


class Metrics:
    """Counters, histograms and gauges of a node.

    Parameters
    ----------
    vm, region
        Attributes of the OpenTelemetry resource.
    """

    def __init__(self, vm: str, region: str) -> None:
        self._reader = PrometheusMetricReader()
        resource = Resource({'service.instance.id': vm, 'region': region})
        provider = MeterProvider([self._reader], resource)
        self._meter = provider.get_meter('gentianbank')
        self._requests = self._meter.create_counter(
            'gentianbank.requests', description='Requests by outcome.'
        )
        self._duration = self._meter.create_histogram(
            'gentianbank.request.duration', 'ms', 'Time to the last byte.'
        )
        self._retries = self._meter.create_counter(
            'gentianbank.retries', description='Attempts after the first.'
        )
        self._crossed = self._meter.create_counter(
            'gentianbank.answers.crossed',
            description='Answers to another request, refused.',
        )
        self._attempts = self._meter.create_histogram(
            'gentianbank.attempt.duration',
            'ms',
            'Time at a target.',
        )
        self._held = self._meter.create_histogram(
            'gentianbank.request.held', 'ms', 'Time until a request is sent.'
        )
        self._store_calls = self._meter.create_counter(
            'gentianbank.store.calls', description='Calls to the store.'
        )
        self._status_checks = self._meter.create_counter(
            'gentianbank.targets.checks',
            description='Status checks of targets that were lost or leave.',
        )
        self._cut_off = self._meter.create_counter(
            'gentianbank.callers.cut_off',
            description='Connections of callers that were cut off.',
        )
        self._lookups = self._meter.create_counter(
            'gentianbank.lookups', description='Look-ups answered.'
        )

    def on_request(
        self, service: str, outcome: str, duration_ms: float
    ) -> None:
        """Count a request that has ended."""
        labels = {'service': service, 'outcome': outcome}
        self._requests.add(1, labels)
        self._duration.record(duration_ms, labels)

    def on_retry(self, service: str) -> None:
        """Count an attempt after the first."""
        self._retries.add(1, {'service': service})

    def on_crossed(self, service: str) -> None:
        """Count an answer that belongs to another request."""
        self._crossed.add(1, {'service': service})

    def on_final_answer(
        self, service: str, kind: str, outcome: str, duration_ms: float
    ) -> None:
        """Count a request that has ended, by the kind of its route."""
        labels = {'service': service, 'kind': kind, 'outcome': outcome}
        self._requests.add(1, labels)
        self._duration.record(duration_ms, labels)

    def on_attempt(
        self, service: str, outcome: str, held_ms: float, took_ms: float
    ) -> None:
        """Count an attempt at a target.

        Parameters
        ----------
        held_ms
            Time from the arrival of the request until the attempt was sent.
        took_ms
            Time from then until the outcome of the attempt.
        """
        self._held.record(held_ms, {'service': service})
        labels = {'service': service, 'outcome': outcome}
        self._attempts.record(took_ms, labels)

    def on_store_call(self, call: str, outcome: str, role: str) -> None:
        """Count a call to the store.

        Parameters
        ----------
        role
            Role of the node at the store; empty if its region has none.
        """
        labels = {'call': call, 'outcome': outcome}
        if role:
            labels['role'] = role
        self._store_calls.add(1, labels)

    def on_status_check(self, outcome: str) -> None:
        """Count a status check of a target."""
        self._status_checks.add(1, {'outcome': outcome})

    def on_cut_off(self, port: str, reason: str) -> None:
        """Count a connection that was cut off."""
        self._cut_off.add(1, {'port': port, 'reason': reason})

    def on_lookup(self) -> None:
        """Count a look-up."""
        self._lookups.add(1)

    def add_gauge(self, name: str, description: str, read: ReadGauge) -> None:
        """Register a value that is read when metrics are scraped."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            values = read()
            if not isinstance(values, list):
                return [Observation(values)]
            return [Observation(item.value, item.labels) for item in values]

        self._meter.create_observable_gauge(
            f'gentianbank.{name}', [observe], description=description
        )

    def add_labelled_gauge(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], dict[str, float]],
    ) -> None:
        """Register values of several labels, read as in ``add_gauge``."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {label: key})
                for key, value in read().items()
            ]

        self._meter.create_observable_gauge(
            f'gentianbank.{name}', [observe], description=description
        )

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest()
