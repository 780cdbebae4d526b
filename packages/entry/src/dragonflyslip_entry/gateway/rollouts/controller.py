"""Follows the orders and decisions about rollouts, and decides as a candidate.

All gateways follow the decisions; those that rendezvous hashing ranks first
for a service decide about it.
"""

import asyncio
import collections.abc
import random

import msgspec
from returns import result

from dragonflyslip_core import errors as core_errors
from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway.rollouts import decision_records
from dragonflyslip_entry.gateway.rollouts import fleet_view
from dragonflyslip_entry.gateway.rollouts import reports
from dragonflyslip_entry.gateway.rollouts import running as running_types
from dragonflyslip_entry.gateway.rollouts import selection
from dragonflyslip_entry.gateway.rollouts import stage_log
from dragonflyslip_entry.gateway.rollouts import statuses
from dragonflyslip_entry import logs

DECIDE_PERIOD_S = 0.1
# Time to write a status before the process ends.
CLOSE_TIMEOUT_S = 0.1


class RolloutController:
    """Keeps the rollouts of one gateway.

    :param decision_feed: name of the feed that holds the decisions.
    :param incarnation: number of this process, higher than that of its
        predecessor of the same name.
    :param exposure_share: share of the requests that a bad version may get.
    :ivar feed: this gateway's copy of that feed.
    :ivar known: the newest rollout of each service.
    :ivar running: the rollouts that run, by service.
    :ivar counted: counts of the newest rollout that ran, by service.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        log: adapters.RecordLog,
        decision_feed: str,
        network: fleet_view.Network,
        versions: selection.VersionSelection,
        encoder: statuses.StatusEncoder,
        incarnation: int,
        exposure_share: float,
    ):
        self.board = board
        self.log = log
        self.decision_feed = decision_feed
        self.feed = fleet_view.DecisionFeed()
        self.network = network
        self.versions = versions
        self.incarnation = incarnation
        self.exposure_share = exposure_share
        self.loop = asyncio.get_running_loop()
        self.orders = rollouts.OrderTable()
        self.decisions = rollouts.DecisionTable()
        self.running: dict[str, running_types.RunningRollout] = {}
        self.known: dict[str, rollouts.Rollout] = {}
        self.counted: dict[str, running_types.RunningRollout] = {}
        self._ranks: dict[str, int | None] = {}
        self.exchange = reports.ReportExchange(
            board, network, self.feed, versions, self.running
        )
        self.publisher = statuses.StatusPublisher(
            board, log, encoder, self.feed, self._is_in_force
        )

    def rollout_ordered(self, order: rollouts.RolloutOrder) -> None:
        """Apply the record of an order."""
        if self.orders.put(order, self.loop.time()):
            logs.info(
                'rollout ordered',
                service=order.service,
                version=order.version,
                duration_s=order.duration_s,
            )
        self._resolve(order.service)

    def rollout_withdrawn(
        self, service: str, position: feeds.Position
    ) -> None:
        """Apply the deletion of an order's record."""
        if self.orders.delete(service, position, self.loop.time()):
            logs.info('rollout order withdrawn', service=service)
        self._resolve(service)

    def rollouts_listed(
        self, services: frozenset[str], through: feeds.Position
    ) -> None:
        """Apply a complete list of the services that have an order."""
        known = [self.orders.of(service) for service in sorted(services)]
        self.orders.replace(
            [item.order for item in known if item is not None],
            through,
            self.loop.time(),
        )
        for service in list(self.known):
            self._resolve(service)

    def rollouts_through(self, through: feeds.Position) -> None:
        """Record up to which position the orders have been read."""
        self.orders.advance(through, self.loop.time())

    def apply(self, page: feeds.FeedPage) -> None:
        """Apply the records of the feed that are decisions."""
        now = self.loop.time()
        decoded = [
            item
            for record in page.records
            if decision_records.is_decision(record)
            and (item := self._decode(record)) is not None
        ]
        if page.complete:
            self.decisions.replace(decoded, now)
        else:
            for decision, position in decoded:
                self.decisions.merge(decision, position, now)
        for decision, _ in decoded:
            self._resolve(decision.order.service)

    async def run(self) -> None:
        """Report and decide until cancelled."""
        while True:
            await asyncio.sleep(DECIDE_PERIOD_S)
            for service in list(self.known):
                self._guard(self._update, service)

    def report_last(self) -> None:
        """Send the last reports of a gateway whose requests have ended."""
        for rollout in self.running.values():
            self._guard(self.exchange.report, rollout)

    async def close(self) -> None:
        """Finish what can be written at once, and end all tasks."""
        await self.publisher.close(CLOSE_TIMEOUT_S)
        appends = [
            rollout.appending
            for rollout in self.running.values()
            if rollout.appending is not None
        ]
        for task in appends:
            task.cancel()
        await asyncio.gather(*appends, return_exceptions=True)

    async def write_again(self) -> None:
        """Write decisions that the store has lost; see ``RecordOwner``."""
        self.publisher.forget()
        for decision in self.decisions.unlogged():
            service = decision.order.service
            if self._rank(service) is not None:
                await self.log.append(
                    self.decision_feed,
                    decision_records.encode_key(service),
                    decision_records.encode(decision),
                    self.feed.through,
                )
        for service in self.known:
            self._publish(service)

    def _guard(self, function: collections.abc.Callable, argument) -> None:
        """Call a function; an exception ends nothing else."""
        try:
            function(argument)
        except Exception as error:
            self.board.count('program_faults')
            logs.fault('rollout not updated', error)

    def _decode(
        self, record: feeds.FeedRecord
    ) -> tuple[rollouts.Decision, feeds.Position] | None:
        if record.value is None:
            return None
        try:
            decision = decision_records.decode(record.key, record.value)
        except (msgspec.DecodeError, RecursionError) as error:
            self.board.count('skipped_records')
            logs.info('record skipped', key=record.key, reason=str(error))
            return None
        return decision, record.position

    def _resolve(self, service: str) -> None:
        """Apply the order and the decision that are now in force."""
        now = self.loop.time()
        rollout = rollouts.resolve(service, self.orders, self.decisions, now)
        known = self.known.get(service)
        if rollout is None or rollout == known:
            return
        self.known[service] = rollout
        self.versions.set_rollout(service, rollout)
        self._update_running(rollout, now)
        if known is None or rollout.decision != known.decision:
            if rollout.decision is not None:
                stage_log.log_stage(rollout.decision)
                self.board.count('rollout_stages')
            self._publish(service)

    def _update_running(self, rollout: rollouts.Rollout, now: float) -> None:
        service = rollout.order.service
        running = self.running.get(service)
        if not rollout.is_running:
            self.running.pop(service, None)
            self.versions.counts.pop(service, None)
            return
        if (
            running is None
            or running.rollout.order.position != rollout.order.position
        ):
            running = running_types.RunningRollout(
                self.board.name,
                self.incarnation,
                rollout,
                now,
                self.exposure_share,
            )
            self.running[service] = running
            self.counted[service] = running
            self.versions.counts[service] = running.counts
        running.rollout = rollout

    def _update(self, service: str) -> None:
        """Report, and decide as a candidate, if that is due."""
        self.orders.expire(self.loop.time())
        self._resolve(service)
        rank = self._rank(service)
        if rank != self._ranks.get(service):
            # The decider before may have ended without writing the status.
            self._ranks[service] = rank
            self._publish(service)
        running = self.running.get(service)
        if running is None:
            return
        self.versions.refresh(service)
        now = self.loop.time()
        # A period may begin a little early.
        if (
            now - running.reported_at
            >= rollouts.REPORT_INTERVAL_S - DECIDE_PERIOD_S / 2
        ):
            self.exchange.report(running)
        if rank is None:
            return
        self.exchange.probe_silent(running)
        if running.appending is None and now >= running.retry_at:
            self._decide(running, rank, now)

    def _decide(
        self, running: running_types.RunningRollout, rank: int, now: float
    ) -> None:
        if self.feed.through is None:
            return
        decision = running.decider.next_decision(
            running.rollout, self._fleet_state(running.rollout), rank, now
        )
        if decision is not None:
            running.appending = self.loop.create_task(
                self._append(running, decision, self.feed.through)
            )

    async def _append(
        self,
        running: running_types.RunningRollout,
        decision: rollouts.Decision,
        at: feeds.Position,
    ) -> None:
        """Append a decision if the feed ends where this copy does.

        If it does not, the copy catches up, and the next decision follows
        from what it holds then.
        """
        try:
            self.board.count('rollout_appends')
            outcome = await self.log.append(
                self.decision_feed,
                decision_records.encode_key(decision.order.service),
                decision_records.encode(decision),
                at,
            )
            match outcome:
                case result.Success(position):
                    self.decisions.merge(
                        decision,
                        position,
                        self.loop.time(),
                    )
                    self._resolve(decision.order.service)
                case result.Failure(error):
                    if not isinstance(error, core_errors.LogEndError):
                        # The store is away, or the copy of another era.
                        running.retry_at = self.loop.time() + random.uniform(
                            statuses.RETRY_MIN_S, statuses.RETRY_MAX_S
                        )
                    self.board.count('rollout_append_failures')
                    logs.info(
                        'rollout decision not appended',
                        service=decision.order.service,
                        number=decision.number,
                        reason=error.message,
                    )
        except Exception as error:
            self.board.count('program_faults')
            logs.fault('rollout not decided', error)
        finally:
            running.appending = None

    def _fleet_state(self, rollout: rollouts.Rollout) -> rollouts.FleetState:
        service = rollout.order.service
        manifest = self.board.manifest
        timeouts = [
            route.timeout_s
            for route in ([] if manifest is None else manifest.routes)
            if any(part.service == service for part in route.services)
        ]
        return rollouts.FleetState.from_targets(
            rollout,
            self.versions.targets(service),
            frozenset(self.network.gateways),
            frozenset(self.network.gone),
            max(timeouts, default=0.0),
        )

    def _rank(self, service: str) -> int | None:
        return rollouts.rank_of(
            self.board.name, self.exchange.candidates(service)
        )

    def _publish(self, service: str) -> None:
        """Write the status as the decider, or look for it as a candidate."""
        rollout = self.known[service]
        decision = rollout.decision
        if decision is None:
            return
        rank = self._rank(service)
        if decision.decider == self.board.name:
            rank = 0
        elif rank is not None:
            rank += 1
        if rank is not None:
            self.publisher.publish(_published(decision), rank)

    def _is_in_force(self, published: statuses.PublishedStatus) -> bool:
        rollout = self.known.get(published.status.service)
        return (
            rollout is not None
            and rollout.decision is not None
            and _published(rollout.decision) == published
        )


def _published(decision: rollouts.Decision) -> statuses.PublishedStatus:
    return statuses.PublishedStatus(decision.order.position, decision.status)
