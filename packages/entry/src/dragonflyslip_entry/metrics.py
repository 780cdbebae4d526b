"""Prometheus metrics of one entry."""

import typing

import prometheus_client
from prometheus_client import core as metrics_core

from dragonflyslip_core import blackboard
from dragonflyslip_core import domains
from dragonflyslip_entry import service_control

_LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60)


class Metrics:
    """The metrics registry of one entry.

    Counters of the blackboard are exported as ``dragonflyslip_NAME_total``.

    :param board: the blackboard whose counters are exported.
    """

    def __init__(self, board: blackboard.Blackboard):
        self.registry = prometheus_client.CollectorRegistry()
        self._counters: dict[tuple[str, str], typing.Any] = {}
        self._histograms: dict[str, typing.Any] = {}
        self.registry.register(_CounterCollector(board))
        self.calls = prometheus_client.Counter(
            'dragonflyslip_calls',
            'Calls by service and response class',
            ['service', 'result'],
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            'dragonflyslip_refusals',
            'Calls refused by the entry',
            ['kind', 'outcome'],
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            'dragonflyslip_call_seconds',
            'Seconds from arrival to the end of the response',
            ['service'],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def observe(self, service: str, status: int, seconds: float) -> None:
        """Count a call that a target answered, and its duration."""
        self._call_counter(service, f'{status // 100}xx').inc()
        self._latency_of(service).observe(seconds)

    def count_refusal(self, kind: str, outcome: str) -> None:
        """Count a call that this entry refused."""
        self.refusals.labels(kind, outcome).inc()

    def _call_counter(self, service, result):
        # Cached: looking up labels takes longer than counting.
        key = (service, result)
        counter = self._counters.get(key)
        if counter is None:
            counter = self._counters[key] = self.calls.labels(*key)
        return counter

    def _latency_of(self, service):
        histogram = self._histograms.get(service)
        if histogram is None:
            histogram = self.latency.labels(service)
            self._histograms[service] = histogram
        return histogram

    def render(self) -> bytes:
        """Return the body that ``/metrics`` serves."""
        return prometheus_client.generate_latest(self.registry)


class ServiceCollector:
    """Gauges of all services, computed on each scrape.

    :param services: per-service state of this entry.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        services: service_control.ServiceTable,
    ):
        self.board = board
        self.services = services

    def collect(self):
        """Yield the gauges."""
        spare = metrics_core.GaugeMetricFamily(
            'dragonflyslip_spare_capacity',
            'Free fraction of slots after loss of the largest failure domain',
            labels=['service'],
        )
        shortage = metrics_core.GaugeMetricFamily(
            'dragonflyslip_healthy_shortage',
            'Whether too few targets look healthy',
            labels=['service'],
        )
        waiting = metrics_core.GaugeMetricFamily(
            'dragonflyslip_calls_waiting',
            'Calls that wait for a target',
            labels=['service'],
        )
        config = self.board.config
        for name, control in sorted(self.services.controls.items()):
            states = domains.in_service(
                self.board.service_targets.get(name, ()),
                config.domains_out,
                config.instances_out,
            )
            spare.add_metric(
                [name], domains.spare_capacity(states, control.profile.slots)
            )
            shortage.add_metric([name], float(control.candidates.too_few))
            waiting.add_metric([name], len(control.queue))
        yield from (spare, shortage, waiting)


class _CounterCollector:
    def __init__(self, board: blackboard.Blackboard):
        self.board = board

    def collect(self):
        for name, count in sorted(self.board.counters.items()):
            yield metrics_core.CounterMetricFamily(
                f'dragonflyslip_{name}', name.replace('_', ' '), value=count
            )
