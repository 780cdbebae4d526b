"""Checkpoints: no accepted change is lost.

Guards against the loss of changes when log records expire, entries restart
or checkpoints are written concurrently.
"""

import uuid

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from returns import pipeline

from dragonflyslip_core import changes
from dragonflyslip_core import checkpoints
from dragonflyslip_core import config
from dragonflyslip_core import models

RETENTION_S = 4_000


def profile_record(number, name, version, slots):
    return changes.encode_change(
        changes.ConfigChange(
            str(uuid.UUID(int=number)),
            'ana',
            number,
            changes.Kind.PROFILE,
            name,
            version,
            models.ProfileModel(slots=slots),
        )
    )


class Log:
    """In-memory log whose clock and record expiry the test controls."""

    def __init__(self):
        self.records = []
        self.next = 1
        self.first = 1
        self.wall = 0

    def append(self, data):
        self.records.append(
            checkpoints.LogRecord(self.next, self.wall * 1000, data)
        )
        self.next += 1

    def expire(self):
        oldest = (self.wall - RETENTION_S) * 1000
        while self.records and self.records[0].at_ms < oldest:
            self.first = self.records.pop(0).offset + 1


def state_after(*records):
    state = config.ConfigState()
    for offset, record in enumerate(records, start=1):
        config.apply_record(state, offset, record)
    return state


A1 = profile_record(1, 'a', 0, 1)
A2 = profile_record(2, 'a', 1, 2)
A3 = profile_record(3, 'a', 2, 3)
STALE = checkpoints.make_checkpoint(state_after(A1))
NEWER = checkpoints.make_checkpoint(state_after(A1, A2))


class TestBootstrap:
    @pytest.mark.parametrize(
        ('first', 'data', 'slots'),
        [
            (1, [A1, A2, A3], 3),
            # A stale checkpoint at the end does not replace newer changes.
            (1, [A1, A2, A3, STALE], 3),
            (2, [A2, A3, STALE], 3),
            (3, [A3, NEWER, STALE], 3),
            # The checkpoint leaves a gap: record 2 has expired.
            (3, [A3, STALE], None),
            (4, [NEWER], None),
            (3, [A3], None),
            # The content does not match the digest.
            (3, [A3, NEWER.replace(b'"slots":2', b'"slots":9')], None),
            (2, [A2, NEWER.replace(b'"slots":2', b'"slots":9'), STALE], 2),
            # Claims to cover records that come after it.
            (2, [NEWER, A3], None),
        ],
    )
    def test_newest_checkpoint_without_a_gap_is_the_start(
        self, first, data, slots
    ):
        records = [
            checkpoints.LogRecord(first + index, 0, item)
            for index, item in enumerate(data)
        ]
        started = checkpoints.bootstrap(first, records)
        if slots is None:
            assert not pipeline.is_successful(started)
        else:
            item = started.unwrap().items[changes.Kind.PROFILE]['a']
            assert item.change.body.slots == slots

    def test_loaded_checkpoint_is_written_as_the_same_bytes(self):
        loaded = checkpoints.load_checkpoint(NEWER).unwrap()
        assert checkpoints.make_checkpoint(loaded) == NEWER

    def test_checkpoint_in_the_log_does_not_change_the_items(self):
        other = checkpoints.make_checkpoint(
            state_after(A1, profile_record(2, 'a', 1, 9))
        )
        for data, reason in (
            (NEWER, 'checkpoint'),
            (STALE, 'checkpoint'),
            (other, 'checkpoint-mismatch'),
        ):
            state = state_after(A1, A2)
            assert config.apply_record(state, 3, data).reason == reason
            assert state.items == state_after(A1, A2).items

    def test_older_snapshot_of_a_peer_has_no_effect(self):
        current = state_after(A1, A2)
        assert checkpoints.adopt_snapshot(current, STALE).unwrap() is current
        assert not pipeline.is_successful(checkpoints.adopt_snapshot(None, A1))


class TestSchedule:
    @pytest.mark.parametrize(
        ('wall', 'rank', 'header', 'due'),
        [
            (1_000, 0, None, False),
            (1_001, 0, None, True),
            (1_001, 1, None, False),
            (1_003, 1, None, True),
            # This checkpoint covers all records before it, so its age
            # counts from its own record.
            (1_400, 0, (2, 400), False),
            (1_401, 0, (2, 400), True),
            # The age of a late checkpoint is that of the first record that
            # it does not cover.
            (1_301, 0, (1, 400), True),
            # A checkpoint that covers later records than itself is invalid.
            (1_001, 0, (9, 400), True),
        ],
    )
    def test_due(self, wall, rank, header, due):
        schedule = checkpoints.CheckpointSchedule(RETENTION_S)
        schedule.observe(1, 0, None)
        schedule.observe(2, 300_000, None)
        if header is not None:
            through, at_s = header
            found = config.CheckpointHeader(through, '')
            schedule.observe(3, at_s * 1000, found)
        assert schedule.is_due(wall, rank) is due
        schedule.record_write(wall)
        assert not schedule.is_due(wall + 29, rank)

    def test_adopted_state_is_written_after_the_rank_delay(self):
        schedule = checkpoints.CheckpointSchedule(RETENTION_S)
        assert not schedule.is_due(5_000, 0)
        schedule.record_snapshot(7, 5_000)
        assert [schedule.is_due(5_003, rank) for rank in (0, 1, 2)] == [
            True,
            True,
            False,
        ]


class Entry:
    def __init__(self):
        self.state = None
        self.schedule = checkpoints.CheckpointSchedule(RETENTION_S)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Random races, late checkpoints, expiry, restarts and peer snapshots.

    The oracle applies the acceptance rule to plain tuples when a record is
    appended, and keeps the expected items after each offset. It remembers
    all change ids; the entries remember only those of the last 16 offsets.
    """

    entry_index = st.integers(0, 2)

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(config, 'SEEN_OFFSETS', 16)
        self.log = Log()
        self.entries = [Entry() for _ in range(3)]
        self.items = {}
        self.history = {0: {}}
        self.seen = set()
        self.published = []
        self.late = []
        self.snapshots = []
        self.digests = {}
        self.lost_writes = 0

    def teardown(self):
        self.patch.undo()

    def append(self, data, publication=None):
        offset = self.log.next
        self.log.append(data)
        if publication is not None:
            number, name, version, slots = publication
            if number not in self.seen:
                self.seen.add(number)
                if version == self.items.get(name, (0, 0))[0]:
                    self.items = self.items | {name: (offset, slots)}
        self.history[offset] = self.items

    def publish_record(self, publication):
        self.append(profile_record(*publication), publication)

    @stateful.rule(
        name=st.sampled_from('ab'),
        slots=st.integers(1, 9),
        back=st.integers(0, 3),
    )
    def publish(self, name, slots, back):
        """Publish with the current version or an outdated one."""
        version = self.items.get(name, (0, 0))[0]
        if back:
            past = [0, *(p[2] for p in self.published if p[1] == name)]
            version = past[-min(back, len(past))]
        number = len(self.published) + 1
        self.published.append((number, name, version, slots))
        self.publish_record(self.published[-1])

    @stateful.precondition(lambda self: self.published)
    @stateful.rule(pick=st.integers(0, 5))
    def repeat_append(self, pick):
        """Append a change again, as after a lost response."""
        recent = self.published[-6:]
        self.publish_record(recent[pick % len(recent)])

    @stateful.rule(data=st.sampled_from([b'', b'{}', b'\xff']))
    def append_malformed(self, data):
        self.append(data)

    def read(self, entry, limit=None):
        state = entry.state
        if state is not None and state.through + 1 < self.log.first:
            found = checkpoints.bootstrap(self.log.first, self.log.records)
            if pipeline.is_successful(found):
                entry.state = found.unwrap()
                assert entry.state.through >= state.through
                self.observe_all(entry)
        if entry.state is None:
            started = checkpoints.bootstrap(self.log.first, self.log.records)
            assert pipeline.is_successful(started)
            entry.state = started.unwrap()
            self.observe_all(entry)
        for record in list(self.log.records):
            if record.offset > entry.state.through:
                if limit == 0:
                    break
                limit = None if limit is None else limit - 1
                applied = config.apply_record(
                    entry.state, record.offset, record.data
                )
                reason = getattr(applied, 'reason', None)
                assert reason is not config.IgnoredReason.CHECKPOINT_MISMATCH
                self.observe(entry, record)

    def observe(self, entry, record):
        header = config.read_checkpoint_header(record.data)
        entry.schedule.observe(record.offset, record.at_ms, header)

    def observe_all(self, entry):
        entry.schedule = checkpoints.CheckpointSchedule(RETENTION_S)
        for record in self.log.records:
            self.observe(entry, record)

    @stateful.rule(index=entry_index, limit=st.integers(1, 5))
    def read_some(self, index, limit):
        self.read(self.entries[index], limit)

    @stateful.rule(
        rounds=st.integers(1, 12),
        step=st.integers(1, RETENTION_S // 8),
        online=st.sets(entry_index, min_size=1),
        write_results=st.lists(
            st.sampled_from(['written', 'twice', 'lost', 'late']),
            min_size=1,
            max_size=4,
        ),
    )
    def advance(self, rounds, step, online, write_results):
        """Advance the time; some entries read and write due checkpoints."""
        for number in range(rounds):
            self.log.wall += step
            self.log.expire()
            for rank, index in enumerate(sorted(online)):
                entry = self.entries[index]
                self.read(entry)
                if entry.schedule.is_due(self.log.wall, rank):
                    write_result = write_results[
                        (number + rank) % len(write_results)
                    ]
                    self.write_checkpoint(entry, write_result)
            self.log_alone_suffices()

    def write_checkpoint(self, entry, write_result):
        entry.schedule.record_write(self.log.wall)
        data = checkpoints.make_checkpoint(entry.state)
        # At most two writes in a row fail, since a third must succeed
        # before records expire.
        if write_result in ('lost', 'late') and self.lost_writes < 2:
            self.lost_writes += 1
            if write_result == 'late':
                self.late.append(data)
            return
        self.lost_writes = 0
        self.append(data)
        if write_result == 'twice':
            self.append(data)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(pick=st.integers(0, 5))
    def late_checkpoint_arrives(self, pick):
        self.append(self.late.pop(pick % len(self.late)))

    @stateful.rule(index=entry_index)
    def restart(self, index):
        self.entries[index] = Entry()

    @stateful.rule(index=entry_index)
    def take_snapshot(self, index):
        state = self.entries[index].state
        if state is not None:
            self.snapshots.append(checkpoints.make_checkpoint(state))

    @stateful.precondition(lambda self: self.snapshots)
    @stateful.rule(index=entry_index, pick=st.integers(0, 3))
    def snapshot_arrives(self, index, pick):
        entry = self.entries[index]
        before = entry.state
        snapshot = self.snapshots[-1 - pick % len(self.snapshots)]
        entry.state = checkpoints.adopt_snapshot(before, snapshot).unwrap()
        if entry.state is not before:
            entry.schedule.record_snapshot(entry.state.through, self.log.wall)
        assert before is None or entry.state.through >= before.through

    @stateful.invariant()
    def entries_hold_what_was_accepted(self):
        for entry in self.entries:
            if entry.state is not None:
                self.check(entry.state)

    @stateful.invariant()
    def log_alone_suffices(self):
        """New entries find every accepted change in the log alone."""
        started = checkpoints.bootstrap(self.log.first, self.log.records)
        assert pipeline.is_successful(started)
        assert started.unwrap().through == self.log.next - 1
        self.check(started.unwrap())

    def check(self, state):
        held = {
            name: (item.version, item.change.body.slots)
            for name, item in state.items[changes.Kind.PROFILE].items()
        }
        assert held == self.history[state.through]
        digest = self.digests.setdefault(state.through, state.digest())
        assert state.digest() == digest


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)
