"""What happened during a soak run."""

import dataclasses
import enum

from dragonflyslip_emulator import guarantees


@dataclasses.dataclass
class Interval:
    """Interval during which a condition applied to one subject.

    :param subject: name of a gateway, target or zone; empty for all of them.
    :param since: start, on the event loop's clock.
    :param until: end, on the event loop's clock.
    """

    subject: str
    since: float
    until: float = float('inf')

    def overlaps(self, subject: str, since: float, until: float) -> bool:
        """Return whether the condition applied to ``subject`` in a period.

        :param since: start of the period.
        :param until: end of the period.
        """
        return self.subject in ('', subject) and (
            self.since <= until and since <= self.until
        )


class FaultKind(enum.Enum):
    """Origin of a fault."""

    # Planned work at a gateway: a graceful stop and the restart after it.
    PLANNED = 'planned'
    # The store, or a gateway's connection to it, is impaired.
    STORE = 'store'
    # A gateway is killed or paused, or connections to a target are impaired.
    UNPLANNED = 'unplanned'


@dataclasses.dataclass
class FaultInterval(Interval):
    """Interval during which a fault affects a gateway or a target."""

    kind: FaultKind = FaultKind.UNPLANNED


@dataclasses.dataclass
class LimitInterval(Interval):
    """Interval during which a target states a limit.

    :param limit: requests a second, from all gateways together.
    """

    limit: float = 0.0


@dataclasses.dataclass
class CallerAttempt(guarantees.Attempt):
    """An attempt with the times that its caller saw.

    :param caller_timeout_s: seconds until the deadline that it states.
    :param route_timeout_s: timeout of its route.
    :param sent_behind: whether it was sent behind another one that had no
        response, on the same connection.
    :param given_up: whether its caller closed the connection because the
        response before it did not arrive in time.
    :param written_at: when its last byte was written to a connection on which
        the caller had seen no close; infinite if that did not happen.
    :param head_at: when the head of its response arrived.
    """

    caller_timeout_s: float = float('inf')
    route_timeout_s: float = float('inf')
    sent_behind: bool = False
    given_up: bool = False
    written_at: float = float('inf')
    head_at: float = float('inf')

    @property
    def timeout_s(self) -> float:
        """Seconds after which it may end without an answer."""
        return min(self.caller_timeout_s, self.route_timeout_s)

    @property
    def is_being_answered(self) -> bool:
        """Whether a part of its response has arrived."""
        return self.head_at < float('inf') == self.finished_at


@dataclasses.dataclass
class PublishedManifest:
    """A manifest as it was published.

    :param services: the service of each kind of request.
    :param accepted_at: when the store accepted it, on the event loop's clock.
    """

    version: int
    services: dict[str, str]
    accepted_at: float


@dataclasses.dataclass
class History:
    """Record of a run, from which its violations are found.

    :param fault_intervals: the subject is a gateway, or empty for a fault
        that affects them all.
    :param target_fault_intervals: faults of the connections to a target.
    :param terminations: from the SIGTERM of a gateway until its process ends.
    :param absences: from the end of a gateway's process until the last time
        at which its port refused a connection.
    :param crash_times: when targets crashed because of a request.
    :param reloads: the moments at which a gateway got SIGHUP.
    """

    attempts: list[CallerAttempt] = dataclasses.field(default_factory=list)
    manifests: list[PublishedManifest] = dataclasses.field(
        default_factory=list
    )
    fault_intervals: list[FaultInterval] = dataclasses.field(
        default_factory=list
    )
    target_fault_intervals: list[FaultInterval] = dataclasses.field(
        default_factory=list
    )
    absences: list[Interval] = dataclasses.field(default_factory=list)
    reloads: list[Interval] = dataclasses.field(default_factory=list)
    terminations: list[Interval] = dataclasses.field(default_factory=list)
    withdrawals: list[Interval] = dataclasses.field(default_factory=list)
    evacuations: list[Interval] = dataclasses.field(default_factory=list)
    cold_intervals: list[Interval] = dataclasses.field(default_factory=list)
    limit_intervals: list[LimitInterval] = dataclasses.field(
        default_factory=list
    )
    crash_times: list[float] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
