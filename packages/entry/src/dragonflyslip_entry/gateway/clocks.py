"""A clock that goes on while the machine is suspended."""

import time

# The event loop's clock stops with the machine, so what was known before a
# suspension would seem to be current after it.
_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def elapsed_clock_s() -> float:
    """Return seconds since an unspecified start, suspensions included."""
    return time.clock_gettime(_CLOCK_ID)
