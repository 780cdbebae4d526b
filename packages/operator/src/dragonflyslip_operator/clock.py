"""Present time for the loops of this command."""

import asyncio
import time
import typing


class Clock(typing.Protocol):
    """Where the command takes the time from; tests pass their own."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return Unix seconds."""

    async def sleep(self, seconds: float) -> None:
        """Return after ``seconds``."""


class SystemClock:
    """The clock of this process."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Return after ``seconds``."""
        await asyncio.sleep(seconds)
