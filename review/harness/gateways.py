"""Gateway processes, started with the command of the deploy file."""

import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Settings of a small installation, as the pages state them.
BOUNDS = {
    'bounds.grace': '6s',
    'bounds.retry_budget_ratio': '0.2',
    'bounds.retry_budget_slack': '60',
    'bounds.probes_per_s': '60',
}
_PLACEHOLDER = re.compile(r'\{\{([^{}]+)\}\}')


# Below the kernel's ephemeral ports, so that no connection takes one.
_PORTS = random.sample(range(10_000, 30_000), 20_000)


def free_port() -> int:
    """Return a port that is free now and was not returned before."""
    while True:
        port = _PORTS.pop()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


class Gateway:
    """One gateway process.

    :param platform_port: port at which it reaches the store.
    :param logs: folder for the output of the process.
    """

    def __init__(
        self, name: str, zone: str, platform_port: int, logs: pathlib.Path
    ):
        self.name = name
        self.zone = zone
        self.platform_port = platform_port
        self.logs = logs
        self.front, self.ready, self.peers, self.metrics = (
            free_port() for _ in range(4)
        )
        self.process: subprocess.Popen | None = None

    def command(self) -> list[str]:
        """Return the command of the deploy file for this gateway."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        values = {
            **BOUNDS,
            'node': self.name,
            'zone': self.zone,
            'ip': '127.0.0.1',
            'listen_addrs.front': f'127.0.0.1:{self.front}',
            'listen_addrs.ready': f'127.0.0.1:{self.ready}',
            'internal_port_range.0': str(self.peers),
            'platform.address': f'127.0.0.1:{self.platform_port}',
        }
        text = _PLACEHOLDER.sub(
            lambda match: values[match[1]], deploy['roles']['gateway']['run']
        )
        words = text.replace(':9464', f':{self.metrics}').split()
        return [sys.executable, *words[1:]]

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.logs / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                self.command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()
