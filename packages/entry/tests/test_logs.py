"""Log output: bounded, in order, and never blocking."""

import errno
import io
import json
import logging
import os

import pytest

from dragonflyslip_entry import logs


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _record(text: str) -> logging.LogRecord:
    return logging.LogRecord('x', logging.INFO, '', 0, text, (), None)


def _read(reader: int) -> bytes:
    chunks = []
    while True:
        try:
            chunks.append(os.read(reader, 65_536))
        except BlockingIOError:
            return b''.join(chunks)


class TestQueueHandler:
    def test_stopped_reader_drops_lines_without_blocking(self, pipe):
        # Guards against a process that hangs when nobody reads its output.
        reader, writer = pipe
        handler = logs.QueueHandler(writer, limit=10)
        line = 'x' * 4_096
        for _ in range(100):
            handler.emit(_record(line))
        assert len(handler.lines) == 10
        assert handler.dropped > 0

    def test_lines_are_whole_and_in_order_after_a_full_pipe(self, pipe):
        # Guards against lines that are cut off where the pipe was full.
        reader, writer = pipe
        handler = logs.QueueHandler(writer)
        texts = [f'{number} ' + 'x' * 3_000 for number in range(60)]
        for text in texts:
            handler.emit(_record(text))
        received = b''
        while handler.lines:
            received += _read(reader)
            handler.write_queued()
        received += _read(reader)
        assert received.decode().splitlines() == texts

    @pytest.mark.parametrize('code', [errno.ENOSPC, errno.EIO, errno.EPIPE])
    def test_line_that_cannot_be_written_stays_queued(
        self, monkeypatch, pipe, code
    ):
        # Guards against a full disk that fails the request being logged.
        reader, writer = pipe
        handler = logs.QueueHandler(writer, limit=2)
        with monkeypatch.context() as patch:

            def fail(descriptor, line):
                raise OSError(code, os.strerror(code))

            patch.setattr(logs.os, 'write', fail)
            for number in range(3):
                handler.emit(_record(f'line {number}'))
        assert handler.dropped == 1
        handler.write_queued()
        assert _read(reader) == b'line 0\nline 1\n'


class TestFaults:
    def test_same_fault_is_logged_once_and_another_one_too(
        self, caplog, monkeypatch
    ):
        # Guards against a traceback for each turn of a task that goes on.
        monkeypatch.setattr(logs, '_fault_limiter', logs._FaultLineLimiter())
        caplog.set_level(logging.ERROR, logs.LOGGER.name)
        for error in (KeyError('secret'), KeyError('x'), ValueError('y')):
            logs.fault('step failed', error)
        assert [record.trace for record in caplog.records] == [
            'KeyError',
            'ValueError',
        ]
        assert 'secret' not in caplog.text


class TestRequestLines:
    def test_request_lines_beyond_the_rate_are_dropped_and_counted(
        self, monkeypatch
    ):
        # Guards against logs that grow with the load.
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        monkeypatch.setattr(logs.LOGGER, 'handlers', [handler])
        monkeypatch.setattr(
            logs, '_request_limiter', logs._RequestLineLimiter()
        )
        monkeypatch.setattr(logs, 'REQUEST_LINES_PER_S', 5)
        logs.LOGGER.setLevel(logging.INFO)
        before = logs.dropped()
        for number in range(1_000):
            logs.request('request answered', request=str(number))
        written = len(stream.getvalue().splitlines())
        assert written + logs.dropped() - before == 1_000
        # Allows for a run of 10 s at 5 lines a second.
        assert written <= 50

    def test_a_line_is_one_json_object_with_its_fields(
        self, monkeypatch, pipe
    ):
        # Guards against lines that a log collector cannot parse.
        reader, writer = pipe
        monkeypatch.setattr(logs.sys, 'stdout', os.fdopen(os.dup(writer), 'w'))
        monkeypatch.setattr(logs.LOGGER, 'handlers', [])
        logs.configure('info', 'gateway-1')
        logs.info('manifest in force', version=7)
        line = json.loads(_read(reader))
        assert (line['message'], line['version'], line['entry']) == (
            'manifest in force',
            7,
            'gateway-1',
        )
