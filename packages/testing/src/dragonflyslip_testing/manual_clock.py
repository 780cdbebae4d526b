"""A clock that tests control."""

import collections.abc


class ManualClock:
    """A clock that advances only while the code under test sleeps.

    :param wall_s: Unix seconds at the start.
    :ivar events: pairs of a time, in seconds since the start, and a callback
        that is called once when a sleep reaches that time.
    """

    def __init__(self, wall_s: float = 1_700_000_000.0):
        self.wall_s = wall_s
        self.seconds = 0.0
        self.events: list[
            tuple[float, collections.abc.Callable[[], object]]
        ] = []

    def now(self) -> float:
        """Return the monotonic time: seconds since the start."""
        return self.seconds

    def wall(self) -> float:
        """Return Unix seconds."""
        return self.wall_s + self.seconds

    async def sleep(self, seconds: float) -> None:
        """Advance the time, then run the callbacks that are due."""
        self.seconds += seconds
        due = [event for event in self.events if event[0] <= self.seconds]
        self.events = [event for event in self.events if event not in due]
        for _, callback in due:
            callback()
