"""Division of fleet-wide limits and assignment of exclusive rights.

An exclusive right is named by a key; one entry at a time may use it. An
example is the right to send requests to a cold target, named by the target id.
"""

import hashlib

from dragonflyslip_core import membership

HOLDER_WAIT_S = 3.0
"""Seconds of uninterrupted agreement before an entry uses an exclusive right.

Anything that the previous holder wrote to a target arrives within this time.
"""


def share_of(limit: float, divisor: int | None, agreed: bool) -> int:
    """Return this entry's share of a fleet-wide limit, rounded down.

    :param divisor: number of shares, ``Agreement.last_divisor``; the share
        is 0 if it is None.
    :param agreed: whether the entries agree on the members; without
        agreement it is half of the last share.

    >>> share_of(250, 17, True), share_of(250, 17, False)
    (14, 7)
    """
    return int(rate_share_of(limit, divisor, agreed))


def rate_share_of(limit: float, divisor: int | None, agreed: bool) -> float:
    """Return this entry's share of a fleet-wide rate, not rounded.

    The parameters are those of :func:`share_of`.

    >>> rate_share_of(5.0, 4, True)
    1.25
    """
    if divisor is None:
        return 0.0
    return limit / divisor if agreed else limit / divisor / 2


def holder_of(
    key: str, view: membership.MembershipView
) -> membership.EntryId | None:
    """Return the entry that holds the exclusive right named ``key``.

    Uses rendezvous hashing over the names of the members that are not
    draining: a change of members moves only rights of the members that left
    or joined, and a restarted entry keeps its rights.

    :return: None if all members are draining.
    """
    candidates = [m.entry_id for m in view.members if not m.draining]
    if not candidates:
        return None
    return max(candidates, key=lambda entry_id: _weight(key, entry_id.name))


def is_holder(
    key: str,
    own: membership.EntryId,
    agreement: membership.Agreement,
    now: float,
) -> bool:
    """Return whether ``own`` may use the exclusive right ``key`` now."""
    if not agreement.agreed or agreement.since is None:
        return False
    if now - agreement.since < HOLDER_WAIT_S:
        return False
    return holder_of(key, agreement.view) == own


def share_with_remainder_of(
    limit: int,
    key: str,
    own: membership.EntryId,
    agreement: membership.Agreement,
    now: float,
) -> int:
    """Return this entry's share of a limit, without losing the remainder.

    The units that :func:`share_of` loses by rounding down go to the holder of
    ``key``, so the shares of all entries add up to the limit.
    """
    divisor = agreement.last_divisor
    share = share_of(limit, divisor, agreement.agreed)
    if divisor is not None and is_holder(key, own, agreement, now):
        share += limit % divisor
    return share


def _weight(key: str, name: str) -> bytes:
    text = f'{len(key)}:{key}{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
