"""Division of fleet-wide limits and assignment of exclusive rights."""

import hashlib

from dragonflyslip_core import membership

HOLDER_WAIT_S = 3.0
"""Seconds of unbroken agreement before an entry uses an exclusive right.

What the previous holder wrote to a target arrives within this time.
"""


def share_of(limit: float, divisor: int | None, agreed: bool) -> int:
    """Return this entry's part of a fleet-wide limit, rounded down.

    :param divisor: number of parts, ``Agreement.last_divisor``.
    :param agreed: without agreement the part is half of the last one.

    >>> share_of(250, 17, True), share_of(250, 17, False)
    (14, 7)
    """
    return int(rate_share_of(limit, divisor, agreed))


def rate_share_of(limit: float, divisor: int | None, agreed: bool) -> float:
    """Return this entry's part of a fleet-wide rate, not rounded.

    >>> rate_share_of(5.0, 4, True)
    1.25
    """
    if divisor is None:
        return 0.0
    return limit / divisor if agreed else limit / divisor / 2


def holder_of(
    key: str, view: membership.MembershipView
) -> membership.EntryId | None:
    """Return the entry that has the exclusive right named ``key``.

    Rendezvous hashing over the names of the members that do not drain: a
    change of members moves only the rights of those that left or came, and a
    restarted entry keeps its own.

    :return: None if every member drains.
    """
    candidates = [m.entry_id for m in view.members if not m.draining]
    if not candidates:
        return None
    return max(candidates, key=lambda entry_id: _weight(key, entry_id.name))


def holds(
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


def whole_share_of(
    limit: int,
    key: str,
    own: membership.EntryId,
    agreement: membership.Agreement,
    now: float,
) -> int:
    """Return this entry's part of a limit in whole units.

    The units left by rounding down go to the holder of ``key``.
    """
    divisor = agreement.last_divisor
    part = share_of(limit, divisor, agreement.agreed)
    if divisor is not None and holds(key, own, agreement, now):
        part += limit % divisor
    return part


def _weight(key: str, name: str) -> bytes:
    text = f'{len(key)}:{key}{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
