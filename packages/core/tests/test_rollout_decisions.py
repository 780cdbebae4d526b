"""Orders and decisions: nothing that was acted on is undone."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts

ENTRIES = 4


def _order(era=0, offset=1, version='v2', duration_s=12.0):
    position = feeds.Position(era, offset)
    return rollouts.RolloutOrder('s', version, duration_s, position)


def _decision(order, number, stage=rollouts.Stage.SHARE_8, **fields):
    return rollouts.Decision(
        order,
        number,
        stage,
        fields.pop('superseded', ()),
        rollouts.Reason.ORDERED,
        rollouts.Figures(),
        fields.pop('decider', 'a'),
        fields.pop('since_order_s', 1.0),
        **fields,
    )


class TestOrderTable:
    @pytest.mark.parametrize(
        ('records', 'position'),
        [
            # A later record is a new order, whatever it says.
            ([_order(0, 1), _order(0, 5)], (0, 5)),
            # The operator writes the order again in a newer era.
            ([_order(0, 1), _order(1, 0)], (0, 1)),
            # The second record of a newer era is a new order.
            ([_order(0, 1), _order(1, 0), _order(1, 3)], (1, 3)),
            ([_order(0, 1), _order(1, 0, 'v3')], (1, 0)),
            ([_order(0, 1), _order(1, 0, duration_s=9.0)], (1, 0)),
            # A late page of the older era.
            ([_order(1, 2), _order(0, 9)], (1, 2)),
        ],
    )
    def test_repeated_record_keeps_the_order(self, records, position):
        # Guards against a rollout that starts over when the store comes back
        # older, and against a new order that is taken for a repeated one.
        table = rollouts.OrderTable()
        for record in records:
            table.put(record, 0.0)
        assert table.of('s').order.position == feeds.Position(*position)

    def test_store_that_lost_the_order_does_not_withdraw_it(self):
        # Guards against a rollback because an older copy lacks the record.
        table = rollouts.OrderTable()
        table.put(_order(0, 5), 0.0)
        assert table.replace([], feeds.Position(1, 3), 10.0) == []
        assert table.expire(39.0) == []
        assert table.expire(40.0) == ['s']
        assert table.of('s').withdrawn

    def test_deletion_withdraws_the_order(self):
        table = rollouts.OrderTable()
        table.put(_order(0, 5), 0.0)
        assert not table.delete('s', feeds.Position(0, 4), 1.0)
        assert table.delete('s', feeds.Position(0, 6), 1.0)
        table.put(_order(0, 7), 2.0)
        assert table.replace([], feeds.Position(0, 9), 3.0) == ['s']

    @pytest.mark.parametrize(
        ('through', 'now', 'withdrawn'),
        [
            # Not read yet; deleted; lost in the newer era; gone for good.
            ((0, 5), 0.0, False),
            ((0, 6), 0.0, True),
            ((1, 2), 29.0, False),
            ((1, 2), 30.0, True),
        ],
    )
    def test_order_known_from_a_decision_only(self, through, now, withdrawn):
        # Guards against an entry that rolls back because it reads the orders
        # later than the decisions, or goes on after a withdrawal.
        table = rollouts.OrderTable()
        table.advance(feeds.Position(*through), 0.0)
        decisions = rollouts.DecisionTable()
        decisions.merge(_decision(_order(0, 5), 1), feeds.Position(0, 1), now)
        rollout = rollouts.resolve('s', table, decisions, now)
        assert rollout.withdrawn is withdrawn


class TestResolve:
    def test_new_order_excludes_what_the_last_one_left(self):
        # Guards against traffic to a version that was rolled back, or that a
        # replaced rollout never proved, once another version is ordered.
        decisions, table = rollouts.DecisionTable(), rollouts.OrderTable()
        decisions.merge(
            _decision(_order(), 3, superseded=('v0', 'v3')),
            feeds.Position(0, 9),
            5.0,
        )
        table.put(_order(0, 8, 'v3'), 6.0)
        rollout = rollouts.resolve('s', table, decisions, 7.0)
        assert rollout.stage is rollouts.Stage.HELD
        assert rollout.superseded == ('v0', 'v2')

    def test_age_of_the_order_survives_a_restart(self):
        # Guards against a rollout that gets its whole duration again when all
        # entries restart.
        decisions, table = rollouts.DecisionTable(), rollouts.OrderTable()
        table.put(_order(), 100.0)
        decisions.merge(
            _decision(_order(), 2, since_order_s=7.0),
            feeds.Position(0, 9),
            100.0,
        )
        rollout = rollouts.resolve('s', table, decisions, 101.0)
        assert rollout.elapsed_s(101.0) == 8.0

    def test_new_identical_order_of_a_newer_era_is_not_a_repetition(self):
        # Guards against a version that can never be ordered again after its
        # rollback and a change of era.
        decisions, table = rollouts.DecisionTable(), rollouts.OrderTable()
        old, new = _order(0, 1), _order(1, 7)
        final = _decision(old, 4, rollouts.Stage.ROLLED_BACK)
        decisions.merge(final, feeds.Position(0, 9), 0.0)
        unaware = _decision(new, 1)
        assert not decisions.merge(unaware, feeds.Position(1, 1), 0.0)
        aware = dataclasses.replace(unaware, replaced=old.position)
        assert decisions.merge(aware, feeds.Position(1, 2), 0.0)
        table.put(new, 0.0)
        rollout = rollouts.resolve('s', table, decisions, 1.0)
        assert rollout.decision == aware


class TestDecisionTable:
    @pytest.mark.parametrize(
        ('first', 'second', 'winner', 'written_again'),
        [
            # Number and stage of each, the stage in force, and the number
            # under which it is written again if the log ends with the other.
            ((2, 'SHARE_25'), (1, 'SHARE_8'), 'SHARE_25', 2),
            # Two deciders, one of whom had not read the other's decision.
            ((2, 'SHARE_25'), (2, 'SHARE_50'), 'SHARE_25', 3),
            # A decider that had not read the end goes on.
            ((3, 'ROLLED_BACK'), (4, 'SHARE_50'), 'ROLLED_BACK', 5),
            # Old targets are stopped once a success is known.
            ((5, 'SUCCEEDED'), (6, 'ROLLED_BACK'), 'SUCCEEDED', 7),
            ((5, 'ROLLED_BACK'), (5, 'SUCCEEDED'), 'SUCCEEDED', None),
        ],
    )
    @pytest.mark.parametrize('reverse', [False, True])
    def test_entries_agree_on_decisions_that_were_lost_once(
        self, first, second, winner, written_again, reverse
    ):
        # Guards against entries that follow different decisions, depending
        # on the order in which records of several eras reach them.
        records = [
            (_decision(_order(), number, rollouts.Stage[stage]), position)
            for (number, stage), position in (
                (first, feeds.Position(0, 9)),
                (second, feeds.Position(1, 9)),
            )
        ]
        table = rollouts.DecisionTable()
        for decision, position in reversed(records) if reverse else records:
            table.merge(decision, position, 0.0)
        assert table.of('s').decision.stage is rollouts.Stage[winner]
        numbers = [decision.number for decision in table.unlogged()]
        assert numbers == ([written_again] if written_again else [])

    def test_late_record_of_an_older_order_is_ignored(self):
        # Guards against a resumed decider whose append came through.
        table = rollouts.DecisionTable()
        newer = _decision(_order(0, 5, 'v3'), 1)
        table.merge(newer, feeds.Position(0, 7), 0.0)
        older = _decision(_order(0, 2), 9, rollouts.Stage.SUCCEEDED)
        assert not table.merge(older, feeds.Position(0, 8), 0.0)
        assert table.unlogged() == [newer]


class DecisionMachine(stateful.RuleBasedStateMachine):
    """Entries that read a log which two deciders write and a store loses.

    Orders and decisions have one position each: a decider that has not caught
    up, or whose append is repeated, cannot append.
    """

    @stateful.initialize()
    def start(self):
        self.log = []
        self.era = 0
        self.tables = [rollouts.DecisionTable() for _ in range(ENTRIES)]
        self.read = [0] * ENTRIES
        self.acted = [None] * ENTRIES
        self.order = _order(0, 1)
        self.previous = None

    def _merge(self, entry, index):
        position = feeds.Position(self.era, index)
        self.tables[entry].merge(self.log[index], position, 0.0)
        self._act(entry)

    def _act(self, entry):
        """Check that nothing that was acted on is undone."""
        held = self.tables[entry].of('s')
        before = self.acted[entry]
        self.acted[entry] = held and held.decision
        if before is None:
            return
        if not held.decision.is_of_order_of(before):
            assert held.decision.order.position > before.order.position
            return
        assert held.decision.number >= before.number or (
            held.decision.stage.is_final and not before.stage.is_final
        )
        if before.stage.is_final:
            assert held.decision.stage.is_final
        if before.stage is rollouts.Stage.SUCCEEDED:
            assert held.decision.stage is before.stage

    @stateful.rule(entry=strategies.integers(0, ENTRIES - 1))
    def catch_up(self, entry):
        for index in range(self.read[entry], len(self.log)):
            self._merge(entry, index)
        self.read[entry] = len(self.log)

    @stateful.rule(
        entry=strategies.integers(0, ENTRIES - 1),
        number=strategies.integers(0, 30),
    )
    def read_late_or_again(self, entry, number):
        if self.log:
            self._merge(entry, number % len(self.log))

    @stateful.rule(
        entry=strategies.integers(0, 1),
        stage=strategies.sampled_from(
            [
                rollouts.Stage.SHARE_25,
                rollouts.Stage.LAST,
                rollouts.Stage.SUCCEEDED,
                rollouts.Stage.ROLLED_BACK,
            ]
        ),
    )
    def decide(self, entry, stage):
        held = self.tables[entry].of('s')
        number, replaced = 1, self.previous
        if held is not None:
            last = held.decision
            if last.concerns(self.order, first_in_era=True):
                if last.stage.is_final:
                    return
                number, replaced = last.number + 1, last.replaced
        # The append is conditional.
        if self.read[entry] == len(self.log):
            self.log.append(
                _decision(
                    self.order,
                    number,
                    stage,
                    decider=f'e{entry}',
                    replaced=replaced,
                )
            )

    @stateful.rule(entry=strategies.integers(0, ENTRIES - 1))
    def write_again(self, entry):
        if self.read[entry] == len(self.log):
            self.log += self.tables[entry].unlogged()

    @stateful.rule()
    def order_anew(self):
        self.previous = self.order.position
        offset = self.order.position.offset + 1
        self.order = _order(self.era, offset, f'v{offset}')

    @stateful.rule(entry=strategies.integers(2, ENTRIES - 1))
    def restart(self, entry):
        self.tables[entry] = rollouts.DecisionTable()
        self.acted[entry] = None
        self.read[entry] = 0

    @stateful.rule(lost=strategies.integers(1, 4))
    def come_back_older(self, lost):
        self.era += 1
        self.log = self.log[: max(0, len(self.log) - lost)]
        # What each entry reads now is a complete list of the new era.
        for entry, table in enumerate(self.tables):
            newest = [
                (decision, feeds.Position(self.era, index))
                for index, decision in enumerate(self.log)
            ][-1:]
            table.replace(newest, 0.0)
            self.read[entry] = len(self.log)
            self._act(entry)

    def teardown(self):
        # All entries agree once each has read what the others wrote again.
        if not hasattr(self, 'log'):
            return
        for _ in range(2 * ENTRIES):
            for entry in range(ENTRIES):
                self.catch_up(entry)
                self.write_again(entry)
        held = [table.of('s') for table in self.tables]
        fresh = rollouts.DecisionTable()
        for index in range(len(self.log))[-1:]:
            fresh.merge(self.log[index], feeds.Position(9, index), 0.0)
        stages = {item and item.decision.stage for item in held}
        stages.add(fresh.of('s') and fresh.of('s').decision.stage)
        assert len(stages) == 1


TestDecisionMachine = DecisionMachine.TestCase
TestDecisionMachine.settings = hypothesis.settings(
    max_examples=120,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
