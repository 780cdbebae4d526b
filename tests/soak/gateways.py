"""Gateway processes of a soak run."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import typing

from dragonflyslip_testing import ports
from dragonflyslip_testing import relay as relay_types

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ('zone-a', 'zone-b')
STOP_TIMEOUT_S = 6.0
# What a process that is killed has done is known for this time before its end.
LATE_STOP_S = 1.0
# 5 and 10 Mbit/s.
LINK_BYTES_PER_S = (625_000, 1_250_000)


class ProcessorTimes(typing.NamedTuple):
    """What the main thread of a process has done since its start.

    Tells a process that hangs from one that gets no processor.

    :param ran_s: seconds in which it ran.
    :param waited_s: seconds in which it could have run and got no processor.
    """

    ran_s: float
    waited_s: float

    @classmethod
    def from_pid(cls, pid: int) -> 'ProcessorTimes':
        """Read the times of a process that has not been waited for."""
        text = pathlib.Path(f'/proc/{pid}/schedstat').read_text()
        ran_ns, waited_ns, _ = text.split()
        return cls(int(ran_ns) / 1e9, int(waited_ns) / 1e9)


class Gateway:
    """A gateway process and its relays.

    :param count: number of gateways of the run.
    :param logs: directory for the log.
    :ivar relay: relay between the gateway and the store.
    :ivar has_started: whether the process has served a request.
    :ivar link: relay between callers and the gateway, with a limited rate.
    """

    def __init__(
        self, number: int, count: int, store_url: str, logs: pathlib.Path
    ):
        self.count = count
        self.store_url = store_url
        self.logs = logs
        self.name = f'gateway-{number}'
        self.zone = ZONES[number % 2]
        self.ports = [ports.free_port() for _ in range(4)]
        self.relay = relay_types.Relay(0)
        self.link = relay_types.Relay(
            self.ports[0], relay_types.RateLimit(LINK_BYTES_PER_S[number % 2])
        )
        self.process: subprocess.Popen | None = None
        self.has_started = False

    async def start(self) -> None:
        """Start the gateway process."""
        self.has_started = False
        listen, ready, peers, metrics = (
            f'127.0.0.1:{port}' for port in self.ports
        )
        sources = [str(p) for p in sorted(ROOT.glob('packages/*/src'))]
        sources.append(str(ROOT / 'platform/src'))
        log = (self.logs / f'{self.name}.log').open('ab')
        with log:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, '-m', 'dragonflyslip_entry', 'gateway'),
                    *('--adapter', 'dragonflyslip_adapter'),
                    *('--name', self.name, '--failure-domain', self.zone),
                    *('--listen', listen, '--ready-listen', ready),
                    *('--peer-listen', peers, '--metrics-listen', metrics),
                    *('--store-url', f'http://127.0.0.1:{self.relay_port}'),
                    *('--planned-entries', str(self.count)),
                ],
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(sources)},
                stdout=log,
                stderr=log,
            )

    async def listen(self) -> None:
        """Start the relays to the store and from the callers."""
        self.relay.target_port = int(self.store_url.rpartition(':')[2])
        server = await self.relay.listen(0)
        self.relay_port = server.sockets[0].getsockname()[1]
        server = await self.link.listen(0)
        self.link_port = server.sockets[0].getsockname()[1]

    async def accepts_connections(self) -> bool:
        """Return whether the process listens for callers."""
        try:
            _, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports[0]
            )
        except OSError:
            return False
        writer.close()
        return True

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_until_ended(self) -> str:
        """Wait for the process to exit, and kill it after a timeout.

        :return: what a process that was killed had done before; empty if it
            exited by itself.
        """
        if await self._has_ended(STOP_TIMEOUT_S - LATE_STOP_S):
            return ''
        before = ProcessorTimes.from_pid(self.process.pid)
        if await self._has_ended(LATE_STOP_S):
            return ''
        after = ProcessorTimes.from_pid(self.process.pid)
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        return (
            f'in its last {LATE_STOP_S:.1f} s it ran for '
            f'{after.ran_s - before.ran_s:.2f} s and waited for a processor '
            f'for {after.waited_s - before.waited_s:.2f} s'
        )

    async def _has_ended(self, timeout_s: float) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.process.poll() is None:
                    await asyncio.sleep(0.02)
        return self.process.poll() is not None
