"""Claims: a keyed call must not run twice, whatever fails."""

import types

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from returns import pipeline

from dragonflyslip_core import budgets
from dragonflyslip_core import claim_batcher
from dragonflyslip_core import claim_batches
from dragonflyslip_core import claims
from dragonflyslip_core import errors

WALL = 1_700_000_000.0
LIFETIME_S = 3_600.0
FINGERPRINT = b'f' * 8


def key_text(created_s, number=0):
    stamp = f'{int(created_s * 1000):012x}'
    return f'{stamp[:8]}-{stamp[8:]}-7000-8000-{number:012x}'


def make_key(number=0, created_s=WALL):
    text = key_text(created_s, number)
    return claims.parse_key(text, created_s, LIFETIME_S).unwrap()


KEY = make_key()


def claim(entry, number, fingerprint=FINGERPRINT):
    return claims.ClaimRecord('s', KEY.key_hash, fingerprint, entry, number)


def release(entry, number):
    return claims.ReleaseRecord('s', KEY.key_hash, entry, number)


def make_batcher(entry='a', **options):
    bucket = budgets.TokenBucket(10.0, 10.0, tokens=10.0, updated_at=0.0)
    return claim_batcher.ClaimBatcher(entry, bucket, **options)


def apply_records(table, *records, at_s=WALL):
    events = []
    for record in records:
        data = claim_batches.encode_batch(record.entry_id, [record])
        events += claims.apply_claim_record(
            table, table.through + 1, int(at_s * 1000), data
        )
    return events


class TestParseKey:
    @pytest.mark.parametrize(
        ('text', 'valid'),
        [
            (key_text(WALL), True),
            (key_text(WALL).upper(), True),
            (f' "{key_text(WALL)}" ', True),
            (key_text(WALL - 3_600), True),
            (key_text(WALL - 3_601), False),
            (key_text(WALL + 60), True),
            (key_text(WALL + 61), False),
            (key_text(WALL).replace('-7', '-4'), False),
            (key_text(WALL).replace('-8', '-c'), False),
            (key_text(WALL).replace('-', ''), False),
            (key_text(WALL) + '0', False),
            ('', False),
            ('"', False),
        ],
    )
    def test_format_and_age(self, text, valid):
        parsed = claims.parse_key(text, WALL, LIFETIME_S)
        assert pipeline.is_successful(parsed) is valid

    def test_quotes_and_upper_case_do_not_change_the_key(self):
        text = key_text(WALL, 0xABC)
        spellings = [
            claims.parse_key(spelling, WALL, LIFETIME_S).unwrap()
            for spelling in (text, f'"{text.upper()}"')
        ]
        assert spellings[0] == spellings[1]


class TestBatchEncoding:
    RECORDS = (
        claim('a/1', 2**64 - 1),
        release('a/1', 1),
        claims.ClaimRecord('\u00e9', b'k' * 16, b'p' * 8, 'a/1', 0),
    )

    def test_round_trip(self):
        data = claim_batches.encode_batch('a/1', list(self.RECORDS))
        decoded = claim_batches.decode_batch(data).unwrap()
        assert tuple(decoded) == self.RECORDS
        assert (
            claim_batches.decode_batch(
                claim_batches.encode_batch('a/1', [])
            ).unwrap()
            == []
        )

    def test_malformed_batch_is_skipped_and_counted(self):
        data = claim_batches.encode_batch('a/1', list(self.RECORDS))
        malformed = [data[:length] for length in range(len(data))]
        malformed += [data + b'0', b'\x02' + data[1:], data * 400]
        table = claims.ClaimTable()
        for offset, part in enumerate(malformed, start=1):
            assert claims.apply_claim_record(table, offset, 0, part) == []
        assert table.invalid_total == table.through == len(malformed)
        assert table.keys == {}

    @pytest.mark.parametrize('services', [1, 300])
    def test_batches_stay_within_the_size_limit(self, services):
        batcher = make_batcher()
        for number in range(2_000):
            name = f'service-{number % services}-' + 'x' * 100
            batcher.submit(name, make_key(number), FINGERPRINT, False)
        batches = []
        while (batch := batcher.next_batch(0.0)) is not None:
            batches.append(batch)
            batcher.batch_appended(batch.batch_id, len(batches))
        sizes = [len(batch.data) for batch in batches]
        assert max(sizes) <= claim_batches.MAX_BATCH_BYTES
        assert sum(len(batch.records) for batch in batches) == 2_000
        with pytest.raises(errors.RecordError):
            records = [claim('a', number) for number in range(2_000)]
            claim_batches.encode_batch('a', records)


class TestClaimTable:
    @pytest.mark.parametrize(
        ('records', 'won', 'holder'),
        [
            ([claim('a', 1)], [True], ('a', 1)),
            ([claim('a', 1), claim('b', 1)], [True, False], ('a', 1)),
            ([claim('a', 1), claim('a', 1)], [True], ('a', 1)),
            ([claim('a', 1), release('a', 1)], [True], None),
            (
                [claim('a', 1), release('a', 1), claim('b', 1)],
                [True, True],
                ('b', 1),
            ),
            # A repeated append arrives after the release. If it won, a call
            # that was already answered would hold the key.
            ([claim('a', 1), release('a', 1), claim('a', 1)], [True], None),
            (
                [
                    claim('a', 1),
                    claim('b', 1),
                    release('a', 1),
                    claim('b', 1),
                ],
                [True, False],
                None,
            ),
            (
                [
                    claim('a', 1),
                    release('a', 1),
                    claim('b', 1),
                    release('b', 1),
                    claim('a', 1),
                ],
                [True, True],
                None,
            ),
            # Only the holder's own release counts, and only once.
            ([claim('a', 1), release('b', 1)], [True], ('a', 1)),
            ([claim('a', 1), release('a', 2)], [True], ('a', 1)),
            (
                [
                    claim('a', 1),
                    release('a', 1),
                    claim('b', 2),
                    release('a', 1),
                ],
                [True, True],
                ('b', 2),
            ),
            ([release('a', 1), claim('a', 1)], [True], ('a', 1)),
        ],
    )
    def test_first_claim_in_log_order_wins(self, records, won, holder):
        table = claims.ClaimTable()
        events = apply_records(table, *records)
        verdicts = [e for e in events if type(e) is claims.ClaimVerdict]
        assert [verdict.won for verdict in verdicts] == won
        found = table.find('s', KEY).holder
        assert (found and (found.entry_id, found.claim_id)) == holder

    def test_records_are_read_once_and_without_gaps(self):
        table = claims.ClaimTable()
        apply_records(table, claim('a', 1))
        assert claims.apply_claim_record(table, 1, 0, b'') == []
        with pytest.raises(errors.RecordError):
            claims.apply_claim_record(table, 3, 0, b'')
        table.skip_missing(3, WALL)
        # The missing records may have claimed any key created until now.
        assert table.through == 2
        assert not table.covers(make_key(created_s=WALL + 60))
        assert table.covers(make_key(created_s=WALL + 121))

    @pytest.mark.parametrize(
        ('later_s', 'forgotten', 'covered'),
        [
            (LIFETIME_S, 0, True),
            (LIFETIME_S + 189, 0, True),
            (LIFETIME_S + 191, 1, False),
        ],
    )
    def test_expired_key_is_refused_from_then_on(
        self, later_s, forgotten, covered
    ):
        # Claims are kept for 190 s beyond the lifetime: the future limit and
        # two clock differences, 60 s each, and an expiry period of 10 s.
        # The lifetime of a profile may be raised after the claims were
        # dropped; the key must not run again.
        table = claims.ClaimTable()
        apply_records(table, claim('a', 1))
        assert table.expire(WALL + later_s, LIFETIME_S) == forgotten
        assert table.covers(KEY) is covered
        assert (table.find('s', KEY) is None) is not covered

    def test_late_release_keeps_the_key_until_it_has_expired(self):
        table = claims.ClaimTable()
        apply_records(table, claim('a', 1))
        apply_records(table, release('a', 1), at_s=WALL + 100)
        # The log's clock stepped back before this record.
        apply_records(table, claim('b', 1), at_s=WALL - 100)
        for later_s in (200, 289):
            assert table.expire(WALL + LIFETIME_S + later_s, LIFETIME_S) == 0
        # The key is listed in two expiry periods, but dropped only once.
        assert table.expire(WALL + LIFETIME_S + 291, LIFETIME_S) == 1

    def test_new_entry_does_not_cover_keys_dropped_by_the_log(self):
        table = claims.ClaimTable.from_log(5, WALL, 2 * LIFETIME_S)
        assert table.through == 4
        assert table.covers(make_key(created_s=WALL - LIFETIME_S))
        assert not table.covers(make_key(created_s=WALL - 2 * LIFETIME_S))
        assert claims.ClaimTable.from_log(1, WALL, 1.0).covers(KEY)


class TestClaimBatcher:
    """The state of a call after each sequence of events.

    Steps: ``take`` takes a batch, ``write`` appends it to the log, ``ok`` and
    ``lose`` end the append, ``other`` appends a claim of another entry,
    ``skip`` drops unread records, ``read`` reads the log; ``send``,
    ``release`` and ``refuse`` act on the call.
    """

    @pytest.mark.parametrize(
        ('steps', 'state', 'outcome'),
        [
            ('', 'waiting', 'not-run'),
            ('take', 'appending', 'not-run'),
            ('take ok', 'appended', 'not-run'),
            ('take lose', 'unresolved', 'not-run'),
            ('take write ok read', 'held', 'not-run'),
            # The append took effect before its response was lost.
            ('take write lose read', 'held', 'not-run'),
            ('take write lose take write read', 'held', 'not-run'),
            # The log is read before the response to the append arrives.
            ('take write read ok', 'held', 'not-run'),
            ('take write read lose', 'held', 'not-run'),
            ('take other write ok read', 'lost', 'unknown'),
            ('take write ok read send', 'sent', 'unknown'),
            ('take write ok read send release', 'released', 'not-run'),
            ('take write ok read release', 'released', 'not-run'),
            ('take skip write read', 'lost', 'unknown'),
            ('refuse', 'abandoned', 'unknown'),
            ('take refuse write read', 'abandoned', 'unknown'),
        ],
    )
    @pytest.mark.parametrize('first', [True, False])
    def test_states_of_a_call(self, steps, state, outcome, first):
        table, batcher = claims.ClaimTable(), make_batcher()
        call = batcher.submit('s', KEY, FINGERPRINT, first)
        batch, written = None, []
        actions = {
            'ok': lambda: batcher.batch_appended(batch.batch_id, 1),
            'lose': lambda: batcher.batch_lost(batch.batch_id),
            'write': lambda: written.append(batch.data),
            'other': lambda: written.append(
                claim_batches.encode_batch('b', [claim('b', 1)])
            ),
            'skip': lambda: table.skip_missing(9, WALL),
            'send': call.begin_send,
            'release': lambda: batcher.release(call),
            'refuse': lambda: batcher.refuse(call),
        }
        for step in steps.split():
            if step == 'take':
                batch = batcher.next_batch(0.0)
            elif step == 'read':
                for data in written:
                    offset = table.through + 1
                    events = claims.apply_claim_record(table, offset, 0, data)
                    batcher.observe(table, events)
            else:
                actions[step]()
        assert call.state.value == state
        undecided = state in ('waiting', 'appending', 'appended', 'unresolved')
        if undecided and not first:
            # An earlier attempt through another entry may have run.
            outcome = 'unknown'
        if state == 'held':
            assert call.begin_send() and not call.begin_send()
            call.state = claim_batcher.ClaimState.HELD
        assert batcher.refuse(call).value == outcome
        assert not call.begin_send()
        # A holder that gave up must release its claim.
        held = table.find('s', KEY)
        has_given_up = call.state.value in ('released', 'abandoned')
        if held is not None and has_given_up and held.holder.entry_id == 'a':
            events = apply_records(table, *batcher.next_batch(0.0).records)
            batcher.observe(table, events)
            assert table.find('s', KEY).holder is None
            assert not batcher.releases

    def test_release_is_only_for_a_call_that_was_held(self):
        batcher = make_batcher()
        call = batcher.submit('s', KEY, FINGERPRINT, True)
        with pytest.raises(errors.RecordError):
            batcher.release(call)

    def test_appends_stay_within_the_budget_and_are_then_grouped(self):
        bucket = budgets.TokenBucket(rate=8.0, burst=1.0)
        batcher = claim_batcher.ClaimBatcher('a', bucket, max_appends=2)
        sizes = {}
        for step in range(128):
            now = step / 64
            batcher.submit('s', make_key(step), FINGERPRINT, False)
            assert batcher.delay(now) <= 1 / 8
            batch = batcher.next_batch(now)
            if batch is not None:
                sizes[step] = len(batch.records)
                batcher.batch_appended(batch.batch_id, step)
        assert len(sizes) == 15
        assert set(list(sizes.values())[1:]) == {8}

    def test_appends_in_flight_and_waiting_claims_are_limited(self):
        batcher = make_batcher(max_appends=1, max_waiting=2)
        assert batcher.delay(0.0) == float('inf')
        calls = [
            batcher.submit('s', make_key(number), FINGERPRINT, False)
            for number in range(3)
        ]
        assert [call is None for call in calls] == [False, False, True]
        first = batcher.next_batch(0.0)
        batcher.submit('s', make_key(4), FINGERPRINT, False)
        assert batcher.next_batch(0.0) is None
        assert batcher.delay(0.0) == float('inf')
        batcher.batch_lost(first.batch_id)
        again = batcher.next_batch(0.0)
        assert again.records[:2] == first.records

    def test_expired_claims_and_releases_are_forgotten(self):
        table, batcher = claims.ClaimTable(), make_batcher()
        call = batcher.submit('s', KEY, FINGERPRINT, True)
        batcher.next_batch(0.0)
        batcher.releases[9] = release('a', 9)
        table.floor_s = WALL + 1
        batcher.forget(table)
        assert not batcher.calls and not batcher.releases
        assert call.state is claim_batcher.ClaimState.ABANDONED


LIFETIMES = (600.0, 2_400.0)
LOG_RETENTION_S = 5_000.0


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Entries, a log and callers; an entry may be killed after every step.

    An entry that no rule picks is paused: any time may pass between two of
    its steps. The model counts runs at the target and knows which callers
    still wait. Most rules choose among the possible actions, since random
    steps would seldom make progress otherwise.

    Guards against a key that runs twice, a caller that is told ``not-run``
    after a run, and a key that stays held by a call that gave up.
    """

    pick = st.integers(0, 7)

    def __init__(self):
        super().__init__()
        self.log, self.next, self.first = [], 1, 1
        self.wall = WALL
        self.lifetime_s = LIFETIMES[0]
        self.entries, self.started = [], 0
        self.keys, self.attempts, self.runs = [], {}, {}
        self.appends, self.late_appends = [], []
        self.start_entry()
        self.start_entry()
        self.new_key(0.0)

    def start_entry(self):
        self.started += 1
        name = f'e/{self.started}'
        bucket = budgets.TokenBucket(1e6, 1e6, tokens=1e6, updated_at=0.0)
        # Clocks differ by up to a minute.
        skew = 30.0 if self.started % 2 else -30.0
        entry = types.SimpleNamespace(
            name=name,
            skew=skew,
            batcher=claim_batcher.ClaimBatcher(name, bucket),
            table=claims.ClaimTable.from_log(
                self.first, self.wall + skew, LOG_RETENTION_S
            ),
            calls=[],
        )
        self.entries.append(entry)
        self.read(entry, 99)

    def write(self, data):
        self.log.append((self.next, int(self.wall * 1000), data))
        self.next += 1

    def read(self, entry, limit):
        entry.table.skip_missing(self.first, self.wall + entry.skew)
        unread = [r for r in self.log if r[0] > entry.table.through]
        for record in unread[:limit]:
            events = claims.apply_claim_record(entry.table, *record)
            entry.batcher.observe(entry.table, events)

    def calls(self, *states):
        return [
            (entry, call)
            for entry in self.entries
            for call in entry.calls
            if not states or call.claim.state in states
        ]

    def new_key(self, skew):
        self.keys.append(key_text(self.wall + skew, len(self.keys)))

    @stateful.rule(skew=st.sampled_from([-30.0, 30.0, 85.0]))
    def key_is_made(self, skew):
        self.new_key(skew)

    @stateful.rule(
        indexes=st.sampled_from([(0,), (1,), (0, 1)]),
        back=st.sampled_from([1, 1, 2]),
        gives_up=st.booleans(),
    )
    def attempt(self, indexes, back, gives_up):
        """A caller sends a call, or stops waiting and sends it again."""
        text = self.keys[-min(back, len(self.keys))]
        for index in indexes:
            earlier = self.attempts.get(text, [])
            if any(call.listening for call in earlier) and not gives_up:
                return
            for call in earlier:
                call.listening = False
            self.submit(self.entries[index], text)

    def submit(self, entry, text):
        wall = self.wall + entry.skew
        parsed = claims.parse_key(text, wall, self.lifetime_s)
        if not pipeline.is_successful(parsed):
            return
        key = parsed.unwrap()
        found = entry.table.find('s', key)
        if not entry.table.covers(key) or (found and found.holder):
            return
        first = text not in self.attempts
        submitted = entry.batcher.submit('s', key, FINGERPRINT, first)
        call = types.SimpleNamespace(
            claim=submitted, text=text, listening=True
        )
        entry.calls.append(call)
        self.attempts.setdefault(text, []).append(call)

    def start_append(self, entry):
        batch = entry.batcher.next_batch(0.0)
        if batch is not None:
            self.appends.append((entry, batch))

    @stateful.rule()
    def start_some_appends(self):
        self.start_appends()

    def start_appends(self):
        for entry in self.entries:
            self.start_append(entry)

    @stateful.precondition(lambda self: self.appends)
    @stateful.rule(
        pick=pick,
        result=st.sampled_from(
            ['answered', 'answered', 'twice', 'response lost', 'lost', 'late']
        ),
    )
    def end_some_append(self, pick, result):
        self.end_append(pick, result)

    def end_append(self, pick, result):
        entry, batch = self.appends.pop(pick % len(self.appends))
        offset = self.next
        if result not in ('lost', 'late'):
            self.write(batch.data)
        if result in ('twice', 'late'):
            self.late_appends.append(batch.data)
        if result in ('answered', 'twice'):
            entry.batcher.batch_appended(batch.batch_id, offset)
        else:
            entry.batcher.batch_lost(batch.batch_id)

    @stateful.precondition(lambda self: self.late_appends)
    @stateful.rule(pick=pick)
    def late_append_arrives(self, pick):
        self.write(self.late_appends.pop(pick % len(self.late_appends)))

    @stateful.precondition(
        lambda self: any(e.table.through < self.next - 1 for e in self.entries)
    )
    @stateful.rule(pick=pick, limit=st.sampled_from([1, 99]))
    def read_log(self, pick, limit):
        behind = [e for e in self.entries if e.table.through < self.next - 1]
        self.read(behind[pick % len(behind)], limit)

    @stateful.precondition(lambda self: self.calls())
    @stateful.rule(
        pick=pick,
        result=st.sampled_from(['runs', 'breaks', 'not run']),
        any_state=st.booleans(),
    )
    def send_some(self, pick, result, any_state):
        self.send(pick, result, any_state)

    def send(self, pick, result, any_state):
        """Send a held call; check and write are one event loop step."""
        calls = self.calls(*(() if any_state else ('held',)))
        if not calls:
            return
        entry, call = calls[pick % len(calls)]
        if not call.claim.begin_send():
            return
        if result == 'not run':
            self.receive_outcome(call, entry.batcher.release(call.claim))
            return
        self.runs[call.text] = self.runs.get(call.text, 0) + 1
        if result == 'breaks':
            self.receive_outcome(call, entry.batcher.refuse(call.claim))
        call.listening = False

    @stateful.precondition(lambda self: self.calls())
    @stateful.rule(pick=pick, only_open=st.booleans())
    def refuse(self, pick, only_open):
        """A deadline passes while the call is in any state."""
        states = ('waiting', 'appending', 'appended', 'unresolved', 'held')
        calls = self.calls(*(states if only_open else ()))
        if calls:
            entry, call = calls[pick % len(calls)]
            self.receive_outcome(call, entry.batcher.refuse(call.claim))

    def receive_outcome(self, call, outcome):
        if call.listening and outcome == 'not-run':
            assert not self.runs.get(call.text)
        call.listening = False

    @stateful.rule(result=st.sampled_from(['answered', 'twice']))
    def append_and_read_all(self, result):
        self.start_appends()
        while self.appends:
            self.end_append(0, result)
        for entry in self.entries:
            self.read(entry, 99)

    @stateful.rule(result=st.sampled_from(['runs', 'breaks', 'not run']))
    def send_all(self, result):
        while self.calls('held'):
            self.send(0, result, False)

    @stateful.rule(index=st.integers(0, 1))
    def kill(self, index):
        killed = self.entries.pop(index)
        for call in killed.calls:
            call.listening = False
        # Appends in flight may still reach the log after the kill.
        self.late_appends += [b.data for e, b in self.appends if e is killed]
        self.appends = [a for a in self.appends if a[0] is not killed]
        self.start_entry()

    @stateful.rule(
        step=st.sampled_from([1.0, 500.0, 800.0, 3_000.0]),
        lifetime_s=st.sampled_from(LIFETIMES),
    )
    def advance(self, step, lifetime_s):
        """Time passes, then an operator may change the key lifetime."""
        self.wall += step
        for entry in self.entries:
            entry.table.expire(self.wall + entry.skew, self.lifetime_s)
            entry.batcher.forget(entry.table)
        oldest = (self.wall - LOG_RETENTION_S) * 1000
        while self.log and self.log[0][1] < oldest:
            self.first = self.log.pop(0)[0] + 1
        self.lifetime_s = lifetime_s

    @stateful.invariant()
    def each_key_runs_at_most_once(self):
        assert all(count == 1 for count in self.runs.values())

    @stateful.invariant()
    def calls_that_gave_up_release_their_claims(self):
        for entry, call in self.calls('released', 'abandoned'):
            found = entry.table.find('s', call.claim.key)
            record = call.claim.record
            if not entry.table.covers(call.claim.key):
                continue  # The key is refused, whatever claim holds it.
            if found is not None and found.holder is not None:
                holder = (found.holder.entry_id, found.holder.claim_id)
                if holder == (entry.name, record.claim_id):
                    assert record.claim_id in entry.batcher.releases


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=500,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)
