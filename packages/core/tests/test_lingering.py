"""When a connection that is being closed is closed for good."""

import pytest

from dragonflyslip_core import caller_limits

End = caller_limits.LingerEnd


def _ends_at(steps, stopping=False):
    """Return when and why a connection ends that began to close at 0 s.

    :param steps: unacknowledged bytes by second; the last one stays.
    """
    linger = caller_limits.Linger(0.0, steps[0])
    for second in range(1, 100):
        left = steps[min(second, len(steps) - 1)]
        end = linger.update(left, float(second), stopping)
        if end is not None:
            return second, end
    raise AssertionError('the connection stays open')


class TestLinger:
    @pytest.mark.parametrize(
        ('steps', 'end'),
        [
            ((100, 0), (3, End.TAKEN)),
            ((0,), (2, End.TAKEN)),
            ((100,), (5, End.STALLED)),
            ((100, 90, 80, 70, 60, 50), (10, End.STALLED)),
            (tuple(range(1_000, 0, -1)), (60, End.TOO_LONG)),
        ],
    )
    def test_ends_once_the_caller_has_all_or_takes_nothing(self, steps, end):
        # Guards against closing while a caller receives its response, and
        # against connections that never end.
        assert _ends_at(steps) == end

    def test_taken_response_does_not_hold_up_a_stop(self):
        # Guards against a stop that waits for callers that never close.
        assert _ends_at((100, 0), stopping=True) == (2, End.TAKEN)
        assert _ends_at((100,), stopping=True) == (5, End.STALLED)

    def test_caller_that_sends_without_end_is_cut(self):
        # Guards against processor time for bytes that nobody reads.
        linger = caller_limits.Linger(0.0, 1)
        linger.discarded_bytes = 16_777_216
        assert linger.update(1, 0.1) is None
        linger.discarded_bytes += 1
        assert linger.update(1, 0.2) is End.TOO_MANY_BYTES
