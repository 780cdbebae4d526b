"""Responses of targets whose status is none of HTTP's."""

import pytest

from tests.adapter import callers
from tests.adapter import test_cut_heads


class TestOddStatuses:
    @pytest.mark.parametrize('kind', ['safe', 'unsafe', 'upload'])
    @pytest.mark.parametrize('status', ['000', '099', '600', '999'])
    async def test_is_no_response(self, platform, kind, status):
        """Guards against an answer that its caller takes for a success."""
        response = test_cut_heads.RESPONSE.replace(b'200', status.encode())
        await test_cut_heads.start(platform, kind, response)
        caller = await callers.KeptConnection.open(platform.port)
        size = 100_000 if kind == 'upload' else 0
        head = callers.encode_request(
            f'/{kind}/1', 'POST', content_length=size
        )
        caller.send(head + bytes(size))
        answer = await caller.receive()
        caller.close()
        # It may have run, so no status may state that it did not.
        assert answer.status == 502
        assert 'x-server-stamp' not in answer.headers
        assert len(platform.runs()) == 1
