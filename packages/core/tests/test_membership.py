"""Membership, agreement and shares.

Guards against an exclusive right that two entries hold at once, and against
shares that exceed a limit in total.
"""

import dataclasses

import pytest

from dragonflyslip_core import membership
from dragonflyslip_core import shares

OWN = membership.EntryId('a', 1)
PEER = membership.EntryId('b', 2)
OTHER = b'otherone'


def make_entry(listed=('a', 'b', 'c')):
    entry = membership.Membership(OWN, wall=1000.0)
    if listed:
        entry.observe_list(listed, now=0.0)
    return entry


def report_from(entry, sequence, now, **changes):
    entry.view(now)
    report = membership.MemberReport(
        entry_id=PEER,
        sequence=sequence,
        echo=entry.sequence,
        view_digest=entry.view(now).digest,
        view_age_s=9.0,
    )
    return dataclasses.replace(report, **changes)


def receive_heartbeats_until(entry, end):
    """Receive a heartbeat every 0.8 s, so that the view becomes stable."""
    now, sequence = 0.0, 0
    while now < end:
        now, sequence = now + 0.8, sequence + 1
        entry.next_report(now)
        entry.observe_heartbeat(report_from(entry, sequence, now), now)
        entry.agreement(now)
    return now, sequence


class TestAgreement:
    @pytest.mark.parametrize(
        'changes, later_s, agreed',
        [
            ({}, 0.0, True),
            ({}, 1.9, True),
            # Votes that are too old, even if they arrive only now after a
            # pause: the echo shows the earliest time of the vote.
            ({}, 2.1, False),
            ({'echo': 0}, 0.0, False),
            ({'echo': 1}, 0.0, False),
            # A voter whose view has just changed may have voted for the view
            # of another entry, and that vote may still count there.
            ({'view_age_s': 2.9}, 0.0, False),
            ({'view_digest': OTHER}, 0.0, False),
        ],
    )
    def test_which_votes_count(self, changes, later_s, agreed):
        entry = make_entry()
        now, sequence = receive_heartbeats_until(entry, 9.0)
        now += 2.5
        entry.next_report(now)
        final = report_from(entry, sequence + 1, now, **changes)
        assert entry.observe_heartbeat(final, now)
        assert entry.agreement(now + later_s).agreed is agreed

    def test_no_agreement_right_after_the_own_view_changed(self):
        entry = make_entry()
        now, sequence = receive_heartbeats_until(entry, 9.0)
        entry.draining = True
        entry.next_report(now)
        final = report_from(entry, sequence + 1, now)
        entry.observe_heartbeat(final, now)
        assert not entry.agreement(now).agreed

    def test_entry_without_list_is_not_a_majority_of_one(self):
        entry = make_entry(listed=())
        entry.agreement(0.0)
        assert not entry.agreement(9.0).agreed
        entry.observe_list(['a'], 9.0)
        assert entry.agreement(9.5).agreed

    def test_members_that_drop_out_stay_in_the_population(self):
        entry = make_entry(listed=('a', 'b', 'c', 'd'))
        now, _ = receive_heartbeats_until(entry, 9.0)
        entry.observe_list(['a', 'b'], now)
        assert not entry.agreement(now).agreed
        assert entry.population(now + 59.0) == {'a', 'b', 'c', 'd'}
        assert entry.population(now + 61.0) == {'a', 'b'}

    def test_gap_between_checks_restarts_agreement(self):
        # A former holder that was paused must wait like a new one, since
        # another entry may have held the right in the meantime.
        entry = make_entry()
        now, sequence = receive_heartbeats_until(entry, 9.0)
        since = entry.agreement(now).since
        assert entry.agreement(now + 0.9).since == since
        later = now + 2.0
        entry.next_report(later)
        entry.observe_heartbeat(report_from(entry, sequence + 1, later), later)
        assert entry.agreement(later).since == later

    @pytest.mark.parametrize(
        'incarnation, sequence, silence_s, accepted',
        [
            (2, 100, 0.0, False),
            (2, 99, 9.0, False),
            (2, 101, 0.0, True),
            (3, 101, 0.0, True),
            # The replaced process resumes.
            (3, 99, 0.0, False),
            # The clock of the replacement is behind that of the process that
            # stopped.
            (3, 99, 3.1, True),
        ],
    )
    def test_order_of_heartbeats(
        self, incarnation, sequence, silence_s, accepted
    ):
        entry = make_entry()
        entry.observe_heartbeat(report_from(entry, 100, 1.0), 1.0)
        now = 1.0 + silence_s
        late = report_from(
            entry,
            sequence,
            now,
            entry_id=membership.EntryId('b', incarnation),
        )
        assert entry.observe_heartbeat(late, now) is accepted

    def test_replaced_process_gives_up_its_rights(self):
        entry = make_entry(listed=('a',))
        entry.agreement(0.0)
        assert entry.agreement(9.0).agreed
        newer = report_from(
            entry,
            entry.sequence + 5,
            9.0,
            entry_id=membership.EntryId('a', 7),
        )
        entry.observe_heartbeat(newer, 9.0)
        assert not entry.agreement(9.0).agreed


class TestShares:
    def make_agreement(self, names='abcd', **changes):
        members = tuple(
            membership.Member(membership.EntryId(name, 1)) for name in names
        )
        agreement = membership.Agreement(
            agreed=True,
            view=membership.MembershipView(members),
            votes=len(names),
            population=len(names),
            live_count=len(names),
            since=0.0,
            last_divisor=len(names),
        )
        return dataclasses.replace(agreement, **changes)

    @pytest.mark.parametrize('limit', [0, 1, 5, 250])
    def test_parts_add_up_to_the_limit(self, limit):
        agreement = self.make_agreement()
        parts = [
            shares.share_with_remainder_of(
                limit, 'key', m.entry_id, agreement, 3.0
            )
            for m in agreement.view.members
        ]
        assert sum(parts) == limit

    @pytest.mark.parametrize('minority', range(8))
    def test_partition_does_not_exceed_the_limit(self, minority):
        # Of 17 entries, the majority agrees on its smaller view and the
        # others use half of their last share.
        agreement = self.make_agreement(
            names='abcdefghijklmnopq'[minority:], last_divisor=17
        )
        total = (17 - minority) * shares.rate_share_of(
            1.0, agreement.last_divisor, True
        ) + minority * shares.rate_share_of(1.0, 17, False)
        assert total <= 1.0 + 1e-9

    def test_fleet_that_doubles_does_not_exceed_the_limit(self):
        # The old entries have no agreement yet, but the new ones do.
        total = 4 * shares.rate_share_of(1.0, 4, False)
        total += 4 * shares.rate_share_of(1.0, 8, True)
        assert total <= 1.0 + 1e-9

    def test_divisor_includes_disconnected_entries(self):
        entry = make_entry(listed=('a', 'b', 'c'))
        now, _ = receive_heartbeats_until(entry, 9.0)
        agreement = entry.agreement(now)
        assert len(agreement.view.members) == 2
        assert agreement.last_divisor == 3

    def test_entry_without_any_agreement_has_no_share(self):
        assert shares.share_of(100, None, False) == 0

    @pytest.mark.parametrize(
        'changes, now, count',
        [
            ({}, 3.0, 1),
            ({}, 2.9, 0),
            ({'agreed': False}, 9.0, 0),
            ({'since': None}, 9.0, 0),
        ],
    )
    def test_one_holder_after_the_wait(self, changes, now, count):
        agreement = self.make_agreement(**changes)
        holders = [
            m.entry_id
            for m in agreement.view.members
            if shares.is_holder('t', m.entry_id, agreement, now)
        ]
        assert len(holders) == count

    def test_only_the_rights_of_a_leaving_member_move(self):
        before = self.make_agreement('abcd').view
        after = self.make_agreement('abc').view
        keys = [f't{number}' for number in range(200)]
        held = {key: shares.holder_of(key, before).name for key in keys}
        assert set(held.values()) == set('abcd')
        for key in keys:
            if held[key] != 'd':
                assert shares.holder_of(key, after).name == held[key]

    def test_draining_member_holds_nothing(self):
        view = membership.MembershipView(
            (
                membership.Member(membership.EntryId('a', 1), True),
                membership.Member(membership.EntryId('b', 1)),
            )
        )
        assert {shares.holder_of(f't{n}', view).name for n in range(50)} == {
            'b'
        }
