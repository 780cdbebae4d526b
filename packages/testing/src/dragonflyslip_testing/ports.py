"""Ports for processes and servers that tests start."""

import contextlib
import itertools
import os
import random
import socket
import typing

# Below the range from which the kernel takes ports for outgoing connections,
# so that no other connection takes a port between its choice and its use.
_FIRST = 10_000
_LAST = 30_000
# Ports of one worker of the tests; the others take theirs at the same time.
_SHARE = 1_000


def _share() -> range:
    """Return the ports of this worker; the first ones without workers."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', '').removeprefix('gw')
    number = int(worker) + 1 if worker.isdecimal() else 0
    first = _FIRST + number * _SHARE % (_LAST - _FIRST)
    return range(first, first + _SHARE)


def _in_turn() -> typing.Iterator[int]:
    ports = _share()
    return itertools.cycle(random.sample(ports, len(ports)))


_ports = _in_turn()


def free_port() -> int:
    """Return a port of the loopback interface that is free now.

    Each port is returned once before one is returned again, as it may not
    be in use yet.
    """
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port
    raise AssertionError('ports are taken in turn for ever')
