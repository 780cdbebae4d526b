"""What failed reads show about a log."""

import pytest

from dragonflyslip_core import outages
from dragonflyslip_core import transfers

MIN_S = outages.MIN_OUTAGE_S


class TestFailedReads:
    @pytest.mark.parametrize(
        ('due_at', 'failed_at', 'since'),
        [
            (10.0, 10.0 + transfers.RESPONSE_TIMEOUT_S, 10.0),
            # A read that waits for a change is reset before it is due.
            (11.0, 10.2, 10.2),
            # The process was paused for 5 s while the read was due.
            (10.0, 15.0, 15.0 - transfers.RESPONSE_TIMEOUT_S),
        ],
    )
    def test_outage_begins_when_a_response_is_missing(
        self, due_at, failed_at, since
    ):
        # Guards against a pause of this process that counts as an outage.
        failed = outages.FailedReads()
        failed.record(due_at, failed_at, 'lost')
        assert failed.since == pytest.approx(since)
        assert not failed.show_outage(since + MIN_S - 0.01)
        assert failed.show_outage(since + MIN_S + 0.01)

    def test_silence_to_all_counts_for_each_feed(self):
        # Guards against an outage that is not seen because the read of a feed
        # still waits for a change.
        failed, other = outages.FailedReads(), outages.FailedReads()
        failed.record(10.0, 10.0, 'lost')
        other.extend(failed)
        assert (other.since, other.reason) == (10.0, 'lost')
        failed.record(12.0, 12.0, 'lost')
        other.clear()
        other.record(11.0, 11.0, 'refused')
        other.extend(failed)
        assert other.since == 11.0

    def test_later_failures_do_not_move_the_beginning(self):
        # Guards against an outage that is not seen while retries fail.
        failed = outages.FailedReads()
        for at in (10.0, 10.5, 12.0):
            failed.record(at, at, 'refused')
        assert failed.since == 10.0
        failed.clear()
        assert not failed.show_outage(100.0)
