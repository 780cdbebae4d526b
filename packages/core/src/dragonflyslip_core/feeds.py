"""Local copies of keyed logs, which entries replicate to each other.

In a keyed log, the newest record of a key replaces the older ones; such a
key is not an idempotency key. A few entries read a log and the others copy
from them, so the number of reads grows with the number of changes and not
with the number of entries. Copies use the offsets of the log, so they are
identical whichever entry they came from.

Here ``through`` is the offset after the last record, while in the modules for
configuration and claims it is the offset of the last record, one less.
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


@dataclasses.dataclass(frozen=True)
class FeedRecord:
    """One record of a keyed log.

    :param value: None if the key was deleted.
    :param offset: offset of the record in the log.
    """

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True)
class FeedPage:
    """The newest records of the keys that changed between two offsets.

    :param start: first offset from which all changes are included; 0 for a
        complete page.
    :param through: offset after the last record that was examined.
    :param complete: whether the page contains all keys, so that a key that
        it does not contain has no record.
    """

    records: tuple[FeedRecord, ...]
    start: int
    through: int
    complete: bool = False


@dataclasses.dataclass(frozen=True)
class ReadPage(FeedPage):
    """A page that was read from the log itself.

    :param log_end: offset after the last record of the log when it responded.
    :param answered_at: when its response began to arrive, monotonic seconds.
    """

    log_end: int = 0
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
    """The newest record of each key of one log.

    :ivar through: offset after the last known record, None at first.
    """

    def __init__(self):
        self.through: int | None = None
        self._newest: dict[str, FeedRecord] = {}
        # Deletions before this offset may have been forgotten, so a follower
        # that starts earlier needs a complete page.
        self._history_start = 0

    @property
    def value_bytes(self) -> int:
        """Length of the newest values."""
        return sum(len(item.value or b'') for item in self._newest.values())

    def apply(self, page: FeedPage) -> FeedPage | None:
        """Apply a page; return its new records, None if there are none.

        A page that leaves a gap, or a complete page that is older than the
        copy, is ignored.
        """
        if page.complete:
            return self._replace(page)
        if self.through is None or page.start > self.through:
            return None
        new_records = [
            item for item in page.records if item.offset >= self.through
        ]
        for record in new_records:
            known = self._newest.get(record.key)
            if known is None or known.offset < record.offset:
                self._newest[record.key] = record
        start = self.through
        self.through = max(start, page.through)
        self._forget_deleted()
        if not new_records:
            return None
        return FeedPage(tuple(new_records), start, self.through)

    def changes_since(self, offset: int | None) -> FeedPage | None:
        """Return the changes from ``offset`` on, None if there is no copy yet.

        The page is complete if ``offset`` is too old to list all deletions.

        :param offset: first offset to include; None for all records.
        """
        if self.through is None:
            return None
        complete = offset is None or offset < self._history_start
        records = sorted(
            (
                record
                for record in self._newest.values()
                if (complete and record.value is not None)
                or (not complete and record.offset >= offset)
            ),
            key=lambda record: record.offset,
        )
        start = 0 if complete else offset
        return FeedPage(tuple(records), start, self.through, complete)

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
        deleted.sort(key=lambda record: record.offset)
        for record in deleted[: len(deleted) // 2]:
            del self._newest[record.key]
            self._history_start = record.offset + 1
