"""Requests that crash the targets that run them."""

import dataclasses
import itertools

import pytest

from dragonflyslip_core import request_crashes
from dragonflyslip_core import request_identity

KILLER = request_identity.identity('a' * 16, b'')
State = request_crashes.ProcessState
OTHER = request_identity.identity('a' * 16, b'other')


class Fleet:
    """Tables of several entries that exchange their records."""

    def __init__(self, count=3):
        self.tables = [
            request_crashes.RequestCrashes(f'entry-{number}')
            for number in range(count)
        ]
        self.lives = itertools.count()
        self.crashes = []

    def crash(self, entry, now, identity=KILLER, depth=None, share=True):
        """Record a crash at one entry, and share it with the others."""
        table = self.tables[entry]
        if depth is None:
            depth = table.depth(identity) + 1
        crash = request_crashes.RequestCrash(
            identity, f'life-{next(self.lives):03}', depth, table.entry
        )
        assert table.add(crash, now)
        self.crashes.append(crash)
        if share:
            self.share(crash, now)
        return crash

    def share(self, crash, now):
        for table in self.tables:
            table.add(crash, now, shared=True)

    def admitted(self, now, identity=KILLER):
        return [table.admit(identity, now) is None for table in self.tables]


@pytest.fixture
def fleet():
    return Fleet()


class TestRefusal:
    def test_three_crashes_in_turn_refuse_the_request(self, fleet):
        for entry in range(3):
            assert all(fleet.admitted(entry))
            fleet.crash(entry, entry)
        assert not any(fleet.admitted(3.0))
        assert all(fleet.admitted(3.0, OTHER))

    def test_crashes_of_one_moment_do_not(self, fleet):
        """Guards against a refusal of what a failed domain was running."""
        crashes = [fleet.crash(0, 0.0, share=False, depth=1) for _ in range(9)]
        for crash in crashes:
            fleet.share(crash, 0.1)
        assert all(fleet.admitted(0.2))

    def test_one_more_after_crashes_of_one_moment_does(self, fleet):
        """Guards against a request that several entries send at once."""
        for entry in range(3):
            fleet.crash(entry, 0.0, depth=1)
        fleet.crash(0, 5.0)
        assert not any(fleet.admitted(6.0))

    def test_report_of_the_same_crash_counts_once(self, fleet):
        crash = fleet.crash(0, 0.0)
        for _ in range(3):
            fleet.share(crash, 1.0)
        assert len(fleet.tables[0]) == 1

    def test_shared_record_replaces_an_entrys_own(self, fleet):
        """Guards against two entries that both try a refused request."""
        crash = fleet.crash(0, 0.0, share=False)
        other = dataclasses.replace(crash, entry='entry-1')
        fleet.tables[1].add(other, 0.0)
        fleet.share(other, 1.0)
        for _ in range(2):
            fleet.share(dataclasses.replace(crash, target_life='a'), 1.0)
            fleet.share(
                dataclasses.replace(crash, target_life='z', depth=2), 1.0
            )
        assert sum(fleet.admitted(20.0)) == 1

    def test_domain_of_the_targets_does_not_matter(self, fleet):
        """Guards against crashes in quick succession that are excluded."""
        for step in range(3):
            fleet.crash(0, step * 0.01)
        assert not any(fleet.admitted(0.1))


class TestSuccess:
    def test_takes_back_the_last_crash_only(self, fleet):
        """Guards against one success that clears all earlier crashes."""
        fleet.crash(0, 0.0)
        fleet.crash(0, 1.0)
        assert fleet.tables[0].succeeded(KILLER) == []
        assert fleet.tables[0].depth(KILLER) == 1
        fleet.crash(0, 2.0)
        fleet.crash(0, 3.0)
        assert fleet.tables[0].admit(KILLER, 4.0) is not None

    def test_common_request_is_never_refused(self, fleet):
        for step in range(20):
            fleet.crash(step % 3, step)
            for table in fleet.tables:
                table.succeeded(KILLER)
            assert all(fleet.admitted(step + 0.5))

    def test_record_that_comes_again_stays_taken_back(self, fleet):
        crash = fleet.crash(0, 0.0)
        fleet.tables[1].succeeded(KILLER)
        fleet.tables[1].replace(
            [request_crashes.CrashReport(crash, 5.0, State.ENDED)], 5.0
        )
        assert fleet.tables[1].depth(KILLER) == 0


class TestEras:
    """The exchange came back from an older copy."""

    def report(self, crash, state=State.ENDED):
        return request_crashes.CrashReport(crash, 1.0, state)

    def test_lost_crashes_count_until_they_are_written_again(self, fleet):
        # Guards against requests that crash targets and are accepted again
        # because the store lost the records.
        own, other = fleet.crash(0, 0.0), fleet.crash(1, 0.0)
        table = fleet.tables[0]
        table.replace([self.report(own), self.report(other)], 1.0, era=0)
        assert table.unshared(1.0) == []
        for now in (2.0, 2.1):
            table.replace([], now, era=1)
            assert len(table) == 2
        assert table.unshared(2.5) == [
            request_crashes.CrashReport(own, 2.5, State.ENDED)
        ]
        table.add(own, 3.0, shared=True)
        assert table.unshared(3.0) == []
        assert table.expire(2.1 + request_crashes.REWRITE_S) == []
        assert len(table) == 1
        # The other one's writer is gone.
        table.replace([], 9.0, era=1)
        assert len(table) == 0

    @pytest.mark.parametrize('listed', [State.ENDED, State.MISSING])
    def test_older_state_is_written_again(self, fleet, listed):
        own = fleet.crash(0, 0.0)
        table = fleet.tables[0]
        table.replace([self.report(own)], 1.0, era=0)
        table.replace([self.report(own, listed)], 2.0, era=1)
        is_outdated = listed is State.MISSING
        assert bool(table.unshared(2.0)) is is_outdated

    def test_deleted_crash_is_deleted_again_once(self, fleet):
        # Guards against a request that is refused again because of a record
        # that its writer had deleted.
        crash = fleet.crash(0, 0.0)
        for number, table in enumerate(fleet.tables):
            table.replace([self.report(crash)], 1.0, era=0)
            table.remove(*crash.key)
            for _ in range(2):
                table.replace([self.report(crash)], 2.0, era=1)
            is_own = number == 0
            assert len(table) == (not is_own)
            assert table.take_deleted() == [crash] * is_own
            assert table.take_deleted() == []


class TestTrials:
    def refuse(self, fleet):
        for _ in range(3):
            fleet.crash(1, 0.0)

    def test_only_the_entry_of_the_last_crash_tries_and_only_once(self, fleet):
        self.refuse(fleet)
        delay_s = request_crashes.TRIAL_DELAY_S
        assert fleet.admitted(delay_s - 0.1) == [False, False, False]
        assert fleet.admitted(delay_s) == [False, True, False]
        assert fleet.admitted(delay_s + 0.1) == [False, False, False]

    def test_another_entry_tries_if_that_one_is_gone(self, fleet):
        """Guards against a request that is refused until records expire."""
        self.refuse(fleet)
        for table in fleet.tables:
            table.entries = frozenset({'entry-0', 'entry-2', 'entry-3'})
        assert sum(fleet.admitted(request_crashes.TRIAL_DELAY_S)) <= 1
        others = [fleet.tables[0], fleet.tables[2]]
        others.append(request_crashes.RequestCrashes('entry-3'))
        others[2].entries = others[0].entries
        for crash in fleet.crashes:
            others[2].add(crash, 0.0, shared=True)
        at = request_crashes.TRIAL_DELAY_S + request_crashes.TRIAL_TIMEOUT_S
        admitted = [table.admit(KILLER, at) is None for table in others]
        assert sum(admitted) == 1

    def test_cancelled_trial_is_followed_by_another(self, fleet):
        self.refuse(fleet)
        at = request_crashes.TRIAL_DELAY_S
        assert fleet.admitted(at)[1]
        assert fleet.admitted(at + request_crashes.TRIAL_TIMEOUT_S)[1]

    def test_successful_trial_clears_the_request_everywhere(self, fleet):
        self.refuse(fleet)
        assert fleet.admitted(request_crashes.TRIAL_DELAY_S)[1]
        deleted = fleet.tables[1].succeeded(KILLER)
        assert len(deleted) == 3
        for crash in deleted:
            for table in fleet.tables:
                table.remove(*crash.key)
        assert all(fleet.admitted(16.0))
        assert not any(len(table) for table in fleet.tables)

    def test_request_that_always_crashes_is_tried_three_times(self, fleet):
        """Guards against more than three sends after the third crash."""
        self.refuse(fleet)
        tries = 0
        for now in range(1, int(request_crashes.MEMORY_S) - 1):
            for entry, admitted in enumerate(fleet.admitted(float(now))):
                if admitted:
                    tries += 1
                    fleet.crash(entry, float(now))
        assert tries == 3


class TestRecords:
    def test_expire_after_some_time(self, fleet):
        crash = fleet.crash(0, 0.0)
        assert fleet.tables[0].expire(request_crashes.MEMORY_S - 1) == []
        assert fleet.tables[0].expire(request_crashes.MEMORY_S) == [crash]
        assert not fleet.tables[0].knows_path('a' * 16)

    def test_old_record_is_not_added(self, fleet):
        crash = fleet.crash(0, 0.0, share=False)
        added = fleet.tables[1].add(
            crash, 9.0, age_s=request_crashes.MEMORY_S, shared=True
        )
        assert not added

    def test_complete_list_removes_shared_records_only(self, fleet):
        """Guards against the loss of a record that is still being written."""
        fleet.crash(0, 0.0)
        own = fleet.crash(0, 0.0, share=False)
        fleet.tables[0].replace([], 1.0)
        assert len(fleet.tables[0]) == 1
        fleet.tables[0].remove(*own.key)
        assert len(fleet.tables[0]) == 0

    def test_number_is_bounded_and_chains_are_kept(self, fleet, monkeypatch):
        monkeypatch.setattr(request_crashes, 'MAX_CRASHES', 5)
        for _ in range(3):
            fleet.crash(0, 0.0)
        for number in range(20):
            fleet.crash(
                0, 1.0, request_identity.identity(f'{number:016}', b'')
            )
        assert len(fleet.tables[0]) <= 5
        assert fleet.tables[0].depth(KILLER) == 3


class TestStates:
    """One entry that suspects targets of which nothing is known yet."""

    @pytest.fixture
    def table(self):
        return request_crashes.RequestCrashes('entry-0')

    def suspect(self, table, life, now):
        chain = table.chain(KILLER)
        table.suspect(KILLER, life, chain, now)
        return request_crashes.RequestCrash(
            KILLER, life, chain.depth + 1, 'entry-0'
        )

    def suspect_three(self, table):
        for number in range(3):
            self.suspect(table, f'life-{number}', float(number))

    def test_unknown_targets_count_for_nothing(self, table):
        """Guards against a refusal before a target had time to answer."""
        self.suspect_three(table)
        assert table.depth(KILLER) == 0
        assert table.admit(KILLER, 3.0) is None

    def test_targets_that_were_asked_about_make_a_chain(self, table):
        """Guards against many quick crashes that count as one moment."""
        self.suspect_three(table)
        depths = [
            table.ended(f'life-{number}', 3.0)[0].depth for number in range(3)
        ]
        assert depths == [1, 2, 3]

    def test_slow_targets_do_not_make_a_chain_of_crashes(self, table):
        """Guards against a refusal of a slow request when a domain fails."""
        for number in range(10):
            self.suspect(table, f'slow-{number}', 0.1 * number)
        chain = table.chain(KILLER)
        lives = [f'life-{number}' for number in range(3)]
        for life in lives:
            table.suspect(KILLER, life, chain, 1.0)
        for number in range(10):
            table.running(f'slow-{number}', 1.0, 1.1)
        for life in lives:
            table.ended(life, 1.2)
        assert table.admit(KILLER, 1.2) is None

    @pytest.mark.parametrize('method', ['missing', 'ended'])
    def test_missing_and_ended_targets_refuse_the_request(self, table, method):
        """Guards against silence that counts as proof of life."""
        self.suspect_three(table)
        for number in range(3):
            written = getattr(table, method)(f'life-{number}', 3.0)
            assert [crash.depth for crash in written] == [number + 1]
        assert table.admit(KILLER, 4.0) is not None

    def test_target_that_answers_does_not_count(self, table):
        """Guards against a refusal after a network that was cut."""
        self.suspect_three(table)
        for number in range(3):
            table.missing(f'life-{number}', 3.0)
        deleted = table.running('life-1', 4.0, 4.0)
        assert [crash.target_life for crash in deleted] == ['life-1']
        assert table.admit(KILLER, 4.0) is None
        assert not table.is_open('life-1')
        assert table.is_open('life-0')

    def test_answer_to_an_earlier_question_proves_nothing(self, table):
        self.suspect(table, 'life', 5.0)
        table.running('life', 4.9, 5.1)
        table.missing('life', 5.2)
        assert table.depth(KILLER) == 1

    def test_proven_end_stays(self, table):
        """Guards against a new process that answers under the same id."""
        self.suspect(table, 'life', 0.0)
        table.ended('life', 0.1)
        table.running('life', 1.0, 1.0)
        assert table.depth(KILLER) == 1

    @pytest.mark.parametrize(
        ('delay_s', 'depth'),
        [
            (request_crashes.RESTART_NOTICE_S, 1),
            (request_crashes.RESTART_NOTICE_S + 0.1, 0),
        ],
    )
    def test_restart_shows_that_an_answer_came_from_a_new_process(
        self, table, delay_s, depth
    ):
        crash = self.suspect(table, 'life', 0.0)
        table.running('life', 0.5, 0.5)
        assert table.depth(KILLER) == 0
        written = table.ended('life', 0.5 + delay_s)
        assert written == [crash] * depth
        assert table.depth(KILLER) == depth

    def test_deletion_does_not_hide_a_later_proof(self, table):
        """Guards against the echo of an entry's own deletion."""
        crash = self.suspect(table, 'life', 0.0)
        table.missing('life', 0.1)
        table.add(crash, 0.2, shared=True, state=State.MISSING)
        table.running('life', 0.3, 0.3)
        table.remove(*crash.key)
        assert table.ended('life', 1.0) == [crash]

    def test_echo_of_a_record_does_not_suspect_again(self, table):
        crash = self.suspect(table, 'life', 0.0)
        table.missing('life', 0.1)
        table.running('life', 0.2, 0.2)
        table.add(crash, 0.3, shared=True, state=State.MISSING)
        assert table.depth(KILLER) == 0

    def test_second_loss_at_a_target_suspects_it_again(self, table):
        """Guards against an answer that clears what happens after it."""
        self.suspect(table, 'life', 0.0)
        table.running('life', 0.5, 0.5)
        self.suspect(table, 'life', 1.0)
        table.running('life', 0.9, 1.1)
        table.missing('life', 1.2)
        assert table.depth(KILLER) == 1

    def test_answered_targets_are_forgotten(self, table):
        self.suspect(table, 'life', 0.0)
        table.running('life', 0.5, 0.5)
        later = 0.6 + request_crashes.RESTART_NOTICE_S
        assert table.expire(later) == []
        assert len(table) == 0
        assert not table.has_open

    @pytest.mark.parametrize('count', [3, request_crashes.MAX_TRIAL_CRASHES])
    def test_missing_targets_do_not_keep_callers_away_for_long(
        self, table, count
    ):
        """Guards against callers that come back long after the targets."""
        for number in range(count):
            self.suspect(table, f'life-{number}', 0.0)
        for number in range(count):
            table.missing(f'life-{number}', 3.0)
        assert table.admit(KILLER, 3.0) == request_crashes.MIN_RETRY_AFTER_S

    def test_other_entries_keep_their_records(self, table):
        """Guards against a deletion by each entry that hears the target."""
        crash = request_crashes.RequestCrash(KILLER, 'life', 1, 'entry-1')
        table.add(crash, 0.0, shared=True, state=State.MISSING)
        assert table.running('life', 1.0, 1.0) == []
        assert table.depth(KILLER) == 0

    def test_answered_target_leaves_its_path_to_hedges(self, table):
        """Guards against hedges that one slow response switches off."""
        half = KILLER[: request_identity.HALF_LENGTH]
        self.suspect(table, 'life', 0.0)
        assert not table.knows_path(half)
        table.missing('life', 0.1)
        assert table.knows_path(half)
        table.running('life', 0.5, 0.5)
        assert not table.knows_path(half)

    def test_echo_of_a_deletion_keeps_a_later_suspicion(self, table):
        crash = self.suspect(table, 'life', 0.0)
        table.missing('life', 0.1)
        table.add(crash, 0.2, shared=True, state=State.MISSING)
        table.running('life', 0.3, 0.3)
        self.suspect(table, 'life', 0.4)
        table.remove(*crash.key)
        table.ended('life', 0.5)
        assert table.depth(KILLER) == 1

    def test_answered_targets_are_dropped_first(self, table, monkeypatch):
        """Guards against slow responses that push out records of crashes."""
        monkeypatch.setattr(request_crashes, 'MAX_CRASHES', 8)
        self.suspect(table, 'life', 0.0)
        table.ended('life', 0.0)
        for number in range(20):
            crash = request_crashes.RequestCrash(
                OTHER, f'slow-{number}', 2, 'entry-0'
            )
            table.add(crash, 1.0, state=State.UNKNOWN)
            table.running(f'slow-{number}', 1.0, 1.0)
        assert table.depth(KILLER) == 1
