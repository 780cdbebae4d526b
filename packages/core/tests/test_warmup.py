"""Tests of the warm-up of one target by one entry under faults."""

import types

import pytest
from returns import pipeline

from dragonflyslip_core import blackboard
from dragonflyslip_core import membership
from dragonflyslip_core import target_facts
from dragonflyslip_core import targets
from dragonflyslip_core import warmup

OWN = membership.EntryId('a', 1)
RULES = warmup.WarmupRules(slots=4, cold_concurrency=1, warmup_s=8.0)


class Rig:
    """One entry with one target and an agreement set by the test."""

    def __init__(self, since=0.0, agreed=True):
        self.agreed = agreed
        self.since = since
        self.board = blackboard.Blackboard()
        self.board.membership = types.SimpleNamespace(
            own=OWN, agreement=self.agreement
        )
        self.warmup = warmup.WarmupController(self.board)
        self.warmup.add_target(
            targets.Target('t', 's', '', 1, 'domain-1'), RULES
        )

    def agreement(self, now):
        view = membership.MembershipView((membership.Member(OWN),))
        since = self.since if self.agreed else None
        return membership.Agreement(self.agreed, view, 1, 1, 1, since, 1)

    def report(self, boot, sent_at, in_flight=0, state='serving'):
        self.warmup.observe_report(
            't',
            targets.LoadReport(in_flight, 4, boot, targets.ReportState(state)),
            sent_at,
            sent_at,
        )

    def fact(self, boot, now, warm=True, age_s=0.0):
        self.warmup.observe_fact(
            target_facts.TargetFact('t', boot, warm, 0, age_s), now
        )

    def start(self, now, opened_at=0.0):
        """Return the permit, or the kind of the error."""
        answer = self.warmup.start('t', opened_at, now)
        if pipeline.is_successful(answer):
            return answer.unwrap()
        return answer.failure().kind

    def hold(self, now=10.0):
        """Make the entry the holder, with boot id b1 confirmed at ``now``."""
        self.report('b1', now - 1)
        self.warmup.refresh(now - 0.5)
        self.report('b1', now)

    def run_one(self, now):
        permit = self.start(now)
        assert isinstance(permit, warmup.Permit), permit
        self.warmup.finish(permit, True, True, now + 0.01)


def _removed_target(rig):
    rig.hold()
    rig.warmup.remove_target('t')


def _no_report_yet(rig):
    pass


def _suspected(rig):
    rig.hold()
    rig.fact('b1', 10.0)
    rig.warmup.observe_connection_lost('t', 10.5)


def _suspected_then_earlier_answer(rig):
    _suspected(rig)
    rig.report('b1', 10.4)


def _suspected_then_confirmed(rig):
    _suspected(rig)
    rig.report('b1', 10.6)


def _new_process(rig):
    rig.agreed = False
    rig.hold()
    rig.fact('b1', 10.0)
    rig.report('b2', 10.5)


def _late_answer_of_old_process(rig):
    rig.agreed = False
    rig.fact('b0', 9.0)
    rig.hold()
    rig.report('b0', 9.5)


def _reports_warming_again(rig):
    rig.agreed = False
    rig.hold()
    rig.fact('b1', 10.0)
    rig.report('b1', 10.5, state='warming')
    rig.fact('b1', 10.6)


def _peer_saw_new_process(rig):
    rig.hold()
    rig.fact('b1', 10.0)
    rig.fact('b2', 10.5, warm=False)


def _peer_saw_older_process(rig):
    rig.hold()
    rig.fact('b1', 10.0)
    rig.fact('b0', 10.5, warm=False, age_s=5.0)


def _peer_fact_refuted(rig):
    _peer_saw_new_process(rig)
    rig.report('b1', 10.6)


def _peer_fact_then_earlier_answer(rig):
    _suspected(rig)
    rig.fact('b2', 10.8, warm=False)
    rig.report('b1', 10.6)


def _no_agreement(rig):
    rig.hold()
    rig.agreed = False


def _new_holder_waits(rig):
    rig.hold()
    rig.since = 9.0


def _former_holder_has_requests(rig):
    rig.hold()
    rig.since = 8.0
    rig.warmup.refresh(11.0)
    rig.report('b1', 11.1, in_flight=1)


def _former_holder_load_unknown(rig):
    rig.hold()
    rig.since = 8.0


def _abandoned_request(rig):
    rig.hold()
    rig.warmup.finish(rig.start(10.5), False, False, 10.9)
    rig.report('b1', 10.8)


def _abandoned_request_then_report(rig):
    _abandoned_request(rig)
    rig.report('b1', 11.0)


class TestStart:
    @pytest.mark.parametrize(
        'prepare, expected',
        [
            (_removed_target, 'no-target'),
            (_no_report_yet, 'unconfirmed'),
            (_suspected, 'unconfirmed'),
            (_suspected_then_earlier_answer, 'unconfirmed'),
            (_suspected_then_confirmed, 'sent'),
            (_new_process, 'cold'),
            (_late_answer_of_old_process, 'cold'),
            (_reports_warming_again, 'cold'),
            (_peer_saw_new_process, 'unconfirmed'),
            (_peer_saw_older_process, 'sent'),
            (_peer_fact_refuted, 'sent'),
            (_peer_fact_then_earlier_answer, 'unconfirmed'),
            (_no_agreement, 'cold'),
            (_new_holder_waits, 'cold'),
            (_former_holder_has_requests, 'cold-limit'),
            (_former_holder_load_unknown, 'cold-limit'),
            (_abandoned_request, 'cold-limit'),
            (_abandoned_request_then_report, 'sent'),
        ],
    )
    def test_start_after_fault(self, prepare, expected):
        """Guards against requests that a cold target must not receive.

        Each function that prepares a case is named after the fault.
        """
        rig = Rig()
        prepare(rig)
        answer = rig.start(11.5)
        assert (answer if isinstance(answer, str) else 'sent') == expected

    def test_connection_opened_after_confirmation_is_not_used(self):
        # Guards against a connection that leads to a newer process.
        rig = Rig()
        rig.hold()
        rig.fact('b1', 10.0)
        assert rig.start(11.0, opened_at=10.5) == 'unconfirmed'
        rig.report('b1', 11.5)
        assert rig.start(12.0, opened_at=10.5) != 'unconfirmed'

    def test_boot_id_is_accepted_after_early_answer_contradicts_it(self):
        # Guards against rejecting a boot id for ever because an answer from
        # before the restart seemed to refute a peer's correct fact.
        rig = Rig()
        _peer_fact_then_earlier_answer(rig)
        rig.report('b2', 12.0)
        assert rig.board.targets['t'].boot_id == 'b2'


class TestRamp:
    def test_limit_doubles_until_warm_and_peers_are_told(self):
        # Guards against a ramp of the wrong length or unknown to peers.
        rig = Rig()
        rig.hold()
        levels = []
        now = 11.0
        while not rig.warmup.is_warm('t') and now < 60.0:
            rig.run_one(now)
            levels.append(rig.board.targets['t'].warm_limit)
            now += 1.0
        assert list(dict.fromkeys(levels)) == [1, 2, None]
        assert now - 11.0 == pytest.approx(RULES.warmup_s, abs=1.1)
        rig.warmup.take_notices(now)
        facts = rig.warmup.recent_facts(now)
        assert [(f.boot_id, f.warm) for f in facts] == [('b1', True)]

    def test_each_restart_begins_a_new_ramp(self):
        # Guards against full load on a process that has just started.
        rig = Rig()
        rig.hold()
        for number, boot in enumerate(['b2', 'b3']):
            now = 20.0 + 5 * number
            rig.run_one(now - 0.5)
            running = rig.start(now)
            rig.warmup.observe_connection_lost('t', now + 1)
            rig.report(boot, now + 2)
            rig.warmup.finish(running, False, False, now + 2)
            assert rig.board.targets['t'].warm_limit == 1
            first = rig.start(now + 3)
            assert first.boot_id == boot
            assert rig.start(now + 3) == 'cold-limit'
            rig.warmup.finish(first, True, True, now + 3.5)

    def test_limit_does_not_rise_while_requests_fail(self):
        # Guards against more load on a target that already fails.
        rig = Rig()
        rig.hold()
        for second in range(30):
            permit = rig.start(11.0 + second)
            rig.warmup.finish(permit, True, False, 11.5 + second)
        assert rig.board.targets['t'].warm_limit == 1

    def test_warm_capacity_of_a_returning_domain(self):
        # Guards against counting cold targets with all of their slots.
        rig = Rig()
        rig.hold()
        rig.warmup.refresh(11.0)
        assert rig.warmup.warm_capacity('domain-1') == 1
        rig.fact('b1', 12.0)
        assert rig.warmup.warm_capacity('domain-1') == RULES.slots
        assert rig.warmup.warm_capacity('domain-2') == 0

    def test_lost_notice_is_repeated_by_heartbeats(self):
        # Guards against peers that never learn about a target.
        rig = Rig()
        rig.hold()
        rig.warmup.take_notices(11.0)
        facts = rig.warmup.recent_facts(100.0)
        assert [fact.boot_id for fact in facts] == ['b1']

    def test_heartbeats_stay_small_and_cover_every_target(self):
        # Guards against exceeding the traffic budget when a domain returns.
        rig = Rig()
        for number in range(15):
            name = f't{number}'
            rig.warmup.add_target(
                targets.Target(name, 's', '', 1, 'domain-1'), RULES
            )
            rig.warmup.observe_report(
                name, targets.LoadReport(0, 4, 'b1'), 10.0, 10.0
            )
        rounds = [rig.warmup.recent_facts(10.0 + n) for n in range(16)]
        assert max(map(len, rounds)) <= 2
        assert len({f.target_id for facts in rounds for f in facts}) == 15
