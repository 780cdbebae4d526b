"""A small queueing model for benchmarks: events, and targets with slots.

Time is simulated and all random numbers come from the caller, so that two
runs with the same seed make the same decisions.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools

Callback = collections.abc.Callable[[], None]


class Simulation:
    """Event loop in simulated time; runs callbacks in the order of time.

    >>> simulation = Simulation()
    >>> simulation.at(2.0, lambda: print('late', simulation.now))
    >>> simulation.at(1.0, lambda: print('early', simulation.now))
    >>> simulation.run(until=5.0)
    early 1.0
    late 2.0
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callback]] = []
        self._sequence_numbers = itertools.count()

    def at(self, time: float, callback: Callback) -> None:
        """Schedule ``callback`` at ``time`` in seconds.

        A time in the past counts as now.
        """
        event = (max(self.now, time), next(self._sequence_numbers), callback)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run all events up to ``until``, then set the time to it."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


@dataclasses.dataclass(eq=False)
class Job:
    """A request at a target.

    :param work_s: service time in seconds without slowdown.
    :param done: called on completion, unless the job was cancelled.
    """

    work_s: float
    done: Callback
    cancelled: bool = False
    ended: bool = False


class SlotTarget:
    """A target that runs ``slots`` jobs at once; others wait in FIFO order.

    :param slowdown: factor on the service time of each job, applied when the
        job starts.
    :ivar busy_s: total service time of all started jobs.

    >>> simulation = Simulation()
    >>> target = SlotTarget(simulation, slots=1, slowdown=2.0)
    >>> first, second = Job(9.0, print), Job(1.0, lambda: print('done'))
    >>> target.submit(first), target.submit(second), target.depth
    (None, None, 2)
    >>> simulation.at(3.0, lambda: target.cancel(first))
    >>> simulation.run(until=4.9)
    >>> simulation.run(until=30.0)
    done
    >>> target.depth
    0
    """

    def __init__(
        self, simulation: Simulation, slots: int, slowdown: float = 1.0
    ):
        self.simulation = simulation
        self.slots = slots
        self.slowdown = slowdown
        self.running = 0
        self.busy_s = 0.0
        self._waiting: collections.deque[Job] = collections.deque()

    @property
    def depth(self) -> int:
        """Number of running and waiting jobs."""
        return self.running + len(self._waiting)

    def submit(self, job: Job) -> None:
        """Queue a job and start it as soon as a slot is free."""
        self._waiting.append(job)
        self._start()

    def cancel(self, job: Job) -> None:
        """Cancel a job; a running one frees its slot at once."""
        if job.cancelled or job.ended:
            return
        job.cancelled = True
        if job in self._waiting:
            self._waiting.remove(job)
        else:
            self.running -= 1
            self._start()

    def _start(self) -> None:
        while self._waiting and self.running < self.slots:
            job = self._waiting.popleft()
            self.running += 1
            duration_s = job.work_s * self.slowdown
            self.busy_s += duration_s
            self.simulation.at(
                self.simulation.now + duration_s,
                lambda job=job: self._end(job),
            )

    def _end(self, job: Job) -> None:
        if job.cancelled:
            return
        job.ended = True
        self.running -= 1
        self._start()
        job.done()


def percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile of unsorted values.

    This is the smallest value that ``percent`` of them do not exceed.

    >>> percentile([3.0, 1.0, 2.0, 4.0], 50)
    2.0
    """
    ordered = sorted(values)
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]
