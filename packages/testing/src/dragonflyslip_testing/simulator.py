"""Deterministic discrete-event model of entries and queueing targets.

Times inside the model are seconds from its start. All random numbers come
from seeded generators. Arrival times, entries and service times do not depend
on the routing policy, so that policies are compared on the same requests.
"""

import collections
import dataclasses
import functools
import heapq
import math
import random
import typing

from returns import result

from dragonflyslip_core import health
from dragonflyslip_core import probes
from dragonflyslip_core import routing
from dragonflyslip_core import targets

_ARRIVAL, _AT_TARGET, _COMPLETION, _ANSWER = range(4)
_SPEED_CHANGE, _PROBE_DUE, _PROBE_AT_TARGET, _PROBE_RESULT = range(4, 8)
_FAST_FAILURE_S = 0.0005
_PROBE_BYTES = 512
_ENTRY_UPTIME_S = 3_600.0
# Interval at which an entry checks its schedule for a probe that is due.
_PROBE_CHECK_INTERVAL_S = 0.020
# Weight of one completion in the moving average of the service time that a
# target reports.
_SERVICE_TIME_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Parameters of a simulation.

    :param load: arrival rate as a fraction of the capacity of all targets
        that do not fail fast, without sudden slowdowns.
    :param requests: number of requests, of which the first ``warmup`` are not
        measured.
    :param slots: slots of each target.
    :param service_s: mean of the exponential service time of a fast target.
    :param slow_factor: how many times slower the first target is.
    :param slowdown_every_s: mean time between sudden slowdowns of a target;
        0 for none.
    :param slowdown_s: duration of a sudden slowdown, during which the target
        is ``slowdown_factor`` times slower.
    :param fast_failing: whether the second target fails every request
        immediately, from the first measured request on.
    :param misleading: whether some targets report a wrong load: the first
        (slow) one and the last but one always report that they are idle and
        fast, and the last one always reports that it is full.
    :param delay_s: lower and upper bound of the one-way network delay.
    :param health_rule: whether targets that seem unhealthy are removed from
        the candidates.
    """

    load: float = 0.9
    requests: int = 20_000
    warmup: int = 4_000
    entries: int = 17
    targets: int = 20
    slots: int = 6
    service_s: float = 0.020
    slow_factor: float = 10.0
    slowdown_every_s: float = 0.0
    slowdown_s: float = 0.050
    slowdown_factor: float = 10.0
    fast_failing: bool = False
    misleading: bool = False
    delay_s: tuple[float, float] = (0.0005, 0.0015)
    health_rule: bool = True
    probe_rate_per_target: float = 5.0
    probe_rate_fleet: float = 100.0
    probe_bytes_per_s: float = 50_000.0

    def arrival_rate(self) -> float:
        """Return the requests per second of all entries together."""
        fast = self.targets - 1 - int(self.fast_failing)
        capacity = self.slots / self.service_s
        return self.load * capacity * (fast + 1.0 / self.slow_factor)


@dataclasses.dataclass
class Summary:
    """Measurements of one run; latencies are in ms as the caller sees them.

    :param latencies_ms: sorted latencies of successful requests.
    :param depths: sorted numbers of requests at the target when a request
        arrives there, including itself.
    :param decisions: number of calls of ``Policy.choose``.
    :param failed_percent: percentage of measured requests that failed.
    :param slow_percent: percentage of measured requests that went to the
        slow target.
    """

    latencies_ms: list[float]
    depths: list[int]
    decisions: int
    failed_percent: float
    slow_percent: float

    def latency_ms(self, percent: float) -> float:
        """Return a percentile of the latency in ms."""
        return percentile(self.latencies_ms, percent)

    def depth(self, percent: float) -> float:
        """Return a percentile of the queue depth at targets."""
        return percentile(self.depths, percent)


def percentile(ordered: typing.Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile of sorted values.

    >>> percentile([1, 2, 3, 4], 50)
    2
    """
    rank = math.ceil(percent / 100.0 * len(ordered))
    return ordered[max(0, rank - 1)]


class _Request:
    __slots__ = (
        'entry',
        'arrived_at',
        'work',
        'target',
        'sent_at',
        'started_at',
        'measured',
        'failed',
        'report',
    )

    def __init__(self, entry, arrived_at, work, measured):
        self.entry = entry
        self.arrived_at = arrived_at
        self.work = work
        self.measured = measured
        self.failed = False
        self.report = None


class _Server:
    """The model of one target: independent slots that share one queue."""

    def __init__(self, scenario, index):
        self.index = index
        self.slots = scenario.slots
        self.base_speed = 1.0
        if index == 0:
            self.base_speed = 1.0 / scenario.slow_factor
        self.speed = self.base_speed
        self.fails_from = math.inf
        self.waiting = collections.deque()
        # Running requests: [remaining work, updated at, version of the
        # completion event]. A change of speed invalidates older events.
        self.running: dict[_Request, list] = {}
        self.in_transit = 0
        self.mean_service_s = scenario.service_s / self.base_speed
        last = scenario.targets - 1
        self.reports_idle = scenario.misleading and index in (0, last - 1)
        self.reports_full = scenario.misleading and index == last

    def in_flight(self):
        return len(self.running) + len(self.waiting)

    def report(self):
        in_flight, latency_ms = self.in_flight(), self.mean_service_s * 1e3
        if self.reports_idle:
            in_flight, latency_ms = 0, 1.0
        elif self.reports_full:
            in_flight = 2 * self.slots
        return targets.LoadReport(
            in_flight=in_flight,
            slots=self.slots,
            boot_id='b',
            latency_ms=latency_ms,
        )


class Entry:
    """An entry with its own view of the targets and its own policy."""

    def __init__(self, policy, target_list, seed, scenario):
        self.policy = policy
        self.rng = random.Random(seed)
        self.states = [
            targets.TargetState(target, warm_limit=None, boot_id='b')
            for target in target_list
        ]
        self.median = health.LatencyMedian()
        budget = probes.ProbeBudget(
            scenario.probe_rate_per_target,
            scenario.probe_rate_fleet,
            scenario.probe_bytes_per_s,
            _PROBE_BYTES,
        )
        # An entry that has run for a while has accumulated the budget of its
        # first probe. The calls of can_take create the targets' buckets, which
        # start to fill at the time given.
        budget.set_share(1.0 / scenario.entries, -_ENTRY_UPTIME_S)
        for target in target_list:
            budget.can_take(target.instance_id, -_ENTRY_UPTIME_S)
        self.schedule = probes.ProbeSchedule(budget)


class Simulation:
    """One run of a scenario.

    :param make_policy: called with the simulation once for each entry;
        returns the entry's policy.
    """

    def __init__(
        self,
        scenario: Scenario,
        make_policy: typing.Callable[['Simulation'], routing.Policy],
        seed: int,
    ):
        self.scenario = scenario
        self.arrival_rng = random.Random(f'arrivals {seed}')
        self.network_rng = random.Random(f'network {seed}')
        self.fault_rng = random.Random(f'faults {seed}')
        self.servers = [
            _Server(scenario, index) for index in range(scenario.targets)
        ]
        self.target_list = [
            targets.Target(f't{index}', 'service', '127.0.0.1', index, 'd')
            for index in range(scenario.targets)
        ]
        self.index_of = {
            target.instance_id: index
            for index, target in enumerate(self.target_list)
        }
        self.now = 0.0
        self.entries = [
            Entry(
                make_policy(self),
                self.target_list,
                f'{seed} {index}',
                scenario,
            )
            for index in range(scenario.entries)
        ]
        self.events: list = []
        self.sequence = 0
        self.arrived = 0
        self.decisions = 0
        self.probes = 0
        self.sends = [0] * scenario.targets
        self.latencies: list[float] = []
        self.depths: list[int] = []
        self.failed = 0

    def run(self) -> Summary:
        """Run until all requests have been answered."""
        scenario = self.scenario
        self._push(0.0, _ARRIVAL, None, 0)
        if scenario.slowdown_every_s:
            for server in self.servers:
                self._push(self._next_slowdown(), _SPEED_CHANGE, server, 1)
        for entry in self.entries:
            start = self.network_rng.uniform(0.0, _PROBE_CHECK_INTERVAL_S)
            self._push(start, _PROBE_DUE, entry, 0)
        handlers = {
            _ARRIVAL: self._create_request,
            _AT_TARGET: self._receive_request,
            _COMPLETION: self._complete_service,
            _ANSWER: self._receive_answer,
            _SPEED_CHANGE: self._change_speed,
            _PROBE_DUE: self._probe,
            _PROBE_AT_TARGET: self._receive_probe,
            _PROBE_RESULT: self._receive_probe_result,
        }
        pending = scenario.requests
        while pending:
            self.now, _, kind, subject, detail = heapq.heappop(self.events)
            handlers[kind](subject, detail)
            if kind == _ANSWER:
                pending -= 1
        measured = scenario.requests - scenario.warmup
        self.latencies.sort()
        self.depths.sort()
        return Summary(
            self.latencies,
            self.depths,
            self.decisions,
            100.0 * self.failed / measured,
            100.0 * self.sends[0] / measured,
        )

    def _push(self, at, kind, subject, detail):
        # The subject is the request, target (_Server) or entry that the event
        # concerns. The detail is the version of a _COMPLETION, whether a
        # _SPEED_CHANGE is a slowdown (1 or 0), the probed target of a
        # _PROBE_AT_TARGET, the target and its report of a _PROBE_RESULT, and
        # unused otherwise.
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, kind, subject, detail))

    def _delay(self):
        return self.network_rng.uniform(*self.scenario.delay_s)

    def _next_slowdown(self):
        rate = 1.0 / self.scenario.slowdown_every_s
        return self.now + self.fault_rng.expovariate(rate)

    def _create_request(self, _subject, _detail):
        scenario, rng = self.scenario, self.arrival_rng
        self.arrived += 1
        if self.arrived < scenario.requests:
            gap = rng.expovariate(scenario.arrival_rate())
            self._push(self.now + gap, _ARRIVAL, None, 0)
        request = _Request(
            self.entries[rng.randrange(scenario.entries)],
            self.now,
            rng.expovariate(1.0 / scenario.service_s),
            self.arrived > scenario.warmup,
        )
        if scenario.fast_failing and self.arrived == scenario.warmup:
            self.servers[1].fails_from = self.now
        self._send(request)

    def _send(self, request):
        entry = request.entry
        self.decisions += 1
        usable = entry.states
        if self.scenario.health_rule:
            # If fewer than 50 % of the targets look healthy, all are usable.
            usable = (
                health.select_healthy(usable, self.now, 50.0, 'spread')
                .unwrap()
                .usable
            )
        target = entry.policy.choose(usable, self.now, entry.rng).unwrap()
        index = self.index_of[target.instance_id]
        health.record_sent(entry.states[index])
        entry.policy.sent(target, self.now)
        request.target = index
        request.sent_at = self.now
        self.servers[index].in_transit += 1
        self.sends[index] += request.measured
        self._push(self.now + self._delay(), _AT_TARGET, request, 0)

    def _receive_request(self, request, _detail):
        server = self.servers[request.target]
        server.in_transit -= 1
        if self.now >= server.fails_from:
            request.failed = True
            request.report = targets.LoadReport(0, server.slots, 'b')
            delay = _FAST_FAILURE_S + self._delay()
            self._push(self.now + delay, _ANSWER, request, 0)
            return
        if len(server.running) < server.slots:
            self._start_service(server, request)
        else:
            server.waiting.append(request)
        if request.measured:
            self.depths.append(server.in_flight())

    def _start_service(self, server, request):
        server.running[request] = [request.work, self.now, 0]
        request.started_at = self.now
        end = self.now + request.work / server.speed
        self._push(end, _COMPLETION, request, 0)

    def _complete_service(self, request, version):
        server = self.servers[request.target]
        job = server.running.get(request)
        if job is None or job[2] != version:
            return
        del server.running[request]
        service_s = self.now - request.started_at
        server.mean_service_s += _SERVICE_TIME_WEIGHT * (
            service_s - server.mean_service_s
        )
        if server.waiting:
            self._start_service(server, server.waiting.popleft())
        request.report = server.report()
        self._push(self.now + self._delay(), _ANSWER, request, 0)

    def _receive_answer(self, request, _detail):
        entry = request.entry
        state = entry.states[request.target]
        answer = health.Answer(
            1e3 * (self.now - request.sent_at),
            request.failed,
            request.report,
        )
        health.record_answer(state, answer, self.now, entry.median)
        entry.policy.answered(state.target, answer, self.now)
        if request.measured:
            if request.failed:
                self.failed += 1
            else:
                self.latencies.append(1e3 * (self.now - request.arrived_at))

    def _probe(self, entry, _detail):
        self._push(self.now + _PROBE_CHECK_INTERVAL_S, _PROBE_DUE, entry, 0)
        target = entry.schedule.next_target(entry.states, self.now)
        if target is not None:
            self.probes += 1
            at = self.now + self._delay()
            self._push(at, _PROBE_AT_TARGET, entry, target)

    def _receive_probe(self, entry, target):
        # The load endpoint answers immediately and needs no slot.
        report = self.servers[self.index_of[target.instance_id]].report()
        at = self.now + self._delay()
        self._push(at, _PROBE_RESULT, entry, (target, report))

    def _receive_probe_result(self, entry, detail):
        target, report = detail
        state = entry.states[self.index_of[target.instance_id]]
        health.record_report(state, report, self.now)
        entry.policy.probed(target, report, self.now)

    def _change_speed(self, server, slow):
        factor = self.scenario.slowdown_factor if slow else 1.0
        speed = server.base_speed / factor
        for request, job in server.running.items():
            job[0] -= (self.now - job[1]) * server.speed
            job[1] = self.now
            job[2] += 1
            end = self.now + max(0.0, job[0]) / speed
            self._push(end, _COMPLETION, request, job[2])
        server.speed = speed
        if slow:
            end = self.now + self.scenario.slowdown_s
            self._push(end, _SPEED_CHANGE, server, 0)
        else:
            self._push(self._next_slowdown(), _SPEED_CHANGE, server, 1)


class Oracle:
    """Policy that knows all queues, requests in transit and speeds.

    It selects the target at which the request is expected to end first.
    """

    def __init__(self, simulation: Simulation):
        self.simulation = simulation

    def choose(self, candidates, now, rng):
        """Return the target with the earliest expected end."""
        del candidates, rng
        service_s = self.simulation.scenario.service_s
        best, best_end = None, math.inf
        for server in self.simulation.servers:
            if now >= server.fails_from:
                continue
            ahead = server.in_flight() + server.in_transit
            queue_rounds = (
                1.0 + max(0, ahead + 1 - server.slots) / server.slots
            )
            # The second term distributes requests over targets with free
            # slots.
            end = service_s / server.speed * (queue_rounds + 1e-3 * ahead)
            if end < best_end:
                best, best_end = server, end
        return result.Success(self.simulation.target_list[best.index])

    def probed(self, target, report, now):
        """Ignore the report; the oracle reads the queues."""

    def forget(self, target_id):
        """Do nothing; the oracle stores nothing about targets."""

    def sent(self, target, now):
        """Ignore the request; the oracle reads the queues."""

    def answered(self, target, answer, now):
        """Ignore the answer; the oracle reads the queues."""


def run(
    scenario: Scenario,
    make_policy: typing.Callable[[Simulation], routing.Policy],
    seed: int,
) -> Summary:
    """Simulate one scenario with one policy."""
    return Simulation(scenario, make_policy, seed).run()


def policy_maker(
    policy_type: typing.Callable[..., routing.Policy], **settings
) -> typing.Callable[[Simulation], routing.Policy]:
    """Return a factory of policies that do not read the simulation state."""
    build = functools.partial(policy_type, **settings)
    return lambda simulation: build()
