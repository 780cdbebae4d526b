"""Quotas in virtual time: over-admission, rejections, messages, memory.

Run ``python -m bench.quotas``; it takes about a minute.
"""

import random
import resource
import time

from dragonflyslip_core import accounts
from dragonflyslip_testing import quota_fleet

# Gateways, accounts, rate of the small accounts, seconds.
SCENARIOS = (
    (99, 73, 4.0, 6.0),
    (99, 10_000, 0.5, 6.0),
    (1_000, 73, 4.0, 5.0),
)
WARM_UP_S = 3.0
LARGE_ACCOUNTS = 4
LARGE_RATE = 100.0
# Part of its rate that an account uses, and what one of them wants.
USE = 0.8
EXCESS = 7.0


def make_limits(count: int, small_rate: float) -> list[accounts.Account]:
    """Return accounts of which the first few are large."""
    return [
        accounts.Account(
            f'account-{number}',
            (),
            rate_per_s=LARGE_RATE if number < LARGE_ACCOUNTS else small_rate,
            burst=20.0 if number < LARGE_ACCOUNTS else 4.0,
        )
        for number in range(count)
    ]


def request_all(
    fleet: quota_fleet.QuotaFleet, seconds: float, excess: str | None
) -> int:
    """Schedule requests of all accounts; return their number.

    :param excess: the account that wants ``EXCESS`` times its usual rate.
    """
    rng = random.Random(1)
    names = list(fleet.gateways)
    sent = 0
    for account in fleet.accounts.values():
        rate = USE * account.rate_per_s
        if account.name == excess:
            rate *= EXCESS
        at = rng.expovariate(rate)
        while at < seconds:
            fleet.request_later(rng.choice(names), account.name, at)
            sent += 1
            at += rng.expovariate(rate)
    return sent


def measure(size: int, count: int, small_rate: float, seconds: float) -> str:
    """Return the row of the table for one fleet."""
    limits = make_limits(count, small_rate)
    excess = limits[0].name
    fleet = quota_fleet.QuotaFleet(size, limits)
    fleet.run(WARM_UP_S)
    before = fleet.messages
    sent = request_all(fleet, seconds, excess)
    resident = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet.run(seconds)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - resident
    below = sum(fleet.refused[limit.name] for limit in limits[1:])
    over = max(
        fleet.most_in_window(limit.name)
        / fleet.bounds.most(limit.rate_per_s, limit.burst)
        for limit in limits
    )
    per_s = (fleet.messages - before) / seconds
    return (
        f'| {size} | {count} | {over:.0%} | {below / sent:.2%} '
        f'| {per_s:.0f} | {per_s / size:.0f} | {memory / size:.0f} |'
    )


def main() -> None:
    """Print the table."""
    print(
        '| gateways | accounts | most in 5 s, of the bound '
        '| refused below the quota | messages/s | per gateway '
        '| peak KB per gateway | s to run |'
    )
    print('|---|---|---|---|---|---|---|---|')
    for scenario in SCENARIOS:
        started = time.perf_counter()
        row = measure(*scenario)
        print(f'{row} {time.perf_counter() - started:.0f} |', flush=True)


if __name__ == '__main__':
    main()
