"""Copies of keyed logs: followers must not miss or revert a record."""

import hypothesis
from hypothesis import strategies
import pytest

from dragonflyslip_core import feeds


def _record(offset: int, key: str = 'a', value: bytes | None = b'v'):
    return feeds.FeedRecord(key, value, offset)


def _page(start: int, *records: feeds.FeedRecord, complete: bool = False):
    through = max((item.offset + 1 for item in records), default=start)
    return feeds.FeedPage(records, start, through, complete)


class TestFeedCopy:
    def test_page_after_a_gap_is_ignored(self):
        # Guards against changes that a follower misses unnoticed.
        copy = feeds.FeedCopy()
        copy.apply(_page(0, _record(0), complete=True))
        assert copy.apply(_page(5, _record(5, 'b'))) is None
        assert copy.through == 1

    def test_older_snapshot_does_not_revert_the_copy(self):
        # Guards against a return to an old manifest when a provider lags.
        copy = feeds.FeedCopy()
        copy.apply(_page(0, _record(7, 'a', b'new'), complete=True))
        assert copy.apply(_page(0, _record(3), complete=True)) is None
        assert copy.changes_since(None).records == (_record(7, 'a', b'new'),)

    def test_known_records_are_not_returned_as_new(self):
        copy = feeds.FeedCopy()
        copy.apply(_page(0, _record(0), _record(1, 'b'), complete=True))
        new_records = copy.apply(_page(1, _record(1, 'b'), _record(2, 'c')))
        assert new_records.records == (_record(2, 'c'),)

    @pytest.mark.parametrize(
        ('start', 'complete', 'keys'),
        [
            (None, True, ['a']),
            (0, True, ['a']),
            (1, False, ['b', 'a']),
            (3, False, []),
        ],
    )
    def test_follower_gets_the_changes_since_its_offset(
        self, start, complete, keys
    ):
        copy = feeds.FeedCopy()
        copy.apply(_page(0, _record(0), complete=True))
        copy.apply(_page(1, _record(1, 'b', None), _record(2, 'a', b'w')))
        page = copy.changes_since(start)
        assert page.complete is complete
        assert [record.key for record in page.records] == keys

    def test_follower_behind_forgotten_deletions_gets_everything(
        self, monkeypatch
    ):
        # Guards against a follower that keeps a removed target forever.
        monkeypatch.setattr(feeds, 'MAX_DELETED_KEYS', 2)
        copy = feeds.FeedCopy()
        copy.apply(_page(0, _record(0, 'kept'), complete=True))
        follower = feeds.FeedCopy()
        follower.apply(copy.changes_since(None))
        for offset in range(1, 8):
            copy.apply(_page(offset, _record(offset, f'gone{offset}', None)))
        assert copy.changes_since(follower.through).complete

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('abcd'),
                strategies.none() | strategies.binary(min_size=1, max_size=2),
            ),
            max_size=40,
        ),
        strategies.lists(strategies.integers(0, 2), max_size=60),
    )
    def test_chain_of_followers_converges_to_the_log(self, log, steps):
        # Guards against copies that differ depending on their provider.
        copies = [feeds.FeedCopy() for _ in range(3)]
        copies[0].apply(feeds.FeedPage((), 0, 0, True))
        records = [
            feeds.FeedRecord(key, value, offset)
            for offset, (key, value) in enumerate(log)
        ]
        for step in [*steps, 0, 1, 2]:
            if step == 0:
                read = copies[0].through
                copies[0].apply(_page(read, *records[read : read + 3]))
            else:
                page = copies[step - 1].changes_since(copies[step].through)
                if page is not None:
                    copies[step].apply(page)
        read = copies[0].through
        copies[0].apply(_page(read, *records[read:]))
        for step in (1, 2):
            copies[step].apply(
                copies[step - 1].changes_since(copies[step].through)
            )
        expected = {}
        for record in records:
            expected[record.key] = record.value
        live = {key: value for key, value in expected.items() if value}
        for copy in copies:
            page = copy.changes_since(None)
            assert {item.key: item.value for item in page.records} == live
            assert copy.through == len(records)


class TestReadPage:
    def test_page_before_the_end_of_the_log_is_not_current(self):
        page = feeds.ReadPage((), 3, 5, log_end=6)
        assert not page.is_current
        assert feeds.ReadPage((), 3, 6, log_end=6).is_current


class TestIsSnapshotShorter:
    @pytest.mark.parametrize(
        ('unread_bytes', 'copy_bytes', 'shorter'),
        [
            # One new version of a long manifest, two of them, and many.
            (240_000, 240_000, False),
            (480_000, 240_000, True),
            (2_880_000, 240_000, True),
            # Short records of many keys.
            (60_000, 20_000, False),
            (60_000, 0, False),
        ],
    )
    def test_snapshot_replaces_long_records(
        self, unread_bytes, copy_bytes, shorter
    ):
        # Guards against a gateway that reads each of many long records, of
        # which only the newest counts.
        assert feeds.is_snapshot_shorter(unread_bytes, copy_bytes) is shorter
