"""Tests of the connection pool rules.

Requests sent on a silent connection are lost, and too many connections
overload the target.
"""

import pytest

from dragonflyslip_core import connections


def _rules(opened=(), share=1.0, limit=4):
    """Return rules with idle connections opened at the given times."""
    rules = connections.ConnectionRules(15.0, 2.0, limit)
    rules.set_share(share)
    for number, at in enumerate(opened, start=1):
        rules.opened(number, at)
    for number, at in enumerate(opened, start=1):
        rules.release(number, True, at)
    return rules


class TestAcquire:
    @pytest.mark.parametrize(
        ('opened', 'now', 'idempotent', 'expected'),
        [
            ([], 0, True, connections.Open()),
            ([0, 1], 2, True, connections.Reuse(2)),
            ([0, 1], 15.5, True, connections.Reuse(2)),
            ([0, 1], 16, True, connections.Open()),
            ([0, 1], 2, False, connections.Open()),
            ([0, 1, 2, 3], 4, False, connections.Open((1,))),
        ],
    )
    def test_reuse_depends_on_age_and_idempotence(
        self, opened, now, idempotent, expected
    ):
        """Guards against reusing old connections, which may be silent.

        A non-idempotent request lost on one could not be sent again, since
        it might run twice.
        """
        assert _rules(opened).acquire(idempotent, now) == expected

    def test_connection_carries_one_request(self):
        """Guards against two requests that receive each other's responses."""
        rules = _rules([0])
        assert rules.acquire(True, 1) == connections.Reuse(1)
        assert rules.acquire(True, 1) == connections.Open()

    @pytest.mark.parametrize(
        ('maximum', 'share', 'limit'),
        [(250, 1 / 17, 14), (100, 0.29, 29), (250, 0.0, 0), (2, 0.4, 0)],
    )
    def test_share_limits_open_connections(self, maximum, share, limit):
        """Guards against entries that together exceed the target's limit."""
        rules = _rules(share=share, limit=maximum)
        for number in range(limit):
            assert rules.acquire(True, 0.0) == connections.Open()
            rules.opened(number, 0.0)
        assert rules.acquire(False, 0.0) == connections.Wait()

    def test_watch_connection_counts_towards_the_share(self):
        """Guards against exceeding the limit with watch connections.

        17 watch connections in addition to 17 full shares made 255
        connections where 250 are allowed.
        """
        rules = connections.ConnectionRules(15, 15, 250, reserved=1)
        rules.set_share(1 / 17)
        assert 17 * (rules.limit + 1) <= 250

    def test_smaller_share_closes_idle_then_released(self):
        """Guards against a pool that stays larger than a reduced share."""
        rules = _rules([0, 1, 2, 3])
        rules.acquire(True, 4)
        rules.acquire(True, 4)
        rules.set_share(0.25)
        assert rules.poll(5) == connections.ConnectionsToClose(idle=(1, 2))
        assert not rules.release(4, True, 5) and rules.release(3, True, 5)


class TestSilence:
    def test_silent_connection_retires_the_older_pool(self):
        """Guards against losing more requests on the same silent pool."""
        rules = _rules([0, 1, 2, 3])
        assert rules.acquire(True, 4) == connections.Reuse(4)
        assert rules.acquire(True, 4) == connections.Reuse(3)
        rules.start_progress_timeout(4, 4)
        rules.start_progress_timeout(3, 5)
        rules.start_progress_timeout(4, 5)
        assert rules.poll(6.9) == connections.ConnectionsToClose()
        assert rules.next_deadline() == 7
        rules.stop_progress_timeout(3)
        expected = connections.ConnectionsToClose(silent=(4,), idle=(1, 2))
        assert rules.poll(7) == expected
        assert not rules.release(3, True, 8)

    def test_second_silent_connection_of_old_pool_keeps_the_new_one(self):
        """Guards against late timeouts that close working connections."""
        rules = _rules([0, 1])
        rules.acquire(True, 2)
        rules.acquire(True, 2)
        assert rules.mark_silent(1, 4) == connections.ConnectionsToClose(
            silent=(1,)
        )
        rules.opened(9, 4)
        rules.release(9, True, 5)
        assert rules.mark_silent(2, 6) == connections.ConnectionsToClose(
            silent=(2,)
        )
        assert rules.acquire(True, 6) == connections.Reuse(9)

    @pytest.mark.parametrize(
        ('now', 'expected'),
        [(4.25, connections.Reuse(2)), (4.26, connections.Open())],
    )
    def test_pool_is_not_reused_while_it_may_be_silent(self, now, expected):
        """Guards against a busy caller that tries every silent connection.

        Until the progress timeout, each request would be lost on another
        connection of the pool.
        """
        rules = _rules([0, 1, 2])
        rules.acquire(True, 4)
        rules.start_progress_timeout(3, 4)
        assert rules.acquire(True, now) == expected
        rules.start_progress_timeout(3, now)
        assert rules.acquire(True, now) != connections.Open()

    def test_slow_new_connection_leaves_the_pool_in_use(self):
        """Guards against suspecting the pool when a new connection is slow."""
        rules = _rules([0])
        rules.opened(9, 1)
        rules.start_progress_timeout(9, 1)
        assert rules.acquire(True, 2.5) == connections.Reuse(1)

    def test_slow_client_does_not_count_as_silent_target(self):
        """Guards against retiring the pool because a client reads slowly."""
        rules = _rules([0])
        rules.acquire(True, 1)
        rules.start_progress_timeout(1, 1)
        rules.stop_progress_timeout(1)
        assert rules.poll(100) == connections.ConnectionsToClose()

    @pytest.mark.parametrize(
        ('reusable', 'kept'), [(True, True), (False, False)]
    )
    def test_only_reusable_connection_is_kept(self, reusable, kept):
        """Guards against unread bytes that the next request would receive."""
        rules = _rules([0])
        rules.acquire(True, 1)
        assert rules.release(1, reusable, 1) is kept
        assert len(rules) == kept

    def test_idle_connection_closes_after_the_timeout(self):
        """Guards against keeping connections that may have gone silent."""
        rules = _rules([0, 1])
        assert rules.next_deadline() == 15
        assert rules.poll(15) == connections.ConnectionsToClose(idle=(1,))
        rules.closed(2)
        assert rules.next_deadline() is None
