"""Quotas of 99 gateways and 73 accounts in virtual time."""

from bench import quotas as simulation
from dragonflyslip_testing import quota_fleet

SECONDS = 2.5


class TestSimulation:
    def test_account_at_seven_times_its_rate_does_not_harm_others(self):
        # Guards against an account that takes the tokens of others.
        limits = simulation.make_limits(73, 4.0)
        excess = limits[0]
        fleet = quota_fleet.QuotaFleet(99, limits)
        fleet.run(simulation.WARM_UP_S)
        sent = simulation.request_all(fleet, SECONDS, excess.name)
        fleet.run(SECONDS)
        refused = fleet.refused.pop(excess.name)
        assert refused > 0
        assert fleet.refused.total() <= 0.02 * (sent - refused)
        for limit in limits:
            assert fleet.most_in_window(limit.name) <= fleet.bounds.most(
                limit.rate_per_s, limit.burst
            )
