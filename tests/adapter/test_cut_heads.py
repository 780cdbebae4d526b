"""Responses of targets that end in the middle of their head."""

import pytest

from tests.adapter import callers

BODY = b'the whole body'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'


def response_of(request_id: str) -> bytes:
    """Return a response that a caller gets as it is, if it is whole."""
    return (
        b'HTTP/1.1 200 OK\r\n'
        b'X-Request-Id: %b\r\n'
        b'X-Server-Stamp: stamp\r\n'
        b'X-Marker: of-the-target\r\n'
        b'Content-Length: %d\r\n\r\n%b'
        % (request_id.encode(), len(BODY), BODY)
    )


RESPONSE = response_of('kept-1')
HEAD_LENGTH = RESPONSE.index(b'\r\n\r\n') + 4
# The end of each part of the head, of each of its lines, and between.
CUTS = sorted(
    {4, 9, 12, 15, HEAD_LENGTH - 3, HEAD_LENGTH - 2, HEAD_LENGTH - 1}
    | {
        end + extra
        for end in range(HEAD_LENGTH)
        if RESPONSE[end : end + 2] == b'\r\n'
        for extra in (0, 1, 2, 10)
        if end + extra < HEAD_LENGTH
    }
)


async def start(platform, kind: str, part: bytes) -> None:
    """Start a target that sends a part of a response and closes."""
    target = await platform.add_target()
    await platform.publish(platform.route(kind))
    await platform.start()

    def write_part(request, writer, fault) -> bool:
        writer.write(part)
        return False

    target._write_outcome = write_part


class TestCutHeads:
    @pytest.mark.parametrize('before', [b'', INTERIM], ids=['', 'interim'])
    @pytest.mark.parametrize('cut', CUTS)
    @pytest.mark.parametrize('body_size', [None, 100_000])
    async def test_is_never_a_success(self, platform, cut, before, body_size):
        """Guards against an empty or short body that looks complete."""
        kind = 'unsafe' if body_size is None else 'upload'
        await start(platform, kind, before + RESPONSE[:cut])
        caller = await callers.KeptConnection.open(platform.port)
        size = body_size or 0
        head = callers.encode_request(
            f'/{kind}/1', 'POST', content_length=size
        )
        caller.send(head + bytes(size))
        answer = await caller.receive()
        caller.close()
        # It ran, so no status may state that it did not.
        assert answer.status == 502
        assert 'x-server-stamp' not in answer.headers
        assert answer.body == b'connection broke\n'
        assert len(platform.runs()) == 1

    @pytest.mark.parametrize('cut', [9, 15, 30, HEAD_LENGTH - 1])
    async def test_request_of_unknown_type_runs_once(self, platform, cut):
        """Guards against a second run after a response that was cut."""
        await start(platform, 'novel', RESPONSE[:cut])
        other = await platform.add_target()
        other.work_percent = 500
        await platform.until(
            lambda: len(platform.gateway.board.directory.targets) == 2
        )
        reply = await platform.call('/novel/1')
        assert reply.status == 502
        assert len(platform.runs()) == 1

    async def test_request_is_sent_again_each_time_it_comes(self, platform):
        """Guards against a refusal because of a target that lives on."""
        await start(platform, 'unsafe', RESPONSE[:30])
        statuses = [
            (await platform.call('/unsafe/1', 'POST')).status for _ in range(8)
        ]
        assert statuses == [502] * 8
        assert len(platform.runs()) == 8

    @pytest.mark.parametrize('cut', [9, 15, 30, HEAD_LENGTH - 2])
    async def test_health_response_is_no_answer(self, platform, cut):
        """Guards against a request to a target whose probe was cut."""
        target = await platform.add_target()
        await platform.publish(platform.route('unsafe'))
        await platform.start()

        def write_part(writer) -> bool:
            head = b'HTTP/1.1 200 OK\r\nX-Instance-Id: '
            head += target.target_id.encode() + b'\r\nX-Padding: '
            head += b'a' * HEAD_LENGTH + b'\r\nContent-Length: 0\r\n\r\n'
            writer.write(head[: len(head) - HEAD_LENGTH + cut])
            return False

        target._write_health_response = write_part
        answer = await platform.call('/unsafe/1', 'POST', b'x')
        assert answer.status == 503
        assert platform.runs() == []
