"""The end of a gateway process, after it has served its last request."""

import asyncio
import contextlib
import os
import signal

from tests.adapter import processes

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 2.0
# A busy machine may delay a process by seconds.
END_TIMEOUT_S = 30.0


class Gateway:
    """A gateway process whose log is read."""

    def __init__(self, process: asyncio.subprocess.Process):
        self.process = process

    @classmethod
    async def start(cls, store_url: str) -> 'Gateway':
        """Start a gateway and wait until it handles signals."""
        starter = processes.GatewayProcess.from_store(
            'edge-1', store_url, '--stop-timeout', f'{STOP_TIMEOUT_S}s'
        )
        gateway = cls(await starter.start(asyncio.subprocess.PIPE))
        await gateway.read_until(b'gateway starts')
        return gateway

    async def read_until(self, message: bytes) -> None:
        """Read the log up to the line with this message."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while message not in await self.process.stdout.readline():
                pass

    async def wait(self) -> int:
        """Return the exit status; kill a process that does not end."""
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()


class TestExit:
    async def test_unfinished_lookup_does_not_delay_the_end(
        self, tmp_path, monkeypatch
    ):
        """Guards against a wait for a DNS lookup that does not end."""
        # The resolver reads this file, and opening a pipe that nobody writes
        # to blocks it.
        os.mkfifo(tmp_path / 'aliases')
        monkeypatch.setenv('HOSTALIASES', str(tmp_path / 'aliases'))
        gateway = await Gateway.start('http://store:8642')
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.read_until(b'gateway has stopped')
        assert await gateway.wait() == 0

    async def test_signals_after_the_last_line_do_not_fail_the_stop(self):
        """Guards against signals after the handlers are removed."""
        gateway = await Gateway.start('http://127.0.0.1:1')
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.read_until(b'gateway has stopped')
        ended = asyncio.create_task(gateway.wait())
        # send_signal() reaps a process that has ended, and wait() then does
        # not know its exit status.
        handle = os.pidfd_open(gateway.process.pid)
        try:
            while not ended.done():
                with contextlib.suppress(ProcessLookupError):
                    signal.pidfd_send_signal(handle, signal.SIGHUP)
                    signal.pidfd_send_signal(handle, signal.SIGTERM)
                await asyncio.wait([ended], timeout=0.001)
        finally:
            os.close(handle)
        assert ended.result() == 0
