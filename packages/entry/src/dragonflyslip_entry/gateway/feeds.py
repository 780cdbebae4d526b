"""Keeps copies of the platform's feeds.

A feed is a log of keyed records, such as manifests or registered targets. A
few gateways read the feeds from the store; the others copy them from these.
"""

import asyncio
import dataclasses
import random

import msgspec
from returns import result

from dragonflyslip_core import errors as core_errors
from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import providers as provider_types
from dragonflyslip_core import waiting_reads
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import crash_reports
from dragonflyslip_entry.gateway import entry_records
from dragonflyslip_entry.gateway import relay as relay_types
from dragonflyslip_entry import logs

# Long-poll time of a read. The log may fail to wake a waiting read, or its
# response may be lost, so the wait and the timeout of the read stay below the
# 2 s within which a change must be in force.
READ_WAIT_S = 1.2
# Shortest long-poll time that spreads the responses to the reads of all feeds.
MIN_READ_WAIT_S = 0.3
# A copy that was read this recently is not read again, so that providers can
# confirm it. It still counts as fresh for those that copy from this gateway.
REREAD_DELAY_S = 0.5
# Pause after a read with changes, so that the next read returns several.
READ_PAUSE_S = 0.15
RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.8
# Retry delays of a gateway that has providers. It reads the store because too
# few of them are fresh, so they probably fail to read as well.
FOLLOWER_RETRY_MIN_S = 1.5
FOLLOWER_RETRY_MAX_S = 2.5
UPDATE_PERIOD_S = 0.1
STARTING_UPDATE_PERIOD_S = 0.02
# A feed counts as lost when its copy is older than this.
SOURCE_LOST_AGE_S = 1.5


@dataclasses.dataclass
class _Feed:
    """The copy of one feed and the state of its reads.

    :param read_at: when the store last responded to a read whose page reached
        the end of the log.
    :param reading: whether the last read succeeded, so that the next one may
        wait for a change.
    :param wait: the read that waits for a change now, if any.
    """

    copy: feeds.FeedCopy = dataclasses.field(default_factory=feeds.FeedCopy)
    read_at: float = float('-inf')
    reading: bool = False
    wait: waiting_reads.WaitingRead | None = None


class FeedController:
    """Keeps copies of all feeds current and passes changes to the decoder.

    :param crashes: gets the records of requests that crash targets.
    :param registrations: gets the registered gateways.
    :param own_id: id of this gateway.
    :param endpoint: IP:PORT at which other gateways reach it.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        adapter: adapters.Adapter,
        log: adapters.RecordLog,
        sink: adapters.TopologySink,
        crashes: crash_reports.CrashReporter,
        registrations: entry_records.RegistrationSink,
        own_id: membership.EntryId,
        endpoint: str,
    ):
        self.board = board
        self.log = log
        self.sink = sink
        self.decoder = adapter.open_decoder(sink)
        self.crashes = crashes
        self.entries_feed = adapter.entries_feed
        self.registrations = registrations
        self.own_id = own_id
        self.endpoint = endpoint
        self.loop = asyncio.get_running_loop()
        self.read_decision = provider_types.ReadDecision()
        self.feeds = {
            feed: _Feed() for feed in (*adapter.feeds, self.entries_feed)
        }
        self.relay = relay_types.FeedRelay(
            board,
            self.own_id,
            {feed: state.copy for feed, state in self.feeds.items()},
            self._apply_page,
            self._ages,
        )
        self.registered = False
        self._gateways: dict[str, entry_records.RegisteredGateway] = {}
        self._must_read = asyncio.Event()

    async def run(self) -> None:
        """Register this gateway and update the copies until cancelled.

        The port for other gateways must be open: they connect to it as soon
        as this gateway is registered.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self._run_updates())
            for feed in self.feeds:
                group.create_task(self._read_feed(feed))

    async def leave(self) -> None:
        """Stop serving other gateways and remove this one's registration.

        This gateway goes on following the feeds.
        """
        self.relay.subscribers.close()
        outcome = await self.log.append(
            self.entries_feed, self.own_id.name, None
        )
        if isinstance(outcome, result.Failure):
            logs.info(
                'registration could not be removed',
                reason=outcome.failure().message,
            )

    def close(self) -> None:
        """Close the links to other gateways."""
        self.relay.close()

    async def _register(self) -> None:
        """Register, and copy from gateways that registered earlier."""
        record = entry_records.EntryRecord(
            incarnation=self.own_id.incarnation,
            failure_domain=str(self.board.failure_domain),
            endpoint=str(self.endpoint),
        )
        value = msgspec.json.encode(record)
        while True:
            outcome = await self.log.append(
                self.entries_feed, self.own_id.name, value
            )
            if isinstance(outcome, result.Success):
                outcome = await self.log.newest(self.entries_feed)
            # The value holds the incarnation, so a record that another process
            # wrote under this name does not match.
            match outcome:
                case result.Success(page) if (
                    own := entry_records.find(page, self.own_id.name, value)
                ) is not None:
                    break
                case result.Failure(error):
                    logs.info('registration failed', reason=error.message)
            await asyncio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))
        gateways = [
            item for item in page.records if entry_records.is_gateway(item)
        ]
        older = self._older_gateways(gateways, own.offset)
        now = self.loop.time()
        self.board.fleet.record_count(len(gateways), now)
        logs.info('registered', order=own.offset, older=len(older))
        self.registered = True
        self.read_decision = provider_types.ReadDecision()
        self.relay.follow(older)
        self.feeds[self.entries_feed].read_at = page.answered_at
        self._apply_page(self.entries_feed, page)
        self._update(now)

    def _older_gateways(
        self, gateways: list[feeds.FeedRecord], own_offset: int
    ) -> list[provider_types.Provider]:
        found = []
        for record in gateways:
            if record.offset >= own_offset or record.value is None:
                continue
            try:
                entry = entry_records.decode(record.value)
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

    async def _run_updates(self) -> None:
        while True:
            self._update(self.loop.time())
            await asyncio.sleep(
                STARTING_UPDATE_PERIOD_S if self._starting else UPDATE_PERIOD_S
            )

    def _update(self, now: float) -> None:
        self.relay.update(now, self._starting)
        self.board.set_entries(self.board.fleet.entries(now))
        before = self.read_decision.reads
        fresh = self.relay.provider_selector.fresh_count
        if (
            self.read_decision.update(
                fresh, self._alone, now, self._starting, self._is_patient()
            )
            != before
        ):
            logs.info(
                'feed reading mode changed',
                by_itself=self.read_decision.reads,
                fresh=fresh,
            )
        if self.read_decision.reads:
            self._must_read.set()
        else:
            self._must_read.clear()
        for feed, age_s in self._ages(now).items():
            if self.feeds[feed].copy.through is None:
                continue
            if age_s > SOURCE_LOST_AGE_S:
                self.sink.source_lost(feed, f'last current {age_s:.1f} s ago')
            else:
                self.sink.source_regained(feed)

    @property
    def _alone(self) -> bool:
        """Whether no gateway that registered earlier is left to copy from."""
        return self.registered and not self.relay.provider_selector.order

    def _is_patient(self) -> bool:
        """Whether other gateways are about to read the store first."""
        if self._starting:
            return self.relay.has_promising_provider
        selector = self.relay.provider_selector
        return selector.first_readers >= provider_types.FIRST_READERS

    @property
    def _starting(self) -> bool:
        """Whether this gateway is registered but lacks the copy of a feed."""
        return self.registered and any(
            feed.copy.through is None for feed in self.feeds.values()
        )

    def age_s(self, feed: str, now: float) -> float:
        """Return the seconds since the copy of a feed was current."""
        return self._ages(now)[feed]

    def _ages(self, now: float) -> dict[str, float]:
        """Return the seconds since each feed's copy was current."""
        ages = {}
        for name, feed in self.feeds.items():
            current_at = feed.read_at
            if feed.wait is not None:
                current_at = feed.wait.current_at(
                    feed.read_at, self.log.heard_at, now
                )
            ages[name] = min(now - current_at, self.relay.age_s(name, now))
        return ages

    async def _read_feed(self, name: str) -> None:
        """Read a feed from the store while too few providers are fresh."""
        feed = self.feeds[name]
        failures = 0
        while True:
            if not self._must_read.is_set():
                feed.reading = False
                await self._must_read.wait()
            begun_at = self.loop.time()
            if (pause_s := self._reread_delay_s(feed, begun_at)) > 0:
                await asyncio.sleep(pause_s)
                continue
            self.board.count('feed_reads')
            wait_s = self._choose_wait_s(feed, begun_at)
            match await self._read_once(name, begun_at, wait_s):
                case result.Success(page):
                    failures = 0
                    is_early = page.answered_at - begun_at < wait_s / 2
                    await asyncio.sleep(
                        self._handle_read(name, page, is_early)
                    )
                case result.Failure(error):
                    feed.reading = False
                    self.relay.unreadable.add(name)
                    self.sink.source_lost(name, error.message)
                    failures += 1
                    # A single lost response is not an outage, so the first
                    # retry is not delayed.
                    if failures > 1:
                        await asyncio.sleep(self._retry_delay_s())

    def _choose_wait_s(self, feed: _Feed, now: float) -> float:
        """Return how long the next read of a feed waits for a change."""
        # The first read does not wait: its response makes the copy current
        # for this gateway and those that copy from it.
        if feed.copy.through is None or not feed.reading:
            return 0.0
        return waiting_reads.choose_wait_s(
            now,
            [
                other.wait.due_at
                for other in self.feeds.values()
                if other.wait is not None
            ],
            MIN_READ_WAIT_S,
            READ_WAIT_S,
        )

    async def _read_once(
        self, name: str, now: float, wait_s: float
    ) -> result.Result[feeds.ReadPage, core_errors.CoreError]:
        feed = self.feeds[name]
        if feed.copy.through is None:
            return await self.log.newest(name)

        def end_wait() -> None:
            feed.wait = None

        if wait_s > 0:
            feed.wait = waiting_reads.WaitingRead(now, now + wait_s)
        try:
            return await self.log.read(
                name,
                feed.copy.through,
                wait_s,
                feed.copy.value_bytes,
                end_wait,
            )
        finally:
            end_wait()

    def _handle_read(
        self, name: str, page: feeds.ReadPage, is_early: bool
    ) -> float:
        """Apply a page of the store and return the pause before the next read.

        :param is_early: whether the store responded before the end of the
            wait.
        """
        feed = self.feeds[name]
        self.relay.unreadable.discard(name)
        if page.is_current:
            feed.read_at = max(feed.read_at, page.answered_at)
        feed.reading = page.is_current and (self._alone or not page.complete)
        self.sink.source_regained(name)
        if not self._apply_page(name, page):
            # Subscribers learn that their copies are current.
            self.relay.announce()
        if page.records:
            return READ_PAUSE_S if page.is_current else 0.0
        if page.is_current and not is_early:
            return 0.0
        # A store that does not wait would be read without end.
        self.board.count('early_reads')
        feed.reading = False
        return self._retry_delay_s()

    def _reread_delay_s(self, feed: _Feed, now: float) -> float:
        """Return how long to wait before a read that does not wait itself.

        Providers may confirm meanwhile a copy that was just read.
        """
        if feed.copy.through is None or feed.reading or self._alone:
            return 0.0
        return feed.read_at + REREAD_DELAY_S - now

    def _retry_delay_s(self) -> float:
        if self.relay.has_provider:
            return random.uniform(FOLLOWER_RETRY_MIN_S, FOLLOWER_RETRY_MAX_S)
        return random.uniform(RETRY_MIN_S, RETRY_MAX_S)

    def _apply_page(self, name: str, page: feeds.FeedPage) -> bool:
        """Apply a page that was read from the log or copied.

        :return: whether the copy now reaches further.
        """
        feed = self.feeds[name]
        before = feed.copy.through
        changes = feed.copy.apply(page)
        if changes is not None:
            if self._ages(self.loop.time())[name] <= SOURCE_LOST_AGE_S:
                self.sink.source_regained(name)
            self._apply_changes(name, changes)
        if feed.copy.through == before:
            return False
        self.relay.announce()
        return True

    def _apply_changes(self, name: str, changes: feeds.FeedPage) -> None:
        try:
            if name == self.entries_feed:
                self._apply_gateways(changes)
                self.crashes.apply(changes)
            else:
                self.decoder.apply(name, changes)
        except Exception as error:
            # Every gateway reads these records. An unexpected one must not
            # end them all, each time they start.
            self.board.count('program_faults')
            logs.LOGGER.error(
                'changes could not be applied',
                exc_info=error,
                extra={'feed': name, 'through': changes.through},
            )

    def _apply_gateways(self, page: feeds.FeedPage) -> None:
        """Apply registrations of gateways."""
        if page.complete:
            self._gateways.clear()
        for record in page.records:
            if not entry_records.is_gateway(record):
                continue
            self.relay.registration_ended(record.key, record.offset)
            gateway = entry_records.RegisteredGateway.from_record(record)
            if gateway is not None:
                self._gateways[record.key] = gateway
            else:
                self._gateways.pop(record.key, None)
        self.board.set_registered_entries(frozenset(self._gateways))
        self.registrations.set_gateways(self._gateways)
