"""Refusals that several parts of the entry give."""

import dataclasses

from dragonflyslip_core import outcomes
from dragonflyslip_entry import calls
from dragonflyslip_entry import errors


def timeout(outcome: outcomes.Outcome) -> outcomes.Refusal:
    """Return the refusal of a call whose deadline has passed."""
    return outcomes.Refusal(
        504, outcome, 'timeout', 'the deadline of the call has passed'
    )


def bad_gateway(call: calls.Call, kind: str) -> outcomes.Refusal:
    """Return the refusal of a call without a whole response."""
    return outcomes.Refusal(
        502,
        call.refused_outcome(),
        kind,
        'the target gave no whole response',
    )


def not_sent(
    call: calls.Call, error: errors.SendRefusedError
) -> outcomes.Refusal:
    """Return the refusal of a call that a last check has stopped."""
    return outcomes.Refusal(
        503, call.refused_outcome(), error.kind, error.message, 1
    )


def with_outcome(
    refusal: outcomes.Refusal, outcome: outcomes.Outcome
) -> outcomes.Refusal:
    """Return the refusal with another outcome."""
    return dataclasses.replace(refusal, outcome=outcome)


def no_target(call: calls.Call, kind: str) -> outcomes.Refusal:
    """Return the refusal of a call that no target can take now."""
    return outcomes.Refusal(
        503,
        call.refused_outcome(),
        kind,
        f'no target of {call.service} can take the call',
        retry_after_s=1,
    )


def isolated(call: calls.Call) -> outcomes.Refusal:
    """Return the refusal of an entry that may have missed a change."""
    return outcomes.Refusal(
        503,
        call.refused_outcome(),
        'isolated',
        'this entry cannot learn of changes of configuration',
        retry_after_s=1,
    )
