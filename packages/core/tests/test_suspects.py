"""Crash marks: a request that crashes targets is refused, and no other."""

import itertools
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from dragonflyslip_core import outcomes
from dragonflyslip_core import suspects
from dragonflyslip_core import targets

TTL = 600.0


def _target(name, domain='d1'):
    return targets.Target(name, 'casebook', '127.0.0.1', 1, domain)


def _crash(table, name, boot, fingerprints, at, domain='d1'):
    """Crash a target with requests in flight; return the marks."""
    for fingerprint in fingerprints or [None]:
        target = _target(name, domain)
        table.connection_lost(target, boot, fingerprint, TTL, at)
    return table.connection_refused(name, at)


class TestFingerprint:
    @pytest.mark.parametrize('size', [0, 1, 4095, 4096, 4097, 100_000])
    @pytest.mark.parametrize('length_known', [True, False])
    def test_chunks_do_not_matter(self, size, length_known):
        """The same upload in other chunks must have the same fingerprint."""
        body = random.Random(size).randbytes(size)
        values = set()
        for step in (1000, 4096, 100_000):
            length = size if length_known else None
            found = suspects.StreamFingerprint('s', 'PUT', '/', '', length)
            for start in range(0, size, step):
                found.update(body[start : start + step])
            values.add(found.value())
            assert found.complete or (not length_known and size < 4096)
        assert len(values) == 1

    def test_every_field_counts(self):
        """Requests that differ must not share a fingerprint."""
        base = ('s', 'GET', '/a', 'b=1', 3, b'abc')
        other = ('t', 'PUT', '/ab', '=1', None, b'abd')
        cases = [base]
        for place, value in enumerate(other):
            cases.append((*base[:place], value, *base[place + 1 :]))
        # The same bytes, split differently between two fields.
        cases.append(('s', 'GET', '/ab', '=1', 3, b'abc'))
        values = {suspects.key_fingerprint(s, 'k') for s in 'st'}
        for *fields, body in cases:
            found = suspects.StreamFingerprint(*fields)
            found.update(body)
            values.add(found.value())
        assert len(values) == len(cases) + 2


class TestCrash:
    def test_two_crashes_make_a_suspect_until_it_expires(self):
        """One crash may be a coincidence; a suspicion must expire."""
        table = suspects.SuspectTable()
        assert _crash(table, 'a', '1', ['x', 'y'], 0)[0].age_s == 0
        assert not table.is_suspect('x', 0)
        _crash(table, 'b', '1', ['x', 'z'], 100)
        assert [s.fingerprint for s in table.list(100)] == ['x']
        refusal = table.refusal('x', outcomes.Outcome.UNKNOWN, 100)
        assert (refusal.kind, refusal.retry_after_s) == (
            'suspect-request',
            600,
        )
        assert table.is_suspect('x', 699)
        assert table.refusal('x', outcomes.Outcome.UNKNOWN, 700) is None

    def test_requests_of_one_crash_lost_after_its_confirmation(self):
        """Losses of connections to one crashed target are seen one by one."""
        table = suspects.SuspectTable()
        _crash(table, 'a', '1', ['x'], 0)
        late = table.connection_lost(_target('a'), '1', 'y', TTL, 0.1)
        assert late is not None and set(late.fingerprints) == {'x', 'y'}
        _crash(table, 'b', '1', ['y'], 10)
        assert table.is_suspect('y', 10)

    @pytest.mark.parametrize(
        ('boot', 'at', 'crashed'),
        [('1', 1.0, False), ('2', 1.0, True), ('2', 6.0, False)],
    )
    def test_only_a_new_boot_confirms(self, boot, at, crashed):
        """A lost connection alone is not a crash."""
        table = suspects.SuspectTable()
        table.connection_lost(_target('a'), '1', 'x', TTL, 0.0)
        assert bool(table.boot_seen('a', boot, at)) is crashed
        assert not table.connection_refused('a', at)

    def test_mark_from_a_peer_confirms_own_losses(self):
        """Requests of this entry in flight at the same crash must count."""
        table = suspects.SuspectTable()
        table.connection_lost(_target('a'), '1', 'x', TTL, 0.0)
        mark = suspects.CrashMark('a', '1', 'd1', 0.1, TTL, ('p',))
        assert table.merge(mark, 0.2) and not table.merge(mark, 0.2)
        _crash(table, 'b', '1', ['x'], 10)
        assert table.is_suspect('x', 10)

    def test_earliest_time_of_a_crash_counts(self):
        """Delayed copies of a mark must not prolong a suspicion."""
        table = suspects.SuspectTable()
        for name, age in [('a', 5), ('b', 5), ('b', 9), ('b', 0)]:
            mark = suspects.CrashMark(name, '1', 'd1', age, TTL, ('x',))
            table.merge(mark, 10)
        assert [s.expires_in_s for s in table.list(10)] == [TTL - 5]
        assert [m.age_s for m in table.marks(10, 2)] == [5, 9]


class TestExclusion:
    @pytest.mark.parametrize(
        ('crashes', 'suspect'),
        [
            # Target, domain and time of each crash.
            ([('a', 'd1', 0), ('b', 'd1', 0.5), ('c', 'd1', 1.0)], False),
            ([('a', 'd1', 0), ('b', 'd1', 0.5), ('c', 'd1', 1.1)], True),
            ([('a', 'd1', 0), ('b', 'd1', 0.5), ('c', 'd2', 0.6)], True),
            ([('a', 'd1', 0), ('a', 'd1', 0.5), ('b', 'd1', 0.6)], True),
        ],
    )
    def test_failed_domain(self, crashes, suspect):
        """Requests in flight in a failed domain must not be refused."""
        table = suspects.SuspectTable()
        for number, (name, domain, at) in enumerate(crashes):
            _crash(table, name, str(number), ['x'], at, domain)
        assert table.is_suspect('x', 2) is suspect

    @pytest.mark.parametrize(
        ('last', 'at', 'suspect'),
        [('r', 50, False), ('q', 50, True), ('r', 61, True)],
    )
    def test_target_that_fails_whatever_it_is_sent(self, last, at, suspect):
        """Requests must not be refused because of a faulty target."""
        table = suspects.SuspectTable()
        _crash(table, 'b', '1', ['x'], 0)
        for boot, request, when in [('1', 'x', 0), ('2', 'q', 30)]:
            _crash(table, 'a', boot, [request], when)
        _crash(table, 'a', '3', [last], at)
        assert table.is_suspect('x', 70) is suspect

    def test_late_loss_ends_the_exclusion(self):
        """A request that two of the crashes have in common must be refused."""
        table = suspects.SuspectTable()
        _crash(table, 'b', '1', ['x'], 0)
        for boot, request in [('1', 'x'), ('2', 'q'), ('3', 'r')]:
            _crash(table, 'a', boot, [request], 10 * int(boot))
        assert not table.is_suspect('x', 30)
        table.connection_lost(_target('a'), '3', 'x', TTL, 30)
        assert table.is_suspect('x', 30)


class TestClearedRequest:
    @pytest.mark.parametrize('how', ['completed', 'lift'])
    def test_only_later_crashes_count(self, how):
        """Requests that completed or were lifted must not stay refused."""
        table = suspects.SuspectTable()
        marks = _crash(table, 'a', '1', ['x'], 0)
        marks += _crash(table, 'b', '1', ['x'], 1)
        getattr(table, how)('x', 2)
        for mark in marks:
            table.merge(mark, 2)
        assert not table.is_suspect('x', 2)
        _crash(table, 'a', '2', ['x'], 3)
        assert not table.is_suspect('x', 3)
        _crash(table, 'b', '2', ['x'], 4)
        assert table.is_suspect('x', 4)


class TestBounds:
    def test_marks_rotate_through_heartbeats(self):
        """A heartbeat carries few marks, but peers must receive all."""
        table = suspects.SuspectTable()
        for number in range(5):
            _crash(table, f't{number}', '1', ['x'], 100.0 * number)
        seen = [m.target_id for _ in range(5) for m in table.marks(500, 2)]
        assert sorted(seen) == sorted(f't{n}' for n in range(5) for _ in '12')
        assert table.marks(1e9, 2) == ()

    def test_crashes_are_bounded(self, monkeypatch):
        """Marks from a faulty peer must not exhaust the memory."""
        monkeypatch.setattr(suspects, 'MAX_CRASHES', 8)
        table = suspects.SuspectTable()
        for number in range(100):
            mark = suspects.CrashMark(str(number), '1', 'd', 0, TTL, ('x',))
            table.merge(mark, number)
        assert len(table.marks(100, 1000)) == 8

    @pytest.mark.parametrize(
        ('age', 'ttl'),
        [(-1, TTL), (float('nan'), TTL), (1, 0), (1, float('inf')), (9e9, 9)],
    )
    def test_bad_mark_is_ignored(self, age, ttl):
        """A mark from the future would never expire."""
        mark = suspects.CrashMark('a', '1', 'd', age, ttl, ('x',))
        assert not suspects.SuspectTable().merge(mark, 1e6)


class TestOrder:
    """The order in which an entry learns of crashes must not matter."""

    def test_simultaneous_crashes(self):
        marks = [
            suspects.CrashMark('c', boot, 'd1', 0.0, TTL, fingerprints)
            for boot, fingerprints in (
                ('0', ('y',)),
                ('1', ()),
                ('2', ()),
                ('3', ('y',)),
            )
        ]
        verdicts = set()
        for order in itertools.permutations(marks):
            table = suspects.SuspectTable()
            for mark in order:
                table.merge(mark, 0.0)
            verdicts.add(table.is_suspect('y', 0.0))
        assert len(verdicts) == 1


class SuspectMachine(stateful.RuleBasedStateMachine):
    """Two entries that exchange marks agree with a model of the rules.

    Guards against suspicions that depend on the order of marks, that are
    missed or wrong, or that outlast their lifetime.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.tables = [suspects.SuspectTable(), suspects.SuspectTable()]
        self.crashes = {}
        self.lifted = {}

    @stateful.rule(
        entry=strategies.integers(0, 1),
        name=strategies.sampled_from('abcd'),
        boot=strategies.integers(0, 4),
        lost=strategies.sets(strategies.sampled_from('xyz'), max_size=2),
    )
    def crash(self, entry, name, boot, lost):
        key = (name, str(boot))
        at, seen = self.crashes.setdefault(key, (self.now, set()))
        # A target to which both entries lose connections crashes once.
        if self.now - at > 0.1:
            return
        seen |= lost
        domain = 'd1' if name < 'd' else 'd2'
        for mark in _crash(
            self.tables[entry], name, str(boot), lost, self.now, domain
        ):
            self.tables[1 - entry].merge(mark, self.now)

    @stateful.rule(fingerprint=strategies.sampled_from('xyz'))
    def lift(self, fingerprint):
        self.lifted[fingerprint] = self.now
        for table in self.tables:
            table.lift(fingerprint, self.now)

    @stateful.rule(
        step=strategies.sampled_from([0.125, 0.5, 25.0, 300.0, 601.0])
    )
    def advance(self, step):
        self.now += step

    def excluded(self, key):
        at = self.crashes[key][0]
        times = sorted((t, k) for k, (t, _) in self.crashes.items())
        domain = [(t, k) for t, k in times if (k[0] < 'd') == (key[0] < 'd')]
        for start, _ in domain:
            window = [k for t, k in domain if start <= t <= start + 1.0]
            if key in window and len({name for name, _ in window}) >= 3:
                return True
        own = [(t, k) for t, k in times if k[0] == key[0]]
        for run in zip(own, own[1:], own[2:], strict=False):
            sets = [self.crashes[k][1] for _, k in run]
            if (
                run[0][0] <= at <= run[2][0]
                and run[2][0] - run[0][0] <= 60
                and key in [k for _, k in run]
                and not any(a & b for a, b in itertools.combinations(sets, 2))
            ):
                return True
        return False

    def expected(self, fingerprint):
        since = self.lifted.get(fingerprint, -1.0)
        times = sorted(
            at
            for key, (at, seen) in self.crashes.items()
            if fingerprint in seen and at > since and not self.excluded(key)
        )
        return any(
            b - a <= TTL and self.now < b + TTL
            for a, b in itertools.pairwise(times)
        )

    @stateful.invariant()
    def both_entries_follow_the_rules(self):
        for entry, table in enumerate(self.tables):
            for mark in table.marks(self.now, 1000):
                self.tables[1 - entry].merge(mark, self.now)
        for fingerprint in 'xyz':
            expected = self.expected(fingerprint)
            for table in self.tables:
                assert table.is_suspect(fingerprint, self.now) == expected


TestSuspectMachine = SuspectMachine.TestCase
TestSuspectMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=100
)
