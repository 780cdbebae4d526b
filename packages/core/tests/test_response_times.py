"""Whether a request has enough time left, by those before it."""

import pytest

from dragonflyslip_core import response_times

TARGET_LATENCY_S = 0.6


def _times(*took_s: float) -> response_times.ResponseTimes:
    times = response_times.ResponseTimes()
    for seconds in took_s:
        times.record(seconds)
    return times


class TestResponseTimes:
    @pytest.mark.parametrize(
        'took_s, needed_s',
        [
            ([], 1.2),
            ([0.1] * (response_times.MIN_SAMPLES - 1), 1.2),
            ([0.1] * response_times.MIN_SAMPLES, 0.1),
            ([0.2, 1.4] * 20, 1.4),
            ([0.2] * 19 + [1.4], 0.2),
            ([0.2] * 18 + [1.4] * 2, 1.4),
        ],
    )
    def test_needed_time(self, took_s, needed_s):
        # Guards against work that is judged by its target latency alone.
        times = _times(*took_s)
        assert times.needed_s(TARGET_LATENCY_S) == pytest.approx(needed_s)

    def test_earlier_requests_are_forgotten(self):
        # Guards against a route that is refused for what it was long ago.
        times = _times(
            *[9.0] * response_times.MAX_SAMPLES,
            *[0.1] * response_times.MAX_SAMPLES,
        )
        assert times.needed_s(TARGET_LATENCY_S) == pytest.approx(0.1)
