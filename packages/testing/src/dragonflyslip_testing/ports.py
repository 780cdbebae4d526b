"""Allocates ports for processes and servers that tests start."""

import collections
import itertools
import random
import socket

# Below the kernel's ephemeral port range, so that no outgoing connection
# takes a port between its allocation and its use.
_FIRST_PORT = 10_000
_END_PORT = 30_000
# Each process that allocates ports has a block of its own, since processes
# allocate them concurrently.
_BLOCK_PORTS = 500


def _reserve_block() -> tuple[socket.socket, range]:
    """Return the ports of this process and the socket that reserves them.

    The socket is bound to the first port of the block. Other processes find
    the block taken as long as it is open.
    """
    for first in range(_FIRST_PORT, _END_PORT, _BLOCK_PORTS):
        guard = socket.socket()
        try:
            guard.bind(('127.0.0.1', first))
        except OSError:
            guard.close()
            continue
        return guard, range(first + 1, first + _BLOCK_PORTS)
    raise RuntimeError('other processes have reserved all ports for tests')


_guard, PORTS = _reserve_block()
# The port that was returned longest ago comes first.
_ports = collections.deque(random.sample(PORTS, len(PORTS)))


def free_port() -> int:
    """Return a port that is currently free on the loopback interface.

    No port is returned again until all others have been returned, since a
    returned port may not be in use yet.
    """
    for port in tuple(_ports):
        _move_to_end(port)
        if _is_free(port):
            return port
    raise RuntimeError('all ports of this process are in use')


def free_pair(distance: int) -> tuple[int, int]:
    """Return two free ports, the second at a distance above the first.

    Neither is among the half of all ports that was returned last.
    """
    oldest = tuple(itertools.islice(_ports, len(PORTS) // 2))
    for port in oldest:
        pair = (port, port + distance)
        if pair[1] in oldest and all(map(_is_free, pair)):
            for used in pair:
                _move_to_end(used)
            return pair
    raise RuntimeError(f'no two ports at a distance of {distance} are free')


def _move_to_end(port: int) -> None:
    _ports.remove(port)
    _ports.append(port)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        # Servers bind ports whose closed connections are in TIME_WAIT.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
