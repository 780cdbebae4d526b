"""Advice of candidates, and the share that an entry uses under it.

An entry that candidates cannot reach may hold an old decision. So it sends
requests to the version only while a candidate keeps responding to its
reports, but for the last stage: there a retreat would bring back traffic to
old targets that are about to be stopped.
"""

import dataclasses

from dragonflyslip_core import feeds
from dragonflyslip_core.rollouts import rollout as rollout_types
from dragonflyslip_core.rollouts import stages

# Without a response for this time, candidates count as out of reach.
ADVICE_TIMEOUT_S = 1.5
# A hold of a candidate that has fallen silent lasts for this time, within
# which another one takes over and decides.
HOLD_MEMORY_S = 5.0


@dataclasses.dataclass(frozen=True)
class Advice:
    """Response of a candidate to a report.

    :param candidate: name of the candidate.
    :param order: position of the order.
    :param hold: whether it judges the version to be bad.
    :param acknowledged: newest report of this entry from which no changed
        cell is missing.
    """

    candidate: str
    order: feeds.Position
    hold: bool
    acknowledged: int


class AdvisedShare:
    """The share of requests that one entry sends to a version now.

    Times are monotonic seconds.

    :param order: position of the order; other advice is ignored.
    """

    def __init__(self, order: feeds.Position):
        self.order = order
        self._advised_at = float('-inf')
        self._holds: dict[str, float] = {}

    def record(
        self, advice: Advice, now: float, own_and_cut_off: bool = False
    ) -> None:
        """Apply advice.

        :param own_and_cut_off: whether it is this entry's own advice while
            its copy of the decisions is not fresh. It then shows no
            connection to the fleet; only a hold counts.
        """
        if advice.order != self.order:
            return
        if not own_and_cut_off:
            self._advised_at = now
        if advice.hold:
            self._holds[advice.candidate] = now
        else:
            self._holds.pop(advice.candidate, None)

    def is_held(self, now: float) -> bool:
        """Return whether a candidate advises to hold back requests."""
        return any(
            now - at <= HOLD_MEMORY_S
            or now - self._advised_at > ADVICE_TIMEOUT_S
            for at in self._holds.values()
        )

    def share(self, rollout: rollout_types.Rollout, now: float) -> float:
        """Return the fraction of requests that may go to the version."""
        stage = rollout.stage
        if stage.is_final:
            return rollout.share
        if rollout.withdrawn or self.is_held(now):
            return 0.0
        if stage is stages.Stage.LAST:
            return rollout.share
        if rollout.is_over(now):
            return 0.0
        if now - self._advised_at > ADVICE_TIMEOUT_S:
            return 0.0
        return rollout.share
