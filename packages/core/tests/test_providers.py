"""Which providers entries copy from, and which entries read the log."""

import dataclasses

import pytest

from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import providers


def _provider(order: int, domain: str = 'a') -> providers.Provider:
    entry_id = membership.EntryId(f'entry-{order}', order)
    return providers.Provider(entry_id, domain, '10.0.0.1', 7000, _at(order))


def _at(offset: int) -> feeds.Position:
    return feeds.Position(0, offset)


def _open_all(selector: providers.ProviderSelector, now: float) -> list[int]:
    opened = selector.providers_to_connect(now)
    for provider in opened:
        selector.opened(provider)
    return [provider.registered_at.offset for provider in opened]


class TestProviderSelector:
    def test_oldest_of_different_domains_go_first(self):
        # Guards against the loss of all providers when one domain fails.
        selector = providers.ProviderSelector(
            [_provider(0), _provider(1), _provider(2, 'b'), _provider(3, 'b')]
        )
        assert _open_all(selector, 0.0) == [0, 2]

    def test_lost_provider_is_replaced_by_the_next_one(self):
        selector = providers.ProviderSelector([_provider(n) for n in range(4)])
        _open_all(selector, 0.0)
        selector.closed(_provider(0), 1.0)
        assert _open_all(selector, 1.0) == [2]
        for number in (1, 2):
            selector.set_fresh(_provider(number), True)
        assert _open_all(selector, 100.0) == []

    def test_lost_provider_is_tried_again_when_others_are_missing(self):
        # Guards against an entry that keeps reading the log after its
        # providers were unreachable for a moment.
        selector = providers.ProviderSelector([_provider(n) for n in range(2)])
        _open_all(selector, 0.0)
        selector.set_fresh(_provider(1), True)
        selector.closed(_provider(0), 1.0)
        assert _open_all(selector, 1.0 + providers.RETRY_DELAY_S / 2) == []
        assert _open_all(selector, 1.0 + providers.RETRY_DELAY_S) == [0]

    def test_surplus_providers_are_disconnected(self):
        selector = providers.ProviderSelector([_provider(n) for n in range(3)])
        for number in (0, 1):
            selector.opened(_provider(number))
            selector.set_fresh(_provider(number), False)
        assert _open_all(selector, 0.0) == [2]
        for number in range(3):
            selector.set_fresh(_provider(number), True)
        assert [
            item.registered_at.offset for item in selector.unneeded_providers()
        ] == [2]

    def test_provider_that_is_still_being_connected_is_no_surplus(self):
        # Guards against a gateway that exits because it closes a connection
        # that does not exist yet.
        selector = providers.ProviderSelector([_provider(n) for n in range(3)])
        _open_all(selector, 0.0)
        selector.set_fresh(_provider(0), True)
        selector.set_fresh(_provider(1), False)
        assert _open_all(selector, 0.0) == [2]
        selector.set_fresh(_provider(1), True)
        assert selector.unneeded_providers() == []

    def test_stale_providers_lead_to_a_bounded_search(self):
        # Guards against connections to all entries while the log is down.
        selector = providers.ProviderSelector(
            [_provider(n) for n in range(20)]
        )
        opened = []
        for step in range(20):
            now = step * 0.1
            opened += _open_all(selector, now)
            for number in opened:
                selector.set_fresh(_provider(number), False)
        assert len(opened) == providers.MAX_CONNECTIONS

    def test_live_provider_is_found_after_many_stopped_ones(self):
        # Guards against retries to stopped entries that keep an entry from
        # reaching younger live ones.
        stopped = 200
        selector = providers.ProviderSelector(
            [_provider(n) for n in range(stopped + 2)]
        )
        found_at = None
        for step in range(1_000):
            now = step * 0.3
            for number in _open_all(selector, now):
                if number < stopped:
                    selector.closed(_provider(number), now)
                else:
                    selector.set_fresh(_provider(number), True)
            if selector.fresh_count == 2 and found_at is None:
                found_at = now
        assert found_at is not None and found_at <= 60.0

    def test_replaced_provider_is_never_connected_again(self):
        # Guards against two entries that copy from each other.
        selector = providers.ProviderSelector([_provider(0), _provider(1)])
        _open_all(selector, 0.0)
        selector.replaced(selector.order[0])
        assert _open_all(selector, 100.0) == []
        assert [item.registered_at.offset for item in selector.order] == [1]

    def test_starting_entry_also_tries_recent_registrations(self):
        # Guards against a search among the records of ended processes while
        # live ones registered just before.
        selector = providers.ProviderSelector(
            [_provider(n) for n in range(100)]
        )
        opened = selector.providers_to_connect(0.0, starting=True)
        order = [item.registered_at.offset for item in opened]
        assert order == [99, 92, 36, 0]
        for provider in opened:
            selector.opened(provider)
            selector.closed(provider, 0.0)
        assert [
            item.registered_at.offset
            for item in selector.providers_to_connect(0.1, starting=True)
        ] == [1, 2, 3, 4]

    def test_ended_registration_is_no_provider(self):
        selector = providers.ProviderSelector([_provider(n) for n in range(4)])
        _open_all(selector, 0.0)
        for offset, ended in ((0, []), (7, [_provider(0)])):
            assert selector.registration_ended('entry-0', _at(offset)) == ended
        assert _open_all(selector, 1.0) == [2]
        assert selector.first_readers == 3
        selector.closed(_provider(1), 1.0)
        assert selector.first_readers == 2


class TestOrder:
    def test_new_order_keeps_connections_of_the_same_processes(self):
        # Guards against all connections being replaced when registrations
        # get other positions in a new era.
        selector = providers.ProviderSelector([_provider(n) for n in range(3)])
        _open_all(selector, 0.0)
        for number in (0, 1):
            selector.set_fresh(_provider(number), True)
        again = dataclasses.replace(
            _provider(0), registered_at=feeds.Position(1, 9)
        )
        assert selector.follow([again, _provider(2)]) == [_provider(1)]
        assert selector.order == [_provider(2), again]
        assert selector.fresh_count == 1
        assert selector.contains(again.entry_id)
        # A record of the former era does not end the new registration.
        assert selector.registration_ended('entry-0', _at(99)) == []


class TestReadDecision:
    @pytest.mark.parametrize(
        ('fresh', 'alone', 'after_s', 'reads'),
        [
            (0, True, 0.0, True),
            (0, False, 0.2, False),
            (0, False, 0.3, True),
            (1, False, 1.9, False),
            (1, False, 2.0, True),
            (2, False, 60.0, False),
        ],
    )
    def test_reads_when_too_few_providers_are_fresh(
        self, fresh, alone, after_s, reads
    ):
        decision = providers.ReadDecision()
        decision.update(fresh, alone, 10.0)
        assert decision.update(fresh, alone, 10.0 + after_s) is reads

    def test_entry_that_starts_waits_less(self):
        # Guards against a slow start after a restart of all entries, when
        # each would wait for older entries that have stopped.
        decision = providers.ReadDecision()
        decision.update(0, False, 10.0, starting=True)
        assert decision.update(0, False, 10.05, starting=True)

    @pytest.mark.parametrize(
        ('starting', 'delay_s'),
        [
            (True, providers.PATIENT_STARTUP_DELAY_S),
            (False, providers.PATIENT_DELAY_S),
        ],
    )
    def test_entry_that_others_precede_waits_longer(self, starting, delay_s):
        # Guards against reads by all entries at once when the providers of
        # all of them are lost, or when all of them start.
        decision = providers.ReadDecision()
        for now, reads in (
            (0.0, False),
            (0.9 * delay_s, False),
            (1.01 * delay_s, True),
        ):
            assert (
                decision.update(0, False, 10.0 + now, starting, patient=True)
                is reads
            )
        # A change must be in force 2 s after it was accepted.
        assert providers.FRESH_S + providers.PATIENT_DELAY_S < 2.0

    def test_reader_continues_until_it_has_enough_providers(self):
        # Guards against entries that keep starting and stopping to read
        # while all entries restart, so that none stays fresh.
        decision = providers.ReadDecision()
        decision.update(0, False, 10.0, starting=True)
        assert decision.update(0, False, 10.05, starting=True)
        assert decision.update(0, False, 10.1)
        assert decision.update(1, False, 10.2)
        assert not decision.update(2, False, 10.3)
        assert not decision.update(1, False, 10.4)

    def test_short_loss_of_providers_does_not_start_reading(self):
        decision = providers.ReadDecision()
        for step in range(40):
            assert not decision.update(step % 2 * 2, False, step * 0.2)

    @pytest.mark.parametrize('entries', [1, 2, 3, 18, 119])
    def test_few_entries_read_in_a_healthy_fleet(self, entries):
        # Guards against reads that grow with the number of entries.
        selectors = [
            providers.ProviderSelector(
                [_provider(n, 'abcde'[n % 5]) for n in range(order)]
            )
            for order in range(entries)
        ]
        decisions = [providers.ReadDecision() for _ in range(entries)]
        for step in range(50):
            now = step * 0.1
            for selector, decision in zip(selectors, decisions, strict=True):
                _open_all(selector, now)
                for item in selector.order:
                    selector.set_fresh(item, True)
                decision.update(selector.fresh_count, not selector.order, now)
        assert sum(decision.reads for decision in decisions) == min(entries, 2)


class TestFleetSize:
    def test_uses_the_largest_count_in_the_window(self):
        # Guards against larger shares while entries are only disconnected.
        fleet = providers.FleetSize(20)
        assert fleet.entries(0.0) == 20
        fleet.record_count(119, 0.0)
        fleet.record_count(60, 1.0)
        assert fleet.entries(10.0) == 119
        fleet.record_count(60, 31.0)
        assert fleet.entries(31.0) == 60
        assert fleet.entries(100.0) == 60
