"""Chooses a target for a call and accounts for its use."""

import collections.abc
import dataclasses
import random

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import outcomes
from dragonflyslip_core import targets
from dragonflyslip_entry import calls
from dragonflyslip_entry import errors


@dataclasses.dataclass
class Grant:
    """The right to send one call to one target.

    :param check: to be called in the step of the write.
    """

    state: targets.TargetState
    check: collections.abc.Callable[[float], None]
    released: bool = False


class Dispatcher:
    """Grants targets to calls.

    :param rng: source of random choices.
    """

    def __init__(self, board: blackboard.Blackboard, rng: random.Random):
        self.board = board
        self.rng = rng

    def choose(
        self, call: calls.Call, excluded: set[str], now: float
    ) -> result.Result[Grant, outcomes.Refusal]:
        """Choose a target that may receive the call now.

        :param excluded: instance ids that the call must avoid.
        """
        states = self.board.service_targets.get(call.service, [])
        usable = [
            state
            for state in states
            if state.target.instance_id not in excluded
            and self._usable(state, now)
        ]
        if not usable:
            return result.Failure(
                outcomes.Refusal(
                    503,
                    call.refused_outcome(),
                    'no-target',
                    f'no target of {call.service} can take the call',
                    retry_after_s=1,
                )
            )
        sample = self.rng.sample(usable, min(2, len(usable)))
        state = min(sample, key=lambda candidate: candidate.own_in_flight)
        state.own_in_flight += 1
        state.sent_total += 1
        return result.Success(
            Grant(state, lambda time: self._check(call, state, time))
        )

    def release(self, grant: Grant) -> None:
        """Give the right back after the response ended or failed."""
        if not grant.released:
            grant.released = True
            grant.state.own_in_flight -= 1

    def _usable(self, state: targets.TargetState, now: float) -> bool:
        return (
            state.target.state is targets.InstanceState.LIVE
            and self.board.config.is_in_service(state.target)
        )

    def _check(
        self, call: calls.Call, state: targets.TargetState, now: float
    ) -> None:
        if now >= call.deadline_at and not call.has_body:
            raise errors.SendRefusedError('deadline', 'deadline has passed')
        if not self._usable(state, now):
            raise errors.SendRefusedError(
                'target-withdrawn', 'target may no longer receive work'
            )
