"""The emulator as a separate process behind a gateway process."""

import asyncio
import contextlib
import sys

import aiohttp
import pytest

import dragonflyslip_emulator
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
        store = dragonflyslip_emulator.EmulatedStore()
        await store.put('topic', 'a', b'1')
        await asyncio.sleep(0.1)
        await store.put('topic', 'a', b'2')
        await store.put('topic', 'b', b'3')
        await store.restore(0.05)
        assert store.topics['topic'].newest == {'a': (0, b'1')}
        assert store.era == 1
        assert await store.put('topic', 'b', b'4') == 1
