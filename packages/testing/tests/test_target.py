"""The fake target: a restart discards requests that have not run."""

from unittest import mock

from aiohttp import test_utils
import pytest

from dragonflyslip_testing import target


class TestRestart:
    @pytest.mark.parametrize(('disconnected', 'runs'), [(False, 1), (True, 0)])
    async def test_request_on_a_broken_connection_does_not_run(
        self, disconnected, runs
    ):
        # Guards against requests that were sent before a restart but are
        # counted for the new process, which would then seem to receive two
        # concurrent requests.
        model = target.TargetModel('casebook-1', cold_s=1.0)
        application = target.target_application(model)
        transport = mock.Mock()
        transport.is_closing.return_value = disconnected
        request = test_utils.make_mocked_request(
            'GET', '/', app=application, transport=transport
        )
        request._match_info = mock.Mock(current_app=application)
        await target._handle_request(request)
        assert len(model.runs) == model.peak_cold == runs
