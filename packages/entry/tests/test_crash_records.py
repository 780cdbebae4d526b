"""Writes of records of crashes to a store that is slow or fails."""

import asyncio

import pytest
from returns import result

from dragonflyslip_core import request_crashes
from dragonflyslip_entry.gateway import crash_records


class SlowLog:
    """A log whose appends end when the test lets them.

    :ivar appended: keys and values of accepted appends, in their order.
    :ivar in_flight: keys of the appends that have not ended.
    """

    def __init__(self):
        self.appended: list[tuple[str, bytes | None]] = []
        self.in_flight: list[str] = []
        self.open = asyncio.Event()
        self.failures = 0

    async def append(self, feed, key, value):
        self.in_flight.append(key)
        await self.open.wait()
        self.in_flight.remove(key)
        if self.failures > 0:
            self.failures -= 1
            return result.Failure(ConnectionError('the store is away'))
        self.appended.append((key, value))
        return result.Success(None)


def crash(number: int = 0, depth: int = 1) -> request_crashes.RequestCrash:
    return request_crashes.RequestCrash(
        'a' * 32, f'{number:016x}', depth, 'entry-0'
    )


@pytest.fixture
async def log():
    return SlowLog()


@pytest.fixture
async def writer(log, monkeypatch):
    monkeypatch.setattr(crash_records, 'WRITE_RETRY_MIN_S', 0.0)
    monkeypatch.setattr(crash_records, 'WRITE_RETRY_MAX_S', 0.01)
    drops = []
    made = crash_records.CrashRecordWriter(
        log, 'feed', lambda: drops.append(1)
    )
    made.drops = drops
    yield made
    await made.close(0.0)


class TestCrashRecordWriter:
    async def test_writes_of_one_record_do_not_overtake_each_other(
        self, log, writer
    ):
        """Guards against a deletion that is undone by an earlier write."""
        writer.put(crash(), b'first')
        await asyncio.sleep(0.01)
        writer.put(crash(), b'second')
        writer.put(crash(), None)
        await asyncio.sleep(0.01)
        assert len(log.in_flight) == 1
        log.open.set()
        await writer.close(1.0)
        assert [value for _, value in log.appended] == [b'first', None]

    async def test_newer_value_takes_the_place_of_one_that_failed(
        self, log, writer
    ):
        log.failures = 1
        writer.put(crash(), b'first')
        await asyncio.sleep(0.01)
        writer.put(crash(), b'second')
        log.open.set()
        await writer.close(1.0)
        assert [value for _, value in log.appended] == [b'second']

    async def test_write_that_failed_is_tried_again(self, log, writer):
        """Guards against a crash that an outage of the store hides."""
        log.failures = 3
        log.open.set()
        writer.put(crash(), b'value')
        await writer.close(1.0)
        assert [value for _, value in log.appended] == [b'value']

    async def test_unexpected_exception_loses_one_record(self, log, writer):
        # Guards against a writer that ends, so that the records behind the
        # one at fault wait until there is another crash.
        append, faults = log.append, [KeyError('unexpected')]

        async def fail_once(feed, key, value):
            if faults:
                raise faults.pop()
            return await append(feed, key, value)

        log.append = fail_once
        log.open.set()
        count = 2 * crash_records.MAX_CONCURRENT_WRITES
        for number in range(count):
            writer.put(crash(number), b'value')
        await asyncio.sleep(0.01)
        assert len(log.appended) == count - 1
        assert writer.drops == [1]

    async def test_deepest_crashes_are_written_first(
        self, log, writer, monkeypatch
    ):
        """Guards against a chain of crashes that waits behind others."""
        monkeypatch.setattr(crash_records, 'MAX_CONCURRENT_WRITES', 1)
        for depth in (1, 2, 3):
            writer.put(crash(depth, depth), b'value')
        log.open.set()
        await writer.close(1.0)
        keys = [crash_records.encode_key(crash(d, d)) for d in (3, 2, 1)]
        assert [key for key, _ in log.appended] == keys

    async def test_crashes_of_least_depth_are_dropped(
        self, log, writer, monkeypatch
    ):
        """Guards against memory that an outage of the store fills."""
        monkeypatch.setattr(crash_records, 'MAX_PENDING_WRITES', 2)
        monkeypatch.setattr(crash_records, 'MAX_CONCURRENT_WRITES', 1)
        for number, depth in enumerate((2, 1, 2)):
            writer.put(crash(number, depth), b'value')
        log.open.set()
        await writer.close(1.0)
        kept = {crash_records.encode_key(crash(n, 2)) for n in (0, 2)}
        assert {key for key, _ in log.appended} == kept
        assert len(writer.drops) == 1


class TestKeys:
    def test_key_holds_identity_and_process(self):
        key = crash_records.encode_key(crash(7))
        assert crash_records.parse_key(key) == crash(7).key

    def test_restart_under_the_same_id_is_another_process(self):
        lives = {crash_records.target_life('i-1', at) for at in (1, 2)}
        assert len(lives) == 2
