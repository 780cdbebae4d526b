"""What is kept for a time although the copy of a new era lacks it.

A keyed log that comes back from an older copy of itself has lost its latest
records. Their writers write them again. Until then, a key that was known and
is missing does not show that its record was deleted.
"""

import collections.abc
import typing

Key = typing.TypeVar('Key', bound=collections.abc.Hashable)


class EraHolds(typing.Generic[Key]):
    """Keys that complete pages of a new era lack, and until when they count.

    Times are monotonic seconds.

    :param hold_s: for how long a key is held.
    """

    def __init__(self, hold_s: float):
        self.hold_s = hold_s
        self._era: int | None = None
        self._held_until: dict[Key, float] = {}

    def __contains__(self, key: Key) -> bool:
        return key in self._held_until

    def __iter__(self) -> collections.abc.Iterator[Key]:
        return iter(list(self._held_until))

    def apply_page(
        self,
        known: collections.abc.Collection[Key],
        listed: collections.abc.Collection[Key],
        era: int,
        now: float,
    ) -> bool:
        """Apply a complete page.

        A key that is held already is held anew, since what its writer has
        written again may have been lost, too.

        :param known: keys that count now, those that are held included.
        :param listed: keys that the page holds.
        :param era: era of the page.
        :return: whether it is the first page of a new era.
        """
        is_new_era = self._era is not None and era > self._era
        self._era = era
        if is_new_era:
            for key in known:
                self._held_until[key] = now + self.hold_s
        for key in listed:
            self.release(key)
        return is_new_era

    def release(self, key: Key) -> None:
        """Record that a record of a key has been written or deleted."""
        self._held_until.pop(key, None)

    def expire(self, now: float) -> list[Key]:
        """Release the keys whose time has passed, and return them."""
        expired = [
            key for key, until in self._held_until.items() if now >= until
        ]
        for key in expired:
            del self._held_until[key]
        return expired
