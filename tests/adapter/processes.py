"""Starts gateways as separate processes."""

import asyncio
import sys
import typing

from dragonflyslip_testing import ports


class GatewayProcess(typing.NamedTuple):
    """A gateway that a test can start several times.

    :param listen: ``IP:PORT`` for callers.
    :param arguments: its command line flags.
    """

    listen: str
    arguments: tuple[str, ...]

    @classmethod
    def from_store(cls, name: str, store_url: str, *flags: str) -> typing.Self:
        """Return a gateway of this store that listens on free ports.

        :param flags: further command line flags.
        """
        listen, ready, peers, metrics = (
            f'127.0.0.1:{ports.free_port()}' for _ in range(4)
        )
        return cls(
            listen,
            (
                *('--adapter', 'dragonflyslip_adapter', '--name', name),
                *('--failure-domain', 'zone-a', '--listen', listen),
                *('--ready-listen', ready, '--peer-listen', peers),
                *('--metrics-listen', metrics, '--store-url', store_url),
                *flags,
            ),
        )

    async def start(
        self,
        stdout: int = asyncio.subprocess.DEVNULL,
        stderr: int | None = None,
    ) -> asyncio.subprocess.Process:
        """Start the process; the caller must end it.

        :param stdout: where its log lines go.
        :param stderr: where other output goes, by default to that of the
            test.
        """
        return await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'dragonflyslip_entry', 'gateway'),
            *self.arguments,
            stdout=stdout,
            stderr=stderr,
        )
