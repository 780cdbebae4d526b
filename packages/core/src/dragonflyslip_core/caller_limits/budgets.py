"""What callers may use of the memory and descriptors of a process."""

import dataclasses
import typing

# Used if neither the setting nor a resource limit bounds the memory.
DEFAULT_MEMORY_BYTES = 512_000_000
DEFAULT_DESCRIPTORS = 1_024
# Descriptors of listeners, logs, the store and other gateways. A gateway has
# about 24 of them before the first request.
MIN_RESERVED_DESCRIPTORS = 24
RESERVED_DESCRIPTOR_SHARE = 0.1
# The rest is for connections to targets.
CALLER_DESCRIPTOR_SHARE = 0.45
# Share of the memory for request bodies in flight.
BODY_MEMORY_SHARE = 0.125
# Share of the memory for heads that have not arrived completely. A parsed
# head takes about three times its size.
HEAD_MEMORY_SHARE = 0.125
HEAD_COST_FACTOR = 3


@dataclasses.dataclass(frozen=True)
class CallerBudget:
    """What the connections of callers may use together.

    :param connections: number of open connections.
    :param head_bytes: received bytes of heads that are not complete.
    :param body_bytes: memory for request bodies in flight.
    """

    connections: int
    head_bytes: int
    body_bytes: int

    @classmethod
    def from_limits(
        cls, memory_bytes: int, max_descriptors: int
    ) -> typing.Self:
        """Return the budget of a process.

        :param memory_bytes: memory of the process; 0 if it is not known.
        :param max_descriptors: its descriptors; 0 if that is not known.
        """
        memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
        max_descriptors = max_descriptors or DEFAULT_DESCRIPTORS
        reserved = max(
            MIN_RESERVED_DESCRIPTORS,
            int(max_descriptors * RESERVED_DESCRIPTOR_SHARE),
        )
        left = max_descriptors - reserved
        return cls(
            max(1, int(left * CALLER_DESCRIPTOR_SHARE)),
            int(memory_bytes * HEAD_MEMORY_SHARE) // HEAD_COST_FACTOR,
            int(memory_bytes * BODY_MEMORY_SHARE),
        )


@dataclasses.dataclass
class MemoryBudget:
    """Bytes that several holders share.

    :param limit_bytes: bytes that may be taken together.
    """

    limit_bytes: int
    used_bytes: int = 0

    def take(self, size_bytes: int) -> bool:
        """Take bytes; return whether that many were left."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return bytes that were taken."""
        self.used_bytes -= size_bytes
