"""Client accounts: their keys in manifests, requests, logs and targets."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import traceback
import types

from aiohttp import http
import pytest
from returns import result

from dragonflyslip_adapter import records
from dragonflyslip_adapter import store
from dragonflyslip_core import accounts
import dragonflyslip_emulator as emulator
from dragonflyslip_entry import errors
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import logs
from tests.adapter import callers
from tests.adapter import processes

KEY = 'key-of-casebook-K7'
OTHER_KEY = 'second-K7'
SOUTH_KEY = 'south-K7'
NORTH = {'name': 'north', 'api_keys': [KEY]}
SOUTH = {'name': 'south', 'api_keys': [KEY]}
# Part of each key in this module that no output may hold.
SECRET = 'K7'


def _manifest(tenants) -> bytes:
    value = {'version': 1, 'routes': [], 'services': [], 'tenants': tenants}
    return json.dumps(value).encode()


class TestRecords:
    def test_accounts_are_decoded(self):
        fields = {'priority': 1, 'rate_per_s': 2.5, 'burst': 4, 'new': [1]}
        value = _manifest([{'name': 'a b', 'api_keys': [KEY], **fields}])
        found = records.decode_manifest(value).unwrap().accounts
        assert found.accounts == (
            accounts.Account.from_keys(
                'a b', [KEY], priority=1, rate_per_s=2.5, burst=4.0
            ),
        )

    @pytest.mark.parametrize('tenants', [[], None])
    def test_empty_list_is_not_a_missing_one(self, tenants):
        # Guards against a list without accounts that opens all routes.
        found = records.decode_manifest(_manifest(tenants)).unwrap()
        assert (found.accounts is None) == (tenants is None)

    @pytest.mark.parametrize(
        'tenants',
        [
            KEY,
            {KEY: 1},
            [{KEY: 1}],
            [{'name': 'a'}],
            [{'api_keys': [KEY]}],
            *(
                [{'name': name, 'api_keys': [KEY]}]
                for name in ('', ' a', 'a\n', 'a\r\nB: c', 'caf\xe9', 7)
            ),
            *(
                [{'name': 'a', 'api_keys': keys}]
                for keys in (
                    KEY,
                    {KEY: 1},
                    [''],
                    [7],
                    [[KEY]],
                    [KEY + ' '],
                    [KEY + '\n'],
                    [KEY + '\xe9'],
                    [KEY * 100],
                )
            ),
            *(
                [{'name': 'a', 'api_keys': [KEY], field: value}]
                for field, values in {
                    'priority': (-1, KEY, 1.5),
                    'rate_per_s': (-1, KEY, 1e9),
                    'burst': (-1, KEY, None),
                }.items()
                for value in values
            ),
        ],
        ids=range(29),
    )
    def test_malformed_account_is_a_failure_without_its_key(self, tenants):
        """Guards against keys in the log line of a refused manifest."""
        outcome = records.decode_manifest(_manifest(tenants))
        assert isinstance(outcome, result.Failure)
        text = outcome.failure().message
        assert text
        assert SECRET not in text

    @pytest.mark.parametrize(
        'end', [b'', b'"', b'\xff"]}]}', b'\x01"]}]}', b'\\x"]}]}']
    )
    def test_broken_text_is_a_failure_without_its_key(self, end):
        """Guards against a parser that quotes what it cannot read."""
        value = _manifest([{'name': 'a', 'api_keys': [KEY]}])
        broken = value[: value.index(b'K7') + 2] + end
        outcome = records.decode_manifest(broken)
        assert isinstance(outcome, result.Failure)
        assert SECRET not in outcome.failure().message


async def _start(platform, targets: int = 1, **options) -> None:
    """Start a gateway with two accounts, a public and two other routes."""
    for _ in range(targets):
        await platform.add_target()
    platform.tenants = [
        {'name': 'north', 'api_keys': [KEY, OTHER_KEY], 'priority': 0},
        {'name': 'south', 'api_keys': [SOUTH_KEY]},
    ]
    await _publish(platform)
    await platform.start(**options)


async def _publish(platform) -> None:
    await platform.publish(
        platform.route('safe', max_attempts=3),
        platform.route('unsafe'),
        platform.route('upload'),
        platform.route('download', public=True),
    )


async def _replace(platform, *tenants: dict) -> None:
    """Publish other accounts and wait until they are in force."""
    platform.tenants = list(tenants)
    await _publish(platform)
    board = platform.gateway.board
    await platform.until(lambda: board.manifest.version == platform.version)


def _apply_at_once(platform, tenants: list[dict] | None) -> None:
    """Put other accounts in force without the store."""
    board = platform.gateway.board
    known = board.manifest
    directory = None
    if tenants is not None:
        directory = accounts.AccountDirectory(
            accounts.Account.from_keys(item['name'], item['api_keys'])
            for item in tenants
        )
    board.manifest = dataclasses.replace(
        known, version=known.version + 1, accounts=directory
    )


def _account_lines(run) -> list[str]:
    """Return the private header lines that a target got, sorted."""
    return sorted(
        line
        for line in run.header_lines
        if line.partition(':')[0].lower().replace('_', '-')
        in ('authorization', 'x-tenant-id')
    )


def _encode(*lines: str, path: str = '/safe/1', method: str = 'GET') -> bytes:
    """Return the head of a request with further header lines."""
    head = callers.encode_request(path, method)[:-2]
    added = ''.join(f'{line}\r\n' for line in lines)
    return head + added.encode('latin-1') + b'\r\n'


class TestCredentials:
    @pytest.mark.parametrize(
        ('lines', 'reason'),
        [
            ([f'Authorization: Bearer {KEY}'], ''),
            ([f'AUTHORIZATION: bEARER {OTHER_KEY}'], ''),
            ([], 'missing-key'),
            (['Authorization:'], 'malformed-key'),
            (['Authorization: Bearer'], 'malformed-key'),
            (['Authorization: Bearer '], 'malformed-key'),
            ([f'Authorization: Bearer  {KEY}'], 'malformed-key'),
            ([f'Authorization: Bearer\t{KEY}'], 'malformed-key'),
            ([f'Authorization: {KEY}'], 'malformed-key'),
            ([f'Authorization: Basic {KEY}'], 'malformed-key'),
            ([f'Authorization: Bearer {KEY},{KEY}'], 'unknown-key'),
            ([f'Authorization: Bearer {KEY} x'], 'malformed-key'),
            ([f'Authorization: Bearer {KEY}\xe9'], 'malformed-key'),
            ([f'Authorization: Bearer {KEY * 100}'], 'malformed-key'),
            ([f'Authorization: Bearer {KEY}x'], 'unknown-key'),
            ([f'Authorization: Bearer {KEY.upper()}'], 'unknown-key'),
            (2 * [f'Authorization: Bearer {KEY}'], 'malformed-key'),
            (
                [f'Authorization: Bearer {KEY}', 'authorization: Basic a'],
                'malformed-key',
            ),
            ([f'Proxy-Authorization: Bearer {KEY}'], 'missing-key'),
            ([f'X-Authorization: Bearer {KEY}'], 'missing-key'),
        ],
        ids=range(20),
    )
    async def test_key_decides_and_the_connection_stays(
        self, platform, lines, reason
    ):
        """Guards against requests that run without a known key.

        And against callers that lose their connection with a refusal.
        """
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(_encode(*lines))
        answer = await caller.receive()
        if reason:
            assert answer.status == 401
            assert answer.headers['www-authenticate'] == 'Bearer'
            assert answer.body == f'{reason}\n'.encode()
            assert platform.runs() == []
            assert platform.targets[0].health_requests == 0
        else:
            assert answer.status == 200
        caller.send(_encode(f'Authorization: Bearer {KEY}'))
        assert (await caller.receive()).status == 200
        caller.close()

    async def test_unread_body_leaves_the_connection_usable(self, platform):
        # Guards against a body that is taken for the next request.
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        for end in ('Content-Length: 5', 'Transfer-Encoding: chunked'):
            caller.send(_encode(end, path='/upload/1', method='POST'))
            assert (await caller.receive()).status == 401
            chunked = 'chunked' in end
            caller.send(b'5\r\nabcde\r\n0\r\n\r\n' if chunked else b'abcde')
        caller.send(_encode(f'Authorization: Bearer {KEY}'))
        assert (await caller.receive()).status == 200
        caller.close()

    async def test_other_errors_go_before_and_after(self, platform):
        # Guards against 401 for what no key would allow.
        await _start(platform)
        assert (await platform.call('/none/1')).status == 404
        platform.gateway.board.manifest = None
        assert (await platform.call(key=KEY)).status == 503

    async def test_without_accounts_headers_pass(self, platform):
        # Guards against a change for deployments without accounts.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(_encode('Authorization: Basic a', 'X-Tenant-Id: b'))
        assert (await caller.receive()).status == 200
        assert _account_lines(platform.runs()[0]) == [
            'Authorization: Basic a',
            'X-Tenant-Id: b',
        ]
        caller.close()


class TestTargets:
    @pytest.mark.parametrize(
        'lines',
        [
            [],
            ['X-Tenant-Id: south'],
            ['x-tenant-id: south', 'X_Tenant_Id: south', 'X-TENANT-ID: a'],
            ['Connection: X-Tenant-Id, Authorization', 'X-Tenant-Id: south'],
            ['X-Tenant-Id: south', 'Connection: close, x-tenant-id'],
            ['aUTHORIZATION_: a', 'X-Tenant-ID:', 'X-Tenant_Id: a'],
        ],
    )
    @pytest.mark.parametrize('first', [True, False])
    async def test_target_gets_the_name_and_no_key(
        self, platform, lines, first
    ):
        """Guards against a target that learns a key or a false name."""
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        key_line = [f'Authorization: Bearer {KEY}']
        caller.send(
            _encode(*(key_line + lines if first else lines + key_line))
        )
        assert (await caller.receive()).status == 200
        (run,) = platform.runs()
        assert _account_lines(run) == ['X-Tenant-Id: north']
        assert SECRET not in ''.join(run.header_lines)
        caller.close()

    async def test_trailers_do_not_reach_a_target(self, platform):
        # Guards against a name that arrives behind the body.
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(
            _encode(
                f'Authorization: Bearer {KEY}',
                'Transfer-Encoding: chunked',
                'Trailer: X-Tenant-Id, Authorization',
                path='/upload/1',
                method='POST',
            )
            + b'1\r\na\r\n0\r\nX-Tenant-Id: south\r\n'
            + f'Authorization: Bearer {SOUTH_KEY}\r\n\r\n'.encode()
        )
        assert (await caller.receive()).status == 200
        (run,) = platform.runs()
        assert _account_lines(run) == ['X-Tenant-Id: north']
        assert run.body == b'a'
        caller.close()

    @pytest.mark.parametrize(
        ('key', 'names'),
        [
            (KEY, ['X-Tenant-Id: north']),
            (SOUTH_KEY, ['X-Tenant-Id: south']),
            (KEY + 'x', []),
            ('', []),
            (None, []),
        ],
    )
    async def test_public_route_takes_all(self, platform, key, names):
        # Guards against a public route that refuses, or trusts, a caller.
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        lines = [] if key is None else [f'Authorization: Bearer {key}']
        caller.send(_encode('X-Tenant-Id: south', *lines, path='/download/1'))
        assert (await caller.receive()).status == 200
        (run,) = platform.runs()
        assert _account_lines(run) == names
        caller.close()

    async def test_all_keys_of_an_account_work_at_once(self, platform):
        await _start(platform)
        replies = await asyncio.gather(
            *(
                platform.call(key=key)
                for key in (KEY, OTHER_KEY, SOUTH_KEY, KEY + 'x')
            )
        )
        assert [reply.status for reply in replies] == [200, 200, 200, 401]
        names = sorted(
            line for r in platform.runs() for line in _account_lines(r)
        )
        assert names == 2 * ['X-Tenant-Id: north'] + ['X-Tenant-Id: south']

    @pytest.mark.parametrize(
        'fault', [emulator.Fault.ERROR, emulator.Fault.HANG]
    )
    async def test_repeats_carry_the_name(self, platform, fault):
        # Guards against retries and hedges without the account.
        await _start(platform, targets=2)
        shared = collections.deque([fault])
        for target in platform.targets:
            target.faults = shared
        assert (await platform.call(key=KEY)).status == 200
        assert [_account_lines(run) for run in platform.runs()] == 2 * [
            ['X-Tenant-Id: north']
        ]

    async def test_call_carries_account_and_its_priority(
        self, platform, monkeypatch
    ):
        # Guards against requests that are shed by the priority of the route.
        await _start(platform)
        sender = platform.gateway.handler.sender
        seen, send = [], sender.send

        async def record(call, *arguments):
            seen.append((call.account.name, call.priority_rank))
            return await send(call, *arguments)

        monkeypatch.setattr(sender, 'send', record)
        for key in (KEY, SOUTH_KEY):
            assert (await platform.call(key=key)).status == 200
        assert seen == [('north', 1), ('south', 0)]


class TestChanges:
    async def test_kept_connection_follows_the_keys(self, platform):
        # Guards against keys that stay valid where they were used before.
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        request = _encode(f'Authorization: Bearer {KEY}')
        caller.send(request)
        assert (await caller.receive()).status == 200
        await _replace(platform, {'name': 'north', 'api_keys': [OTHER_KEY]})
        caller.send(request)
        answer = await caller.receive()
        assert (answer.status, answer.body) == (401, b'unknown-key\n')
        await _replace(platform, SOUTH)
        caller.send(request)
        assert (await caller.receive()).status == 200
        assert [_account_lines(run) for run in platform.runs()] == [
            ['X-Tenant-Id: north'],
            ['X-Tenant-Id: south'],
        ]
        caller.close()

    @pytest.mark.parametrize('kind', ['safe', 'unsafe', 'upload', 'download'])
    @pytest.mark.parametrize(
        ('tenants', 'names'),
        [
            ([NORTH], ['X-Tenant-Id: north']),
            ([SOUTH], ['X-Tenant-Id: south']),
            ([], None),
            (None, [f'Authorization: Bearer {KEY}']),
        ],
    )
    @pytest.mark.parametrize('moment', ['choice', 'write'])
    async def test_change_during_a_request_counts(
        self, platform, monkeypatch, kind, tenants, names, moment
    ):
        """Guards against a write with a key that was removed or moved.

        The head of an upload is made before its body arrives, and is written
        with the first bytes of the body.
        """
        await _start(platform)
        public = kind == 'download'
        if tenants == [] and public:
            names = []
        body = b'abc' if kind in ('unsafe', 'upload') else None
        handler = platform.gateway.handler
        owner, name = {
            'choice': (handler.target_selector, 'choose'),
            'write': (handler.sender, '_exchange'),
        }[moment]
        original = getattr(owner, name)
        changed = []

        async def change(*arguments):
            if moment == 'choice':
                found = await original(*arguments)
            if not changed:
                changed.append(True)
                _apply_at_once(platform, tenants)
            return found if moment == 'choice' else await original(*arguments)

        monkeypatch.setattr(owner, name, change)
        method = 'GET' if body is None else 'POST'
        reply = await platform.call(f'/{kind}/1', method, body, key=KEY)
        assert changed
        if names is None:
            assert (reply.status, reply.body) == (401, b'unknown-key\n')
            assert platform.runs() == []
        else:
            assert reply.status == 200
            assert [_account_lines(run) for run in platform.runs()] == [names]

    async def test_accounts_of_a_new_manifest_hide_the_key(self, platform):
        # Guards against a key that reaches a target with the first manifest
        # that has accounts.
        await _start(platform)
        _apply_at_once(platform, None)
        selector = platform.gateway.handler.target_selector
        choose = selector.choose

        async def change(*arguments):
            _apply_at_once(platform, [NORTH])
            return await choose(*arguments)

        selector.choose = change
        assert (await platform.call(key=KEY)).status == 200
        assert [_account_lines(run) for run in platform.runs()] == [
            ['X-Tenant-Id: north']
        ]

    async def test_removal_ends_the_repeats_of_a_request(self, platform):
        # Guards against a retry that runs with a removed key. The request
        # may have run, so 401 would be wrong.
        await _start(platform, targets=2)
        for target in platform.targets:
            target.faults.append(emulator.Fault.ERROR)
            execute = target._execute

            async def remove(*arguments, execute=execute):
                _apply_at_once(platform, [])
                return await execute(*arguments)

            target._execute = remove
        assert (await platform.call(key=KEY)).status == 502
        assert len(platform.runs()) == 1


class TestLostTouch:
    @pytest.mark.parametrize(
        ('strict', 'age_s', 'status'),
        [
            (False, 9.0, 200),
            (True, 4.0, 200),
            (True, 9.0, 503),
        ],
    )
    async def test_strict_gateway_refuses_what_it_cannot_confirm(
        self, platform, strict, age_s, status
    ):
        """Guards against keys that work for as long as a gateway is cut off.

        And against an outage of the store that refuses all requests.
        """
        await _start(platform, strict_revoke=strict, revoke_timeout='5s')
        authenticator = platform.gateway.handler.authenticator
        now = asyncio.get_running_loop().time()
        assert authenticator.manifest_age_s(now) < 5.0
        authenticator.manifest_age_s = lambda now: age_s
        reply = await platform.call(key=KEY)
        assert reply.status == status
        if status == 503:
            assert float(reply.headers['Retry-After']) > 0
            assert platform.runs() == []
        reply = await platform.call('/download/1', key=KEY)
        assert reply.status == 200
        names = [] if status == 503 else ['X-Tenant-Id: north']
        assert _account_lines(platform.runs()[-1]) == names


BEARER = f'Authorization: Bearer {KEY}'
CHUNKED = 'Transfer-Encoding: chunked'
POST_HEAD = _encode(BEARER, CHUNKED, path='/upload/1', method='POST')
REFUSED_HEAD = _encode(BEARER + 'x', CHUNKED, path='/upload/1', method='POST')
ODD_REQUESTS = [
    _encode(BEARER),
    _encode(BEARER + 'x'),
    _encode(BEARER, BEARER),
    _encode(BEARER + '\x01'),
    _encode(BEARER + '\x00'),
    _encode(BEARER + '\xe9'),
    _encode(BEARER.replace(':', '')),
    _encode(BEARER.replace(':', ' :')),
    _encode(f'Auth\x01: {KEY}'),
    _encode(f'{KEY}\xe9 {KEY}: a'),
    _encode(f' {BEARER}'),
    _encode(BEARER + KEY * 1_000),
    _encode(BEARER, path='/none/1'),
    _encode(BEARER, path=f'/safe/1?key={KEY}'),
    _encode(BEARER, path=f'/safe/ {KEY}'),
    _encode(BEARER, path=f'http://[{KEY}/safe/1'),
    _encode(BEARER, path=f'http://{KEY}:x/safe/1'),
    _encode(BEARER, method=f'{KEY}\x01'),
    _encode(BEARER, method=KEY),
    _encode(BEARER, 'Content-Length: x'),
    _encode(BEARER, f'Content-Length: {KEY}'),
    _encode(BEARER, f'Content-Encoding: {KEY}'),
    _encode(BEARER, f'Transfer-Encoding: {KEY}'),
    _encode(BEARER, f'Expect: {KEY}'),
    _encode(BEARER, 'Connection: upgrade', f'Upgrade: {KEY}'),
    _encode(BEARER, f'X-Deadline-Ms: {KEY}'),
    _encode(BEARER) + f'{KEY}\r\n\r\n'.encode(),
    *(
        head + part
        for head in (POST_HEAD, REFUSED_HEAD)
        for part in (
            f'{KEY}\r\n'.encode(),
            f'1;{KEY}\x01\r\na\r\n0\r\n\r\n'.encode(),
            f'1\r\na{KEY}\r\n0\r\n\r\n'.encode(),
            f'1\r\na\r\n0\r\n{BEARER}\x01\r\n\r\n'.encode(),
            f'1\r\na\r\n0\r\n{BEARER.replace(":", "")}\r\n\r\n'.encode(),
            f'1\r\na\r\n0\r\n{BEARER}{KEY * 1_000}\r\n\r\n'.encode(),
            f'1\r\na\r\n0\r\n{BEARER}\r\n'.encode(),
            b'1\r\na\r\n',
        )
    ),
]


async def _send_odd(port: int, data: bytes, pause_s: float) -> bytes:
    """Send a request in two parts and return all that follows."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    head, separator, body = data.partition(b'\r\n\r\n')
    writer.write(head + separator)
    await asyncio.sleep(pause_s)
    writer.write(body)
    received = b''
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(0.4):
            received = await reader.read()
    writer.transport.abort()
    return received


class TestOutput:
    @pytest.mark.parametrize('has_accounts', [True, False])
    async def test_no_output_holds_a_key(self, platform, has_accounts):
        """Guards against keys in logs, metrics, traces and error texts."""
        target = await platform.add_target()
        target.slots = 100
        if has_accounts:
            platform.tenants = [NORTH]
        await platform.publish(
            platform.route('safe'), platform.route('upload')
        )
        gateway = processes.GatewayProcess.from_store(
            'gateway-1', platform.store.url, '--log-level', 'debug'
        )
        process = await gateway.start(
            asyncio.subprocess.PIPE, asyncio.subprocess.STDOUT
        )
        output = asyncio.create_task(process.stdout.read())
        port = int(gateway.listen.rpartition(':')[2])
        try:
            async with asyncio.timeout(10.0):
                while True:
                    reply = await platform.call(listen=gateway.listen, key=KEY)
                    if reply.status == 200:
                        break
                    await asyncio.sleep(0.05)
            received = await asyncio.gather(
                *(
                    _send_odd(port, data, pause_s)
                    for data in ODD_REQUESTS
                    for pause_s in (0.0, 0.05)
                )
            )
            # A target whose response quotes the request.
            _respond_with_request(target)
            received += await asyncio.gather(
                *(_send_odd(port, _encode(BEARER), 0.0) for _ in range(3))
            )
            await platform.store.put(
                'keyed.op',
                'config',
                _manifest([{'name': 'a', 'api_keys': [KEY + ' ']}]),
            )
            metrics = gateway.arguments[
                gateway.arguments.index('--metrics-listen') + 1
            ]
            async with platform.session.get(
                f'http://{metrics}/metrics'
            ) as response:
                received.append(await response.read())
            await asyncio.sleep(0.5)
        finally:
            process.terminate()
            await process.wait()
        text = (await output).decode()
        assert 'record skipped' in text
        # A failure shows these lines, which must not hold keys either.
        assert _redact_leaks(text) == []
        assert _redact_leaks(b''.join(received).decode('latin-1')) == []
        assert 'request answered' in text
        assert ('"status": 401' in text) == has_accounts

    async def test_errors_of_a_request_are_logged_without_their_text(self):
        # Guards against an exception that quotes a line of a request.
        class Content:
            async def readany(self):
                raise http.HttpProcessingError(code=400, message=KEY)

        request = types.SimpleNamespace(content=Content())
        # The body fails before anything of it is counted.
        body = calls.RequestBody(request, limiter=None)
        with pytest.raises(errors.CallerBodyError) as caught:
            await body.read_head()
        shown = [
            ''.join(traceback.format_exception(caught.value)),
            logs.trace_without_texts(caught.value),
            http_connection.describe_error(
                http.HttpProcessingError(message=KEY)
            ),
        ]
        assert _redact_leaks('\n'.join(shown)) == []
        assert 'HttpProcessingError' in shown[1]
        assert 'readany' in shown[1]

    @pytest.mark.parametrize('ends_with', [b'\r\n', b'\x00\r\n\r\n'])
    async def test_failed_read_of_the_store_shows_no_key(self, ends_with):
        # Guards against a parser that quotes a manifest in a log line.
        async def respond(reader, writer):
            writer.write(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                + KEY.encode()
                + ends_with
            )
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()
            ended.set()

        ended = asyncio.Event()
        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = store.Store(f'http://127.0.0.1:{port}')
        outcome = await client.newest('keyed.op')
        await client.close()
        await ended.wait()
        server.close()
        await server.wait_closed()
        assert _redact_leaks(outcome.failure().message) == []


def _redact_leaks(text: str) -> list[str]:
    """Return the lines that hold a part of a key, without that part."""
    return [
        line.replace(SECRET, '*')
        for line in text.splitlines()
        if SECRET in line
    ]


def _respond_with_request(target) -> None:
    """Let a target respond with a malformed head that quotes a request."""

    def write(request, writer, fault) -> bool:
        key_lines = [line for line in request.lines if SECRET in line]
        quoted = ''.join(f'{line}\x00\r\n' for line in key_lines or ['A: b'])
        writer.write(f'HTTP/1.1 200 OK\r\n{quoted}\r\n'.encode())
        return False

    target._write_outcome = write
