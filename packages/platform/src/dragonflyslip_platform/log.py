"""Client of the platform's append-only log service."""

import asyncio
import base64
import binascii
import dataclasses
import typing

import aiohttp
import pydantic
from returns import result

from dragonflyslip_core import bounded_read
from dragonflyslip_core import errors as core_errors
from dragonflyslip_platform import client
from dragonflyslip_platform import errors

FIRST_OFFSET = 1
MAX_RECORD_BYTES = 1 << 20
READ_LIMIT = 500
MAX_PAGE_BYTES = 33_554_432
MAX_APPEND_RESPONSE_BYTES = 65_536

# Added to the wait of a long poll, so that an idle stream is not mistaken for
# an unreachable log.
_LONG_POLL_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """One record of a stream.

    :param offset: position in the stream; the first one is 1.
    :param at_ms: Unix time in ms at which the log accepted the record.
    """

    offset: int
    at_ms: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class LogPage:
    """The records that one read of a stream returned.

    :param first: lowest offset that the stream still holds.
    :param next: offset to read from next.
    :param head: offset that the next append will get.
    :param records: records in offset order.
    """

    first: int
    next: int
    head: int
    records: tuple[LogRecord, ...]

    @property
    def at_end(self) -> bool:
        """Whether this read reached the end of the stream."""
        return self.next >= self.head


AppendResult = result.Result[int, errors.PlatformError]
ReadResult = result.Result[LogPage, errors.PlatformError]


class LogService(typing.Protocol):
    """Interface of the log; the contract tests specify its behaviour."""

    async def append(self, stream: str, data: bytes) -> AppendResult:
        """Append one record.

        :return: its offset; :exc:`~errors.UncertainAppendError` if the append
            may have taken effect, :exc:`~errors.UnavailableError` if not.
        """

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> ReadResult:
        """Read up to ``limit`` records from ``from_offset`` on.

        :param wait_s: seconds to wait for a record at the end of the stream.
        :return: a page, empty if there was no record;
            :exc:`~errors.OffsetExpiredError` if ``from_offset`` has expired.
        """


class _RecordModel(pydantic.BaseModel):
    offset: int = pydantic.Field(ge=FIRST_OFFSET)
    at_ms: int
    data: str


class _PageModel(pydantic.BaseModel):
    first: int = pydantic.Field(ge=FIRST_OFFSET)
    next: int = pydantic.Field(ge=FIRST_OFFSET)
    head: int = pydantic.Field(ge=FIRST_OFFSET)
    records: list[_RecordModel]

    def to_page(self) -> LogPage:
        return LogPage(
            self.first,
            self.next,
            self.head,
            tuple(
                LogRecord(
                    record.offset,
                    record.at_ms,
                    base64.b64decode(record.data, validate=True),
                )
                for record in self.records
            ),
        )


class _AppendResponseModel(pydantic.BaseModel):
    offset: int = pydantic.Field(ge=FIRST_OFFSET)


class _ExpiredResponseModel(pydantic.BaseModel):
    first: int = pydantic.Field(ge=FIRST_OFFSET)


class HttpLogService(client.HttpClient):
    """HTTP client of the log service."""

    async def append(self, stream: str, data: bytes) -> AppendResult:
        """Append one record; see :meth:`LogService.append`."""
        if len(data) > MAX_RECORD_BYTES:
            return result.Failure(
                errors.RecordTooLargeError(
                    f'record of {len(data)} bytes exceeds the limit of '
                    f'{MAX_RECORD_BYTES} bytes'
                )
            )
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.post(
                self._url(stream), data=data, timeout=timeout
            ) as response:
                body = await bounded_read.read_at_most(
                    response.content, MAX_APPEND_RESPONSE_BYTES
                )
                return self._parse_append_response(response.status, body)
        except aiohttp.ClientConnectorError as error:
            return result.Failure(
                errors.UnavailableError(
                    f'log is unreachable: {self.describe(error)}'
                )
            )
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            core_errors.OverlongResponseError,
        ) as error:
            return result.Failure(
                errors.UncertainAppendError(
                    f'append response lost: {self.describe(error)}'
                )
            )

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> ReadResult:
        """Read a page; see :meth:`LogService.read`.

        A page of more than ``MAX_PAGE_BYTES`` is read anew with one record.
        """
        try:
            return await self._read(stream, from_offset, limit, wait_s)
        except core_errors.OverlongResponseError:
            pass
        try:
            return await self._read(stream, from_offset, 1, wait_s)
        except core_errors.OverlongResponseError as error:
            return result.Failure(
                errors.BadResponseError(
                    f'invalid log response: {error.message}'
                )
            )

    async def _read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> ReadResult:
        query = {
            'from': str(from_offset),
            'limit': str(limit),
            'wait_ms': str(int(wait_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(
            total=max(self.timeout_s, wait_s + _LONG_POLL_MARGIN_S)
        )
        try:
            async with self.session.get(
                self._url(stream), params=query, timeout=timeout
            ) as response:
                body = await bounded_read.read_at_most(
                    response.content, MAX_PAGE_BYTES
                )
                return self._parse_read_response(response.status, body)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return result.Failure(
                errors.UnavailableError(
                    f'log read failed: {self.describe(error)}'
                )
            )

    def _url(self, stream: str) -> str:
        return f'{self.base_url}/streams/{stream}/records'

    def _parse_append_response(self, status: int, body: bytes) -> AppendResult:
        if status == 503:
            return result.Failure(
                errors.UnavailableError('log rejected the append: status 503')
            )
        if status == 413:
            return result.Failure(
                errors.RecordTooLargeError(
                    'log rejected the record as too large: status 413'
                )
            )
        try:
            if status != 200:
                raise ValueError(f'status {status}')
            return result.Success(
                _AppendResponseModel.model_validate_json(body).offset
            )
        except ValueError as error:
            # The request was sent, so the append may have taken effect even if
            # the response is invalid.
            return result.Failure(
                errors.UncertainAppendError(
                    f'invalid append response: {error}'
                )
            )

    def _parse_read_response(self, status: int, body: bytes) -> ReadResult:
        try:
            if status == 410:
                first = _ExpiredResponseModel.model_validate_json(body).first
                return result.Failure(
                    errors.OffsetExpiredError(
                        f'records before offset {first} have expired', first
                    )
                )
            if status == 503:
                return result.Failure(
                    errors.UnavailableError(
                        'log rejected the read: status 503'
                    )
                )
            if status != 200:
                raise ValueError(f'status {status}')
            return result.Success(
                _PageModel.model_validate_json(body).to_page()
            )
        except (ValueError, binascii.Error) as error:
            return result.Failure(
                errors.BadResponseError(f'invalid log response: {error}')
            )
