"""Copies of keyed logs: followers must not miss or revert a record."""

import hypothesis
from hypothesis import strategies
import pytest

from dragonflyslip_core import feeds


def _record(
    offset: int, key: str = 'a', value: bytes | None = b'v', era: int = 0
):
    return feeds.FeedRecord(key, value, feeds.Position(era, offset))


def _page(
    start: int,
    *records: feeds.FeedRecord,
    complete: bool = False,
    era: int = 0,
):
    through = max(
        (item.position.offset + 1 for item in records), default=start
    )
    return feeds.FeedPage(
        records,
        feeds.Position(era, start),
        feeds.Position(era, through),
        complete,
    )


class TestFeedCopy:
    def test_page_after_a_gap_is_ignored(self):
        # Guards against changes that a follower misses unnoticed.
        copy = feeds.FeedCopy()
        copy.apply(_page(0, _record(0), complete=True))
        assert copy.apply(_page(5, _record(5, 'b'))) is None
        assert copy.through == feeds.Position(0, 1)

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
        page = copy.changes_since(
            None if start is None else feeds.Position(0, start)
        )
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
        copies[0].apply(feeds.FeedPage((), feeds.START, feeds.START, True))
        records = [
            _record(offset, key, value)
            for offset, (key, value) in enumerate(log)
        ]
        for step in [*steps, 0, 1, 2]:
            if step == 0:
                read = copies[0].through.offset
                copies[0].apply(_page(read, *records[read : read + 3]))
            else:
                page = copies[step - 1].changes_since(copies[step].through)
                if page is not None:
                    copies[step].apply(page)
        read = copies[0].through.offset
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
            assert copy.through == feeds.Position(0, len(records))


class TestEras:
    """Guards against offsets of different eras that are compared."""

    def _copy(self, offset: int, era: int) -> feeds.FeedCopy:
        copy = feeds.FeedCopy()
        copy.apply(_page(0, _record(offset, era=era), complete=True, era=era))
        return copy

    def test_page_of_a_newer_era_replaces_the_copy(self):
        copy = self._copy(9, era=1)
        newer = _page(0, _record(2, 'b', era=2), complete=True, era=2)
        assert copy.apply(newer) is newer
        assert copy.through == feeds.Position(2, 3)
        assert (copy.get('a'), copy.get('b')) == (None, newer.records[0])

    @pytest.mark.parametrize('complete', [True, False])
    @pytest.mark.parametrize('era', [1, 3])
    def test_only_a_complete_page_changes_the_era(self, era, complete):
        copy = self._copy(2, era=2)
        page = _page(0, _record(9, era=era), complete=complete, era=era)
        is_applied = copy.apply(page) is not None
        assert is_applied is (era == 3 and complete)

    def test_follower_of_an_older_era_gets_everything(self):
        # Guards against a domain that a follower keeps out of service since
        # its complete page does not say that the record was deleted.
        copy = self._copy(2, era=2)
        copy.apply(_page(3, _record(3, 'b', None, era=2), era=2))
        page = copy.changes_since(feeds.Position(1, 50))
        assert page.complete
        assert [(r.key, r.value) for r in page.records] == [
            ('a', b'v'),
            ('b', None),
        ]
        assert [r.key for r in copy.changes_since(None).records] == ['a']
        assert copy.changes_since(feeds.Position(3, 0)) is None

    def test_forgotten_deletions_of_a_copied_page_hide_no_later_ones(
        self, monkeypatch
    ):
        monkeypatch.setattr(feeds, 'MAX_DELETED_KEYS', 2)
        copy = self._copy(0, era=0)
        deleted = [_record(n, f'gone{n}', None, era=1) for n in range(4)]
        copy.apply(_page(0, *deleted, _record(9, era=1), complete=True, era=1))
        copy.apply(_page(10, _record(10, 'b', era=1), era=1))
        assert copy.changes_since(feeds.Position(1, 5)).complete


class TestReadPage:
    def test_page_before_the_end_of_the_log_is_not_current(self):
        start, end = feeds.Position(1, 3), feeds.Position(1, 6)
        page = feeds.ReadPage((), start, feeds.Position(1, 5), log_end=end)
        assert not page.is_current
        assert feeds.ReadPage((), start, end, log_end=end).is_current


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
