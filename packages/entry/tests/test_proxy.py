"""Calls through one entry."""

import asyncio
import hashlib
import socket
import time

import aiohttp
from aiohttp import web
import pytest

from dragonflyslip_entry import daemon
from dragonflyslip_testing import slow_caller

# Far more than the end of an entry takes on a busy machine.
END_TIMEOUT_S = 15.0


@pytest.fixture
async def url(environment):
    await environment.publish_service('casebook', missing_key='run_once')
    await environment.add_target('casebook-1')
    url = await environment.add_entry('entry-1')
    await environment.wait_until_warm(url)
    return url


class TestForwarding:
    async def test_response_comes_from_the_target(self, environment, url):
        status, headers, body = await environment.call(url, 'GET', '/a?b=%2F')
        assert (status, body) == (200, b'casebook-1 GET /a?b=%2F\n')
        assert headers['Via'] == '1.1 dragonflyslip'
        assert 'Dragonflyslip-Load' not in headers

    async def test_target_in_absolute_form_is_passed_on(self, url):
        # Guards against a changed query, or a Host header that goes first.
        reader, writer = await asyncio.open_connection(*url.split(':'))
        writer.write(
            b'GET http://casebook/a? HTTP/1.1\r\nHost: nobody\r\n'
            b'Connection: close\r\n\r\n'
        )
        response = await reader.read()
        writer.close()
        assert b'casebook-1 GET /a?\n' in response

    async def test_unknown_host_is_not_run(self, environment, url):
        status, headers, body = await environment.call(
            url, 'GET', '/', headers={'Host': 'nobody'}
        )
        assert status == 404
        assert headers['Dragonflyslip-Outcome'] == 'not-run'
        assert headers['Content-Type'] == 'application/problem+json'
        assert b'"outcome": "not-run"' in body

    async def test_head_has_length_and_no_body(self, environment, url):
        status, headers, body = await environment.call(url, 'HEAD', '/')
        assert (status, body) == (200, b'')
        assert int(headers['Content-Length']) > 0

    @pytest.mark.parametrize('size', [0, 1, 200_000])
    async def test_upload_arrives_byte_for_byte(self, environment, url, size):
        data = bytes(i % 251 for i in range(size))

        async def chunks():
            for start in range(0, size, 7_000):
                yield data[start : start + 7_000]

        for body in (data, chunks()):
            status, headers, _ = await environment.call(
                url, 'POST', '/u', data=body
            )
            assert status == 200
            digest = hashlib.sha256(data).hexdigest()
            assert headers['X-Test-Digest'] == digest

    async def test_expect_100_continue_is_forwarded(self, environment, url):
        status, headers, _ = await environment.call(
            url, 'POST', '/u', data=b'abc', expect100=True
        )
        assert status == 200
        assert headers['X-Test-Digest'] == hashlib.sha256(b'abc').hexdigest()

    @pytest.mark.parametrize('framing', ['length', 'chunked'])
    async def test_truncated_response_does_not_look_complete(
        self, environment, url, framing
    ):
        headers = {'X-Test-Cut': framing, 'X-Test-Response-Bytes': '500000'}
        with pytest.raises(aiohttp.ClientError):
            await environment.call(url, 'GET', '/', headers=headers)

    async def test_long_response_is_complete(self, environment, url):
        headers = {'X-Test-Response-Bytes': '3000000'}
        status, _, body = await environment.call(
            url, 'GET', '/', headers=headers
        )
        assert (status, len(body)) == (200, 3_000_000)

    @pytest.mark.parametrize(
        'lines',
        [
            b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
            b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
            b'X-Long: ' + b'a' * 40_000 + b'\r\n\r\n',
        ],
    )
    async def test_ambiguous_framing_is_refused(self, environment, url, lines):
        runs = len(environment.targets['casebook-1'].runs)
        reader, writer = await asyncio.open_connection(*url.split(':'))
        writer.write(b'POST /x HTTP/1.1\r\nHost: casebook\r\n' + lines)
        head = await reader.read()
        writer.close()
        assert b' 400 ' in head.splitlines()[0]
        assert b'Dragonflyslip-Outcome: not-run' in head
        finished = [
            run
            for run in environment.targets['casebook-1'].runs
            if run.finished
        ]
        assert len(finished) == runs


class TestMetrics:
    async def test_metrics_of_served_calls_are_exported(
        self, environment, url
    ):
        await environment.call(url, 'GET', '/')
        text = environment.entries['entry-1'].metrics.render().decode()
        for line in (
            'dragonflyslip_spare_capacity{service="casebook"}',
            'dragonflyslip_healthy_shortage{service="casebook"} 0.0',
            'dragonflyslip_calls_total{result="2xx",service="casebook"}',
            'dragonflyslip_probes_total',
        ):
            assert line in text


class TestOutcome:
    async def test_refused_connection_means_not_run(self, environment):
        await environment.publish_service('casebook')
        await environment.add_target('casebook-1')
        row = environment.instances.rows[0]
        environment.instances.rows = (
            type(row)(**{**row.__dict__, 'port': 1}),
        )
        url = await environment.add_entry('entry-1')
        for _ in range(200):
            try:
                status, headers, _ = await environment.call(url, 'GET', '/')
                break
            except aiohttp.ClientError:
                await asyncio.sleep(0.02)
        assert status in (502, 503, 504)
        assert headers['Dragonflyslip-Outcome'] == 'not-run'

    async def test_call_that_was_lost_at_the_target_is_unknown(
        self, environment, url
    ):
        # Guards against a caller that repeats a call which has run.
        status, headers, _ = await environment.call(
            url, 'POST', '/x', headers={'X-Test-Crash': '1'}
        )
        assert (status, headers['Dragonflyslip-Outcome']) == (502, 'unknown')
        assert [
            run.path for run in environment.runs() if run.path == '/x'
        ] == ['/x']


class TestUnknownLength:
    async def test_response_without_a_marked_end_is_refused(
        self, environment, url
    ):
        # Guards against a truncated response that looks complete: only the
        # end of the connection marks the end of this one.
        headers = {
            'X-Test-Response-Bytes': '1000',
            'X-Test-Cut': 'unmarked',
        }
        status, headers, _ = await environment.call(
            url, 'GET', '/', headers=headers
        )
        assert (status, headers['Dragonflyslip-Outcome']) == (502, 'unknown')


class TestShutdown:
    async def test_connection_to_be_accepted_is_answered(self, environment):
        # Guards against connections that are reset as the listener closes.
        delay_s = 0.2
        await environment.publish_service('casebook')
        await environment.add_target('casebook-1')
        url = await environment.add_entry('entry-1', drain_delay_s=delay_s)
        await environment.wait_until_warm(url)
        caller, sent = socket.socket(), asyncio.Event()
        host, port = url.split(':')

        def send():
            caller.connect((host, int(port)))
            caller.sendall(b'GET / HTTP/1.1\r\nHost: casebook\r\n\r\n')
            sent.set()

        environment.entries['entry-1'].request_stop()
        await asyncio.sleep(delay_s / 4)
        loop = asyncio.get_running_loop()
        loop.call_later(0.0, send)
        # The delay ends in the turn of the event loop that sends the request.
        time.sleep(delay_s)
        await sent.wait()
        reader, writer = await asyncio.open_connection(sock=caller)
        assert (await reader.read()).startswith(b'HTTP/1.1 200 ')
        writer.close()

    async def test_request_of_an_operator_does_not_hold_the_entry(
        self, environment, monkeypatch
    ):
        # Guards against an entry that waits for a request at its admin port
        # until it is killed.
        released = asyncio.Event()
        await environment.publish_service('casebook')
        await environment.add_target('casebook-1')
        url = await environment.add_entry('entry-1', stop_timeout_s=5.0)
        await environment.wait_until_warm(url)

        async def wait(runner: web.AppRunner) -> None:
            await released.wait()

        monkeypatch.setattr(web.AppRunner, 'cleanup', wait)
        monkeypatch.setattr(daemon, '_STOP_MARGIN_S', 4.8)
        environment.entries['entry-1'].request_stop()
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await asyncio.wait([environment.tasks['entry-1']])
        finally:
            released.set()

    async def test_long_upload_survives_sigterm(self, environment, url):
        release = asyncio.Event()

        async def chunks():
            yield b'a' * 100_000
            await release.wait()
            yield b'b' * 100_000

        upload = asyncio.create_task(
            environment.call(url, 'POST', '/u', data=chunks())
        )
        while not environment.targets['casebook-1'].in_flight:
            await asyncio.sleep(0.01)
        environment.entries['entry-1'].request_stop()
        await asyncio.sleep(0.1)
        assert not environment.tasks['entry-1'].done()
        release.set()
        status, headers, _ = await upload
        expected = hashlib.sha256(b'a' * 100_000 + b'b' * 100_000)
        assert status == 200
        assert headers['X-Test-Digest'] == expected.hexdigest()
        await environment.tasks['entry-1']

    @pytest.mark.parametrize('size', [50_000, 100_000, 1_000_000])
    async def test_last_response_is_sent_before_the_entry_ends(
        self, environment, url, size
    ):
        # Guards against the loss of response bytes that the process has not
        # handed to the kernel when it ends.
        target = environment.targets['casebook-1']
        caller = slow_caller.SlowCaller(url)
        headers = {
            'Host': 'casebook',
            'X-Test-Response-Bytes': str(size),
            'X-Test-Delay-Ms': '100',
        }
        await caller.send_head('GET', '/', headers)
        while not target.in_flight:
            await asyncio.sleep(0.001)
        entry = environment.entries['entry-1']
        entry.request_stop()
        reading = asyncio.create_task(caller.read_response(2.0 * size))
        await environment.tasks['entry-1']
        assert entry.server.unsent_data().connections == 0
        assert len((await reading).partition(b'\r\n\r\n')[2]) == size
        caller.close()

    async def test_unfinished_calls_are_answered_before_the_stop_timeout(
        self, environment
    ):
        # Guards against calls that the end of the process leaves unanswered.
        stop_timeout_s = 5.0
        await environment.publish_service(
            'casebook', missing_key='run_once', deadline_ms=30_000
        )
        target = await environment.add_target('casebook-1')
        url = await environment.add_entry(
            'entry-1', stop_timeout_s=stop_timeout_s
        )
        other_url = await environment.add_entry('entry-2')
        await environment.wait_until_warm(url, other_url)
        entry = environment.entries['entry-1']
        acquire = entry.dispatcher.acquire

        async def acquire_or_wait(call, excluded):
            if call.path.startswith('/waits'):
                await asyncio.Event().wait()
            return await acquire(call, excluded)

        async def endless_body():
            yield b'a'
            await asyncio.Event().wait()

        entry.dispatcher.acquire = acquire_or_wait
        slow = {'X-Test-Delay-Ms': '30000'}
        keys = {
            path: {'Idempotency-Key': environment.new_key()}
            for path in ('/waits/keyed', '/sent/keyed', '/sent/left')
        }
        calls = [
            ('GET', '/waits', {}, None),
            ('POST', '/waits/keyed', keys['/waits/keyed'], None),
            ('POST', '/upload', {}, endless_body()),
            ('GET', '/sent', slow, None),
            ('POST', '/sent', slow, None),
            ('POST', '/sent/keyed', slow | keys['/sent/keyed'], None),
        ]
        left = asyncio.create_task(
            environment.call(
                url, 'POST', '/sent/left', headers=slow | keys['/sent/left']
            )
        )
        tasks = [
            asyncio.create_task(
                environment.call(url, method, path, headers=headers, data=body)
            )
            for method, path, headers, body in calls
        ]
        async with asyncio.timeout(2.0):
            while target.in_flight < 4 or entry.proxy.in_flight < 10:
                await asyncio.sleep(0.01)
        left.cancel()
        entry.request_stop()
        async with asyncio.timeout(stop_timeout_s):
            results = await asyncio.gather(*tasks)
            await environment.tasks['entry-1']
        assert [
            (status, headers['Dragonflyslip-Outcome'])
            for status, headers, _ in results
        ] == [(503, 'not-run')] * 3 + [(504, 'unknown')] * 3
        # The claim of the call that was not sent has been released.
        status, _, _ = await environment.call(
            other_url, 'POST', '/waits/keyed', headers=keys['/waits/keyed']
        )
        assert status == 200

    async def test_response_that_has_begun_is_not_replaced(self, environment):
        # Guards against a stop that cuts a response while it can be sent.
        stop_timeout_s = 5.0
        await environment.publish_service('casebook')
        await environment.add_target('casebook-1')
        url = await environment.add_entry(
            'entry-1', stop_timeout_s=stop_timeout_s
        )
        await environment.wait_until_warm(url)
        entry = environment.entries['entry-1']
        caller = slow_caller.SlowCaller(url)
        size = 1_000_000
        headers = {'Host': 'casebook', 'X-Test-Response-Bytes': str(size)}
        await caller.send_head('GET', '/', headers)
        entry.request_stop()
        # Other calls get an error response after 4.2 s.
        await asyncio.sleep(4.25)
        assert entry.proxy.in_flight == 1
        response = await caller.read_response(1e9)
        assert len(response.partition(b'\r\n\r\n')[2]) == size
        caller.close()

    async def test_second_stop_does_not_wait_for_calls(self, environment, url):
        # Guards against a process that ends only with its last call.
        call = asyncio.create_task(
            environment.call(
                url, 'GET', '/', headers={'X-Test-Delay-Ms': '5000'}
            )
        )
        while not environment.targets['casebook-1'].in_flight:
            await asyncio.sleep(0.001)
        async with asyncio.timeout(2.0):
            await environment.stop_entry('entry-1')
        with pytest.raises(aiohttp.ClientError):
            await call
