"""Fake of the log service, in memory and over HTTP."""

import asyncio
import base64
import collections
import dataclasses
import time

from aiohttp import web
from returns import result

import dragonflyslip_platform as platform

_MAX_WAIT_S = 30.0


@dataclasses.dataclass
class LogFaults:
    """Faults that the log simulates; all are off by default.

    :param down: every request fails without effect.
    :param lost_responses: number of following appends whose response is lost
        after the record was stored.
    :param duplicates: number of following appends that are stored twice.
    :param delay_s: seconds added to every request.
    :param read_lag: number of newest records that reads do not return yet.
    """

    down: bool = False
    lost_responses: int = 0
    duplicates: int = 0
    delay_s: float = 0.0
    read_lag: int = 0


class MemoryLog:
    """In-memory implementation of ``LogService``.

    :param faults: faults to simulate; tests may change them at any time.
    :ivar next_offsets: by stream, the offset of the next record.
    :ivar appends: number of append requests, including failed ones.
    :ivar reads: number of read requests, including failed ones.
    """

    def __init__(self, faults: LogFaults | None = None):
        self.faults = faults or LogFaults()
        self.streams: dict[str, list[platform.LogRecord]] = (
            collections.defaultdict(list)
        )
        self.next_offsets: dict[str, int] = collections.defaultdict(
            lambda: platform.FIRST_OFFSET
        )
        self.appends = 0
        self.reads = 0
        self._appended = asyncio.Event()

    async def append(
        self, stream: str, data: bytes
    ) -> result.Result[int, platform.PlatformError]:
        """Store a record and return its offset."""
        self.appends += 1
        await self._delay()
        if self.faults.down:
            return result.Failure(platform.UnavailableError('log is down'))
        if len(data) > platform.MAX_RECORD_BYTES:
            return result.Failure(
                platform.RecordTooLargeError('record is too large')
            )
        offset = self._store(stream, data)
        if self.faults.duplicates > 0:
            self.faults.duplicates -= 1
            self._store(stream, data)
        if self.faults.lost_responses > 0:
            self.faults.lost_responses -= 1
            return result.Failure(
                platform.UncertainAppendError('append response was lost')
            )
        return result.Success(offset)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> result.Result[platform.LogPage, platform.PlatformError]:
        """Return records from ``from_offset`` on.

        At the end of the stream it waits for a new record, for up to
        ``wait_s`` but at most 30 s.
        """
        self.reads += 1
        await self._delay()
        deadline = time.monotonic() + min(wait_s, _MAX_WAIT_S)
        while True:
            if self.faults.down:
                return result.Failure(platform.UnavailableError('log is down'))
            first = self._first_offset(stream)
            if from_offset < first:
                return result.Failure(
                    platform.OffsetExpiredError('records expired', first)
                )
            page = self._page(stream, from_offset, limit)
            remaining = deadline - time.monotonic()
            if page.records or remaining <= 0:
                return result.Success(page)
            await self._wait_for_append(remaining)

    def expire(self, stream: str, before: int) -> None:
        """Delete the records of a stream below offset ``before``."""
        self.streams[stream] = [
            record
            for record in self.streams[stream]
            if record.offset >= before
        ]

    def _store(self, stream: str, data: bytes) -> int:
        offset = self.next_offsets[stream]
        self.next_offsets[stream] = offset + 1
        self.streams[stream].append(
            platform.LogRecord(offset, int(time.time() * 1000), data)
        )
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def _first_offset(self, stream: str) -> int:
        records = self.streams[stream]
        return records[0].offset if records else self.next_offsets[stream]

    def _page(
        self, stream: str, from_offset: int, limit: int
    ) -> platform.LogPage:
        first = self._first_offset(stream)
        head = max(first, self.next_offsets[stream] - self.faults.read_lag)
        start = from_offset - first
        stop = min(start + limit, head - first)
        records = tuple(self.streams[stream][start : max(start, stop)])
        next_offset = records[-1].offset + 1 if records else from_offset
        return platform.LogPage(first, next_offset, head, records)

    async def _delay(self) -> None:
        if self.faults.delay_s > 0:
            await asyncio.sleep(self.faults.delay_s)

    async def _wait_for_append(self, timeout_s: float) -> None:
        try:
            await asyncio.wait_for(self._appended.wait(), timeout_s)
        except asyncio.TimeoutError:
            pass


LOG = web.AppKey('log', MemoryLog)


def log_application(log: MemoryLog) -> web.Application:
    """Return an application that serves ``log`` over HTTP.

    ``POST /faults`` replaces the faults.
    """
    application = web.Application(
        client_max_size=2 * platform.MAX_RECORD_BYTES
    )
    application[LOG] = log
    application.router.add_post('/streams/{stream}/records', _handle_append)
    application.router.add_get('/streams/{stream}/records', _handle_read)
    application.router.add_post('/faults', _handle_faults)
    return application


async def _handle_append(request: web.Request) -> web.Response:
    log: MemoryLog = request.app[LOG]
    outcome = await log.append(
        request.match_info['stream'], await request.read()
    )
    match outcome:
        case result.Success(offset):
            return web.json_response({'offset': offset})
        case result.Failure(platform.UncertainAppendError()):
            request.transport.abort()
            return web.Response(status=500)
        case result.Failure(platform.RecordTooLargeError()):
            return web.Response(status=413)
        case _:
            return web.Response(status=503)


async def _handle_read(request: web.Request) -> web.Response:
    log: MemoryLog = request.app[LOG]
    try:
        from_offset = int(request.query['from'])
        limit = int(request.query['limit'])
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
    except (KeyError, ValueError):
        return web.Response(status=400)
    outcome = await log.read(
        request.match_info['stream'], from_offset, limit, wait_s
    )
    match outcome:
        case result.Success(page):
            return web.json_response(_page_json(page))
        case result.Failure(platform.OffsetExpiredError() as error):
            return web.json_response({'first': error.first}, status=410)
        case _:
            return web.Response(status=503)


def _page_json(page: platform.LogPage) -> dict[str, object]:
    return {
        'first': page.first,
        'next': page.next,
        'head': page.head,
        'records': [
            {
                'offset': record.offset,
                'at_ms': record.at_ms,
                'data': base64.b64encode(record.data).decode(),
            }
            for record in page.records
        ],
    }


async def _handle_faults(request: web.Request) -> web.Response:
    log: MemoryLog = request.app[LOG]
    log.faults = LogFaults(**await request.json())
    return web.Response(status=204)
