"""Tests of configuration freshness.

An entry that may have missed a removal from service must not serve.
"""

import pytest

from dragonflyslip_core import freshness

POPULATION = ['a', 'b', 'c', 'd', 'e']


def read(at, through=1):
    return lambda own: own.observe_read(at, through)


def failed(at):
    return lambda own: own.observe_failure(at)


def peer(name, at, age, through=1):
    return lambda own: own.observe_peer(name, at, age, through)


class TestFreshness:
    """Freshness as seen by entry ``a`` of five."""

    @pytest.mark.parametrize(
        ('observed', 'expected'),
        [
            ([], 'isolated'),
            ([read(7.1)], 'fresh'),
            ([read(7.0)], 'isolated'),
            # An older read that is recorded late changes nothing.
            ([read(9.0), read(2.0)], 'fresh'),
            ([read(9.0), failed(9.5)], 'fresh'),
            # Relayed reads count with the age that the peer passed on.
            ([read(1), peer('b', 9.0, 1.9)], 'fresh'),
            ([read(1), peer('b', 9.0, 2.0)], 'isolated'),
            ([read(1), peer('b', 9.0, None)], 'isolated'),
            ([read(1), peer('b', 9.0, -5.0)], 'fresh'),
            # This entry has not yet applied what the peer read.
            ([read(1), peer('b', 9.0, 0.5, through=2)], 'isolated'),
            ([read(1), failed(9), peer('b', 9, 0.5, 2)], 'isolated'),
            (
                [
                    read(1),
                    peer('b', 9.0, 0.5, through=2),
                    lambda own: own.observe_through(2),
                ],
                'fresh',
            ),
            # The log is down: own read failed, and a majority has no
            # recent read either.
            (
                [read(1), failed(9), peer('b', 9, 8.0), peer('c', 9, 8.0)],
                'log-down',
            ),
            (
                [read(1), failed(9), peer('b', 9, None), peer('c', 9, None)],
                'log-down',
            ),
            # Two of five, counting this entry, are not a majority.
            ([read(1), failed(9), peer('b', 9, 8.0)], 'isolated'),
            # One heartbeat is too old.
            (
                [read(1), failed(9), peer('b', 9, 8.0), peer('c', 7, 6.0)],
                'isolated',
            ),
            # An unknown name does not count towards the majority, and this
            # entry does not count twice.
            (
                [read(1), failed(9), peer('b', 9, 8.0), peer('x', 9, 8.0)],
                'isolated',
            ),
            (
                [read(1), failed(9), peer('b', 9, 8.0), peer('a', 9, 8.0)],
                'isolated',
            ),
            # A peer reads the log, so it is not down.
            (
                [
                    read(1),
                    failed(9),
                    peer('b', 9, 0.1, through=2),
                    peer('c', 9, 8.0),
                    peer('d', 9, 8.0),
                ],
                'isolated',
            ),
            # The process was paused: the failed read is from before the
            # pause, and buffered heartbeats say that the log is down.
            (
                [read(1), failed(6.9), peer('b', 9, 8.0), peer('c', 9, 8.0)],
                'isolated',
            ),
        ],
    )
    def test_state(self, observed, expected):
        """Guards against serving with a configuration that may be outdated.

        The state is evaluated at 10 s.
        """
        own = freshness.Freshness('a')
        for observe in observed:
            observe(own)
        assert own.state(10.0, POPULATION).value == expected
        assert own.may_serve(10.0, POPULATION) == (expected != 'isolated')

    def test_single_entry_serves_while_its_own_reads_fail(self):
        """Guards against an outage of a lone entry while the log is down."""
        own = freshness.Freshness('a')
        own.observe_read(1.0, 1)
        own.observe_failure(9.0)
        assert own.state(10.0, ['a']).value == 'log-down'
        # After a pause, the log may work again.
        assert own.state(40.0, ['a']).value == 'isolated'

    def test_entries_cannot_keep_each_other_fresh(self):
        """Guards against relayed ages that two entries renew in turn."""
        one, two = freshness.Freshness('a'), freshness.Freshness('b')
        one.observe_read(0.0, 1)
        for now in (1.0, 2.0, 3.0):
            two.observe_peer('a', now, one.own_age(now), 1)
            one.observe_peer('b', now, two.own_age(now), 1)
        assert one.state(3.0, 'ab') == two.state(3.0, 'ab') == 'isolated'

    def test_peers_without_heartbeats_are_forgotten(self):
        """Guards against keeping entries that no longer exist."""
        own = freshness.Freshness('a')
        own.observe_peer('b', 0.0, 0.0, 0)
        own.observe_peer('c', 1.0, 0.0, 0)
        own.forget(60.5)
        assert list(own.peers) == ['c']
