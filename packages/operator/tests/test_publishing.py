"""Guards against reports about a change that contradict the log."""

import json

import pytest

from dragonflyslip_core import checkpoints

PUBLISH = ('domain', 'out', 'scot-central-b', '--reason', 'switch work')


def concurrent_change(expected_version=0):
    """Return the record of a change by another operator."""
    record = {
        'change_id': f'00000000-0000-4000-8000-{expected_version:012}',
        'author': 'aroha',
        'at': 1_600_000_000_000,
        'kind': 'domain',
        'name': 'scot-central-b',
        'expected_version': expected_version,
        'body': {'in_service': True},
    }
    return json.dumps(record).encode()


def store_late(harness, after_s):
    """Store each lost append ``after_s`` seconds later."""
    harness.log.on_lost_append = lambda data: harness.clock.events.append(
        (after_s, lambda: harness.store(data))
    )


def take_down(harness):
    """Take the log down between the command's read and its append."""
    harness.log.before_append = lambda: setattr(harness.faults, 'down', True)


FAULTS = {
    'none': lambda h: None,
    'response lost': lambda h: setattr(h.faults, 'lost_responses', 1),
    'stored twice': lambda h: setattr(h.faults, 'duplicates', 1),
    'append lost': lambda h: setattr(h.log, 'losses', 1),
    'all appends lost': lambda h: setattr(h.log, 'losses', 9),
    'arrives before the retry': lambda h: store_late(h, 2),
    'arrives after the retry': lambda h: store_late(h, 6),
    'reads lag': lambda h: setattr(h.faults, 'read_lag', 1),
    'race': lambda h: setattr(
        h.log, 'before_append', lambda: h.store(concurrent_change())
    ),
    'down': lambda h: setattr(h.faults, 'down', True),
    'down after the read': take_down,
}
# faults | exit code | appends sent | records stored | part of stderr, cut off
# where the line gets too long
CASES = """
none                                   | 0 | 1 | 1 |
response lost                          | 0 | 1 | 1 |
stored twice                           | 0 | 1 | 2 |
response lost + stored twice           | 0 | 1 | 2 |
append lost                            | 0 | 2 | 1 |
append lost + arrives before the retry | 0 | 1 | 1 |
append lost + arrives after the retry  | 0 | 2 | 1 |
append lost + response lost            | 0 | 2 | 1 |
all appends lost                       | 5 | 2 | 0 | is uncertain whether
reads lag                              | 5 | 1 | 1 | offset 1 but not read
race                                   | 3 | 1 | 2 | by aroha at 2020-09-13T1
race + response lost                   | 3 | 1 | 2 | offset 1 by aroha
race + append lost                     | 3 | 2 | 2 | {"in_service":true}
down                                   | 1 | 0 | 0 | cannot be read
down after the read                    | 1 | 1 | 0 | nothing was changed
"""


class TestFaults:
    @pytest.mark.parametrize('case', CASES.strip().splitlines())
    def test_report_matches_the_log(self, case, harness):
        faults, *counts, part = map(str.strip, case.split('|'))
        code, appends, stored = map(int, counts)
        for fault in faults.split(' + '):
            FAULTS[fault](harness)
        run = harness.run(*PUBLISH)
        assert run.code == code, run.stderr
        assert part in run.stderr
        assert len(harness.log.appended) == appends
        # A retry with another change id could apply the change twice.
        assert len(set(harness.log.appended)) <= 1
        assert len(harness.records()) == stored
        accepted = ['accepted', '1', 'domain', 'scot-central-b']
        assert run.rows == ([] if code else [accepted])
        # Appends that arrive after the command has ended must not be applied
        # as a second change.
        for _, action in harness.clock.events:
            action()
        records = harness.memory.streams['config']
        audit = checkpoints.bootstrap(1, records).unwrap().audit
        verdicts = [(row.author, row.verdict) for row in audit]
        # By exit code, how often the change may have been accepted. With code
        # 5 the command does not know whether it was.
        count = verdicts.count(('moira', 'accepted'))
        assert count in {0: [1], 1: [0], 3: [0], 5: [0, 1]}[code]

    def test_uncertain_change_can_be_found_by_its_id(self, memory_harness):
        memory_harness.faults.read_lag = 1
        run = memory_harness.run(*PUBLISH)
        memory_harness.faults.read_lag = 0
        audit = json.loads(memory_harness.run('audit', '--json').stdout)
        assert audit[0]['change_id'] in run.stderr

    def test_change_after_the_read_is_not_overwritten(self, memory_harness):
        memory_harness.run(*PUBLISH)
        memory_harness.store(concurrent_change(expected_version=1))
        for expected, code in (('0', 3), ('1', 3), ('3', 3), ('2', 0)):
            run = memory_harness.run(*PUBLISH, '--expected-version', expected)
            assert run.code == code
            assert ('offset 2 by aroha' in run.stderr) == (code == 3)
        # The changes with another expected version were not appended.
        assert len(memory_harness.log.appended) == 2


LONG = 'x' * 501
# command line | texts in stderr
INVALID = f"""
profile publish p                                  |--file, --preset and --set
profile publish P! --preset kauri                  |'P!'
profile publish p --set slots=0 --set colour=red   |slots|colour
profile publish p --set warmup_s=nan --set slots=x |warmup_s|slots
profile publish p --set missing_key=maybe          |'refuse' or 'run_once'
profile publish p --set slots --set a=1 --set a=2  |FIELD=VALUE|set twice
profile publish p --file /none                     |/none
profile publish p --file empty                     |empty
profile publish p --file list                      |not a JSON object
profile publish p --file nan                       |slots
service publish s --profile p                      |unknown profile 'p'
service publish s --profile P!                     |P!
domain out Not_A_Name                              |'Not_A_Name'
instance out \N{SNOWMAN}                           |invalid instance name
domain in a --reason {LONG}                        |--reason
suspects lift \N{SNOWMAN}                          |invalid lift_suspect name
suspects lift a --reason {LONG}                    |--reason
"""


class TestRefusals:
    @pytest.mark.parametrize('case', INVALID.strip().splitlines())
    def test_invalid_change_is_not_appended(
        self, case, memory_harness, tmp_path, monkeypatch
    ):
        monkeypatch.chdir(tmp_path)
        files = {'empty': '', 'list': '[]', 'nan': '{"slots": NaN}'}
        for name, content in files.items():
            (tmp_path / name).write_text(content)
        line, *parts = case.split('|')
        run = memory_harness.run(*line.split())
        assert (run.code, run.stdout) == (2, '')
        for part in parts:
            assert part in run.stderr
        assert memory_harness.log.appended == []

    def test_unlisted_name_is_published_with_a_warning(self, harness):
        harness.list_instance('entry-1', domain='scot-central-a')
        for name, warned in (('scot-central-a', False), ('scot-x', True)):
            run = harness.run('domain', 'out', name)
            assert run.code == 0
            assert ('shows no domain scot-x' in run.stderr) == warned


# command line | what the body in the log must contain
MERGES = """
profile publish p --preset kauri | {"slots": 2, "deadline_ms": 30000}
profile publish p --set slots=4 | {"slots": 4, "deadline_ms": 30000}
profile publish p --set at_most_once_methods= | {"at_most_once_methods": []}
profile publish p --set at_most_once_methods=PUT,POST | {"slots": 4, \
"at_most_once_methods": ["PUT", "POST"]}
profile publish p --preset stairlift --set slots=5 | {"slots": 5, \
"deadline_ms": 5000, "warmup_s": null}

profile publish p --preset kauri | {}
service publish s --profile p --host a b --host c | {"hosts": ["a", "b", "c"]}
service publish s --profile p | {"hosts": ["a", "b", "c"], "profile": "p"}
service publish s --profile p --host d | {"hosts": ["d"]}
service publish s --profile p --no-hosts | {"hosts": []}

suspects lift f1 --reason fixed | {"reason": "fixed"}
suspects lift f1 --expected-version 1 | {"reason": ""}
"""


class TestMerging:
    """A change of one field must not reset the others."""

    @pytest.mark.parametrize('steps', MERGES.strip().split('\n\n'))
    def test_fields_stay_unless_given(self, steps, memory_harness):
        for step in steps.splitlines():
            line, expected = step.split('|')
            assert memory_harness.run(*line.split()).code == 0
            body = memory_harness.records()[-1]['body']
            expected = json.loads(expected)
            assert {key: body.get(key) for key in expected} == expected
