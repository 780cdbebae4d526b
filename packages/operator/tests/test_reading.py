"""Guards against output that is unstable, incomplete or unlike the log."""

import json

import pytest

from dragonflyslip_core import checkpoints
from dragonflyslip_core import config

TIME = '2023-11-14T22:13:20Z'


def publish_examples(harness):
    """Publish two profile versions, a service and in-service changes."""
    for line in (
        'profile publish p --preset kauri',
        'profile publish p --set slots=3',
        'service publish s --profile p --host a.example',
        'domain out scot-central-b --reason work',
        'instance out casebook-7',
        'instance in casebook-7',
    ):
        assert harness.run(*line.split()).code == 0


def checkpoint(harness, expire=True, old=b'', new=b''):
    """Append a checkpoint and expire the records before it.

    :param expire: whether records are expired.
    :param old: bytes to replace in the checkpoint, none if empty.
    :param new: replacement of ``old``.
    :return: offset of the checkpoint.
    """
    records = harness.memory.streams['config']
    state = checkpoints.bootstrap(1, records).unwrap()
    data = checkpoints.make_checkpoint(state)
    offset = harness.store(data.replace(old, new) if old else data)
    if expire:
        harness.memory.expire('config', offset)
    return offset


ROWS = {
    'profile list': [f'p 2 moira {TIME}'],
    'service list': [f's p a.example 3 moira {TIME}'],
    'profile diff p --version 1': ['slots 3 2'],
    'profile diff p --version 2': [],
    'audit --since 3 --name s': [
        f'3 {TIME} moira accepted service s - '
        '{"hosts":["a.example"],"profile":"p"}'
    ],
}


class TestOutput:
    @pytest.mark.parametrize('after_expiry', [False, True])
    def test_rows_stay_the_same_after_expiry(self, after_expiry, harness):
        publish_examples(harness)
        if after_expiry:
            checkpoint(harness)
        for line, rows in ROWS.items():
            run = harness.run(*line.split())
            shown = [' '.join(row) for row in run.rows]
            assert (run.code, shown, run.stderr) == (0, rows, ''), line

    def test_show_marks_what_is_set(self, memory_harness):
        publish_examples(memory_harness)
        rows = memory_harness.run('profile', 'show').rows
        assert ['p', 'slots', '3', 'set'] in rows
        assert ['p', 'priority', '5', 'default'] in rows
        assert rows == memory_harness.run('profile', 'show', 'p').rows
        run = memory_harness.run('profile', 'show', 'p', '--json')
        document = json.loads(run.stdout)
        assert document['version'] == 2 and document['body']['slots'] == 3

    def test_json_of_an_empty_log_is_a_document(self, harness):
        for line in ('profile list', 'service list', 'audit', 'profile show'):
            run = harness.run(*line.split(), '--json')
            assert (run.code, json.loads(run.stdout)) == (0, [])

    def test_missing_item_or_version_is_an_error(self, memory_harness):
        publish_examples(memory_harness)
        lines = """profile show q
            profile diff q --version 1
            profile diff p --version 3
            profile rollback p --to 6
            profile rollback q --to 1"""
        for line in lines.splitlines():
            run = memory_harness.run(*line.split())
            assert (run.code, run.stdout) == (1, ''), line
        assert len(memory_harness.log.appended) == 6


class TestHistory:
    def test_rollback_finds_a_version_held_in_a_checkpoint(self, harness):
        publish_examples(harness)
        checkpoint(harness)
        assert harness.run('profile', 'rollback', 'p', '--to', '1').code == 0
        # The checkpoint is at offset 7.
        assert harness.run('profile', 'diff', 'p', '--version', '1').rows == []
        assert harness.run('profile', 'list').rows[0][1] == '8'

    def test_history_starts_at_the_oldest_usable_checkpoint(
        self, memory_harness
    ):
        publish_examples(memory_harness)
        first = checkpoint(memory_harness, expire=False)
        for _ in range(config.AUDIT_ENTRIES):
            memory_harness.run('instance', 'out', 'casebook-7')
        checkpoint(memory_harness, expire=False)
        memory_harness.memory.expire('config', first)
        rows = memory_harness.run('audit').rows
        offsets = [int(row[0]) for row in rows]
        assert offsets[0] == 1 and offsets == sorted(set(offsets))

    @pytest.mark.parametrize(
        ('old', 'new'),
        [
            (b'{', b'{,'),
            (b'"through":6', b'"through":4'),
            (b'moira', b'maura'),
        ],
    )
    def test_lost_records_are_an_error_and_not_an_empty_config(
        self, old, new, memory_harness
    ):
        publish_examples(memory_harness)
        checkpoint(memory_harness, True, old, new)
        for line in ('profile list', 'domain out a', 'audit'):
            run = memory_harness.run(*line.split())
            assert (run.code, run.stdout) == (1, '')
            assert 'no checkpoint' in run.stderr

    def test_read_that_stops_early_is_an_error(self, memory_harness):
        publish_examples(memory_harness)
        memory_harness.memory.next_offsets['config'] += 1
        run = memory_harness.run('domain', 'out', 'a')
        assert run.code == 1 and 'newest records' in run.stderr

    def test_rejected_and_invalid_records_are_shown(self, memory_harness):
        publish_examples(memory_harness)
        rejected = memory_harness.records()[1] | {
            'change_id': '00000000-0000-4000-8000-000000000001'
        }
        memory_harness.store(json.dumps(rejected).encode())
        memory_harness.store(b'\xff')
        rows = memory_harness.run('audit', '--since', '7').rows
        assert [row[3] for row in rows] == ['rejected', 'invalid']

    def test_mismatching_checkpoint_is_reported(self, memory_harness):
        publish_examples(memory_harness)
        checkpoint(memory_harness, False, b'"digest":"', b'"digest":"0')
        run = memory_harness.run('audit')
        assert run.code == 0 and 'offset 7 differs' in run.stderr
