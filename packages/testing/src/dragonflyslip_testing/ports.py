"""Allocates ports for processes and servers that tests start."""

import contextlib
import itertools
import os
import random
import socket
import typing

# Below the kernel's ephemeral port range, so that no outgoing connection
# takes a port between its allocation and its use.
_FIRST_PORT = 10_000
_END_PORT = 30_000
# Each pytest-xdist worker has ports of its own, since workers allocate ports
# concurrently.
_PORTS_PER_WORKER = 1_000


def _worker_ports() -> range:
    """Return the ports of this test worker.

    Without workers, these are the first ones.
    """
    worker = os.environ.get('PYTEST_XDIST_WORKER', '').removeprefix('gw')
    number = int(worker) + 1 if worker.isdecimal() else 0
    first = _FIRST_PORT + number * _PORTS_PER_WORKER % (
        _END_PORT - _FIRST_PORT
    )
    return range(first, first + _PORTS_PER_WORKER)


def _cycle_ports() -> typing.Iterator[int]:
    ports = _worker_ports()
    return itertools.cycle(random.sample(ports, len(ports)))


_ports = _cycle_ports()


def free_port() -> int:
    """Return a port that is currently free on the loopback interface.

    No port is returned again until all others have been returned, since a
    returned port may not be in use yet.
    """
    for port in _ports:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            return port
    raise AssertionError('unreachable: the iterator of ports is endless')
