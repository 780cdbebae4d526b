"""Time that tests control."""

import collections.abc


class ManualClock:
    """Time that moves only when something sleeps.

    :param wall_s: Unix seconds at the start.
    :ivar events: what happens while something sleeps, by seconds since the
        start; each action is called once.
    """

    def __init__(self, wall_s: float = 1_700_000_000.0):
        self.wall_s = wall_s
        self.seconds = 0.0
        self.events: list[
            tuple[float, collections.abc.Callable[[], object]]
        ] = []

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.seconds

    def wall(self) -> float:
        """Return Unix seconds."""
        return self.wall_s + self.seconds

    async def sleep(self, seconds: float) -> None:
        """Move the time on, then call the actions that are due."""
        self.seconds += seconds
        due = [event for event in self.events if event[0] <= self.seconds]
        self.events = [event for event in self.events if event not in due]
        for _, action in due:
            action()
