"""Model of a fleet that moves a service to another version, in virtual time.

The gateways use the decisions of the core. Requests arrive as a Poisson
process and run at targets that slow down under load. Links between gateways
have no delay; a record of the log reaches each gateway within 0.6 s.
"""

import collections
import collections.abc
import heapq
import itertools
import math
import random

from dragonflyslip_core import feeds
from dragonflyslip_core import placement
from dragonflyslip_core import rollouts
from dragonflyslip_core.rollouts import fleet
from dragonflyslip_testing import rollout_scenarios as scenarios

SERVICE, OLD, NEW = 's', 'v1', 'v2'
DOMAINS = 'abc'
LOG_DELAYS_S = (0.05, 0.6)
DECIDE_INTERVAL_S = 0.125
# Spread of response times: standard deviation of their logarithm.
LOG_SPREAD = 0.4
TIMEOUT_S = 2.0
# Simulated time after the duration, and after the end of the rollout unless a
# gateway is cut off: no other one sends requests to the version then.
AFTER_S = 7.0
AFTER_END_S = 2.0


class _Target:
    def __init__(
        self, number: int, version: str, scenario: scenarios.Scenario
    ):
        self.target_id = f'{version}-{number}'
        self.version = version
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.running = 0
        fault = scenario.version if version == NEW else scenario.old_version
        self.faults = [] if fault is None else [fault]


class _Gateway:
    def __init__(self, name: str):
        self.name = name
        self.orders = rollouts.OrderTable()
        self.decisions = rollouts.DecisionTable()
        self.filter = rollouts.VersionFilter()
        self.rollout: rollouts.Rollout | None = None
        self.counter: rollouts.ReportCounter | None = None
        self.decider: rollouts.Decider | None = None
        self.acknowledged: collections.Counter[str] = collections.Counter()
        self.cut_off = False
        self.log_end = 0
        self.running_old = 0


def _slowdown(running: int, slots: int) -> float:
    """Return the factor on the response time of a target under load."""
    if running < placement.CONGESTION_UTILISATION * slots:
        return 1.0
    return placement.CONGESTION_FACTOR * max(1.0, running / slots)


class RolloutModel:
    """One rollout; :meth:`run` returns its outcome."""

    def __init__(self, scenario: scenarios.Scenario, seed: int):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now = 0.0
        self.outcome = scenarios.Outcome()
        self._end = scenario.duration_s + AFTER_S
        self._has_succeeded = False
        self._events: list[tuple[float, int, tuple]] = []
        self._ties = itertools.count()
        self._sorted_ids: dict[
            collections.abc.Set[str] | None, tuple[str, ...]
        ] = {}
        self._targets = {
            target.target_id: target
            for version in (OLD, NEW)
            for number in range(scenario.targets)
            for target in [_Target(number, version, scenario)]
        }
        self.gateways = [_Gateway(f'g{n}') for n in range(scenario.gateways)]
        self._versioned = {
            is_warm: self._list_targets(is_warm) for is_warm in (False, True)
        }
        self.names = {
            gateway.name: DOMAINS[n % len(DOMAINS)]
            for n, gateway in enumerate(self.gateways)
        }
        self.candidates = rollouts.candidates_of(SERVICE, self.names)
        self._by_name = {g.name: g for g in self.gateways}
        self._start()

    def _start(self) -> None:
        position = feeds.Position(0, 1)
        order = rollouts.RolloutOrder(
            SERVICE, NEW, self.scenario.duration_s, position
        )
        ranked = fleet.rank_new_targets(order, self._versioned[True])
        for rank, fault in self.scenario.machines:
            self._targets[ranked[rank].target_id].faults.append(fault)
        old = [t for t in self._versioned[False] if t.version == OLD]
        for gateway in self.gateways:
            gateway.orders.put(order, 0.0)
            gateway.counter = rollouts.ReportCounter(gateway.name, 1, position)
            if gateway.name in self.candidates:
                gateway.decider = rollouts.Decider(gateway.name, order)
            gateway.filter.set_targets(SERVICE, old, 0.0)
            self._resolve(gateway)
            self._set_targets(gateway)
            offset_s = self.rng.uniform(0.0, rollouts.REPORT_INTERVAL_S)
            self._at(offset_s, self._report, gateway)
            if gateway.decider is not None:
                self._at(offset_s, self._decide, gateway)
            self._at(self.scenario.cold_s, self._set_targets, gateway)
        isolated = [g for g in self.gateways if g.decider is None]
        isolated = isolated or [self._by_name[self.candidates[-1]]]
        self._at(self.scenario.cut_off_s, self._cut_off, isolated[0])
        self._at(0.0, self._arrive)

    def run(self) -> scenarios.Outcome:
        """Run until some seconds after the duration."""
        duration_s = self.scenario.duration_s
        while self._events and self._events[0][0] < self._end:
            self.now, _, (action, *arguments) = heapq.heappop(self._events)
            action(*arguments)
        # What would have arrived after the end of the simulation.
        left_s = max(0.0, duration_s - self._end)
        self.outcome.requests += int(left_s * self.scenario.rate)
        return self.outcome

    def _at(self, at: float, *event) -> None:
        heapq.heappush(self._events, (at, next(self._ties), event))

    def _list_targets(self, is_warm: bool) -> list[rollouts.VersionedTarget]:
        return [
            rollouts.VersionedTarget(
                t.target_id,
                t.version,
                self.scenario.slots,
                t.domain,
                warm=t.version == OLD or is_warm,
            )
            for t in self._targets.values()
        ]

    def _current_targets(self) -> list[rollouts.VersionedTarget]:
        return self._versioned[self.now >= self.scenario.cold_s]

    def _set_targets(self, gateway: _Gateway) -> None:
        gateway.filter.set_targets(SERVICE, self._current_targets(), self.now)

    def _resolve(self, gateway: _Gateway) -> None:
        gateway.rollout = rollouts.resolve(
            SERVICE, gateway.orders, gateway.decisions, self.now
        )
        gateway.filter.set_rollout(SERVICE, gateway.rollout, self.now)

    def _cut_off(self, gateway: _Gateway) -> None:
        gateway.cut_off = True

    # Requests.

    def _arrive(self) -> None:
        scenario, rng = self.scenario, self.rng
        begins, ends, factor = scenario.burst
        rate = scenario.rate * (factor if begins <= self.now < ends else 1.0)
        self._at(self.now + rng.expovariate(rate), self._arrive)
        gateway = self.gateways[int(rng.random() * len(self.gateways))]
        number = rng.random()
        route = 0
        while number > scenario.routes[route] and route + 1 < len(
            scenario.routes
        ):
            number -= scenario.routes[route]
            route += 1
        if self.now <= scenario.duration_s:
            self.outcome.requests += 1
        gateway.counter.record_request()
        assignment = gateway.filter.assign(SERVICE, rng, self.now)
        self._send(gateway, assignment, f'r{route}', True)

    def _send(self, gateway, assignment, route: str, first: bool) -> None:
        ids = assignment.targets
        usable = self._sorted(ids)
        rng = self.rng
        if not usable:
            return
        one = self._targets[usable[int(rng.random() * len(usable))]]
        two = self._targets[usable[int(rng.random() * len(usable))]]
        target = one if one.running <= two.running else two
        if target.running >= 2 * self.scenario.slots:
            return
        if target.version == NEW:
            self.outcome.exposed += 1
            self.outcome.last_new_at = self.now
        else:
            gateway.running_old += 1
            if self._has_succeeded and not gateway.cut_off:
                self.outcome.old_at_end += 1
        usual_s = self.scenario.usual_s * (1 + 2 * (route == 'r2'))
        took_s = usual_s * math.exp(rng.gauss(0.0, LOG_SPREAD))
        took_s *= _slowdown(target.running + 1, self.scenario.slots)
        failed = bad = False
        for fault in target.faults:
            if not self._shows(fault, target, route):
                continue
            if rng.random() < fault.failing:
                failed = bad = True
            elif fault.slower > 1.0 and rng.random() < fault.slow:
                took_s *= fault.slower
                bad = True
        target.running += 1
        cell = assignment.cell(route, target.target_id)
        self._at(
            self.now + min(took_s, TIMEOUT_S),
            self._respond,
            gateway,
            target,
            cell,
            (failed or took_s > TIMEOUT_S, bad, took_s, route, first),
        )

    def _sorted(self, ids: collections.abc.Set[str] | None) -> tuple[str, ...]:
        """Return ids in an order that is the same in each run."""
        found = self._sorted_ids.get(ids)
        if found is None:
            names = self._targets if ids is None else ids
            found = self._sorted_ids[ids] = tuple(sorted(names))
        return found

    def _shows(
        self, fault: scenarios.Fault, target: _Target, route: str
    ) -> bool:
        return (
            self.now >= fault.since_s
            and fault.route in ('', route)
            and target.running >= fault.running
        )

    def _respond(self, gateway, target, cell, response) -> None:
        failed, bad, took_s, route, first = response
        target.running -= 1
        if target.version == OLD:
            gateway.running_old -= 1
        elif bad and len(self.outcome.bad_at) < scenarios.BAD_RESPONSES:
            self.outcome.bad_at.append(self.now)
        if cell is not None:
            gateway.counter.record(cell, failed, took_s)
        if failed and first:
            repeat = gateway.filter.assign_repeat(SERVICE, self.now)
            self._send(gateway, repeat, route, False)

    # Reports and decisions.

    def _reaches(self, one: _Gateway, other: _Gateway) -> bool:
        return one is other or not (one.cut_off or other.cut_off)

    def _report(self, gateway: _Gateway) -> None:
        self._at(self.now + rollouts.REPORT_INTERVAL_S, self._report, gateway)
        stage = gateway.filter.stage(SERVICE, self.now)
        for name in self.candidates:
            candidate = self._by_name[name]
            if not self._reaches(gateway, candidate):
                continue
            report = gateway.counter.report(
                self_ack := gateway.acknowledged[name],
                stage,
                gateway.running_old,
            )
            advice = candidate.decider.receive(
                report, candidate.rollout, self.now
            )
            gateway.acknowledged[name] = max(self_ack, advice.acknowledged)
            gateway.filter.record_advice(
                SERVICE,
                advice,
                self.now,
                own_and_cut_off=candidate is gateway and gateway.cut_off,
            )

    def _decide(self, gateway: _Gateway) -> None:
        self._at(self.now + DECIDE_INTERVAL_S, self._decide, gateway)
        if gateway.cut_off or self.outcome.ended_at < math.inf:
            return
        log, rollout = self.outcome.decisions, gateway.rollout
        state = rollouts.FleetState.from_targets(
            rollout,
            self._current_targets(),
            set(self.names),
            set(),
            TIMEOUT_S,
        )
        if not rollout.is_running:
            if gateway.decider.may_publish(rollout, state, self.now):
                self._publish(rollout.decision)
            return
        rank = self.candidates.index(gateway.name)
        decision = gateway.decider.next_decision(
            rollout, state, rank, self.now
        )
        if decision is None or gateway.log_end != len(log):
            return
        log.append(decision)
        for other in self.gateways:
            delay_s = self.rng.uniform(*LOG_DELAYS_S)
            self._at(self.now + delay_s, self._read, other, len(log) - 1)

    def _publish(self, decision: rollouts.Decision) -> None:
        self.outcome.ended_at = self.now
        if decision.stage is rollouts.Stage.SUCCEEDED:
            self._has_succeeded = True
            self.outcome.old_at_end += sum(
                g.running_old for g in self.gateways if not g.cut_off
            )
        if self.scenario.cut_off_s == math.inf:
            self._end = self.now + AFTER_END_S

    def _read(self, gateway: _Gateway, index: int) -> None:
        if gateway.cut_off:
            return
        decision = self.outcome.decisions[index]
        position = feeds.Position(0, 100 + index)
        gateway.log_end = max(gateway.log_end, index + 1)
        gateway.decisions.merge(decision, position, self.now)
        self._resolve(gateway)
