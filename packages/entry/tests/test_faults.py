"""Tests delivery of calls and responses while components fail."""

import asyncio
import dataclasses

import aiohttp
import pytest

from dragonflyslip_core import changes
from dragonflyslip_core import models
from dragonflyslip_core import targets
from dragonflyslip_entry import http_connection


class _LoadGenerator:
    """Callers that send until stopped and record the responses."""

    def __init__(self, environment, urls, callers=6):
        self.environment = environment
        self.statuses: list[int] = []
        self.wrong_responses: list[str] = []
        self.stopping = False
        self.tasks = [
            asyncio.create_task(self._call(urls[n % len(urls)], n))
            for n in range(callers)
        ]

    async def _call(self, url, caller):
        number = 0
        while not self.stopping:
            number += 1
            target_path = f'/{caller}/{number}'
            try:
                status, headers, _ = await self.environment.call(
                    url,
                    'GET',
                    target_path,
                    headers={'X-Test-Delay-Ms': str(number % 7)},
                )
            except aiohttp.ClientError:
                status, headers = 0, {}
            self.statuses.append(status)
            if status == 200 and headers['X-Test-Path'] != target_path:
                self.wrong_responses.append(target_path)
            await asyncio.sleep(0.002)

    async def stop(self):
        self.stopping = True
        await asyncio.gather(*self.tasks)


async def _wait_until(condition, timeout_s=20.0):
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        assert asyncio.get_running_loop().time() < deadline
        await asyncio.sleep(0.02)


class TestWithdrawal:
    async def _withdraw(self, environment, how):
        """Withdraw a target.

        :param how: ``list`` for the instance list, ``report`` for the target's
            load report, or the kind and name of a configuration record.
        """
        if how == 'list':
            rows = {row.instance_id: row for row in environment.instances.rows}
            rows['casebook-1'] = dataclasses.replace(
                rows['casebook-1'], state=targets.InstanceState.LEAVING
            )
            environment.instances.rows = tuple(rows.values())
        elif how == 'report':
            environment.targets['casebook-1'].draining = True
        else:
            kind, name = how
            await environment.publish(
                kind, name, models.InServiceModel(in_service=False)
            )

    @pytest.mark.parametrize(
        'how',
        [
            'list',
            'report',
            (changes.Kind.DOMAIN, 'far'),
            (changes.Kind.INSTANCE, 'casebook-1'),
        ],
    )
    async def test_withdrawn_target_gets_no_new_work(self, environment, how):
        await environment.publish_service('casebook', domain_spill_percent=1)
        await environment.add_target('casebook-1', domain='far')
        await environment.add_target('casebook-2')
        urls = [await environment.add_entry(f'entry-{n}') for n in (1, 2)]
        await environment.wait_until_warm(*urls)
        load = _LoadGenerator(environment, urls)
        withdrawn = environment.targets['casebook-1']
        await _wait_until(lambda: len(withdrawn.runs) > 3)
        await self._withdraw(environment, how)
        await asyncio.sleep(1.0)
        before = len(withdrawn.runs)
        await asyncio.sleep(1.0)
        assert len(withdrawn.runs) == before
        await load.stop()
        assert set(load.statuses) == {200}
        assert not load.wrong_responses


class TestColdStart:
    async def test_unannounced_restarts_stay_within_the_cold_limit(
        self, environment
    ):
        urls = await environment.fleet(3, 3, warmup_s=2.0)
        for model in environment.targets.values():
            model.cold_s = 0.5
        load = _LoadGenerator(environment, urls, callers=12)
        for _ in range(2):
            await asyncio.sleep(0.3)
            environment.targets['casebook-1'].restart()
        await _wait_until(
            lambda: any(
                run.boot_id == environment.targets['casebook-1'].boot_id
                for run in environment.targets['casebook-1'].runs
            )
        )
        await asyncio.sleep(0.3)
        await load.stop()
        assert environment.targets['casebook-1'].peak_cold <= 1
        assert not load.wrong_responses


class TestColdService:
    async def test_callers_of_each_entry_are_served_while_all_targets_are_cold(
        self, environment
    ):
        await environment.publish_service('casebook', warmup_s=2.0)
        await environment.add_target('casebook-1')
        urls = [await environment.add_entry(f'entry-{n}') for n in (1, 2)]
        await _wait_until(
            lambda: all(
                running.ready() and running.fleet.agreed
                for running in environment.entries.values()
            )
        )
        await asyncio.sleep(1.0)
        for url in urls:
            await _wait_until(
                lambda: any(
                    state.warm_limit != 0
                    for running in environment.entries.values()
                    for state in running.board.targets.values()
                )
            )
            status, _, body = await environment.call(url, 'GET', '/cold')
            assert (status, body) == (200, b'casebook-1 GET /cold\n')
            key = environment.new_key()
            status, _, _ = await environment.call(
                url, 'POST', '/pay', headers={'Idempotency-Key': key}
            )
            assert (status, len(environment.runs(key))) == (200, 1)


class TestLowLoad:
    async def test_one_caller_warms_up_all_targets(self, environment):
        """Guards against a policy that sends every call to one warm target."""
        urls = await environment.fleet(1, 2, warmup_s=0.2)
        for model in environment.targets.values():
            model.restart()
        states = environment.entries['entry-1'].board.targets.values()
        await _wait_until(
            lambda: all(s.warm_limit is not None for s in states)
        )
        for _ in range(1000):
            await environment.call(urls[0], 'GET', '/')
            if all(s.warm_limit is None for s in states):
                return
        raise AssertionError([s.warm_limit for s in states])


class TestCrashingRequest:
    async def test_crashing_request_reaches_at_most_two_targets(
        self, environment
    ):
        urls = await environment.fleet(2, 5, max_attempts=1)
        outcomes = []
        for attempt in range(8):
            status, headers, _ = await environment.call(
                urls[attempt % 2],
                'GET',
                '/poison',
                headers={'X-Test-Crash': '1'},
            )
            outcomes.append((status, headers.get('Dragonflyslip-Outcome')))
        crashed = [m for m in environment.targets.values() if m.crashes]
        assert len(crashed) <= 2
        assert outcomes[-1] == (503, 'not-run')
        status, _, _ = await environment.call(urls[0], 'GET', '/harmless')
        assert status == 200
        suspects = environment.entries['entry-1'].suspects()['suspects']
        assert len(suspects) == 1
        await environment.publish(
            changes.Kind.LIFT_SUSPECT,
            suspects[0]['fingerprint'],
            models.LiftSuspectModel(),
        )
        await _wait_until(
            lambda: not environment.entries['entry-1'].suspects()['suspects']
        )


class TestIsolation:
    async def test_entry_without_log_and_peers_refuses(self, environment):
        urls = await environment.fleet(2, 1)
        isolated = environment.entries['entry-2']
        isolated.config.log = _UnresponsiveLog()
        isolated.peers.links.set_endpoints({})
        await environment.stop_entry('entry-1')
        await _wait_until(lambda: not isolated.ready())
        status, headers, _ = await environment.call(urls[1], 'GET', '/')
        assert (status, headers['Dragonflyslip-Outcome']) == (503, 'not-run')


class _UnresponsiveLog:
    async def append(self, stream, data):
        await asyncio.sleep(60)

    async def read(self, stream, from_offset, limit, wait_s):
        await asyncio.sleep(60)


class TestChangeBeforeWrite:
    @pytest.mark.parametrize('how', ['instance', 'isolated'])
    async def test_request_that_waits_for_a_connection_is_not_sent(
        self, environment, monkeypatch, how
    ):
        # Guards against a call that is granted a target before the target is
        # withdrawn, or before the entry loses the log, and written later.
        await environment.publish_service('casebook', missing_key='run_once')
        model = await environment.add_target('casebook-1')
        url = await environment.add_entry('entry-1')
        await environment.wait_until_warm(url)
        running = environment.entries['entry-1']
        opening, may_open = asyncio.Event(), asyncio.Event()
        open_connection = http_connection.HttpConnection.open

        async def open_later(*arguments):
            opening.set()
            await may_open.wait()
            return await open_connection(*arguments)

        monkeypatch.setattr(http_connection.HttpConnection, 'open', open_later)
        call = asyncio.create_task(environment.call(url, 'POST', '/late'))
        await opening.wait()
        if how == 'isolated':
            running.dispatcher.may_serve = lambda now: False
        else:
            await environment.publish(
                changes.Kind.INSTANCE,
                'casebook-1',
                models.InServiceModel(in_service=False),
            )
            await _wait_until(lambda: running.board.config.instances_out)
        may_open.set()
        status, headers, _ = await call
        assert (status, headers['Dragonflyslip-Outcome']) == (503, 'not-run')
        assert not [run for run in model.runs if run.method == 'POST']


class TestRetry:
    def _retry_headers(self, environment, target_path):
        runs = [run for run in environment.runs() if run.path == target_path]
        runs.sort(key=lambda run: run.started_at)
        return [run.retry for run in runs]

    async def test_repeated_call_is_marked(self, environment):
        # Guards against repeats by each of several entries on a call's path.
        urls = await environment.fleet(1, 4)
        for number in range(30):
            await environment.call(urls[0], 'GET', f'/{number}')
        await environment.call(
            urls[0], 'GET', '/x', headers={'X-Test-Crash': '1'}
        )
        assert self._retry_headers(environment, '/x') == ['', '1']
        marked = {'X-Test-Crash': '1', 'Dragonflyslip-Retry': '1'}
        status, _, _ = await environment.call(
            urls[0], 'GET', '/y', headers=marked
        )
        assert (status, self._retry_headers(environment, '/y')) == (502, ['1'])
