"""How long a transfer is waited for."""

import pytest

from dragonflyslip_core import transfers

# A link of 5 Mbit/s.
LINK_BYTES_PER_S = 625_000
# Eight records of the greatest length, a third longer in base64.
LONG_BODY_BYTES = 2_800_000
STEP_S = 0.1


def _receive(
    deadline: transfers.TransferDeadline, bytes_per_step: int, size: int
) -> float:
    """Return when a body of ``size`` is whole, or when it is given up."""
    deadline.begin_body(0.0)
    now = 0.0
    while deadline.received_bytes < size:
        now += STEP_S
        if now > deadline.at:
            return deadline.at
        deadline.record_bytes(bytes_per_step, now)
    return now


class TestResponse:
    @pytest.mark.parametrize('wait_s', [0.0, 1.2])
    def test_silence_ends_the_transfer(self, wait_s):
        # Guards against a lost response that delays the next read.
        deadline = transfers.TransferDeadline(10.0)
        deadline.expect_response(10.1, wait_s)
        assert deadline.at == pytest.approx(10.5 + wait_s)

    def test_transfer_waits_for_others_on_its_link(self):
        # Guards against a short response that fails each time that a long
        # one is on the link.
        deadline = transfers.TransferDeadline(0.0)
        for step in range(1, 40):
            assert deadline.at > step * STEP_S
            deadline.record_link_activity(
                int(LINK_BYTES_PER_S * STEP_S), step * STEP_S
            )

    def test_transfer_does_not_wait_for_others_without_end(self):
        deadline = transfers.TransferDeadline(0.0)
        for step in range(1_000):
            deadline.record_link_activity(
                int(LINK_BYTES_PER_S * STEP_S), step * STEP_S
            )
        assert deadline.at <= (
            transfers.RESPONSE_TIMEOUT_S + transfers.MAX_QUEUED_S
        )

    @pytest.mark.parametrize('wait_s', [0.0, 1.2])
    def test_few_bytes_of_others_do_not_hold_a_lost_response(self, wait_s):
        # Guards against a read whose response is lost, and which is waited
        # for as long as short responses to other reads arrive.
        deadline = transfers.TransferDeadline(0.0, wait_s)
        now = 0.0
        while now <= deadline.at:
            now += STEP_S
            deadline.record_link_activity(250, now)
        assert now <= wait_s + transfers.RESPONSE_TIMEOUT_S + 0.2

    @pytest.mark.parametrize('process_s', [0.0, 2.0])
    def test_response_to_a_later_request_shows_the_loss(self, process_s):
        # Guards against a lost response that is taken for queued because
        # other responses use the link all the time.
        deadline = transfers.TransferDeadline(0.0, 1.2, process_s)
        for step in range(1, 100):
            now = step * STEP_S
            deadline.record_overtaken(now - 0.05, now)
            deadline.record_link_activity(LINK_BYTES_PER_S, now)
        assert deadline.at == pytest.approx(
            1.2 + transfers.RESPONSE_TIMEOUT_S + process_s
        )

    def test_response_to_an_earlier_request_shows_nothing(self):
        # Guards against a response that is given up although it is queued
        # behind a longer one.
        deadline = transfers.TransferDeadline(0.0, 1.2)
        deadline.record_overtaken(1.1, 1.3)
        deadline.record_link_activity(LINK_BYTES_PER_S, 1.5)
        assert deadline.at > 1.2 + transfers.RESPONSE_TIMEOUT_S

    def test_body_of_unknown_end_has_the_time_of_the_response(self):
        deadline = transfers.TransferDeadline(0.0)
        deadline.record_bytes(100_000, 0.3)
        assert deadline.at == transfers.RESPONSE_TIMEOUT_S


class TestBody:
    @pytest.mark.parametrize('sharing', [1, 4, 10])
    def test_long_body_arrives_over_a_slow_link(self, sharing):
        # Guards against a body that is requested again and again, because
        # the link needs longer for it than a fixed time.
        deadline = transfers.TransferDeadline(0.0)
        step_bytes = int(LINK_BYTES_PER_S * STEP_S / sharing)
        _receive(deadline, step_bytes, LONG_BODY_BYTES)
        assert deadline.received_bytes >= LONG_BODY_BYTES

    @pytest.mark.parametrize('bytes_per_step', [1, 100, 2_000])
    def test_slow_peer_does_not_hold_the_read(self, bytes_per_step):
        # Guards against a read that goes on as long as bytes arrive.
        deadline = transfers.TransferDeadline(0.0)
        ended_at = _receive(deadline, bytes_per_step, LONG_BODY_BYTES)
        assert ended_at < 5.0
        assert deadline.received_bytes < LONG_BODY_BYTES

    def test_fast_beginning_does_not_allow_a_long_silence(self):
        deadline = transfers.TransferDeadline(0.0)
        deadline.begin_body(0.0)
        deadline.record_bytes(1_000_000, 0.1)
        assert deadline.at == pytest.approx(0.1 + transfers.STALL_TIMEOUT_S)
