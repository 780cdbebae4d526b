"""Contract tests of the log service and the instance list.

The in-memory fakes and the HTTP clients must pass the same tests, so that a
fault of a fake does not hide a fault of a client.
"""

import contextlib

import aiohttp
from aiohttp import test_utils
import pytest
from returns import result

import dragonflyslip_platform as platform
import dragonflyslip_testing as fakes


@contextlib.asynccontextmanager
async def _served(application):
    async with test_utils.TestServer(application) as server:
        async with aiohttp.ClientSession() as session:
            yield session, str(server.make_url('/'))


@pytest.fixture(params=['memory', 'http'])
async def log_and_fake(request):
    """Yield a log service and the in-memory fake that stores its records."""
    memory = fakes.MemoryLog()
    if request.param == 'memory':
        yield memory, memory
        return
    async with _served(fakes.log_application(memory)) as (session, url):
        yield platform.HttpLogService(session, url), memory


class TestLogService:
    async def test_records_are_read_in_offset_order(self, log_and_fake):
        log, _ = log_and_fake
        for data in (b'a', b'', b'c' * 1000):
            assert (await log.append('s', data)).unwrap() >= 1
        page = (await log.read('s', 1, 100, 0)).unwrap()
        assert [record.data for record in page.records] == [
            b'a',
            b'',
            b'c' * 1000,
        ]
        assert [record.offset for record in page.records] == [1, 2, 3]
        assert page.at_end

    async def test_streams_are_separate(self, log_and_fake):
        log, _ = log_and_fake
        await log.append('s', b'a')
        page = (await log.read('t', 1, 100, 0)).unwrap()
        assert page.records == () and page.next == 1 and page.at_end

    async def test_partial_page_is_not_the_end(self, log_and_fake):
        log, _ = log_and_fake
        for _ in range(3):
            await log.append('s', b'x')
        page = (await log.read('s', 1, 2, 0)).unwrap()
        assert page.next == 3 and not page.at_end

    async def test_lost_response_may_have_taken_effect(self, log_and_fake):
        log, memory = log_and_fake
        memory.faults.lost_responses = 1
        outcome = await log.append('s', b'a')
        assert isinstance(outcome.failure(), platform.UncertainAppendError)
        assert len((await log.read('s', 1, 10, 0)).unwrap().records) == 1

    async def test_duplicate_append_is_read_twice(self, log_and_fake):
        log, memory = log_and_fake
        memory.faults.duplicates = 1
        await log.append('s', b'a')
        page = (await log.read('s', 1, 10, 0)).unwrap()
        assert [record.data for record in page.records] == [b'a', b'a']

    async def test_unavailable_log_does_not_append(self, log_and_fake):
        log, memory = log_and_fake
        memory.faults.down = True
        assert isinstance(
            (await log.append('s', b'a')).failure(),
            platform.UnavailableError,
        )
        assert isinstance(
            (await log.read('s', 1, 10, 0)).failure(),
            platform.UnavailableError,
        )
        assert memory.streams['s'] == []

    async def test_expired_offset_error_holds_the_first_offset(
        self, log_and_fake
    ):
        log, memory = log_and_fake
        for _ in range(4):
            await log.append('s', b'x')
        memory.expire('s', 3)
        error = (await log.read('s', 1, 10, 0)).failure()
        assert isinstance(error, platform.OffsetExpiredError)
        assert error.first == 3
        assert (await log.read('s', 3, 10, 0)).unwrap().first == 3

    async def test_lagging_read_hides_the_newest(self, log_and_fake):
        log, memory = log_and_fake
        await log.append('s', b'a')
        await log.append('s', b'b')
        memory.faults.read_lag = 1
        page = (await log.read('s', 1, 10, 0)).unwrap()
        assert [record.data for record in page.records] == [b'a']

    async def test_record_over_the_limit_is_rejected(self, log_and_fake):
        log, memory = log_and_fake
        data = b'x' * (platform.MAX_RECORD_BYTES + 1)
        assert isinstance(
            (await log.append('s', data)).failure(),
            platform.RecordTooLargeError,
        )
        assert memory.streams['s'] == []


INSTANCE = platform.ListedInstance(
    'casebook-1',
    'target',
    'casebook',
    '127.0.0.1',
    8000,
    'scot-central-a',
    platform.instances.targets.InstanceState.LIVE,
)


class TestInstanceList:
    @pytest.fixture(params=['memory', 'http'])
    async def list_and_fake(self, request):
        memory = fakes.MemoryInstances((INSTANCE,))
        if request.param == 'memory':
            yield memory, memory
            return
        application = fakes.instances_application(memory)
        async with _served(application) as (session, url):
            yield platform.HttpInstanceList(session, url), memory

    async def test_rows_are_returned(self, list_and_fake):
        instances, _ = list_and_fake
        assert (await instances.list_instances()).unwrap() == (INSTANCE,)

    async def test_unavailable_list_is_an_error_and_not_empty(
        self, list_and_fake
    ):
        instances, memory = list_and_fake
        memory.down = True
        assert isinstance(
            (await instances.list_instances()).failure(),
            platform.UnavailableError,
        )


class TestBadResponses:
    """An invalid response must not be mistaken for an empty log or list."""

    @pytest.mark.parametrize(
        'body', [b'', b'{', b'{}', b'[]', b'{"first": 0}', b'[{"port": 1}]']
    )
    async def test_unparsable_bodies_are_errors(self, body):
        async def handler(request):
            return aiohttp.web.Response(body=body)

        application = aiohttp.web.Application()
        application.router.add_route('*', '/{tail:.*}', handler)
        async with _served(application) as (session, url):
            log = platform.HttpLogService(session, url)
            listed = platform.HttpInstanceList(session, url)
            assert isinstance(
                (await log.append('s', b'a')).failure(),
                platform.UncertainAppendError,
            )
            assert isinstance(await log.read('s', 1, 1, 0), result.Failure)
            if body != b'[]':
                assert isinstance(
                    (await listed.list_instances()).failure(),
                    platform.BadResponseError,
                )
