"""How long callers wait, and what that says of an attempt.

A caller that comes back after a refusal states the rest of its wait. What
that lacks to the wait of a first attempt is the time since then.
"""

import collections
import collections.abc
import dataclasses

# Attempts that must state about the same wait before it counts as the one of
# first attempts; the rest of a wait differs from caller to caller.
REPEATS = 3
SAME_S = 0.05
# Different waits of one route that are counted; the rarest one makes room.
MAX_COUNTED = 32


@dataclasses.dataclass
class _RouteWaits:
    usual_s: float = 0.0
    counts: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


class CallerWaits:
    """The waits that callers of each route state at their first attempt.

    >>> waits = CallerWaits()
    >>> [waits.waited_before_s('lookup', 3.0) for _ in range(3)]
    [0.0, 0.0, 0.0]
    >>> waits.waited_before_s('lookup', 2.5)
    0.5
    """

    def __init__(self):
        self._routes: dict[str, _RouteWaits] = {}

    @property
    def usual_s(self) -> dict[str, float]:
        """Known waits of first attempts in seconds, by route."""
        return {
            route: waits.usual_s
            for route, waits in self._routes.items()
            if waits.usual_s > 0.0
        }

    def waited_before_s(self, route: str, wait_s: float) -> float:
        """Note an attempt; return for how long its caller has tried before.

        :param wait_s: seconds that it will wait from now on.
        """
        waits = self._routes.setdefault(route, _RouteWaits())
        if wait_s > waits.usual_s:
            self._count(waits, wait_s)
        return max(0.0, waits.usual_s - wait_s)

    def _count(self, waits: _RouteWaits, wait_s: float) -> None:
        step = int(wait_s / SAME_S)
        waits.counts[step] += 1
        if waits.counts[step] >= REPEATS:
            waits.usual_s = wait_s
            waits.counts.clear()
        elif len(waits.counts) > MAX_COUNTED:
            rarest = min(waits.counts, key=waits.counts.__getitem__)
            del waits.counts[rarest]

    def merge(self, usual_s: collections.abc.Mapping[str, float]) -> None:
        """Take over the longer waits of first attempts that others know."""
        for route, wait_s in usual_s.items():
            waits = self._routes.setdefault(route, _RouteWaits())
            waits.usual_s = max(waits.usual_s, wait_s)

    def keep(self, routes: collections.abc.Collection[str]) -> None:
        """Drop what is known of all other routes."""
        self._routes = {
            route: waits
            for route, waits in self._routes.items()
            if route in routes
        }
