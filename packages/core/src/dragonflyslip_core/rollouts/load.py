"""The load of a service in the last stage, relative to the usual one."""

import statistics

# Number of intervals of a rollout whose loads are compared.
INTERVALS = 40
# Intervals before the last stage that count with it: requests that arrived
# then may still be waiting.
INTERVALS_BEFORE = 3
# Fewer intervals than this do not show what is usual.
MIN_INTERVALS = 8


class LoadHistory:
    """Requests of a service since the order, at regular times.

    :param duration_s: duration of the order in seconds.
    """

    def __init__(self, duration_s: float):
        self.interval_s = duration_s / INTERVALS
        # Seconds since the order and number of requests.
        self._marks: list[tuple[float, int]] = []

    def record(self, elapsed_s: float, requests: int) -> None:
        """Record how many requests have arrived since the order."""
        if (
            not self._marks
            or elapsed_s >= self._marks[-1][0] + self.interval_s
        ):
            self._marks.append((elapsed_s, requests))

    def relative_load(
        self, since_s: float, elapsed_s: float, requests: int
    ) -> float | None:
        """Return the load since some time, as a multiple of the usual one.

        The usual load is the median of the intervals before, so that a burst
        does not change it.

        :param since_s: beginning of the last stage.
        :return: None if too little is known.
        """
        before = [mark for mark in self._marks if mark[0] <= since_s]
        if len(before) <= MIN_INTERVALS:
            return None
        usual = statistics.median(
            (later[1] - earlier[1]) / (later[0] - earlier[0])
            for earlier, later in zip(before, before[1:], strict=False)
        )
        start_s, start_requests = before[-INTERVALS_BEFORE]
        if usual <= 0.0 or elapsed_s <= start_s:
            return None
        load = (requests - start_requests) / (elapsed_s - start_s)
        return load / usual
