"""When a candidate decides about a rollout, and what."""

import dataclasses

import pytest

from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts
from dragonflyslip_core.rollouts import advice
from dragonflyslip_core.rollouts import stages

DURATION_S = 12.0
ORDER = rollouts.RolloutOrder('s', 'v2', DURATION_S, feeds.Position(0, 7))
ENTRIES = frozenset(f'g{n}' for n in range(4))
FLEET = rollouts.FleetState(8, 8, 32, 32, ('v1',), ENTRIES, frozenset(), 2.0)
Reason, Stage = rollouts.Reason, rollouts.Stage


def _rollout(stage=None, entered_s=0.0, **fields):
    decision = None
    if stage is not None:
        decision = rollouts.Decision(
            ORDER,
            3,
            stage,
            ('v0',),
            Reason.ORDERED,
            rollouts.Figures(),
            'g0',
            entered_s,
        )
    return rollouts.Rollout(ORDER, 0.0, decision, **fields)


def _report(decider, rollout, now, names=ENTRIES, **fields):
    """Let entries report; ``new`` and ``control`` are good and bad."""
    stage = fields.get('stage', rollout.stage)
    cell_stage = stage if stage.is_partial else Stage.SHARE_50
    for name in names:
        known = decider.evidence.acknowledged(name, 1)
        counter = rollouts.ReportCounter(name, 1, ORDER.position)
        counter.sequence = known + 1
        for target, counts in (
            ('t', fields.get('new', (0, 0))),
            (None, fields.get('control', (0, 0))),
        ):
            key = rollouts.CellKey(cell_stage, 'r', target)
            for failed, count in enumerate(counts):
                for _ in range(count):
                    counter.record(key, bool(failed), 0.05)
        unfinished = fields.get('unfinished', 0)
        decider.receive(counter.report(known, stage, unfinished), rollout, now)


def _decide(rollout, now, fleet=FLEET, rank=0, **report):
    decider = rollouts.Decider('g0', ORDER)
    # The first report caused a verdict, and the next one is due after 0.2 s.
    _report(decider, rollout, now - 0.25, **report)
    decision = decider.next_decision(rollout, fleet, rank, now)
    return decision and (decision.stage, decision.reason)


ENOUGH = {'new': (40, 0), 'control': (300, 0)}
MUCH = {'new': (100, 0), 'control': (300, 0)}
LITTLE = {'new': (1, 0), 'control': (9, 0)}
SUSPECT = {'new': (30, 1), 'control': (300, 0), 'names': ['g0', 'g1', 'g2']}
PROBABLY_BAD = {'new': (30, 1), 'control': (300, 0)}
BAD = {'new': (30, 5), 'control': (300, 0)}


class TestShares:
    @pytest.mark.parametrize('setting', [0.0, 0.01, 0.05, 0.1, 0.5, 1.0])
    def test_plan_stays_below_the_setting(self, setting):
        # Guards against more requests to a bad version than the setting
        # allows, and against larger shares than those of the plan.
        planned, begins = 0.0, 0.0
        for stage in (Stage.SHARE_8, Stage.SHARE_25, Stage.SHARE_50):
            ends = stages.STEPS[stage].ends
            share = stages.share_within(stage, setting)
            planned += (ends - begins) * share
            begins = ends
            assert share <= stage.share
            assert setting < 0.1 or share == stage.share
        assert planned <= setting and planned >= 0.9 * min(setting, 0.1)
        assert stages.share_within(Stage.LAST, setting) == 1.0

    def test_decision_holds_the_share_that_entries_use(self):
        # Guards against entries that use the share of the plan instead.
        rollout = _rollout()
        decider = rollouts.Decider('g0', ORDER, 0.05)
        decision = decider.next_decision(rollout, FLEET, 0, 0.0)
        assert (decision.stage, decision.share) == (Stage.SHARE_8, 0.04)
        advised = advice.AdvisedShare(ORDER.position)
        advised.record(rollouts.Advice('g0', ORDER.position, False, 0), 0.0)
        rollout = dataclasses.replace(rollout, decision=decision)
        assert advised.share(rollout, 0.5) == 0.04


class TestDecider:
    @pytest.mark.parametrize(
        ('stage', 'entered_s', 'now', 'fleet', 'report', 'decided'),
        [
            (None, 0, 0.0, {}, {}, (Stage.SHARE_8, Reason.ORDERED)),
            # No warm targets yet, or too few to tell a bad one.
            (None, 0, 0.0, {'new_slots': 0}, {}, (Stage.HELD, 'ordered')),
            ('HELD', 0, 2.0, {'warm_targets': 3}, {}, None),
            ('HELD', 0, 2.5, {'warm_targets': 3}, {}, (Stage.SHARE_8,)),
            ('HELD', 0, 2.5, {'new_slots': 2}, {}, None),
            ('HELD', 0, 10.9, {'new_targets': 0, 'new_slots': 0}, {}, None),
            (
                *('HELD', 0, 11.0, {'new_targets': 0, 'new_slots': 0}, {}),
                (Stage.ROLLED_BACK, Reason.NO_TARGET),
            ),
            # The only version of the service.
            (
                *(None, 0, 0.0, {'old_versions': (), 'old_slots': 0}, {}),
                (Stage.LAST, Reason.NO_OLD_TARGET),
            ),
            (
                *('LAST', 0, 0.6, {'old_versions': (), 'old_slots': 0}),
                *({}, (Stage.SUCCEEDED,)),
            ),
            # The plan.
            ('SHARE_8', 0, 5.3, {}, ENOUGH, None),
            ('SHARE_8', 0, 5.4, {}, ENOUGH, (Stage.SHARE_25,)),
            ('SHARE_8', 5, 6.4, {}, ENOUGH, None),
            ('SHARE_8', 5, 6.5, {}, ENOUGH, (Stage.SHARE_25,)),
            # In force everywhere first.
            ('SHARE_50', 10.2, 10.7, {}, ENOUGH, None),
            ('SHARE_50', 10, 10.7, {}, ENOUGH, (Stage.LAST,)),
            # Too few slots of the version for half of the traffic.
            ('SHARE_25', 5, 9.0, {'new_slots': 25}, ENOUGH, None),
            ('SHARE_25', 5, 9.0, {'new_slots': 26}, ENOUGH, (Stage.SHARE_50,)),
            (
                *('SHARE_25', 5, 11.0, {'new_slots': 25}, ENOUGH),
                (Stage.ROLLED_BACK, Reason.NO_TIME),
            ),
            # Too little traffic to wait for.
            (
                *('SHARE_8', 0, 5.4, {}, LITTLE),
                (Stage.SHARE_25, Reason.LITTLE_TRAFFIC),
            ),
            # What may be bad waits.
            ('SHARE_8', 0, 7.9, {}, SUSPECT, None),
            ('SHARE_8', 0, 8.0, {}, SUSPECT, (Stage.SHARE_25,)),
            ('SHARE_8', 0, 9.0, {}, PROBABLY_BAD, None),
            (
                *('SHARE_8', 0, 1.0, {}, BAD),
                (Stage.ROLLED_BACK, Reason.MORE_FAILURES),
            ),
            # A candidate that hears too few entries.
            ('SHARE_8', 0, 5.4, {}, {**MUCH, 'names': ['g0']}, None),
            (
                *('SHARE_8', 0, 5.4, {'gone': frozenset({'g1', 'g2', 'g3'})}),
                {**MUCH, 'names': ['g0']},
                (Stage.SHARE_25,),
            ),
            # The end.
            ('LAST', 7.3, 8.7, {}, ENOUGH, None),
            ('LAST', 7.3, 8.8, {}, ENOUGH, (Stage.SUCCEEDED, 'confirmed')),
            ('LAST', 7.3, 10.0, {}, LITTLE, None),
            ('LAST', 7.3, 10.1, {}, LITTLE, (Stage.SUCCEEDED,)),
            ('LAST', 7.3, 10.9, {}, {**ENOUGH, 'unfinished': 1}, None),
            (
                *('LAST', 7.3, 11.0, {}, {**ENOUGH, 'unfinished': 1}),
                (Stage.ROLLED_BACK, Reason.NO_TIME),
            ),
            # One entry has not reported, but may be connected to the store.
            ('LAST', 7.3, 9.7, {}, {**MUCH, 'names': ['g0', 'g1']}, None),
            (
                *('LAST', 7.3, 9.9, {}),
                {**MUCH, 'names': ['g0', 'g1']},
                (Stage.SUCCEEDED,),
            ),
            # After the store was away.
            ('LAST', 7.3, 30.0, {}, ENOUGH, (Stage.SUCCEEDED,)),
            ('SHARE_25', 5, 30.0, {}, ENOUGH, (Stage.ROLLED_BACK,)),
            ('ROLLED_BACK', 5, 6.0, {}, BAD, None),
        ],
    )
    def test_what_is_due(self, stage, entered_s, now, fleet, report, decided):
        # Guards against stages that begin without targets or evidence, good
        # versions that miss their time, and ends before all have confirmed.
        rollout = _rollout(stage and Stage[stage], entered_s)
        fleet = dataclasses.replace(FLEET, **fleet)
        result = _decide(rollout, now, fleet, **report)
        assert (result and result[: len(decided or ())]) == decided

    @pytest.mark.parametrize('stage', [None, Stage.SHARE_8, Stage.LAST])
    def test_withdrawn_order_is_rolled_back(self, stage):
        result = _decide(_rollout(stage, withdrawn=True), 1.0, **ENOUGH)
        assert result == (Stage.ROLLED_BACK, Reason.WITHDRAWN)

    def test_later_rank_waits(self):
        # Guards against three candidates that append at the same time.
        rollout = _rollout()
        decider = rollouts.Decider('g2', ORDER)
        times = [0.0, 0.7, 0.8]
        decided = [
            decider.next_decision(rollout, FLEET, 2, now) for now in times
        ]
        assert [decision is not None for decision in decided] == [
            *(False, False, True)
        ]
        assert decided[2].since_order_s == 0.8

    def test_verdict_stays(self):
        # Guards against a hold that ends when later responses dilute the
        # evidence, before the decision could be written.
        rollout = _rollout(Stage.SHARE_8)
        decider = rollouts.Decider('g0', ORDER)
        _report(decider, rollout, 1.0, **BAD)
        assert decider.judge(rollout, 1.5).bad
        _report(decider, rollout, 2.0, control=(300, 300), new=(900, 5))
        assert decider.judge(rollout, 3.0).bad

    def test_decision_excludes_replaced_versions_for_ever(self):
        # Guards against traffic to a version that an earlier rollout had
        # replaced, and that a later order would treat as old.
        decider = rollouts.Decider('g0', ORDER)
        rollout = _rollout(Stage.LAST, 7.3)
        _report(decider, rollout, 9.0, **ENOUGH)
        fleet = dataclasses.replace(FLEET, old_versions=('v1', 'v9'))
        decision = decider.next_decision(rollout, fleet, 0, 9.3)
        assert decision.superseded == ('v0', 'v1', 'v9')
        assert decision.number == 4
        assert decision.status.state is rollouts.RolloutState.SUCCEEDED

    @pytest.mark.parametrize(
        ('stage', 'reported', 'now', 'may'),
        [
            (Stage.ROLLED_BACK, Stage.HELD, 9.0, True),
            (Stage.SUCCEEDED, Stage.SUCCEEDED, 9.0, True),
            # An entry was told to hold just before the success.
            (Stage.SUCCEEDED, Stage.HELD, 9.0, False),
            (Stage.SUCCEEDED, Stage.HELD, 11.5, True),
            (Stage.LAST, Stage.LAST, 9.0, True),
        ],
    )
    def test_success_is_published_once_it_is_in_force(
        self, stage, reported, now, may
    ):
        # Guards against old targets that are stopped under requests.
        decider = rollouts.Decider('g0', ORDER)
        rollout = _rollout(stage, 9.0)
        _report(decider, rollout, now, stage=reported)
        assert decider.may_publish(rollout, FLEET, now) is may
