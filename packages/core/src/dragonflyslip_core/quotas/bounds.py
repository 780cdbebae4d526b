"""What may run of an account, and how the parts of it are divided."""

import dataclasses

# A share is lent for this long after the owner's message that was answered.
LEASE_S = 1.0
# Parts of the overage, as time at the account's rate: for tokens that a
# gateway holds, and for those that buckets save. Both count in a window, so
# tokens that lived for the whole overage (0.5 s) would leave no room for a
# bucket to fill between two requests for tokens.
HELD_PART = 0.7
SAVED_PART = 0.3
# Part of the slack that buckets save; the rest is for random admissions and
# for gateways that disagree on their number.
SPARE_PART = 0.25
# Part of a share of less than one token that is admitted at random. The
# number varies by its square root; with 0.9 the mean is 3 standard deviations
# or more below the bound even if each gateway of the fleet is alone.
RANDOM_PART = 0.9


@dataclasses.dataclass(frozen=True)
class QuotaBounds:
    """The bound on requests of an account that run in any window.

    It is ``(rate x window_s + burst) x (1 + overage) + slack``.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def token_life_s(self) -> float:
        """Seconds that a gateway may hold a token."""
        return HELD_PART * self.overage * self.window_s

    def saved(self, rate_per_s: float, burst: float) -> float:
        """Return the tokens that all buckets of an account may save."""
        saved_s = SAVED_PART * self.overage * self.window_s
        return burst + SPARE_PART * self.slack + saved_s * rate_per_s

    def most(self, rate_per_s: float, burst: float) -> float:
        """Return the requests that may run in a window.

        >>> QuotaBounds().most(10.0, 4.0)
        79.4
        """
        per_window = rate_per_s * self.window_s + burst
        return round(per_window * (1 + self.overage) + self.slack, 9)
