"""State of one rollout at one gateway, until its end."""

import asyncio
import collections.abc

from dragonflyslip_core import rollouts
from dragonflyslip_entry.gateway.rollouts import response_counts
import dragonflyslip_wire as wire

# A process that has sent no report itself for this time, which is that of
# three reports, may be unable to reach a candidate. Another one is asked to
# forward its reports.
FORWARD_AFTER_S = 0.75
# A gateway that has sent no report may have ended. A message tells, since its
# address then refuses connections.
PROBE_PERIOD_S = 1.0


class RunningRollout:
    """Counts and evidence of one gateway about one order.

    Times are monotonic seconds.

    :param name: name of this gateway.
    :param incarnation: number of its process, higher than that of its
        predecessor.
    :param exposure_share: share of the requests that a bad version may get.
    :ivar rollout: what is known of the rollout.
    :ivar counts: what this gateway counts itself.
    :ivar decider: evidence and decisions as a candidate.
    :ivar appending: the append of a decision, while it runs.
    :ivar retry_at: when the next append may begin.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        rollout: rollouts.Rollout,
        now: float,
        exposure_share: float,
    ):
        self.rollout = rollout
        self.started_at = now
        self.counts = response_counts.ResponseCounts(
            rollouts.ReportCounter(name, incarnation, rollout.order.position)
        )
        self.decider = rollouts.Decider(name, rollout.order, exposure_share)
        self.appending: asyncio.Task[None] | None = None
        self.retry_at = float('-inf')
        self.reported_at = float('-inf')
        # Newest report that each candidate has acknowledged.
        self.acknowledged: dict[str, int] = {}
        # When each gateway last sent a report itself.
        self._heard_at: dict[str, float] = {}
        self._probed_at = float('-inf')

    @property
    def service(self) -> str:
        """The service of the rollout."""
        return self.rollout.order.service

    def next_report(
        self, candidate: str, stage: rollouts.Stage, unfinished_old: int
    ) -> rollouts.Report:
        """Return the next report for a candidate."""
        return self.counts.counter.report(
            self.acknowledged.get(candidate, 0), stage, unfinished_old
        )

    def record_advice(self, advice: rollouts.Advice) -> None:
        """Record which report a candidate has acknowledged."""
        self.acknowledged[advice.candidate] = advice.acknowledged

    def receive(
        self, report: rollouts.Report, is_direct: bool, now: float
    ) -> rollouts.Advice:
        """Merge a report and return the advice to its reporter.

        :param is_direct: whether the reporter sent it itself.
        """
        if is_direct:
            self._heard_at[report.reporter] = now
        return self.decider.receive(report, self.rollout, now)

    def missing(
        self, names: collections.abc.Iterable[str], now: float
    ) -> tuple[wire.MissingReports, ...]:
        """Return the processes whose reports other candidates may have.

        :param names: the registered gateways.
        """
        if now - self.started_at < FORWARD_AFTER_S:
            return ()
        known = {
            name: (incarnation, through)
            for (
                name,
                incarnation,
            ), through in self.decider.evidence.acknowledgements().items()
        }
        silent = [
            name
            for name in names
            if now - self._heard_at.get(name, float('-inf')) > FORWARD_AFTER_S
        ]
        return tuple(
            wire.MissingReports(name, *known.get(name, (0, 0)))
            for name in sorted(silent)[: wire.MAX_MISSING]
        )

    def silent(
        self, names: collections.abc.Iterable[str], now: float
    ) -> list[str]:
        """Return gateways without any report, once in ``PROBE_PERIOD_S``."""
        if now - max(self._probed_at, self.started_at) < PROBE_PERIOD_S:
            return []
        self._probed_at = now
        return sorted(set(names) - self.decider.evidence.reporters)

    def unasked_advice(self, name: str, now: float) -> rollouts.Advice:
        """Return advice for a gateway that has sent no report.

        :param name: name of this gateway.
        """
        order = self.rollout.order.position
        bad = self.decider.judge(self.rollout, now).bad
        return rollouts.Advice(name, order, bad, 0)

    def forward(
        self, missing: collections.abc.Iterable[wire.MissingReports]
    ) -> list[rollouts.Report]:
        """Return what another candidate lacks of some processes."""
        evidence = self.decider.evidence
        wanted = {item.reporter: item for item in missing}
        known = evidence.acknowledgements()
        for reporter, incarnation in known:
            item = wanted.get(reporter)
            if item is not None:
                same = item.incarnation == incarnation
                through = item.acknowledged if same else 0
                known[reporter, incarnation] = through
        return evidence.forward(known)
