"""Repeats of idempotent calls: retries after a failure, and hedges."""

import dataclasses
import enum
import random

from dragonflyslip_core import profiles

RETRY_HEADER = 'Dragonflyslip-Retry'
RETRY_VALUE = '1'
# About half a second of retries at 400 calls a second and 10 percent. The
# calls of one crashed target can be retried, but a quiet hour does not save
# up enough retries to cause a retry storm.
BUDGET_BURST = 20.0


def is_marked(value: str | None) -> bool:
    """Return whether a ``Dragonflyslip-Retry`` value forbids retries.

    Every value except ``0`` and an empty one forbids them: a garbled value
    must not allow retries.

    >>> is_marked(None), is_marked('1')
    (False, True)
    """
    return value is not None and value.strip() not in ('', '0')


@dataclasses.dataclass
class RetryBudget:
    """Allows repeats up to a percentage of a service's calls.

    It starts empty, so the repeats never exceed ``percent`` of all calls
    since the start.

    :param percent: repeats as a percentage of calls.
    :param burst: repeats that may be saved up.
    :param saved: repeats that are available.
    """

    percent: float
    burst: float = BUDGET_BURST
    saved: float = 0.0

    def record_call(self) -> None:
        """Count a new call; not to be called for repeats."""
        self.saved = min(self.burst, self.saved + self.percent / 100)

    def take(self) -> bool:
        """Take one repeat; return whether the budget allowed it."""
        # Tolerates rounding: ten additions of 0.1 give slightly less than 1.
        if self.saved < 1.0 - 1e-9:
            return False
        self.saved = max(0.0, self.saved - 1.0)
        return True


@dataclasses.dataclass(frozen=True)
class CallProgress:
    """Progress of a call that may be repeated.

    :param idempotent: running it twice has the same effect as running it
        once.
    :param attempts: sends by this entry so far, including hedges.
    :param body_sent: part of the body was sent and is no longer buffered.
    :param marked: the call arrived with ``Dragonflyslip-Retry``, which
        forbids further retries.
    :param deadline: monotonic seconds.
    """

    idempotent: bool
    attempts: int
    body_sent: bool
    marked: bool
    deadline: float


class Denial(enum.StrEnum):
    """Why a call is not repeated."""

    NOT_IDEMPOTENT = 'not-idempotent'
    BODY_SENT = 'body-sent'
    OTHER_LAYER = 'other-layer'
    ATTEMPTS = 'attempts'
    DEADLINE = 'deadline'
    BUDGET = 'budget'
    NO_CAPACITY = 'no-capacity'
    DISABLED = 'disabled'


# Layers are the clients, proxies and entries on the path of a call, each of
# which may repeat it. With these reasons, the layers above must not repeat the
# call: a layer has repeated it already, or the budget of this one does not
# allow it. Otherwise each layer would add its own repeats.
_FINAL_DENIALS = (Denial.OTHER_LAYER, Denial.ATTEMPTS, Denial.BUDGET)


@dataclasses.dataclass(frozen=True)
class Repeat:
    """Send the call again, marked with ``Dragonflyslip-Retry: 1``.

    :param at: monotonic seconds at which to send it.
    :param attempt: number of this send, from 2.
    """

    at: float
    attempt: int


@dataclasses.dataclass(frozen=True)
class NoRepeat:
    """Do not send the call again."""

    reason: Denial

    @property
    def marks_response(self) -> bool:
        """Whether the failed response gets ``Dragonflyslip-Retry: 1``."""
        return self.reason in _FINAL_DENIALS


def _find_denial(
    call: CallProgress, max_attempts: int, earliest_end: float
) -> Denial | None:
    if not call.idempotent:
        return Denial.NOT_IDEMPOTENT
    if call.body_sent:
        return Denial.BODY_SENT
    if call.marked:
        return Denial.OTHER_LAYER
    if max_attempts < 2:
        return Denial.DISABLED
    if call.attempts >= max_attempts:
        return Denial.ATTEMPTS
    if earliest_end >= call.deadline:
        return Denial.DEADLINE
    return None


@dataclasses.dataclass
class RetryPolicy:
    """Decides whether and when a failed call of a service is sent again.

    :param max_attempts: sends of a call, including the first one.
    :param delay_s: mean delay before a retry in seconds. The delay is
        uniformly distributed between 0 and twice this, so that calls that
        failed together are not retried together.
    """

    max_attempts: int
    delay_s: float
    budget: RetryBudget

    @classmethod
    def from_profile(cls, profile: profiles.Profile) -> 'RetryPolicy':
        """Return the policy of a service that uses ``profile``."""
        return cls(
            max_attempts=profile.max_attempts,
            delay_s=profile.retry_delay_ms / 1000,
            budget=RetryBudget(profile.retry_budget_percent),
        )

    def next_attempt(
        self,
        call: CallProgress,
        now: float,
        rng: random.Random,
        expected_s: float = 0.0,
        response_mark: str | None = None,
    ) -> Repeat | NoRepeat:
        """Decide after a failed attempt; a repeat is taken from the budget.

        :param now: monotonic seconds.
        :param expected_s: expected seconds until the next attempt ends,
            which must be before the deadline.
        :param response_mark: value of ``Dragonflyslip-Retry`` in the failed
            response, set if a layer below has already repeated the call.
        """
        at = now + rng.uniform(0.0, 2 * self.delay_s)
        if is_marked(response_mark):
            call = dataclasses.replace(call, marked=True)
        denial = _find_denial(call, self.max_attempts, at + expected_s)
        if denial is None and not self.budget.take():
            denial = Denial.BUDGET
        if denial is not None:
            return NoRepeat(denial)
        return Repeat(at, call.attempts + 1)


@dataclasses.dataclass
class HedgePolicy:
    """Decides whether a call without a response is sent a second time.

    :param after_s: seconds without response headers before a hedge; 0
        disables hedges.
    :param max_attempts: sends of a call, including the first one.
    """

    after_s: float
    max_attempts: int
    budget: RetryBudget

    @classmethod
    def from_profile(cls, profile: profiles.Profile) -> 'HedgePolicy':
        """Return the policy of a service that uses ``profile``."""
        return cls(
            after_s=profile.hedge_after_ms / 1000,
            max_attempts=profile.max_attempts,
            budget=RetryBudget(profile.hedge_budget_percent),
        )

    def hedge_at(self, call: CallProgress, sent_at: float) -> float | None:
        """Return when to call :meth:`next_hedge`; None if never."""
        at = sent_at + self.after_s
        if self.after_s <= 0 or _find_denial(call, self.max_attempts, at):
            return None
        return at

    def next_hedge(
        self, call: CallProgress, now: float, free: int, waiting: int
    ) -> Repeat | NoRepeat:
        """Decide whether to hedge, at the time from :meth:`hedge_at`.

        :param now: monotonic seconds.
        :param free: requests that other targets can accept now.
        :param waiting: calls of the service in the admission queue; a hedge
            must not take a slot from a call that has not been sent at all.
        """
        if self.after_s <= 0:
            return NoRepeat(Denial.DISABLED)
        denial = _find_denial(call, self.max_attempts, now)
        if denial is None and (free < 1 or waiting > 0):
            denial = Denial.NO_CAPACITY
        if denial is None and not self.budget.take():
            denial = Denial.BUDGET
        if denial is not None:
            return NoRepeat(denial)
        return Repeat(now, call.attempts + 1)
