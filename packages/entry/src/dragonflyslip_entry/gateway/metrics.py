"""Prometheus metrics of one gateway."""

import typing

import prometheus_client
from prometheus_client import core as metrics_core

from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway.quotas import statistics as quota_statistics
from dragonflyslip_entry import logs

_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.5, 0.7, 1, 1.5, 2, 3, 5, 10)


class GatewayMetrics:
    """The Prometheus registry of one gateway.

    The counters of the shared state are exported as
    ``dragonflyslip_gateway_NAME_total``.
    """

    def __init__(self, board: board_types.GatewayBoard):
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(_BoardCollector(board))
        self.requests = prometheus_client.Counter(
            'dragonflyslip_gateway_requests',
            'Requests by service and status, 0 if the caller disconnected',
            ['service', 'status'],
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            'dragonflyslip_gateway_request_seconds',
            'Seconds from arrival to the response',
            ['service'],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )

    def add_collector(self, collector: typing.Any) -> None:
        """Export the metrics that a collector yields."""
        self.registry.register(collector)

    def request_ended(self, service: str, status: int, seconds: float) -> None:
        """Count a request that was answered or whose caller disconnected.

        :param status: 0 if the caller disconnected.
        """
        self.requests.labels(service, str(status)).inc()
        self.latency.labels(service).observe(seconds)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


class _BoardCollector:
    def __init__(self, board: board_types.GatewayBoard):
        self.board = board

    def collect(self):
        """Yield counters and gauges with their present values."""
        prefix = 'dragonflyslip_gateway_'
        for name, count in sorted(self.board.counters.items()):
            yield metrics_core.CounterMetricFamily(
                prefix + name, name.replace('_', ' '), value=count
            )
        yield metrics_core.CounterMetricFamily(
            prefix + 'log_lines_dropped',
            'Log lines dropped because the queue was full',
            value=logs.dropped(),
        )
        manifest = self.board.manifest
        gauges = {
            'manifest_version': manifest.version if manifest else 0,
            'targets': len(self.board.directory.targets),
            'domains_out': len(self.board.directory.domains_out),
            'domains_held_out': len(self.board.directory.held_domains),
            'ready': int(self.board.ready),
            'store_era': self.board.store_era,
        }
        for name, value in gauges.items():
            yield metrics_core.GaugeMetricFamily(
                prefix + name, name.replace('_', ' '), value=value
            )


class QuotaCollector:
    def __init__(self, statistics: quota_statistics.QuotaStatistics):
        self.statistics = statistics

    def collect(self):
        """Yield the requests of the accounts with the most of them."""
        for name, totals in (
            ('admitted', self.statistics.admitted_totals),
            ('limited', self.statistics.limited_totals),
        ):
            family = metrics_core.CounterMetricFamily(
                f'dragonflyslip_gateway_account_requests_{name}',
                f'Requests of client accounts with a limit: {name}',
                labels=['account'],
            )
            for account, count in self.statistics.largest(totals):
                family.add_metric([account], count)
            yield family
