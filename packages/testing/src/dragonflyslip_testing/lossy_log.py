"""A log service that loses append requests."""

import collections.abc

from returns import result

import dragonflyslip_platform as platform


class LossyLog:
    """Forwards requests to another log and loses some appends.

    ``LogFaults.lost_responses`` loses the response of an append; here the
    request itself is lost. The client cannot distinguish the two.

    :ivar losses: number of following appends to lose.
    :ivar on_lost_append: called with each lost record, for example to store
        it later.
    :ivar before_append: called once, before the next append.
    :ivar appended: all records sent to the log, including lost ones.
    """

    def __init__(self, log: platform.LogService):
        self.log = log
        self.losses = 0
        self.on_lost_append: (
            collections.abc.Callable[[bytes], object] | None
        ) = None
        self.before_append: collections.abc.Callable[[], object] | None = None
        self.appended: list[bytes] = []

    async def append(
        self, stream: str, data: bytes
    ) -> result.Result[int, platform.PlatformError]:
        """Append a record, or lose it."""
        self.appended.append(data)
        callback, self.before_append = self.before_append, None
        if callback is not None:
            callback()
        if self.losses == 0:
            return await self.log.append(stream, data)
        self.losses -= 1
        if self.on_lost_append is not None:
            self.on_lost_append(data)
        return result.Failure(platform.UncertainAppendError('append was lost'))

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> result.Result[platform.LogPage, platform.PlatformError]:
        """Read a page of the log."""
        return await self.log.read(stream, from_offset, limit, wait_s)
