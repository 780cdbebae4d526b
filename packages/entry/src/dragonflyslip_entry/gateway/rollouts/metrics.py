"""Prometheus metrics of the newest rollout of each service.

The number of series is bounded by the number of services with an order.
"""

from prometheus_client import core as metrics_core

from dragonflyslip_core import rollouts
from dragonflyslip_entry.gateway.rollouts import controller as controllers

_PREFIX = 'dragonflyslip_gateway_rollout_'
_LABELS = ('service', 'version')
_COUNTED_GROUPS = (rollouts.Group.NEW, rollouts.Group.CONTROL)


class RolloutCollector:
    """Exports stages, shares, requests in flight and counted responses."""

    def __init__(self, controller: controllers.RolloutController):
        self.controller = controller

    def collect(self):
        """Yield counters and gauges with their present values."""
        yield from self._collect_stages()
        yield self._collect_responses()

    def _collect_stages(self):
        stage = metrics_core.GaugeMetricFamily(
            _PREFIX + 'stage',
            'Stage in force, 0 held to 4 all, 5 succeeded, 6 rolled back',
            labels=_LABELS,
        )
        share = metrics_core.GaugeMetricFamily(
            _PREFIX + 'share',
            'Fraction of the requests that this gateway sends to the version',
            labels=_LABELS,
        )
        unfinished = metrics_core.GaugeMetricFamily(
            _PREFIX + 'unfinished_old',
            'Requests in flight at targets of other versions',
            labels=_LABELS,
        )
        versions = self.controller.versions
        now = self.controller.loop.time()
        for service, rollout in sorted(self.controller.known.items()):
            labels = (service, rollout.order.version)
            stage.add_metric(labels, int(rollout.stage))
            in_use = versions.filter.stage(service, now)
            share.add_metric(labels, in_use.share)
            unfinished.add_metric(labels, versions.unfinished_old(rollout))
        yield from (stage, share, unfinished)

    def _collect_responses(self) -> metrics_core.CounterMetricFamily:
        responses = metrics_core.CounterMetricFamily(
            _PREFIX + 'responses',
            'Counted responses by group of the comparison and result',
            labels=(*_LABELS, 'group', 'result'),
        )
        for service, counted in sorted(self.controller.counted.items()):
            version = counted.rollout.order.version
            for group in _COUNTED_GROUPS:
                for failed, result in ((False, 'success'), (True, 'failure')):
                    responses.add_metric(
                        (service, version, group.value, result),
                        counted.counts.responses[group, failed],
                    )
        return responses
