"""Rollouts in a model of the whole fleet: good ones succeed, bad ones end.

Each test prints the figures that docs/design/rollouts.md states; ``-rP`` shows
them.
"""

import statistics

import pytest

from dragonflyslip_core import rollouts
from dragonflyslip_testing import rollout_model
from dragonflyslip_testing import rollout_scenarios as scenarios

SEEDS = range(20)
# Good versions take longer to simulate than those that end early.
FEW_SEEDS = range(7)
# Seconds after the 50th bad response until when requests may still be sent.
ROLLBACK_S = 5.0


def _run(name, scenario, seeds):
    """Return the outcomes of a scenario and print their figures."""
    outcomes = [
        rollout_model.RolloutModel(scenario, seed).run() for seed in seeds
    ]
    used = [outcome.exposed / outcome.allowed for outcome in outcomes]
    bad = [len(outcome.bad_at) for outcome in outcomes]
    ended = [outcome.ended_at for outcome in outcomes]
    print(
        f'{name}: {len(outcomes)} seeds;'
        f' requests to the version, of those allowed: median'
        f' {statistics.median(used):.2f}, most {max(used):.2f};'
        f' bad responses (counted to 50): median'
        f' {statistics.median(bad):.0f}, most {max(bad)};'
        f' ended after: median {statistics.median(ended):.1f} s, latest'
        f' {max(ended):.1f} s; last request after the 50th bad response:'
        f' {max(outcome.late_s for outcome in outcomes):.1f} s'
    )
    return outcomes


def _bad(rate=300.0, gateways=6, seeds=SEEDS, **fields):
    fault_fields = {
        key: fields.pop(key)
        for key in ('failing', 'slower', 'slow', 'since_s', 'route', 'running')
        if key in fields
    }
    return (
        scenarios.Scenario(
            rate=rate,
            gateways=gateways,
            version=scenarios.Fault(**fault_fields),
            **fields,
        ),
        seeds,
    )


BAD = {
    'fails 50 %': _bad(100.0, failing=0.5),
    'fails 20 %': _bad(150.0, failing=0.2),
    # Rarer faults need more requests than a tenth of slower traffic has.
    'fails 5 %': _bad(600.0, seeds=range(10), failing=0.05),
    'fails 20 % after a while': _bad(150.0, failing=0.2, since_s=3.5),
    # A tenth of the traffic would be too few for a share of 8 %.
    'fails on one route': _bad(200.0, failing=0.4, route='r1'),
    # 8 % of the slots of 48 targets are those of four.
    'fails under load': _bad(
        480.0, seeds=range(10), targets=48, slots=2, failing=0.6, running=1
    ),
    'four times slower': _bad(100.0, slower=4.0),
    'a fifth four times slower': _bad(200.0, slower=4.0, slow=0.2),
    'fails 20 %, 104 gateways': _bad(156.0, 104, range(3), failing=0.2),
    'fails 20 %, duration 30 s': _bad(
        100.0, seeds=FEW_SEEDS, failing=0.2, duration_s=30.0
    ),
}


class TestBadVersions:
    @pytest.mark.parametrize('name', BAD)
    def test_few_requests_reach_a_bad_version(self, name):
        # Guards against a bad version that gets more than a tenth of the
        # requests, or any request 5 s after its 50th bad response.
        for outcome in _run(name, *BAD[name]):
            assert outcome.stage is rollouts.Stage.ROLLED_BACK
            assert outcome.exposed <= outcome.allowed
            assert outcome.late_s <= ROLLBACK_S
            assert outcome.ended_at <= 12.0 or name.endswith('30 s')

    def test_fault_that_begins_in_the_last_stage(self):
        # Guards against a version that keeps all traffic because there is no
        # control left. The bound on requests cannot be met here.
        scenario, seeds = _bad(failing=0.3, since_s=7.8, seeds=range(4))
        for outcome in _run('fails 30 % in the last stage', scenario, seeds):
            assert outcome.stage is rollouts.Stage.ROLLED_BACK
            assert outcome.late_s <= ROLLBACK_S

    def test_fault_that_begins_late_in_a_long_rollout(self):
        # Guards against a fault that the good responses before it dilute.
        scenario, seeds = _bad(
            100.0,
            seeds=range(2),
            duration_s=150.0,
            slower=4.0,
            slow=0.2,
            since_s=50.0,
        )
        for outcome in _run('slow after 50 s of 150 s', scenario, seeds):
            assert outcome.stage is rollouts.Stage.ROLLED_BACK
            assert len(outcome.bad_at) < scenarios.BAD_RESPONSES

    @pytest.mark.parametrize('gateways', [3, 4])
    def test_gateway_that_is_cut_off_keeps_the_sum(self, gateways):
        # Guards against a gateway that is cut off from all candidates, and
        # may be one itself, and goes on with the share of half while the
        # others roll back.
        scenario, seeds = _bad(
            100.0,
            gateways,
            range(5),
            duration_s=20.0,
            failing=0.5,
            since_s=10.9,
            cut_off_s=11.3,
        )
        name = f'one of {gateways} is cut off'
        for outcome in _run(name, scenario, seeds):
            assert outcome.stage is rollouts.Stage.ROLLED_BACK
            assert outcome.exposed <= outcome.allowed
            assert outcome.late_s <= ROLLBACK_S


def _good(rate=80.0, gateways=4, seeds=FEW_SEEDS, **fields):
    return scenarios.Scenario(rate=rate, gateways=gateways, **fields), seeds


GREY, SLOW = scenarios.Fault(failing=0.3), scenarios.Fault(slower=4.0)
SMALL = {'targets': 8, 'slots': 2}
GOOD = {
    'usual': _good(),
    'few requests': _good(2.0, 3),
    '104 gateways at 1.5 requests a second': _good(156.0, 104, seeds=range(2)),
    'cold for 4 s': _good(cold_s=4.0),
    'grey machine': _good(200.0, machines=((0, GREY),)),
    'grey and slow machines': _good(
        machines=((1, GREY), (5, SLOW), (11, SLOW))
    ),
    'failing old version': _good(old_version=GREY),
    # The usual load is a third of the slots.
    'burst while the share is small': _good(**SMALL, burst=(2.0, 4.0, 7.0)),
    'burst at half of the traffic': _good(**SMALL, burst=(6.0, 7.5, 7.0)),
    # Some gateways are in the last stage, others still compare versions.
    'burst as the last stage begins': _good(
        150.0, 6, targets=8, burst=(7.4, 9.4, 7.0)
    ),
    'busy targets': _good(230.0, **SMALL),
    'duration 6 s': _good(duration_s=6.0),
}


class TestGoodVersions:
    @pytest.mark.parametrize('name', GOOD)
    def test_good_version_succeeds_in_time(self, name):
        # Guards against releases that are lost to bad machines, bursts, cold
        # starts or too little traffic.
        scenario, seeds = GOOD[name]
        for outcome in _run(name, scenario, seeds):
            assert outcome.stage is rollouts.Stage.SUCCEEDED
            assert outcome.ended_at <= scenario.duration_s
            assert outcome.old_at_end == 0
