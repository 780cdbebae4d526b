"""How long to wait for a response whose length and link are not known.

A fixed time for a whole response either ends long responses on slow links or
lets a silent peer hold a read for long. A transfer therefore ends when nothing
has arrived for some time, or when it has become slower than a lowest rate.

A response may be queued behind others on its link, or it is lost while the
others arrive. It is queued for no longer than the link needs for the bytes
that arrive meanwhile, and not behind a response that was asked for later.
"""

# Time until a response begins if nothing else arrives over the link.
RESPONSE_TIMEOUT_S = 0.4
# How much later a response may begin that is queued behind others.
MAX_QUEUED_S = 5.0
# Time in which a response arrives that was overtaken by a later one, because
# it came over another connection or had a segment sent again.
OVERTAKEN_TIMEOUT_S = 0.2
# Time without a byte of a body. TCP sends a lost segment again within it.
STALL_TIMEOUT_S = 1.0
# Lowest mean rate of a body. Ten transfers that share a link of 5 Mbit/s are
# twice as fast.
MIN_BYTES_PER_S = 32_768


class TransferDeadline:
    """The time at which a response that makes no progress is given up.

    Times are monotonic seconds.

    :param now: when the transfer begins, for example by connecting.
    :param wait_s: how long the peer may wait before it responds.
    :param process_s: how much longer than others the peer may need for the
        request.
    :ivar due_at: when the peer responds at the latest if it is not slow.
    :ivar at: when to give up, unless more progress is recorded.
    """

    def __init__(
        self, now: float, wait_s: float = 0.0, process_s: float = 0.0
    ):
        self.process_s = process_s
        self.body_began_at: float | None = None
        self.received_bytes = 0
        self.expect_response(now, wait_s)

    def expect_response(self, now: float, wait_s: float) -> None:
        """Record that the request is sent."""
        self.due_at = now + wait_s
        self.at = self.due_at + RESPONSE_TIMEOUT_S
        self._latest_at = self.at + MAX_QUEUED_S
        self._link_bytes = 0

    def begin_body(self, now: float) -> None:
        """Record that a body began to arrive whose end will be known.

        Without this call, the time for the response includes its body.
        """
        self.body_began_at = now
        self.record_bytes(0, now)

    def record_bytes(self, count: int, now: float) -> None:
        """Record bytes of the body."""
        if self.body_began_at is None:
            return
        self.received_bytes += count
        self._latest_at = (
            self.body_began_at
            + STALL_TIMEOUT_S
            + self.received_bytes / MIN_BYTES_PER_S
        )
        self.at = min(now + STALL_TIMEOUT_S, self._latest_at)

    def record_link_activity(self, count: int, now: float) -> None:
        """Record bytes of another transfer over the same link.

        This one may be queued behind them, for as long as a slow link needs
        for them.
        """
        latest_at = self._latest_at
        if self.body_began_at is None:
            if now > self.due_at:
                self._link_bytes += count
            queued_s = self._link_bytes / MIN_BYTES_PER_S
            latest_at = min(
                latest_at, self.due_at + RESPONSE_TIMEOUT_S + queued_s
            )
        self.at = max(self.at, min(now + RESPONSE_TIMEOUT_S, latest_at))

    def record_overtaken(self, requested_at: float, now: float) -> None:
        """Record the beginning of another response over the same link.

        This one is not queued behind it if the peer had to send it before,
        and is lost unless it arrives soon.

        :param requested_at: when the other response was asked for.
        """
        if self.body_began_at is not None or requested_at < self.due_at:
            return
        lost_at = max(
            self.due_at + RESPONSE_TIMEOUT_S, now + OVERTAKEN_TIMEOUT_S
        )
        self._latest_at = min(self._latest_at, lost_at + self.process_s)
        self.at = min(self.at, self._latest_at)
