"""Tests of the choice of a target against an oracle with full knowledge."""

import pytest

from dragonflyslip_testing import choices

# Requests that must finish in time, as a fraction of those with the oracle.
MIN_FRACTION_OF_ORACLE = 0.97


def _fraction_in_time(use: float, policy: choices.TargetSelector) -> float:
    latencies_s = choices.simulate(choices.Scenario(use, seconds=30.0), policy)
    return sum(t <= choices.TARGET_LATENCY_S for t in latencies_s) / len(
        latencies_s
    )


class TestChoice:
    @pytest.mark.parametrize('use', [0.2, 0.35, 0.5])
    def test_choice_is_nearly_as_good_as_the_oracle(self, use):
        """Guards against giving load readings the wrong weight.

        Speeds change every 0.3 s by a factor of up to four, and entries
        choose at the same time without knowing about each other.
        """
        fraction = _fraction_in_time(use, choices.gateway_selector)
        assert fraction >= MIN_FRACTION_OF_ORACLE * _fraction_in_time(
            use, choices.oracle
        )

    def test_oracle_is_better_than_choice_without_readings(self):
        """Guards against a model in which the choice does not matter."""
        without_readings = _fraction_in_time(0.35, choices.two_choices)
        assert without_readings < 0.7 * _fraction_in_time(0.35, choices.oracle)
