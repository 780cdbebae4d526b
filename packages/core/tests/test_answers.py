"""Stored answers: repeated calls get the same response; memory is bounded."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from dragonflyslip_core import answers

ANSWER = answers.Answer(200, (('X', 'y'),), b'body')


def store_with(*finished, **bounds):
    store = answers.AnswerStore(**bounds)
    for now, key, answer in finished:
        store.begin('s', key, b'f')
        store.finish('s', key, answer, now)
    return store


class TestAnswerStore:
    @pytest.mark.parametrize(
        ('body', 'fingerprint', 'now', 'expected'),
        [
            (b'body', b'f', 1.0, answers.StoredAnswer),
            (b'x' * 65_536, b'f', 1.0, answers.StoredAnswer),
            (b'x' * 65_537, b'f', 1.0, type(None)),
            (b'body', b'g', 1.0, answers.Mismatch),
            (b'body', b'f', 3_601.0, type(None)),
        ],
    )
    def test_repeat_after_the_response(self, body, fingerprint, now, expected):
        store = store_with((0.0, b'k', answers.Answer(200, (), body)))
        assert type(store.find('s', b'k', fingerprint, now)) is expected
        assert store.find('other', b'k', fingerprint, now) is None

    @pytest.mark.parametrize(
        ('answer', 'delivered'),
        [
            (ANSWER, ANSWER),
            (None, None),
            (answers.Answer(200, (), b'x' * 65_537), None),
        ],
    )
    def test_repeat_joins_the_running_call(self, answer, delivered):
        store = answers.AnswerStore(max_listeners=2)
        store.begin('s', b'k', b'f')
        with pytest.raises(ValueError):
            store.begin('s', b'k', b'f')
        assert isinstance(store.find('s', b'k', b'g', 0), answers.Mismatch)
        running = store.find('s', b'k', b'f', 0.0)
        received = []
        joined = [store.join(running, received.append) for _ in range(3)]
        assert (joined, received) == ([True, True, False], [])
        store.finish('s', b'k', answer, 0.0)
        assert received == [delivered, delivered]

    @settings(deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 5), st.integers(0, 400)), max_size=30
        )
    )
    def test_bytes_are_bounded_and_accounted(self, steps):
        store = answers.AnswerStore(max_bytes=2_000)
        for now, (key, length) in enumerate(steps):
            answer = answers.Answer(200, (), b'x' * length)
            store.begin('s', bytes([key]), b'f')
            store.finish('s', bytes([key]), answer, now)
            held = [found.answer for found in store.stored.values()]
            assert sum(map(answers.Answer.size, held)) == store.total_bytes
            assert store.total_bytes <= 2_000
            # The newest answer is never the one that is dropped.
            assert held[-1] is answer
