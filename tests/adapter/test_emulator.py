"""The emulator as a separate process behind a gateway process."""

import asyncio
import collections
import contextlib
import sys

import aiohttp
import pytest

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import __main__ as program
from tests.adapter import processes


@contextlib.asynccontextmanager
async def _process(*arguments: str):
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', *arguments, stdout=asyncio.subprocess.PIPE
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        await process.communicate()


class TestVersions:
    @pytest.mark.parametrize(
        ('fault', 'age_s', 'load', 'path', 'expected'),
        [
            ('after_s=5', 4.9, 0.1, '/a', False),
            ('after_s=5', 5.0, 0.1, '/a', True),
            ('above_load=0.5', 0.0, 0.5, '/a', False),
            ('above_load=0.5', 0.0, 0.75, '/a', True),
            ('path_prefix=/a/', 0.0, 0.1, '/b/a/', False),
            ('path_prefix=/a/', 0.0, 0.1, '/a/b', True),
        ],
    )
    def test_fault_shows_under_its_conditions(
        self, fault, age_s, load, path, expected
    ):
        # Guards against a bad version that is taken for a good one.
        parsed = emulator.VersionFault.parse(fault)
        assert parsed.shows(age_s, load, path) is expected

    async def test_bad_version_fails_and_is_slow_on_its_path(self):
        # Guards against a fault that no response shows, or every one.
        fault = emulator.VersionFault(
            error_share=0.5, slowdown=4.0, path_prefix='/bad/'
        )
        target = emulator.EmulatedTarget(
            'casebook', work_s=0.001, version='v2', version_fault=fault
        )
        await target.start()
        assert target.next_registration()['info']['version'] == 'v2'
        target.version = None
        assert 'version' not in target.next_registration()['info']
        statuses = collections.defaultdict(collections.Counter)
        async with aiohttp.ClientSession() as session:
            for path in ('/good/', '/bad/') * 40:
                url = f'http://127.0.0.1:{target.port}{path}'
                async with session.get(url) as response:
                    statuses[path][response.status] += 1
                    assert (
                        target.target_id
                        in (response.headers['X-Server-Stamp'])
                    )
        await target.close()
        assert statuses['/good/'] == {200: 40}
        # All alike by chance in one run of 5e11.
        assert set(statuses['/bad/']) == {200, 500}
        assert all(
            run.ended_at - run.started_at >= 0.004
            for run in target.runs
            if run.path == '/bad/'
        )

    def test_second_version_starts_beside_the_first(self):
        # Guards against a fault that the wrong version has.
        options = program.build_parser().parse_args(
            ['--second-version', 'v2', '--second-fault', 'slowdown=3']
        )
        services = [program.ServicePlan('a', 2), program.ServicePlan('b', 1)]
        made = program.create_targets(options, services)
        assert [
            (target.service, target.version, target.version_fault.slowdown)
            for target in made
        ] == [
            *[('a', 'v1', 1.0)] * 2,
            ('b', 'v1', 1.0),
            *[('a', 'v2', 3.0)] * 2,
            ('b', 'v2', 3.0),
        ]

    @pytest.mark.parametrize(
        'arguments',
        [
            ['--second-fault', 'slowdown=3'],
            ['--second-version', 'v1'],
            ['--second-version', 'v2', '--second-fault', 'error_share=2'],
            ['--second-version', 'v2', '--second-fault', 'speed=2'],
        ],
    )
    def test_unusable_version_is_an_error(self, arguments, capsys):
        with pytest.raises(SystemExit) as stopped:
            program.main(arguments)
        assert stopped.value.code == 2
        assert '--second-' in capsys.readouterr().err


class TestProgram:
    async def test_gateway_serves_its_routes(self):
        # Guards against an example in the documentation that does not work.
        async with contextlib.AsyncExitStack() as stack:
            emulator = await stack.enter_async_context(
                _process('dragonflyslip_emulator', '--service', 'grantdesk=2')
            )
            line = (await emulator.stdout.readline()).decode()
            url = line.removeprefix('store ').strip()
            gateway = processes.GatewayProcess.from_store('edge-1', url)
            running = await gateway.start()
            stack.push_async_callback(running.wait)
            stack.callback(running.terminate)
            session = await stack.enter_async_context(aiohttp.ClientSession())
            status = 0
            async with asyncio.timeout(20.0):
                while status != 200:
                    await asyncio.sleep(0.05)
                    with contextlib.suppress(aiohttp.ClientError):
                        async with session.get(
                            f'http://{gateway.listen}/grantdesk/safe/hello',
                            headers={
                                'Host': 'app.example',
                                'X-Request-Id': 'request-1',
                            },
                        ) as response:
                            status = response.status

    @pytest.mark.parametrize(
        'service', ['', 'casebook', 'casebook=', 'casebook=0', 'a b=1', 'a=x']
    )
    def test_malformed_service_is_an_error(self, service, capsys):
        with pytest.raises(SystemExit) as stopped:
            program.main(['--service', service])
        assert stopped.value.code == 2
        assert '--service' in capsys.readouterr().err


class TestRestore:
    async def test_store_comes_back_as_it_was_before(self):
        store = emulator.EmulatedStore()
        await store.put('topic', 'a', b'1')
        await asyncio.sleep(0.1)
        await store.put('topic', 'a', b'2')
        await store.put('topic', 'b', b'3')
        await store.restore(0.05)
        assert store.topics['topic'].newest == {'a': (0, b'1')}
        assert store.era == 1
        assert await store.put('topic', 'b', b'4') == 1
