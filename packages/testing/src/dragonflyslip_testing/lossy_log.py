"""A log whose appends get lost before they take effect."""

import collections.abc

from returns import result

import dragonflyslip_platform as platform


class LossyLog:
    """Passes requests on to another log and loses some appends.

    ``LogFaults.lost_responses`` loses the response; here the request is
    lost, which its sender cannot tell apart.

    :ivar losses: number of appends that are lost.
    :ivar late: called with each lost record, to store it later.
    :ivar before_append: called once, before the next append.
    :ivar appended: what was sent, lost appends included.
    """

    def __init__(self, log: platform.LogService):
        self.log = log
        self.losses = 0
        self.late: collections.abc.Callable[[bytes], object] | None = None
        self.before_append: collections.abc.Callable[[], object] | None = None
        self.appended: list[bytes] = []

    async def append(
        self, stream: str, data: bytes
    ) -> result.Result[int, platform.PlatformError]:
        """Append a record, or lose it."""
        self.appended.append(data)
        action, self.before_append = self.before_append, None
        if action is not None:
            action()
        if self.losses == 0:
            return await self.log.append(stream, data)
        self.losses -= 1
        if self.late is not None:
            self.late(data)
        return result.Failure(platform.UncertainAppendError('append was lost'))

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> result.Result[platform.LogPage, platform.PlatformError]:
        """Read a page of the log."""
        return await self.log.read(stream, from_offset, limit, wait_s)
