"""Ports for processes and servers that tests start."""

import contextlib
import random
import socket

# Below the range from which the kernel takes ports for outgoing connections,
# so that no other connection takes a port between its choice and its use.
_PORTS = range(10_000, 30_000)


def free_port() -> int:
    """Return a port of the loopback interface that is free now."""
    while True:
        port = random.choice(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port
