"""Plan of a soak run, and a short run in CI."""

import pytest

from tests.soak import crashing_requests
from tests.soak import gateway_faults
from tests.soak import plans
from tests.soak import runs
from tests.soak import store_faults
from tests.soak import target_faults

SECONDS = 15.0


class TestPlan:
    def test_same_seed_gives_the_same_plan(self):
        assert plans.plan_faults(3, SECONDS) == plans.plan_faults(3, SECONDS)
        assert plans.plan_faults(3, SECONDS) != plans.plan_faults(4, SECONDS)

    def test_each_plan_starts_with_a_series_of_stops(self):
        for seed in range(20):
            first = plans.plan_faults(seed, 1.0)[:2]

            assert 'terminate_series' in [fault.name for fault in first]

    def test_every_fault_of_a_plan_can_be_injected(self):
        groups = (
            gateway_faults.GatewayFaults,
            store_faults.StoreFaults,
            target_faults.TargetFaults,
            crashing_requests.CrashingRequests,
        )
        names = [name for group in groups for name in group.NAMES]

        planned = [
            *plans.WEIGHTS,
            plans.LIMIT_FAULT,
            plans.CRASH_FAULT,
            plans.LOSS_FAULT,
        ]
        assert sorted(names) == sorted(planned)


class TestSoak:
    # CI runs seed 1. A seed that fails is added here with its cause.
    # 2: a request crashed targets that ended in silence, again and again.
    # 3: a stop cut uploads whose targets were silent.
    @pytest.mark.parametrize(
        ('seed', 'seconds'), [(1, 8.0), (2, 4.0), (3, 4.0)]
    )
    async def test_guarantees_hold_under_random_faults(
        self, seed, seconds, tmp_path
    ):
        soak_run = runs.Soak(seed, seconds, 3, tmp_path)
        assert await soak_run.run() == []
        assert len(soak_run.history.attempts) > 200
