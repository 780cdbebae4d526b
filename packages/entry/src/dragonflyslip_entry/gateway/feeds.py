"""Keeps copies of the platform's feeds, by reading or by copying."""

import asyncio
import dataclasses
import random
import secrets

import msgspec
from returns import result

from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import providers as provider_types
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import relay as relay_types
from dragonflyslip_entry import logs

# Readers ask the log to wait for a change. It may not wake a read, or its
# answer may be lost: the wait and the timeout of the read stay below the 2 s
# within which a change must be in force.
READ_WAIT_S = 1.2
# Records that follow each other closely are read together.
READ_PAUSE_S = 0.15
RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.8
# Retries of a gateway whose providers fail to read as well.
FOLLOWER_RETRY_MIN_S = 1.5
FOLLOWER_RETRY_MAX_S = 2.5
UPDATE_PERIOD_S = 0.1
START_PERIOD_S = 0.02
# Age of a copy from which on its feed counts as lost.
LOST_S = 1.5


class EntryRecord(msgspec.Struct, frozen=True):
    """What a gateway registers of itself, under its name."""

    incarnation: int
    failure_domain: flag_settings.Name
    endpoint: flag_settings.Endpoint

    def __post_init__(self):
        if not 0 <= self.incarnation < 2**64:
            raise ValueError('the incarnation has more than 64 bits')


_decode_entry = msgspec.json.Decoder(
    EntryRecord, dec_hook=flag_settings.parse
).decode


@dataclasses.dataclass
class _Feed:
    """One feed.

    :param read_at: end of this gateway's last good read.
    :param reading: whether its last read was good and the next one runs.
    """

    copy: feeds.FeedCopy = dataclasses.field(default_factory=feeds.FeedCopy)
    read_at: float = float('-inf')
    reading: bool = False


class FeedController:
    """Follows all feeds and reports them to a decoder.

    :param name: name of this gateway.
    :param endpoint: IP:PORT at which other gateways reach it.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        adapter: adapters.Adapter,
        log: adapters.RecordLog,
        sink: adapters.TopologySink,
        name: str,
        endpoint: str,
    ):
        self.board = board
        self.log = log
        self.sink = sink
        self.decoder = adapter.open_decoder(sink)
        self.entries_feed = adapter.entries_feed
        self.me = membership.EntryId(name, secrets.randbits(64))
        self.endpoint = endpoint
        self.loop = asyncio.get_running_loop()
        self.duty = provider_types.ReadDuty()
        self.feeds = {feed: _Feed() for feed in adapter.feeds}
        self.relay = relay_types.FeedRelay(
            board,
            self.me,
            {feed: state.copy for feed, state in self.feeds.items()},
            self._take,
            self._ages,
        )
        self.registered = False
        self._on_duty = asyncio.Event()

    async def run(self) -> None:
        """Follow the feeds for ever."""
        host, port = flag_settings.split_endpoint(self.endpoint)
        await self.relay.listen(host, port)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self._keep_up())
            for feed in self.feeds:
                group.create_task(self._follow(feed))

    async def leave(self) -> None:
        """Make others copy elsewhere; this gateway still follows."""
        self.relay.stop_serving()
        outcome = await self.log.append(self.entries_feed, self.me.name, None)
        if isinstance(outcome, result.Failure):
            logs.changed(
                'registration stays', reason=outcome.failure().message
            )

    def close(self) -> None:
        """Close the links to other gateways."""
        self.relay.close()

    async def _register(self) -> None:
        """Register, and copy from those that did so earlier."""
        record = EntryRecord(
            incarnation=self.me.incarnation,
            failure_domain=str(self.board.failure_domain),
            endpoint=str(self.endpoint),
        )
        value = msgspec.json.encode(record)
        while True:
            outcome = await self.log.append(
                self.entries_feed, self.me.name, value
            )
            if isinstance(outcome, result.Success):
                outcome = await self.log.newest(self.entries_feed)
            match outcome:
                case result.Success(page) if (
                    own := _find(page, self.me.name, value)
                ) is not None:
                    break
                case result.Failure(error):
                    logs.changed('registration failed', reason=error.message)
            await asyncio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))
        older = self._providers(page, own.offset)
        self.board.fleet.note(len(page.records), self.loop.time())
        logs.changed('registered', order=own.offset, older=len(older))
        self.registered = True
        self.duty = provider_types.ReadDuty()
        self.relay.follow(older)
        self._update(self.loop.time())

    def _providers(
        self, page: feeds.FeedPage, own: int
    ) -> list[provider_types.Provider]:
        found = []
        for record in page.records:
            if record.offset >= own or record.value is None:
                continue
            try:
                entry = _decode_entry(record.value)
            except (msgspec.DecodeError, RecursionError) as error:
                self.sink.record_skipped(record.key, str(error))
                continue
            host, port = flag_settings.split_endpoint(entry.endpoint)
            found.append(
                provider_types.Provider(
                    membership.EntryId(record.key, entry.incarnation),
                    entry.failure_domain,
                    host,
                    port,
                    record.offset,
                )
            )
        return found

    async def _keep_up(self) -> None:
        while True:
            self._update(self.loop.time())
            await asyncio.sleep(
                START_PERIOD_S if self._starting else UPDATE_PERIOD_S
            )

    def _update(self, now: float) -> None:
        self.relay.update(now)
        self.board.set_entries(self.board.fleet.entries(now))
        before = self.duty.reads
        fresh = self.relay.choice.fresh
        alone = self.registered and not self.relay.choice.order
        if self.duty.update(fresh, alone, now, self._starting) != before:
            logs.changed(
                'reading of feeds', by_itself=self.duty.reads, fresh=fresh
            )
        if self.duty.reads:
            self._on_duty.set()
        else:
            self._on_duty.clear()
        for feed, age_s in self._ages(now).items():
            if self.feeds[feed].copy.through is None:
                continue
            if age_s > LOST_S:
                self.sink.source_lost(feed, f'last known {age_s:.1f} s ago')
            else:
                self.sink.source_regained(feed)

    @property
    def _starting(self) -> bool:
        """Whether this gateway is registered and cannot serve yet."""
        return self.registered and any(
            feed.copy.through is None for feed in self.feeds.values()
        )

    def _ages(self, now: float) -> dict[str, float]:
        """Return for each feed the seconds since its copy was current."""
        ages = {}
        for name, feed in self.feeds.items():
            own = 0.0 if feed.reading else now - feed.read_at
            ages[name] = min(own, self.relay.age_s(name, now))
        return ages

    async def _follow(self, name: str) -> None:
        """Read a feed whenever too few providers are fresh."""
        feed = self.feeds[name]
        failures = 0
        while True:
            if not self._on_duty.is_set():
                feed.reading = False
                await self._on_duty.wait()
            self.board.count('feed_reads')
            if feed.copy.through is None:
                outcome = await self.log.newest(name)
            else:
                # The first read does not wait: its answer makes the copy
                # current, for this gateway and its followers.
                wait_s = READ_WAIT_S if feed.reading else 0.0
                outcome = await self.log.read(name, feed.copy.through, wait_s)
            match outcome:
                case result.Success(page):
                    failures = 0
                    feed.read_at = self.loop.time()
                    feed.reading = True
                    self.sink.source_regained(name)
                    self._take(name, page)
                    if page.records:
                        await asyncio.sleep(READ_PAUSE_S)
                case result.Failure(error):
                    feed.reading = False
                    self.sink.source_lost(name, error.message)
                    failures += 1
                    # One lost answer is no outage: the first repeat is due
                    # at once.
                    if failures > 1:
                        await asyncio.sleep(self._retry_delay_s())

    def _retry_delay_s(self) -> float:
        if self.relay.has_provider:
            return random.uniform(FOLLOWER_RETRY_MIN_S, FOLLOWER_RETRY_MAX_S)
        return random.uniform(RETRY_MIN_S, RETRY_MAX_S)

    def _take(self, name: str, page: feeds.FeedPage) -> None:
        """Take over records that were read or copied."""
        feed = self.feeds[name]
        before = feed.copy.through
        news = feed.copy.take(page)
        if news is not None:
            if self._ages(self.loop.time())[name] <= LOST_S:
                self.sink.source_regained(name)
            self.decoder.apply(name, news)
        if feed.copy.through != before:
            self.relay.announce()


def _find(
    page: feeds.FeedPage, key: str, value: bytes
) -> feeds.FeedRecord | None:
    """Return the record if it is the newest one of its key."""
    for record in page.records:
        if record.key == key and record.value == value:
            return record
    return None
