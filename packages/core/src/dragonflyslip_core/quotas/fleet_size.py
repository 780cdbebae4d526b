"""The number of gateways among which quotas are divided."""

import collections


class RegisteredSize:
    """The largest number of registered gateways within a window.

    A gateway that has just learned of fewer gateways waits for one window,
    since the ones that left may have used their shares in it.
    """

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record(self, size: int, now: float) -> None:
        """Record the number that is registered now."""
        if self._changes and self._changes[-1][1] == size:
            return
        self._changes.append((now, size))

    def at(self, now: float) -> int:
        """Return the number to divide by, 0 if none is known."""
        # An entry was in force until the next one.
        while (
            len(self._changes) > 1
            and self._changes[1][0] <= now - self.window_s
        ):
            self._changes.popleft()
        return max((size for _, size in self._changes), default=0)
