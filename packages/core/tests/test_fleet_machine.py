"""Cold targets under faults: no process receives more than it can handle.

Guards against entries that overload a cold target while they are paused,
replaced or disconnected, or while targets restart. The oracle counts requests
at the target and knows only when its process started to receive them. Entries
send as much as their decisions allow.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dragonflyslip_core import warmup
from dragonflyslip_testing import fleet

PAUSES_S = [0.5, 1.5, 2.5, 4.0, 8.0, 20.0]
RUNS_S = strategies.sampled_from([0.2, 1.0, 6.0, 12.0])


class FleetMachine(stateful.RuleBasedStateMachine):
    @stateful.initialize(
        seed=strategies.integers(0, 2**32),
        entries=strategies.integers(3, 5),
        cold_concurrency=strategies.integers(1, 2),
        warm=strategies.booleans(),
    )
    def start(self, seed, entries, cold_concurrency, warm):
        rules = warmup.WarmupRules(4, cold_concurrency, warmup_s=400.0)
        self.fleet = fleet.SimFleet(seed, entries, [rules] * 5)
        if warm:
            self.fleet.set_warm()
        self.fleet.run(11.0)

    def pick(self, number):
        running = self.fleet.running_entries()
        return running[number % len(running)]

    @stateful.rule(seconds=RUNS_S)
    def run(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(
        number=strategies.integers(0, 4),
        seconds=strategies.sampled_from(PAUSES_S),
        after=RUNS_S,
    )
    def pause(self, number, seconds, after):
        self.fleet.pause_entry(self.pick(number), seconds)
        self.fleet.run(after)

    @stateful.rule(number=strategies.integers(0, 4), after=RUNS_S)
    def replace(self, number, after):
        entry = self.pick(number)
        self.fleet.kill_entry(entry)
        self.fleet.start_entry(entry.entry_id.name)
        self.fleet.run(after)

    @stateful.rule(
        number=strategies.integers(0, 4),
        silent=strategies.booleans(),
        times=strategies.integers(1, 2),
    )
    def restart(self, number, silent, times):
        for _ in range(times):
            self.fleet.restart_target(self.fleet.targets[f't{number}'], silent)
            self.fleet.run(0.3)

    @stateful.rule(number=strategies.integers(0, 4))
    def warm_up(self, number):
        self.fleet.set_warm([f't{number}'])

    @stateful.rule(silent=strategies.booleans())
    def restart_all(self, silent):
        for target in self.fleet.targets.values():
            self.fleet.restart_target(target, silent)
        self.fleet.run(1.0)

    @stateful.rule(
        first=strategies.integers(0, 4),
        second=strategies.integers(0, 4),
        after=RUNS_S,
    )
    def cut_link(self, first, second, after):
        names = {self.pick(n).entry_id.name for n in (first, second)}
        self.fleet.blocked_links.add(frozenset(names))
        self.fleet.run(after)

    @stateful.rule(size=strategies.integers(1, 2), after=RUNS_S)
    def partition(self, size, after):
        names = sorted({e.entry_id.name for e in self.fleet.running_entries()})
        self.fleet.blocked_links = {
            frozenset((one, other))
            for one in names[:size]
            for other in names[size:]
        }
        self.fleet.run(after)

    @stateful.rule()
    def heal(self):
        self.fleet.blocked_links.clear()
        self.fleet.loss_rate = 0.0
        self.fleet.delay_s = 0.005

    @stateful.rule(
        loss=strategies.sampled_from([0.1, 0.4]),
        delay_s=strategies.sampled_from([0.005, 0.3, 1.5]),
    )
    def degrade(self, loss, delay_s):
        self.fleet.loss_rate = loss
        self.fleet.delay_s = delay_s
        self.fleet.run(4.0)

    @stateful.invariant()
    def no_cold_target_has_too_much(self):
        if hasattr(self, 'fleet'):
            assert self.fleet.peak_excess() <= 0


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestProgress:
    def test_fleet_without_faults_makes_targets_warm(self):
        # Guards against rules that are safe only because they never send.
        rules = warmup.WarmupRules(4, 1, warmup_s=8.0)
        sim = fleet.SimFleet(5, 4, [rules] * 2, request_s=(0.05, 0.2))
        sim.run(30.0)
        assert all(
            entry.warmup.is_warm(target_id)
            for entry in sim.entries
            for target_id in sim.targets
        )
        assert sim.peak_excess() <= 0
