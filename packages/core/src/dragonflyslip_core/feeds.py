"""Local copies of keyed logs, which entries replicate to each other.

In a keyed log, the newest record of a key replaces the older ones; such a
key is not an idempotency key. A few entries read a log and the others copy
from them, so the number of reads grows with the number of changes and not
with the number of entries. Copies use the positions of the log, so they are
identical whichever entry they came from.

Here ``through`` is the position after the last record, while in the modules
for configuration and claims it is the offset of the last record, one less.
"""

import dataclasses

# The newest record of each key is read in place of all unread records if these
# exceed it by so many bytes, which justifies the additional request.
MIN_SAVED_BYTES = 65_536
# Newest records are read in base64.
_SNAPSHOT_EXPANSION = 4 / 3
# Deleted keys that a copy remembers. A follower, that is, an entry that copies
# from this one, gets a complete page if it is further behind.
MAX_DELETED_KEYS = 4_096


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Position:
    """A place in a keyed log; positions are ordered by era, then by offset.

    A log that comes back from an older copy of itself has lost what was
    written since, and gives out its offsets again. Each such time begins an
    era, and offsets of different eras cannot be compared.

    :param era: how many times the log has come back from a copy.
    """

    era: int
    offset: int


# The first position of a log that never came back from a copy.
START = Position(0, 0)
# Largest era. Messages between entries hold it in 32 bits.
MAX_ERA = 2**32 - 1


@dataclasses.dataclass(frozen=True)
class FeedRecord:
    """One record of a keyed log.

    :param value: None if the key was deleted.
    :param position: position of the record in the log.
    """

    key: str
    value: bytes | None
    position: Position


@dataclasses.dataclass(frozen=True)
class FeedPage:
    """The newest records of the keys that changed between two positions.

    All positions of a page are of one era.

    :param start: first position from which all changes are included; that
        with offset 0 for a complete page.
    :param through: position after the last record that was examined.
    :param complete: whether the page contains all keys, so that a key that
        it does not contain has no record.
    """

    records: tuple[FeedRecord, ...]
    start: Position
    through: Position
    complete: bool = False

    @property
    def era(self) -> int:
        """The era of all positions of the page."""
        return self.through.era


@dataclasses.dataclass(frozen=True)
class ReadPage(FeedPage):
    """A page that was read from the log itself.

    :param log_end: position after the last record of the log when it
        responded.
    :param answered_at: when its response began to arrive, monotonic seconds.
    """

    log_end: Position = START
    answered_at: float = float('-inf')

    @property
    def is_current(self) -> bool:
        """Whether the page reached the end of the log."""
        return self.through >= self.log_end


def is_snapshot_shorter(unread_bytes: int, copy_bytes: int) -> bool:
    """Return whether to read the newest records in place of all unread ones.

    A gateway on a slow link would otherwise fall ever further behind while
    long records are replaced faster than the link carries them.

    :param copy_bytes: length of the newest records that the reader has.
    """
    return unread_bytes > _SNAPSHOT_EXPANSION * copy_bytes + MIN_SAVED_BYTES


class FeedCopy:
    """The newest record of each key of one log, all of one era.

    :ivar through: position after the last known record, None at first.
    """

    def __init__(self):
        self.through: Position | None = None
        self._newest: dict[str, FeedRecord] = {}
        # Deletions before this position may have been forgotten, so a
        # follower that starts earlier needs a complete page.
        self._history_start = START

    @property
    def value_bytes(self) -> int:
        """Length of the newest values."""
        return sum(len(item.value or b'') for item in self._newest.values())

    def get(self, key: str) -> FeedRecord | None:
        """Return the newest record of a key, None if it has no value."""
        record = self._newest.get(key)
        return None if record is None or record.value is None else record

    def apply(self, page: FeedPage) -> FeedPage | None:
        """Apply a page; return its new records, None if there are none.

        A page that leaves a gap and a complete page that is older than the
        copy are ignored. So is each page of an older era, while each page of
        a newer era leaves a gap unless it is complete.
        """
        if page.complete:
            return self._replace(page)
        if self.through is None or page.start > self.through:
            return None
        new_records = [
            item for item in page.records if item.position >= self.through
        ]
        for record in new_records:
            known = self._newest.get(record.key)
            if known is None or known.position < record.position:
                self._newest[record.key] = record
        start = self.through
        self.through = max(start, page.through)
        self._forget_deleted()
        if not new_records:
            return None
        return FeedPage(tuple(new_records), start, self.through)

    def changes_since(self, position: Position | None) -> FeedPage | None:
        """Return the changes from ``position`` on.

        The page is complete if ``position`` is too old to list all deletions,
        as each position of an older era is. For one of an older era, it also
        holds the known deletions, since the copy that it replaces may hold
        what they delete.

        :param position: first position to include; None for all records.
        :return: None if there is no copy yet, or only one of an older era.
        """
        if self.through is None:
            return None
        if position is None:
            return self._complete_page(with_deletions=False)
        if position.era > self.through.era:
            return None
        if position < self._history_start:
            return self._complete_page(position.era < self.through.era)
        records = [
            record
            for record in self._newest.values()
            if record.position >= position
        ]
        return FeedPage(_in_log_order(records), position, self.through)

    def _complete_page(self, with_deletions: bool) -> FeedPage:
        records = [
            record
            for record in self._newest.values()
            if with_deletions or record.value is not None
        ]
        start = Position(self.through.era, 0)
        return FeedPage(_in_log_order(records), start, self.through, True)

    def _replace(self, page: FeedPage) -> FeedPage | None:
        if self.through is not None and page.through < self.through:
            return None
        self._newest = {record.key: record for record in page.records}
        self.through = page.through
        self._history_start = page.through
        return page

    def _forget_deleted(self) -> None:
        deleted = [
            record for record in self._newest.values() if record.value is None
        ]
        if len(deleted) <= MAX_DELETED_KEYS:
            return
        for record in _in_log_order(deleted)[: len(deleted) // 2]:
            del self._newest[record.key]
            after = Position(record.position.era, record.position.offset + 1)
            self._history_start = max(self._history_start, after)


def _in_log_order(records: list[FeedRecord]) -> tuple[FeedRecord, ...]:
    """Sort records of one era."""
    return tuple(sorted(records, key=lambda record: record.position.offset))
