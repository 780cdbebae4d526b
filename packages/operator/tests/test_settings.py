"""Guards against sending a change before invalid settings are reported."""

import asyncio
import io
import json

from aiohttp import test_utils
import pytest

from dragonflyslip_operator import cli
from dragonflyslip_operator import settings
import dragonflyslip_testing as fakes


INVALID_VALUES = {
    'log_url': ['', '10.0.0.5', 'ftp://a', 'http://', 'http://a:x'],
    'instances_url': ['http://a:99999', 'http://a?b', 'http://a:0'],
    'adapter': ['', 'a-b', 'a..b', '/a'],
    'store_url': ['', '10.0.0.5', 'http://a:0'],
    'author': ['', ' ', 'a\nb', 'x' * 201],
    'admin_port_offset': ['', '0', '-1', '65535', '1.5', 'x'],
    'timeout_s': ['', '0', 'nan', 'inf', '601', 'x'],
    'wait_timeout_s': ['0', '-1', '3601'],
}


class TestSettings:
    @pytest.mark.parametrize('row', settings.SETTINGS)
    def test_error_names_flag_variable_value_and_allowed(self, row):
        for text in INVALID_VALUES[row.name]:
            read = settings.read_settings({row.name: text}, {})
            (message,) = read.failure().faults
            for part in (row.flag, row.variable, repr(text), row.allowed):
                assert part in message


class TestCommandLine:
    def test_all_errors_are_reported_before_anything_is_sent(
        self, memory_harness
    ):
        line = '--admin-port-offset=0 domain out a --wait --timeout-s=0'
        environ = {'DRAGONFLYSLIP_LOG_URL': 'nowhere'}
        run = memory_harness.run(*line.split(), environ=environ)
        assert (run.code, run.stdout) == (2, '')
        parts = (
            "DRAGONFLYSLIP_LOG_URL is 'nowhere' (from DRAGONFLYSLIP_LOG_URL)",
            'DRAGONFLYSLIP_INSTANCES_URL is not set',
            'DRAGONFLYSLIP_AUTHOR is not set',
            "DRAGONFLYSLIP_ADMIN_PORT_OFFSET is '0'",
            "--timeout-s or DRAGONFLYSLIP_TIMEOUT_S is '0' (from --timeout-s)",
        )
        for fault, part in zip(run.stderr.splitlines(), parts, strict=True):
            assert part in fault
        assert memory_harness.log.appended == []

    def test_invalid_command_line_exits_with_2(self, memory_harness):
        lines = """
            profile
            profile diff p
            profile rollback p --to x
            profile publish p --file f --preset kauri
            service publish s
            domain out a --wai
            wait -1
            audit --since 1.5"""
        for line in lines.splitlines():
            assert memory_harness.run(*line.split()).code == 2, line

    async def test_settings_reach_the_clients(self):
        """Runs the entry point with its own clients against a server."""
        memory = fakes.MemoryLog()
        application = fakes.log_application(memory)
        async with test_utils.TestServer(application) as server:
            url = server.make_url('/')
            for line in ('domain out a', 'audit --json'):
                argv = [*line.split(), '--author=moira', f'--log-url={url}']
                out = io.StringIO()
                assert 0 == await asyncio.to_thread(cli.main, argv, {}, out)
        assert json.loads(out.getvalue())[0]['author'] == 'moira'

    def test_interrupted_command_exits_with_130(self):
        def interrupt(*arguments):
            raise KeyboardInterrupt

        environ = {'DRAGONFLYSLIP_LOG_URL': 'http://127.0.0.1:7000'}
        err = io.StringIO()
        assert cli.main(['audit'], environ, None, err, interrupt) == 130
        assert 'interrupted' in err.getvalue()
