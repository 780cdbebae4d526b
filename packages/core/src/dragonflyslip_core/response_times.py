"""Whether a request has enough time left to get its response.

This is decided by how long requests of its route have lately taken. The
target latency says how long they should take, and bounds no run.
"""

import collections
import dataclasses
import math

# Requests of a route by which its next one is judged.
MAX_SAMPLES = 64
MIN_SAMPLES = 16
# A request is worth sending if at least this fraction of those before it
# would have ended in the time that is left. A caller that is refused at once
# can still be served elsewhere, one that is cut off mostly cannot.
ENDED_FRACTION = 0.95
# Until enough requests have ended, one needs this many target latencies.
ASSUMED_LATENCIES = 2.0


@dataclasses.dataclass
class ResponseTimes:
    """How long the latest requests of one route took.

    :param recent_s: seconds from the arrival of a request to the end of its
        response.
    """

    recent_s: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    def record(self, took_s: float) -> None:
        """Add a request that has ended.

        :param took_s: for a request that timed out without a response, the
            seconds until then.
        """
        self.recent_s.append(took_s)

    def needed_s(self, target_latency_s: float) -> float:
        """Return how many seconds a request should have left."""
        if len(self.recent_s) < MIN_SAMPLES:
            return ASSUMED_LATENCIES * target_latency_s
        rank = math.ceil(ENDED_FRACTION * len(self.recent_s))
        return sorted(self.recent_s)[rank - 1]
