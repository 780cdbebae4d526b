"""Counters and log lines of the accounts that are limited."""

import collections

from dragonflyslip_entry import logs

LOG_PERIOD_S = 1.0
# Accounts with series of their own in the metrics, and in a log line.
MAX_ACCOUNTS = 20
OTHER = 'other'


class QuotaStatistics:
    """Counts admitted and refused requests by account.

    Totals are exported for the accounts with the most refused requests; the
    rest counts as ``other``. An account that takes the place of another one
    begins its series with its own total.
    """

    def __init__(self):
        self.admitted_totals: collections.Counter[str] = collections.Counter()
        self.limited_totals: collections.Counter[str] = collections.Counter()
        self._recent: collections.Counter[str] = collections.Counter()
        self._logged_at = 0.0

    def admitted(self, account: str) -> None:
        """Count a request that may run."""
        self.admitted_totals[account] += 1

    def limited(self, account: str) -> None:
        """Count a request that was refused."""
        self.limited_totals[account] += 1
        self._recent[account] += 1

    def largest(
        self, totals: collections.Counter[str]
    ) -> list[tuple[str, int]]:
        """Return the largest totals, and the sum of the others."""
        listed = totals.most_common(MAX_ACCOUNTS)
        rest = totals.total() - sum(count for _, count in listed)
        return [*listed, (OTHER, rest)] if rest else listed

    def log(self, now: float) -> None:
        """Log which accounts were limited, once a second at most."""
        if not self._recent or now - self._logged_at < LOG_PERIOD_S:
            return
        self._logged_at = now
        logs.info(
            'accounts limited',
            accounts=dict(self._recent.most_common(MAX_ACCOUNTS)),
            count=len(self._recent),
            requests=self._recent.total(),
        )
        self._recent.clear()
