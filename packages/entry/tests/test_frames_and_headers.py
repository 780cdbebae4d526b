"""An entry keeps serving, whatever bytes arrive on any of its ports."""

import asyncio
import contextlib
import logging
import socket
import time

from aiohttp import http_exceptions
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflyslip_core import membership
from dragonflyslip_core import suspects
from dragonflyslip_core import target_facts
import dragonflyslip_wire as wire

_TIMEOUT_S = 5.0
_REPLY_WAIT_S = 0.02
_PEER = membership.EntryId('stranger', 7)
_FACTS = (target_facts.TargetFact('casebook-1', 'b9', True, 3, 0.5),)
_MARKS = (
    suspects.CrashMark('casebook-1', 'b9', 'a', 0.5, 600.0, ('0f', 'aa')),
)
_FRAMES = [
    wire.encode_frame(message)
    for message in (
        wire.Hello(_PEER, 'a'),
        wire.Heartbeat(
            membership.MemberReport(_PEER, 9, 0, b'digest12', 5.0),
            2**63,
            b'd' * 32,
            0.1,
            _FACTS,
            _MARKS,
        ),
        wire.Notice(1, _FACTS, _MARKS),
        wire.NoticeAck(2**64 - 1),
        wire.ConfigPull(2**64 - 1),
        wire.ConfigPush(2**63, b'd' * 32, b'{"kind":"checkpoint"}'),
        wire.AnswerQuery('casebook', b'k' * 16, 'c'),
        wire.Answer('c', wire.AnswerState.STORED, 999, (('a\r', 'b'),), b'x'),
    )
]
_LINES = st.sampled_from(
    [
        b'Host: casebook',
        b'Host: \xff\xfe[',
        b'Content-Length: 3',
        b'Content-Length: -1',
        b'Content-Length: 99999999999999999999',
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: gzip, chunked',
        b'Connection: close, host, \xe9',
        b'Connection: upgrade',
        b'Upgrade: h2c',
        b'Expect: 100-continue',
        b'Idempotency-Key: "',
        b'Idempotency-Key: 0190a0e2-7b11-7cc3-98c4-dc0c0c07398f',
        b'Dragonflyslip-Attempt: \x01',
        b'Dragonflyslip-Deadline: 99999999999999999999999999999999999999',
        b'Dragonflyslip-Deadline: \xc2\xb2',
        b'Dragonflyslip-Retry: \xff',
        b'Dragonflyslip-Load: inflight=-1',
        b'Forwarded: \x80',
        b'Via: ' + b'a' * 9_000,
        b': empty',
        b'no colon',
    ]
)
_REQUEST_TARGETS = st.one_of(
    st.sampled_from(
        [
            b'/',
            b'*',
            b'http://casebook/x',
            b'http://[::1',
            b'http://casebook:x/',
            b'//casebook/%zz?%',
            b'/.dragonflyslip/load',
            b'/\xff\xfe',
            b'/a b',
            b'',
        ]
    ),
    st.binary(max_size=20),
)


def _request(method, target, host, lines, body):
    head = [method + b' ' + target + b' HTTP/1.1', *host, *lines, b'', b'']
    return b'\r\n'.join(head) + body


_REQUESTS = st.builds(
    _request,
    st.sampled_from(
        [b'GET', b'POST', b'PUT', b'HEAD', b'OPTIONS', b'CONNECT', b'\xff']
    ),
    _REQUEST_TARGETS | st.just(b'/'),
    # A request with another host is mostly refused before the rest is read.
    st.sampled_from([[b'Host: casebook'], []]),
    st.lists(_LINES, max_size=4) | st.lists(st.binary(max_size=30)),
    st.binary(max_size=10) | st.just(b'ffffffffffffffffff\r\n'),
)


def _with_changed_bytes(data, replacements):
    changed = bytearray(data)
    for index, value in replacements:
        changed[index % len(changed)] = value
    return bytes(changed)


_BYTES = st.one_of(
    st.binary(max_size=200),
    _REQUESTS,
    st.lists(st.sampled_from(_FRAMES), max_size=4).map(b''.join),
    st.builds(
        _with_changed_bytes,
        st.sampled_from(_FRAMES),
        st.lists(
            st.tuples(st.integers(0, 500), st.integers(0, 255)), max_size=4
        ),
    ),
)


class PortMachine(stateful.RuleBasedStateMachine):
    """Unknown clients on all ports of an entry that serves ``casebook``."""

    ports: tuple[int, int, int]

    def __init__(self):
        super().__init__()
        self.open: list[socket.socket] = []

    @stateful.rule(port=st.integers(0, 2), data=_BYTES)
    def connect_and_send(self, port, data):
        connection = socket.create_connection(
            ('127.0.0.1', self.ports[port]), _TIMEOUT_S
        )
        connection.settimeout(_REPLY_WAIT_S)
        self.open.append(connection)
        self._send(connection, data)

    @stateful.rule(method=st.sampled_from([b'GET', b'POST']), line=_LINES)
    def call_with_one_odd_line(self, method, line):
        lines = [line, b'Connection: close']
        data = _request(method, b'/', [b'Host: casebook'], lines, b'')
        self.connect_and_send(0, data)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(number=st.integers(0, 9), data=_BYTES)
    def send_more(self, number, data):
        self._send(self.open[number % len(self.open)], data)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(number=st.integers(0, 9), half=st.booleans())
    def close(self, number, half):
        connection = self.open[number % len(self.open)]
        with contextlib.suppress(OSError):
            if half:
                connection.shutdown(socket.SHUT_WR)
        if not half:
            self.open.remove(connection)
            connection.close()

    @stateful.invariant()
    def entry_serves(self):
        deadline = time.monotonic() + _TIMEOUT_S
        while True:
            answer = self._get(self.ports[0], b'/served')
            if answer.startswith(b'HTTP/1.1 200 '):
                break
            assert time.monotonic() < deadline, answer
        assert answer.endswith(b'casebook-1 GET /served\n')
        assert self._get(self.ports[1], b'/healthz').endswith(b'ok\n')
        assert b'"ready": true' in self._get(self.ports[1], b'/state')

    def teardown(self):
        for connection in self.open:
            connection.close()

    def _send(self, connection, data):
        with contextlib.suppress(OSError):
            connection.sendall(data)
            connection.recv(65_536)

    def _get(self, port, path):
        with socket.create_connection(
            ('127.0.0.1', port), _TIMEOUT_S
        ) as connection:
            connection.sendall(
                b'GET ' + path + b' HTTP/1.1\r\n'
                b'Host: casebook\r\nConnection: close\r\n\r\n'
            )
            answer = b''
            while chunk := connection.recv(65_536):
                answer += chunk
        return answer


class TestPorts:
    async def test_entry_keeps_serving_whatever_arrives(
        self, environment, caplog
    ):
        # Guards against input that ends a controller, blocks the event loop,
        # makes targets unusable or raises an unhandled exception.
        await environment.fleet(1, 1, missing_key='run_once')
        running = environment.entries['entry-1']
        options = running.options
        PortMachine.ports = tuple(
            int(endpoint.rpartition(':')[2])
            for endpoint in (
                options.listen,
                options.admin_listen,
                options.peer_listen,
            )
        )
        await asyncio.to_thread(
            stateful.run_state_machine_as_test,
            PortMachine,
            settings=hypothesis.settings(
                max_examples=60,
                stateful_step_count=12,
                deadline=None,
                derandomize=True,
                database=None,
            ),
        )
        # The HTTP server logs each malformed request that it refuses.
        errors = [
            caplog.handler.format(record)
            for record in caplog.records
            if record.levelno >= logging.ERROR
            and not (
                record.exc_info
                and isinstance(
                    record.exc_info[1], http_exceptions.HttpProcessingError
                )
            )
        ]
        assert errors == []
        assert not environment.tasks['entry-1'].done()
        assert not running.stopping.is_set()
