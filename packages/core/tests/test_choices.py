"""The choice of a target against one that sees everything."""

import pytest

from dragonflyslip_testing import choices

# Part of the oracle's requests in time that the choice must reach.
BOUND = 0.97


def _in_time(use: float, way: choices.Way) -> float:
    took = choices.play(choices.Setup(use, seconds=30.0), way)
    return sum(t <= choices.LATENCY_S for t in took) / len(took)


class TestChoice:
    @pytest.mark.parametrize('use', [0.2, 0.35, 0.5])
    def test_choice_is_nearly_as_good_as_the_oracles(self, use):
        """Guards against readings that are weighed wrongly.

        Speeds change every 0.3 s by up to four times, and entries choose at
        once without knowing of each other.
        """
        reached = _in_time(use, choices.as_gateway)
        assert reached >= BOUND * _in_time(use, choices.oracle)

    def test_oracle_beats_the_choice_without_readings(self):
        """Guards against a model in which the choice does not matter."""
        blind = _in_time(0.35, choices.two_choices)
        assert blind < 0.7 * _in_time(0.35, choices.oracle)
