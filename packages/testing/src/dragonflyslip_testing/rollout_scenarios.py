"""Rollouts to simulate, and what happened in them."""

import dataclasses
import math

from dragonflyslip_core import rollouts

# The platform bounds the time in which requests reach a bad version after this
# many bad responses.
BAD_RESPONSES = 50
# Its bound on the requests to a bad version: a share of all, and a number.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


@dataclasses.dataclass(frozen=True)
class Fault:
    """What is wrong with a version or a machine.

    :param failing: fraction of the responses that fail.
    :param slower: factor on the response time of the fraction ``slow``.
    :param since_s: when it begins.
    :param route: the only route that has it, '' for all.
    :param running: requests that run at a target when it shows up.
    """

    failing: float = 0.0
    slower: float = 1.0
    slow: float = 1.0
    since_s: float = 0.0
    route: str = ''
    running: int = 0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A rollout and its conditions.

    :param rate: requests a second of all gateways together.
    :param burst: beginning, end and factor on the rate.
    :param routes: fractions of the requests by route.
    :param slots: of each target; there are as many new as old ones.
    :param cold_s: until when the new targets are cold.
    :param version: fault of the new version, None for a good one.
    :param old_version: fault of the old one.
    :param machines: faults of new targets, by the order in which they begin
        to get requests.
    :param cut_off_s: when the first gateway that is no candidate, or the last
        candidate, is cut off from the others and from the log.
    """

    rate: float = 300.0
    duration_s: float = 12.0
    gateways: int = 9
    targets: int = 16
    slots: int = 4
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    routes: tuple[float, ...] = (0.6, 0.3, 0.1)
    usual_s: float = 0.05
    cold_s: float = 0.0
    version: Fault | None = None
    old_version: Fault | None = None
    machines: tuple[tuple[int, Fault], ...] = ()
    cut_off_s: float = math.inf


@dataclasses.dataclass
class Outcome:
    """What happened.

    :param exposed: requests to the new version until the model's end.
    :param requests: all requests from the order to the end of the duration.
    :param bad_at: times of the version's first 50 bad responses.
    :param last_new_at: time of the last request to the new version.
    :param ended_at: when the status of the final decision was published.
    :param old_at_end: requests in flight at old targets, or sent there by a
        connected gateway, once the rollout had succeeded.
    """

    decisions: list[rollouts.Decision] = dataclasses.field(
        default_factory=list
    )
    exposed: int = 0
    requests: int = 0
    bad_at: list[float] = dataclasses.field(default_factory=list)
    last_new_at: float = 0.0
    ended_at: float = math.inf
    old_at_end: int = 0

    @property
    def stage(self) -> rollouts.Stage:
        """The last stage that was decided."""
        return self.decisions[-1].stage

    @property
    def allowed(self) -> float:
        """Requests that a bad version may get by the platform's bound."""
        return EXPOSURE_SHARE * self.requests + EXPOSURE_SLACK

    @property
    def late_s(self) -> float:
        """How long after the 50th bad response a request was sent there."""
        if len(self.bad_at) < BAD_RESPONSES:
            return 0.0
        return self.last_new_at - self.bad_at[-1]
