"""Guards against reporting an entry that lags behind as up to date."""

import json

import pytest


def schedule(harness, seconds, action):
    """Call ``action`` while the command waits, at ``seconds``."""
    harness.clock.events.append((seconds, action))


def set_answer(harness, answer):
    """Set the response of entry-2 to a state request."""
    harness.entries.answers['/state']['entry-2'] = answer


FAULTS = {
    'none': lambda h: None,
    'lags': lambda h: h.entries.set_state('entry-2', 0),
    'catches up': lambda h: schedule(
        h, 3, lambda: h.entries.set_state('entry-2', 1)
    ),
    'unreachable': lambda h: set_answer(h, None),
    'fails': lambda h: set_answer(h, 500),
    'malformed': lambda h: set_answer(h, [1]),
    'replaced': lambda h: set_answer(h, h.entries.set_state('entry-9', 1)),
    'list down': lambda h: setattr(h.instances, 'down', True),
    'list empty': lambda h: setattr(h.instances, 'rows', ()),
    # One more entry appears before the first two have the change.
    'appears late': lambda h: schedule(
        h, 1, lambda: h.list_instance('entry-3')
    ),
}
# faults | exit code | part of stderr, cut off where the line gets too long
WAIT_CASES = """
none                             | 0 | on 2 of 2 entries
lags + catches up                | 0 | on 1 of 2 entries
lags                             | 4 | after 30 s: entry-2 (through 0)
unreachable                      | 4 | entry-2 (unreachable)
fails                            | 4 | entry-2 (answered 500)
malformed                        | 4 | entry-2 (bad answer)
replaced                         | 4 | entry-2 (entry-9/00000000000000aa ans
list down                        | 4 | instance list cannot be read
list empty                       | 4 | shows no entry
lags + catches up + appears late | 4 | after 30 s: entry-3 (unreachable)
"""


class TestWait:
    @pytest.mark.parametrize('case', WAIT_CASES.strip().splitlines())
    def test_result_names_the_entries_without_the_change(self, case, harness):
        faults, code, part = map(str.strip, case.split('|'))
        for name in ('entry-1', 'entry-2'):
            harness.list_instance(name)
            harness.entries.set_state(name, 1)
        for fault in faults.split(' + '):
            FAULTS[fault](harness)
        run = harness.run('domain', 'out', 'scot-central-a', '--wait')
        assert run.code == int(code), run.stderr
        assert part in run.stderr
        # The offset is printed even if the wait fails.
        accepted = ['accepted', '1', 'domain', 'scot-central-a']
        in_force = [['in-force', '1', '2']] if run.code == 0 else []
        assert run.rows == [accepted, *in_force]
        # The command wait must not need the log.
        harness.faults.down = True
        wait = harness.run('wait', '1', '--json')
        assert wait.code == run.code
        if run.code == 0:
            assert json.loads(wait.stdout) == {'offset': 1, 'entries': 2}


class TestStatus:
    def test_conditions_of_entries(self, harness):
        harness.run('domain', 'out', 'scot-central-b')
        harness.run('instance', 'out', 'casebook-7')
        harness.run('domain', 'in', 'scot-central-b')
        for number in range(5):
            harness.list_instance(f'entry-{number}')
        harness.entries.follow('entry-0')
        for name, through in (('entry-1', 2), ('entry-2', 3), ('entry-3', 4)):
            harness.entries.set_state(name, through)
        run = harness.run('status')
        config, out, *entries = run.rows
        assert run.code == 0
        assert config[:2] == ['config', '3']
        assert out[:3] == ['instance', 'casebook-7', 'out']
        conditions = 'current behind differs ahead unreachable'
        assert [row[3] for row in entries] == conditions.split()
        document = json.loads(harness.run('status', '--json').stdout)
        assert len(document['entries']) == 5
        assert document['out_of_service'][0]['name'] == 'casebook-7'

    @pytest.mark.parametrize('part', ['faults', 'instances'])
    def test_readable_part_is_shown_if_the_other_is_down(self, part, harness):
        harness.list_instance('entry-1')
        harness.entries.set_state('entry-1', 1)
        getattr(harness, part).down = True
        run = harness.run('status')
        shown = {'faults': 'entry', 'instances': 'config'}[part]
        assert (run.code, [row[0] for row in run.rows]) == (1, [shown])
        assert 'cannot be read' in run.stderr


class TestSuspects:
    def test_list_names_entries_that_do_not_answer(self, harness):
        suspect = {
            'fingerprint': 'f1',
            'crashes': [['casebook-1', 'b1']],
            'expires_in_s': 12.5,
        }
        row = ['f1', 'entry-1', '12.5', '[["casebook-1","b1"]]']
        harness.list_instance('entry-1')
        harness.entries.answers['/suspects']['entry-1'] = {
            'suspects': [suspect]
        }
        assert harness.run('suspects', 'list').rows == [row]
        harness.list_instance('entry-2')
        run = harness.run('suspects', 'list')
        assert (run.code, run.rows) == (1, [row])
        assert 'entry-2 (unreachable)' in run.stderr
