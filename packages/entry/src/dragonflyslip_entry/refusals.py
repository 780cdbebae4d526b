"""Refusals that several modules of the entry return."""

import dataclasses

from dragonflyslip_core import outcomes
from dragonflyslip_entry import calls
from dragonflyslip_entry import errors


def timeout(outcome: outcomes.Outcome) -> outcomes.Refusal:
    """Return the refusal of a call whose deadline has passed."""
    return outcomes.Refusal(
        504, outcome, 'timeout', 'the deadline of the call has passed'
    )


def stopping(outcome: outcomes.Outcome) -> outcomes.Refusal:
    """Return the refusal of a call that is not finished as the entry stops."""
    status = 503 if outcome is outcomes.Outcome.NOT_RUN else 504
    return outcomes.Refusal(
        status, outcome, 'entry-stopping', 'the entry is about to stop'
    )


def bad_gateway(call: calls.Call, kind: str) -> outcomes.Refusal:
    """Return the refusal of a call that got no complete response."""
    return outcomes.Refusal(
        502,
        call.refused_outcome(),
        kind,
        'the target returned no complete response',
    )


def not_sent(
    call: calls.Call, error: errors.SendRefusedError
) -> outcomes.Refusal:
    """Return the refusal of a call that failed the check before sending."""
    return outcomes.Refusal(
        503, call.refused_outcome(), error.kind, error.message, 1
    )


def with_outcome(
    refusal: outcomes.Refusal, outcome: outcomes.Outcome
) -> outcomes.Refusal:
    """Return a copy of the refusal with another outcome."""
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
    """Return the refusal if configuration changes may have been missed."""
    return outcomes.Refusal(
        503,
        call.refused_outcome(),
        'isolated',
        'this entry cannot receive configuration changes',
        retry_after_s=1,
    )
