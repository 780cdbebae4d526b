"""Client of a store that comes back from older copies of itself."""

import asyncio

import pytest
from returns import result

import dragonflyslip_adapter
from dragonflyslip_adapter import store_newest
from dragonflyslip_core import errors
from dragonflyslip_core import feeds
import dragonflyslip_emulator as emulator

TOPIC = 'keyed.dragonflyslip'


class ChangingStore(emulator.EmulatedStore):
    """A store that begins an era between pages of newest records.

    :ivar changes: how often it still does so.
    """

    changes = 0

    async def _newest(self, request):
        if 'after' in request.query and self.changes > 0:
            self.changes -= 1
            self.era += 1
        return await super()._newest(request)


@pytest.fixture
async def made():
    """Yield a store that has come back once, and a client of it."""
    emulated = ChangingStore()
    await emulated.start()
    client = dragonflyslip_adapter.Store(emulated.url)
    for number in range(4):
        await emulated.put(TOPIC, f'key-{number}', b'old')
    await emulated.restore(emulated.save())
    yield emulated, client
    await client.close()
    await emulated.close()


@pytest.fixture
async def stated():
    """Yield a function that starts a store with one response."""
    stack = []

    async def start(head: bytes, status: bytes = b'200 OK') -> str:
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 %b\r\nContent-Length: 16\r\n' % status)
            writer.write(head + b'\r\n' + bytes(16))
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        stack.append(server)
        port = server.sockets[0].getsockname()[1]
        return f'http://127.0.0.1:{port}'

    yield start
    for server in stack:
        server.close()


def _at(offset: int, era: int = 1) -> feeds.Position:
    return feeds.Position(era, offset)


class TestHeader:
    @pytest.mark.parametrize(
        ('head', 'era'),
        [
            (b'', 0),
            (b'Store-Era: 7\r\n', 7),
            (b'Store-Era: 7\r\nstore-era: 7\r\n', 7),
            (b'Store-Era: 4294967295\r\n', feeds.MAX_ERA),
            (b'Store-Era: 4294967296\r\n', None),
            (b'Store-Era: 7\r\nStore-Era: 8\r\n', None),
            (b'Store-Era:\r\n', None),
            (b'Store-Era: -1\r\n', None),
            (b'Store-Era: 1.0\r\n', None),
            (b'Store-Era: \xd9\xa1\r\n', None),
            (b'Store-Era: ' + b'9' * 5_000 + b'\r\n', None),
        ],
    )
    async def test_malformed_era_is_an_error(self, stated, head, era):
        client = dragonflyslip_adapter.Store(await stated(head))
        outcome = await client.read(TOPIC, _at(0, era or 0), 0.0)
        if era is None:
            assert isinstance(outcome, result.Failure)
            assert (client.era, client.heard_at) == (0, float('-inf'))
        else:
            assert outcome.unwrap().through == _at(0, era)
            assert client.era == era
        await client.close()


class TestRead:
    async def test_offsets_of_a_former_era_are_not_continued(self, made):
        emulated, client = made
        # Once the era is known, no read continues a former one.
        for offset, requests in ((1, 2), (4, 3), (9, 4)):
            page = (await client.read(TOPIC, _at(offset, 0), 0.0)).unwrap()
            assert page.complete
            assert (len(page.records), page.through) == (4, _at(4))
            assert emulated.requests == requests
        page = (await client.read(TOPIC, _at(3), 0.0)).unwrap()
        assert not page.complete
        assert [item.position for item in page.records] == [_at(3)]

    @pytest.mark.parametrize('lost', [True, False])
    async def test_waiting_read_ends_with_the_era(self, made, lost):
        # Guards against a read that waits beyond the new end, and against
        # offsets that are given out again before it returns.
        emulated, client = made
        emulated.suppress_notifications = not lost
        saved = emulated.save()
        await emulated.put(TOPIC, 'key-9', b'lost')
        await client.read(TOPIC, _at(4), 0.0)
        read = asyncio.create_task(client.read(TOPIC, _at(5), 0.5))
        await asyncio.sleep(0.05)
        await emulated.restore(saved)
        if not lost:
            for _ in range(2):
                await emulated.put(TOPIC, 'key-8', b'new')
        page = (await read).unwrap()
        assert page.complete
        assert page.through == _at(4 if lost else 6, era=2)
        assert 'key-9' not in [item.key for item in page.records]

    async def test_response_of_an_older_era_is_a_failure(self, made):
        # Guards against a front of the store that lags behind.
        emulated, client = made
        await client.newest(TOPIC)
        emulated.era = 0
        heard_at = client.heard_at
        for outcome in (
            await client.newest(TOPIC),
            await client.read(TOPIC, _at(2), 0.0),
            await client.append(TOPIC, 'key', b'value'),
        ):
            assert isinstance(outcome.failure(), errors.OlderEraError)
        assert client.heard_at == heard_at
        # A provider may have told of an era that the client has not seen.
        other = dragonflyslip_adapter.Store(emulated.url)
        outcome = await other.read(TOPIC, _at(2), 0.0)
        assert isinstance(outcome.failure(), errors.OlderEraError)
        await other.close()


class TestNewest:
    @pytest.mark.parametrize('changes', [1, store_newest.MAX_NEWEST_STARTS])
    async def test_pages_of_two_eras_start_over(self, made, changes):
        # Guards against records of two eras in one copy, and against a read
        # without end.
        emulated, client = made
        emulated.page_items, emulated.changes = 1, changes
        outcome = await client.newest(TOPIC)
        if changes == 1:
            page = outcome.unwrap()
            assert (len(page.records), page.through) == (4, _at(4, era=2))
            assert {item.position.era for item in page.records} == {2}
        else:
            assert isinstance(outcome, result.Failure)
            assert emulated.requests == 2 * changes


class TestAppend:
    async def test_condition_holds_where_the_log_ends(self, made):
        emulated, client = made
        append = client.append
        assert (await append(TOPIC, 'a', b'1')).unwrap() == _at(4)
        outcome = await append(TOPIC, 'a', b'2', at=_at(5))
        assert outcome.unwrap() == _at(5)
        outcome = await append(TOPIC, 'a', b'3', at=_at(5))
        assert isinstance(outcome.failure(), errors.LogEndError)
        assert outcome.failure().end == _at(6)
        assert emulated.topics[TOPIC].newest['a'] == (5, b'2')

    @pytest.mark.parametrize('offset', [4, 5])
    @pytest.mark.parametrize('era', [0, 2])
    async def test_condition_of_another_era_does_not_hold(
        self, made, offset, era
    ):
        # Guards against a decision that counts as written after the records
        # that its writer knew, at the same offset of another log.
        emulated, client = made
        outcome = await client.append(TOPIC, 'a', b'1', at=_at(offset, era))
        assert isinstance(outcome.failure(), errors.LogEraError)
        # Once the era is known, the request is not sent.
        emulated.requests = 0
        await client.append(TOPIC, 'a', b'1', at=_at(offset, 0))
        assert emulated.requests == 0
