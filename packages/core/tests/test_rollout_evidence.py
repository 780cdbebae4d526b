"""Evidence of rollouts: reports that arrive in any way, and the judge."""

import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from dragonflyslip_core import errors
from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts
from dragonflyslip_core.rollouts import judging

ORDER = feeds.Position(0, 7)
FIRST, LAST = rollouts.Stage.SHARE_8, rollouts.Stage.LAST
KEYS = [
    rollouts.CellKey(FIRST, route, target)
    for route in ('r0', 'r1')
    for target in (None, 'a', 'b')
]


def _merged(reporters):
    """Return what all counters together have counted."""
    totals = {}
    for counter in reporters:
        for key, counts in counter.report(0, FIRST, 0).cells.items():
            totals.setdefault(key, rollouts.Counts()).add(counts)
    return totals


class TestEvidenceTable:
    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(strategies.data())
    def test_candidates_agree_whatever_happens_to_reports(self, data):
        # Guards against responses counted twice or not at all when reports
        # are lost, repeated, overtaken, or forwarded, or an entry restarts.
        rng = random.Random(data.draw(strategies.integers(0, 2**16)))
        tables = [rollouts.EvidenceTable(ORDER) for _ in range(3)]
        counters = [rollouts.ReportCounter('g', 1, ORDER)]
        delayed = []
        for _ in range(40):
            counter = counters[-1]
            table = rng.choice(tables)
            action = rng.randrange(6)
            if action <= 1:
                counter.record(rng.choice(KEYS), rng.random() < 0.2, 0.05)
            elif action == 2:
                known = table.acknowledged('g', counter.incarnation)
                report = counter.report(known, FIRST, 0)
                delayed.append(report)
                if rng.random() < 0.6:
                    table.merge(report, 0.0)
            elif action == 3 and delayed:
                table.merge(rng.choice(delayed), 0.0)
            elif action == 4:
                other = rng.choice(tables)
                for report in table.forward(other.acknowledgements()):
                    other.merge(report, 0.0)
            elif rng.random() < 0.2:
                counters.append(
                    rollouts.ReportCounter('g', len(counters) + 1, ORDER)
                )
        # One candidate gets all, the others what it forwards.
        for counter in counters:
            known = tables[0].acknowledged('g', counter.incarnation)
            tables[0].merge(counter.report(known, FIRST, 0), 0.0)
        for table in tables[1:]:
            for report in tables[0].forward(table.acknowledgements()):
                table.merge(report, 0.0)
        for table in tables:
            assert table.totals == _merged(counters)

    @pytest.mark.parametrize(
        ('stage', 'unfinished', 'age_s', 'gone', 'blocks'),
        [
            (LAST, 0, 0.0, False, False),
            (LAST, 1, 0.0, False, True),
            (FIRST, 0, 0.0, False, True),
            # On hold, or without advice.
            (rollouts.Stage.HELD, 0, 4.0, False, True),
            (FIRST, 3, 4.6, False, False),
            (FIRST, 3, 0.0, True, False),
        ],
    )
    def test_entry_that_may_use_old_versions_blocks_the_end(
        self, stage, unfinished, age_s, gone, blocks
    ):
        # Guards against old targets that are stopped under requests, and
        # against a rollout that waits for an entry that has ended.
        table = rollouts.EvidenceTable(ORDER)
        for incarnation, state in ((9, (FIRST, 9)), (2, (stage, unfinished))):
            counter = rollouts.ReportCounter('g', incarnation, ORDER)
            table.merge(counter.report(0, *state), 0.0)
        late = rollouts.ReportCounter('g', 9, ORDER).report(0, FIRST, 5)
        table.merge(late, 0.0)
        names = table.unconfirmed(LAST, age_s, 4.5, {'g'} if gone else ())
        assert names == (['g'] if blocks else [])

    def test_report_of_another_order_is_ignored(self):
        table = rollouts.EvidenceTable(ORDER)
        counter = rollouts.ReportCounter('g', 1, feeds.Position(0, 8))
        assert not table.merge(counter.report(0, FIRST, 0), 0.0)


class TestCompactReport:
    def _report(self, routes=4, targets=8):
        counter = rollouts.ReportCounter('gateway-17', 2**63, ORDER)
        rng = random.Random(1)
        names = [None, *(f'i-{n:010x}' for n in range(targets))]
        for _ in range(4_000):
            key = rollouts.CellKey(
                FIRST, f'route-{rng.randrange(routes)}', rng.choice(names)
            )
            failed, took_s = rng.random() < 0.01, rng.lognormvariate(-3, 0.6)
            counter.record(key, failed, took_s)
        return counter.report(0, FIRST, 3)

    def test_report_is_short(self):
        # Guards against reports that fill a link of 5 Mbit/s, four times a
        # second from each of 1,000 gateways.
        report = self._report()
        assert len(report.cells) == 36
        compact = report.compact()
        assert len(msgspec.msgpack.encode(compact)) < 2_000
        assert compact.expand() == report

    @pytest.mark.parametrize(
        'row',
        [
            (),
            (1, 0, 0, 0),
            (9, 0, 0, 0, 0),
            (1, 5, 0, 0, 0),
            (1, 0, 9, 0, 0),
            (1, -1, 0, 0, 0),
            (1, 0, 0, -1, 0),
            (1, 0, 0, 0, 0, -3),
            (1, 0, 0, 0, 30, *range(9)),
        ],
    )
    def test_malformed_row_is_an_error(self, row):
        # Guards against a peer of another version that ends a gateway.
        compact = self._report(1, 1).compact()._replace(rows=(row,))
        with pytest.raises(errors.RecordError):
            compact.expand()


def _totals(new, control, targets=4, stage=FIRST, control_stage=FIRST):
    """Return counts; ``new`` and ``control`` are good, failed and slow.

    The new ones are spread evenly over targets, or over those given.
    """
    totals = {}

    def add(key, index, took_s):
        counts = totals.setdefault(key, rollouts.Counts())
        counts.record(index == 1, took_s)

    names = targets if isinstance(targets, list) else list(range(targets))
    for index, (of_new, of_control) in enumerate(
        zip(new, control, strict=True)
    ):
        took_s = 0.2 if index == 2 else 0.05
        for number in range(of_new):
            target = f't{names[number % len(names)]}'
            add(rollouts.CellKey(stage, 'r', target), index, took_s)
        for _ in range(of_control):
            add(rollouts.CellKey(control_stage, 'r', None), index, took_s)
    return totals


class TestJudge:
    @pytest.mark.parametrize(
        ('new', 'control', 'reason'),
        [
            # Good, failed and slow responses of the version and of control.
            ((100, 0, 0), (1000, 0, 0), None),
            ((95, 6, 0), (1000, 0, 0), 'more-failures'),
            ((97, 3, 0), (1000, 0, 0), None),
            ((90, 10, 0), (900, 100, 0), None),
            ((70, 30, 0), (900, 100, 0), 'more-failures'),
            # The old version fails.
            ((100, 0, 0), (500, 500, 0), None),
            # A difference that is significant but too small to matter.
            ((4_950, 50, 0), (50_000, 50, 0), None),
            ((100, 0, 12), (1000, 0, 10), 'slower'),
            ((100, 0, 4), (1000, 0, 10), None),
            # Without a median of the control.
            ((0, 0, 30), (15, 0, 0), None),
        ],
    )
    def test_verdict(self, new, control, reason):
        # Guards against bad versions that succeed and good ones that do not.
        verdict = rollouts.judge(_totals(new, control))
        assert verdict.bad is (reason is not None)
        assert verdict.reason == reason

    @pytest.mark.parametrize(
        ('targets', 'bad'),
        [
            ([0], False),
            ([0, 1], True),
        ],
    )
    def test_failures_of_few_machines(self, targets, bad):
        # Guards against a version that is rolled back for a bad machine.
        totals = _totals((120, 0, 0), (1500, 0, 0), 4)
        for key, counts in _totals((0, 20, 0), (0, 0, 0), targets).items():
            totals[key].add(counts)
        assert rollouts.judge(totals).bad is bad

    @pytest.mark.parametrize(
        ('new', 'load', 'bad'),
        [
            ((200, 40, 0), 1.0, True),
            # The same failures in a burst may be its own.
            ((200, 40, 0), 3.0, False),
            ((100, 140, 0), 3.0, True),
            ((100, 0, 140), 1.0, True),
            ((100, 0, 140), 3.0, False),
            ((100, 0, 140), None, False),
            ((200, 0, 40), 1.0, False),
        ],
    )
    def test_last_stage_is_compared_with_earlier_control(self, new, load, bad):
        # Guards against a good version that is judged bad for a burst in the
        # last stage, which has no control.
        totals = _totals(new, (1500, 0, 0), 12, LAST)
        assert rollouts.judge(totals, load).bad is bad

    @pytest.mark.parametrize('excess', [0.0, 0.2])
    def test_false_alarms_and_needed_responses(self, excess):
        # Guards against false alarms of repeated looks: of 150 good versions
        # none is judged bad in 1,000 responses, and each that has a fifth of
        # bad responses is before 50 of them.
        rng = random.Random(3)
        for _ in range(150):
            totals, bad = {}, 0
            while sum(c.responses for c in totals.values()) < 1_000:
                for _ in range(25):
                    is_new = rng.random() < 0.08
                    target = f't{rng.randrange(4)}' if is_new else None
                    failed = rng.random() < 0.01 + excess * is_new
                    bad += failed and is_new
                    key = rollouts.CellKey(FIRST, 'r', target)
                    totals.setdefault(key, rollouts.Counts()).record(
                        failed, rng.lognormvariate(-3.0, 0.4)
                    )
                verdict = judging.judge(totals)
                if verdict.bad:
                    break
            assert verdict.bad is (excess > 0.0)
            assert bad < 50
