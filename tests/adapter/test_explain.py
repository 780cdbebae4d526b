"""The command ``explain`` shows log lines with the cause of a failure."""

from concurrent import futures
import io
import json

import pytest

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import store as store_types
from dragonflyslip_entry import logs
from dragonflyslip_operator import cli
from dragonflyslip_operator import log_lines


@pytest.fixture
def log_file(tmp_path, monkeypatch):
    """Write the log of this process to a file, and yield its path."""
    path = tmp_path / 'gateway-1.log'
    with path.open('w') as stream:
        with monkeypatch.context() as patch:
            patch.setattr(logs.sys, 'stdout', stream)
            logs.configure('info', 'gateway-1')
        yield path
    logs.LOGGER.handlers = []


def _explain(request: str, path) -> list[dict]:
    """Run the command in another thread, since it runs an event loop."""
    logs.flush_summary(0.0)
    stdout, stderr = io.StringIO(), io.StringIO()
    argv = ['explain', '--json', request, str(path)]
    with futures.ThreadPoolExecutor(1) as pool:
        code = pool.submit(cli.main, argv, {}, stdout, stderr).result()
    assert code == 0, stderr.getvalue()
    return json.loads(stdout.getvalue())


def _request_line(lines: list[dict], request: str) -> dict:
    return next(line for line in lines if line.get('request') == request)


class TestExplain:
    async def test_reason_of_a_refused_request_is_shown(
        self, log_file, platform
    ):
        # Guards against refused requests whose reason is in no log line.
        await platform.add_target(zone='zone-b')
        await platform.publish()
        await platform.start()
        await platform.store.put(
            store_types.OPERATOR_TOPIC, 'evacuate/zone-b', {'a': 1}
        )
        directory = platform.gateway.board.directory
        await platform.until(lambda: directory.domains_out)
        assert (await platform.call()).status == 503
        lines = _explain('request-1', log_file)
        assert _request_line(lines, 'request-1')['reason'] == 'no-target'
        out = [line for line in lines if line['message'] == 'failure domain']
        assert [line['domain'] for line in out] == ['zone-b']

    async def test_target_of_a_timed_out_request_is_shown(
        self, log_file, platform
    ):
        # Guards against a target that hangs and that no log line names.
        target = await platform.add_target()
        target.faults.extend([emulator.Fault.HANG] * 2)
        await platform.publish()
        await platform.start()
        for _ in range(2):
            await platform.call('/unsafe/1', 'POST', wait_ms=150)
            # While the target still counts this request, it would be too
            # busy for the next one.
            await platform.until(lambda: target.running == 0)
        lines = _explain('request-1', log_file)
        request_line = _request_line(lines, 'request-1')
        assert request_line['reason'] == 'timeout'
        assert request_line['targets'] == [platform.targets[0].target_id]
        # Another request failed at the same target.
        assert (
            _request_line(lines, 'request-2')['targets']
            == request_line['targets']
        )

    async def test_lost_store_is_shown_for_an_outdated_manifest(
        self, log_file, platform
    ):
        # Guards against a request under an outdated manifest for which the
        # log does not show that the store was unreachable.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        platform.store.fault = store_types.StoreFault.BUSY
        lost = platform.gateway.topology.lost_sources
        followed = platform.gateway.feeds.feeds
        await platform.until(lambda: len(lost) == len(followed))
        await platform.publish(platform.route('upload'))
        assert (await platform.call()).status == 200
        lines = _explain('request-1', log_file)
        assert _request_line(lines, 'request-1')['manifest'] == 1
        in_force = [
            line for line in lines if line['message'] == 'manifest in force'
        ]
        assert [line['version'] for line in in_force] == [1]
        assert any(line['message'] == 'source lost' for line in lines)


class TestInput:
    def test_unknown_request_is_an_error(self, tmp_path):
        path = tmp_path / 'empty.log'
        path.write_text('no log line\n')
        stderr = io.StringIO()
        argv = ['explain', 'x', str(path)]
        assert cli.main(argv, {}, io.StringIO(), stderr) == 1
        assert "request 'x'" in stderr.getvalue()
        assert '1 lines skipped: not log lines' in stderr.getvalue()

    def test_missing_file_is_an_error(self):
        stderr = io.StringIO()
        argv = ['explain', 'x', 'no-such.log']
        assert cli.main(argv, {}, io.StringIO(), stderr) == 1
        assert 'no-such.log' in stderr.getvalue()

    @pytest.mark.parametrize(
        'text', ['', '[]', '{}', '{"time": 1}', '{"time": "soon"}', 'x']
    )
    def test_other_lines_are_skipped(self, text):
        assert log_lines.parse_line(text) is None
