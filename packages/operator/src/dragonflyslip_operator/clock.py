"""The clock that polling loops and timestamps use."""

import asyncio
import time
import typing


class Clock(typing.Protocol):
    """Source of time for the command; tests substitute their own."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return the Unix time in seconds."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for ``seconds``."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the Unix time in seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep for ``seconds``."""
        await asyncio.sleep(seconds)
