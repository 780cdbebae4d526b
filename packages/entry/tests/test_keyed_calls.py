"""Keyed calls run at most once and get the correct outcome header."""

import asyncio

import aiohttp
import pytest


async def _post(environment, url, key, headers=None, **options):
    return await environment.call(
        url,
        'POST',
        '/pay',
        headers={'Idempotency-Key': key, **(headers or {})},
        data=b'100 pounds',
        **options,
    )


class TestRepeats:
    async def test_repeat_gets_the_first_answer_at_any_entry(
        self, environment
    ):
        urls = await environment.fleet(2, 2)
        key = environment.new_key()
        first = await _post(environment, urls[0], key)
        assert first[0] == 200
        for url in urls:
            status, headers, body = await _post(environment, url, key)
            assert (status, body) == (200, first[2])
            assert headers['Dragonflyslip-Replayed'] == '1'
        assert len(environment.runs(key)) == 1

    async def test_simultaneous_attempts_run_once(self, environment):
        urls = await environment.fleet(3, 3)
        for _ in range(5):
            key = environment.new_key()
            results = await asyncio.gather(
                *[
                    _post(environment, url, key, {'X-Test-Delay-Ms': '30'})
                    for url in urls * 3
                ]
            )
            assert len(environment.runs(key)) == 1
            assert {status for status, _, _ in results} <= {200, 409}
            assert any(status == 200 for status, _, _ in results)

    async def test_repeat_after_the_caller_left_gets_the_answer(
        self, environment
    ):
        urls = await environment.fleet(1, 1)
        key = environment.new_key()
        slow = {'X-Test-Delay-Ms': '500'}
        with pytest.raises(asyncio.TimeoutError):
            await _post(
                environment,
                urls[0],
                key,
                slow,
                timeout=aiohttp.ClientTimeout(total=0.2),
            )
        status, _, _ = await _post(environment, urls[0], key, slow)
        assert (status, len(environment.runs(key))) == (200, 1)

    async def test_key_of_another_request_is_refused(self, environment):
        urls = await environment.fleet(1, 1)
        key = environment.new_key()
        await _post(environment, urls[0], key)
        status, headers, _ = await environment.call(
            urls[0], 'POST', '/other', headers={'Idempotency-Key': key}
        )
        assert (status, headers['Dragonflyslip-Outcome']) == (422, 'not-run')

    async def test_large_answer_is_relayed_but_not_repeated(self, environment):
        urls = await environment.fleet(1, 1)
        key = environment.new_key()
        large = {'X-Test-Response-Bytes': '300000'}
        status, _, body = await _post(environment, urls[0], key, large)
        assert (status, len(body)) == (200, 300_000)
        status, headers, _ = await _post(environment, urls[0], key, large)
        assert (status, headers['Dragonflyslip-Outcome']) == (409, 'unknown')
        assert len(environment.runs(key)) == 1


class TestRefusals:
    @pytest.mark.parametrize(
        'key, outcome',
        [
            (None, 'not-run'),
            ('not-a-uuid', 'unknown'),
            # A well-formed key of this age in seconds.
            (7200.0, 'unknown'),
        ],
    )
    async def test_bad_key_is_refused(self, environment, key, outcome):
        urls = await environment.fleet(1, 1)
        if isinstance(key, float):
            key = environment.new_key(age_s=key)
        headers = {} if key is None else {'Idempotency-Key': key}
        status, got, _ = await environment.call(
            urls[0], 'POST', '/pay', headers=headers
        )
        assert (status, got['Dragonflyslip-Outcome']) == (400, outcome)
        assert not [run for run in environment.runs() if run.method == 'POST']

    async def test_log_outage_refuses_keyed_calls_only(self, environment):
        urls = await environment.fleet(1, 1)
        environment.log.faults.down = True
        await asyncio.sleep(0.1)
        for marked, outcome in ((True, 'not-run'), (False, 'unknown')):
            key = environment.new_key()
            headers = {'Dragonflyslip-Attempt': '1'} if marked else {}
            status, got, _ = await _post(environment, urls[0], key, headers)
            assert status == 503
            assert got['Dragonflyslip-Outcome'] == outcome
            assert int(got['Retry-After']) > 0
            assert not environment.runs(key)
        assert (await environment.call(urls[0], 'GET', '/'))[0] == 200

    async def test_lost_append_response_runs_once(self, environment):
        urls = await environment.fleet(1, 1)
        environment.log.faults.lost_responses = 1
        key = environment.new_key()
        status, _, _ = await _post(environment, urls[0], key)
        assert (status, len(environment.runs(key))) == (200, 1)

    async def test_shed_call_is_not_run_and_a_repeat_runs(self, environment):
        urls = await environment.fleet(2, 1)
        key = environment.new_key()
        status, headers, _ = await _post(
            environment, urls[0], key, {'X-Test-Shed': '1'}
        )
        assert (status, headers['Dragonflyslip-Outcome']) == (503, 'not-run')
        for _ in range(100):
            status, _, _ = await _post(environment, urls[1], key)
            if status == 200:
                break
            await asyncio.sleep(0.02)
        assert (status, len(environment.runs(key))) == (200, 1)

    async def test_target_that_breaks_off_leaves_the_outcome_unknown(
        self, environment
    ):
        urls = await environment.fleet(2, 3)
        key = environment.new_key()
        status, headers, _ = await _post(
            environment, urls[0], key, {'X-Test-Crash': '1'}
        )
        assert (status, headers['Dragonflyslip-Outcome']) == (502, 'unknown')
        status, headers, _ = await _post(environment, urls[1], key)
        assert (status, headers['Dragonflyslip-Outcome']) == (409, 'unknown')
        assert len(environment.runs(key)) == 1
