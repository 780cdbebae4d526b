"""Exchange of reports and advice between the gateways and the candidates."""

import asyncio
import collections.abc
import typing

from dragonflyslip_core import errors as core_errors
from dragonflyslip_core import membership
from dragonflyslip_core import rollouts
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway.rollouts import fleet_view
from dragonflyslip_entry.gateway.rollouts import running as running_types
from dragonflyslip_entry.gateway.rollouts import selection
import dragonflyslip_wire as wire

# Gateways to which a candidate sends advice unasked at once.
MAX_PROBES = 50


class ReportExchange:
    """Sends reports to candidates, and responds to reports as a candidate.

    :param running: the rollouts that run, by service.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        network: fleet_view.Network,
        feed: fleet_view.DecisionFeed,
        versions: selection.VersionSelection,
        running: collections.abc.Mapping[str, running_types.RunningRollout],
    ):
        self.board = board
        self.network = network
        self.feed = feed
        self.versions = versions
        self.running = running
        self.loop = asyncio.get_running_loop()
        self._candidates: dict[str, tuple[str, ...]] = {}
        # What the candidates were derived from.
        self._domains: dict[str, str] = {}
        self._gone: frozenset[str] = frozenset()
        self._gateways: typing.Any = None
        network.handlers[wire.RolloutReport] = self.receive_report
        network.handlers[wire.RolloutAdvice] = self.receive_advice

    def candidates(self, service: str) -> tuple[str, ...]:
        """Return the names of the candidates for a service."""
        self._update_gateways()
        found = self._candidates.get(service)
        if found is None:
            found = self._candidates[service] = rollouts.candidates_of(
                service, self._domains, self._gone
            )
        return found

    def _update_gateways(self) -> None:
        """Forget the candidates if the gateways have changed."""
        gateways, gone = self.network.gateways, self.network.gone
        if gateways is self._gateways and gone == self._gone:
            return
        self._gateways = gateways
        domains = {
            name: gateway.failure_domain for name, gateway in gateways.items()
        }
        if domains != self._domains or gone != self._gone:
            self._domains, self._gone = domains, frozenset(gone)
            self._candidates.clear()

    def report(self, rollout: running_types.RunningRollout) -> None:
        """Send a report to each candidate."""
        now = self.loop.time()
        rollout.reported_at = now
        stage = self.versions.filter.stage(rollout.service, now)
        unfinished = self.versions.unfinished_old(rollout.rollout)
        for candidate in self.candidates(rollout.service):
            report = rollout.next_report(candidate, stage, unfinished)
            if candidate == self.board.name:
                advice = rollout.receive(report, True, now)
                self._apply(
                    rollout, advice, own_and_cut_off=not self.feed.is_fresh()
                )
                continue
            self._send_report(candidate, rollout.service, report)

    def probe_silent(self, rollout: running_types.RunningRollout) -> None:
        """Send advice to gateways without a report, which may have ended."""
        now = self.loop.time()
        others = self.network.gateways.keys() - self.network.gone
        silent = rollout.silent(others - {self.board.name}, now)
        if len(silent) > MAX_PROBES:
            silent = self.board.rng.sample(silent, MAX_PROBES)
        for name in silent:
            advice = rollout.unasked_advice(self.board.name, now)
            self._send(name, wire.RolloutAdvice(rollout.service, advice))

    def receive_report(
        self, sender: membership.EntryId, message: wire.RolloutReport
    ) -> None:
        """Merge a report and send advice to its reporter."""
        rollout = self.running.get(message.service)
        if (
            rollout is None
            or message.report.order != rollout.rollout.order.position
        ):
            # This gateway has not read the order yet, or it has ended.
            return
        now = self.loop.time()
        try:
            report = message.report.expand()
        except core_errors.RecordError:
            self.board.count('rollout_reports_malformed')
            return
        is_direct = report.reporter == sender.name
        advice = rollout.receive(report, is_direct, now)
        if not is_direct:
            return
        missing: tuple[wire.MissingReports, ...] = ()
        if sender.name in self.candidates(message.service):
            others = self.network.gateways.keys() - self.network.gone
            missing = rollout.missing(
                others - {self.board.name, sender.name}, now
            )
        self._send(
            sender.name,
            wire.RolloutAdvice(message.service, advice, missing),
        )

    def receive_advice(
        self, sender: membership.EntryId, message: wire.RolloutAdvice
    ) -> None:
        """Apply advice, and forward reports that its sender lacks."""
        rollout = self.running.get(message.service)
        if (
            rollout is None
            or message.advice.order != rollout.rollout.order.position
            or message.advice.candidate != sender.name
        ):
            return
        self._apply(rollout, message.advice)
        if message.missing:
            for report in rollout.forward(message.missing):
                self.board.count('rollout_reports_forwarded')
                self._send_report(sender.name, message.service, report)

    def _apply(
        self,
        rollout: running_types.RunningRollout,
        advice: rollouts.Advice,
        own_and_cut_off: bool = False,
    ) -> None:
        rollout.record_advice(advice)
        self.versions.filter.record_advice(
            rollout.service, advice, self.loop.time(), own_and_cut_off
        )

    def _send_report(
        self, name: str, service: str, report: rollouts.Report
    ) -> None:
        self._send(
            name,
            wire.RolloutReport(service, self.board.name, report.compact()),
        )

    def _send(self, name: str, message: wire.Message) -> None:
        try:
            sent = self.network.send(name, message)
        except wire.WireError:
            # A report names too many routes or targets.
            self.board.count('rollout_messages_too_long')
            return
        self.board.count(
            'rollout_messages_sent' if sent else 'rollout_messages_refused'
        )
