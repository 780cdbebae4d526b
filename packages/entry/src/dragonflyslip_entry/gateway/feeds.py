"""Keeps copies of the platform's feeds.

A feed is a log of keyed records, such as manifests or registered targets. A
few gateways read the feeds from the store; the others copy them from these.
"""

import asyncio
import random

from returns import result

from dragonflyslip_core import errors as core_errors
from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import providers as provider_types
from dragonflyslip_core import waiting_reads
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import crash_reports
from dragonflyslip_entry.gateway import entry_records
from dragonflyslip_entry.gateway import followed_feeds
from dragonflyslip_entry.gateway import registry as registry_types
from dragonflyslip_entry.gateway import relay as relay_types
from dragonflyslip_entry.gateway import renewals
from dragonflyslip_entry.gateway.rollouts import controller
from dragonflyslip_entry.gateway import store_contact
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


class FeedController:
    """Keeps copies of all feeds current and passes changes to the decoder.

    :param crashes: gets the records of requests that crash targets.
    :param rollouts: gets the records of decisions.
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
        rollouts: controller.RolloutController,
        registrations: entry_records.RegistrationSink,
        own_id: membership.EntryId,
        endpoint: str,
    ):
        self.board = board
        self.log = log
        self.sink = sink
        self.decoder = adapter.open_decoder(sink)
        self.crashes = crashes
        self.rollouts = rollouts
        self.entries_feed = adapter.entries_feed
        self.registrations = registrations
        self.own_id = own_id
        self.endpoint = endpoint
        self.loop = asyncio.get_running_loop()
        self.read_decision = provider_types.ReadDecision()
        self.feeds = {
            feed: followed_feeds.FollowedFeed()
            for feed in (*adapter.feeds, self.entries_feed)
        }
        self.store_contact = store_contact.StoreContact(
            board, self.feeds, adapter.target_feed, log, sink
        )
        self.relay = relay_types.FeedRelay(
            board,
            self.own_id,
            {feed: state.copy for feed, state in self.feeds.items()},
            self._apply_copied_page,
            self._ages,
        )
        self.registry = registry_types.GatewayRegistry(
            board,
            log,
            sink,
            self.relay,
            self.entries_feed,
            self.feeds[self.entries_feed].copy,
            endpoint,
            registrations,
        )
        self.renewals = renewals.Renewals(
            board, (self.registry, crashes, rollouts)
        )
        rollouts.feed.follow(
            self.feeds[self.entries_feed].copy,
            lambda: self._ages(self.loop.time())[self.entries_feed],
        )
        self._must_read = asyncio.Event()

    async def run(self) -> None:
        """Register this gateway and update the copies until cancelled.

        The port for other gateways must be open: they connect to it as soon
        as this gateway is registered.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self._run_updates())
            group.create_task(self.renewals.run())
            for feed in self.feeds:
                group.create_task(self._read_feed(feed))

    async def leave(self) -> None:
        """Stop serving other gateways and remove this one's registration.

        This gateway goes on following the feeds.
        """
        self.relay.subscribers.close()
        await self.registry.leave()

    def close(self) -> None:
        """Close the links to other gateways."""
        self.relay.close()

    async def _register(self) -> None:
        """Register, and copy from gateways that registered earlier."""
        page = await self.registry.register()
        now = self.loop.time()
        gateways = [
            item for item in page.records if entry_records.is_gateway(item)
        ]
        self.board.fleet.record_count(len(gateways), now)
        self.read_decision = provider_types.ReadDecision()
        self.feeds[self.entries_feed].read_at = page.answered_at
        self._apply_page(self.entries_feed, page)
        if not self.registry.begin_following():
            self.renewals.begin()
        self._try_update(now)

    async def _run_updates(self) -> None:
        while True:
            self._try_update(self.loop.time())
            await asyncio.sleep(
                STARTING_UPDATE_PERIOD_S if self._starting else UPDATE_PERIOD_S
            )

    def _try_update(self, now: float) -> None:
        try:
            self._update(now)
        except Exception as error:
            self._record_fault(error, 'update')
            # Nothing is known of the providers, which may have ended.
            self._must_read.set()

    def _update(self, now: float) -> None:
        for feed in self.feeds.values():
            feed.end_outdated_wait(self.log.era, now)
        self.registry.expire()
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
        self.store_contact.update(self._ages(now), now)

    @property
    def _alone(self) -> bool:
        """Whether no gateway that registered earlier is left to copy from."""
        return (
            self.registry.registered and not self.relay.provider_selector.order
        )

    def _is_patient(self) -> bool:
        """Whether other gateways are about to read the store first."""
        if self._starting:
            return self.relay.has_promising_provider
        selector = self.relay.provider_selector
        return selector.first_readers >= provider_types.FIRST_READERS

    @property
    def _starting(self) -> bool:
        """Whether this gateway is registered but lacks the copy of a feed."""
        return self.registry.registered and any(
            feed.copy.through is None for feed in self.feeds.values()
        )

    def age_s(self, feed: str, now: float) -> float:
        """Return the seconds since the copy of a feed was current."""
        return self._ages(now)[feed]

    def _ages(self, now: float) -> dict[str, float]:
        """Return the seconds since each feed's copy was current."""
        ages = {}
        for name, feed in self.feeds.items():
            current_at = feed.current_at(self.log.heard_at, self.log.era, now)
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
            try:
                failed = not await self._read_page(name, begun_at)
            except Exception as error:
                # All gateways read the feed, and would end together.
                self._record_fault(error, f'read of {name}')
                feed.reading = False
                failed = True
            failures = failures + 1 if failed else 0
            # A single lost response is not an outage, so the first retry is
            # not delayed.
            if failures > 1:
                await asyncio.sleep(self._retry_delay_s())

    async def _read_page(self, name: str, begun_at: float) -> bool:
        """Read a feed once, apply what it returns, and pause.

        :return: whether the store responded.
        """
        feed = self.feeds[name]
        self.board.count('feed_reads')
        wait_s = self._choose_wait_s(feed, begun_at)
        match await self._read_once(name, begun_at, wait_s):
            case result.Success(page):
                is_early = (
                    not page.complete
                    and page.answered_at - begun_at < wait_s / 2
                )
                await asyncio.sleep(self._handle_read(name, page, is_early))
                return True
            case result.Failure(error):
                feed.reading = False
                self.relay.unreadable.add(name)
                self.store_contact.read_failed(
                    name, begun_at + wait_s, self.loop.time(), error.message
                )
        return False

    def _record_fault(self, error: Exception, step: str) -> None:
        """Record an unexpected exception; the next step is taken as usual."""
        self.board.count('program_faults')
        logs.fault('feeds not updated', error, step=step)

    def _choose_wait_s(
        self, feed: followed_feeds.FollowedFeed, now: float
    ) -> float:
        """Return how long the next read of a feed waits for a change."""
        # The first read does not wait: its response makes the copy current
        # for this gateway and those that copy from it.
        if feed.copy.through is None or not feed.reading:
            return 0.0
        if feed.era < self.log.era:
            # The store has come back from an older copy.
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
            feed.wait = waiting_reads.WaitingRead(now, now + wait_s, feed.era)
        try:
            async with asyncio.timeout(None) as feed.wait_timeout:
                outcome = await self.log.read(
                    name,
                    feed.copy.through,
                    wait_s,
                    feed.copy.value_bytes,
                    end_wait,
                )
        except TimeoutError:
            outcome = await self.log.newest(name)
        finally:
            end_wait()
        match outcome:
            case result.Success(page) if page.era < feed.era:
                # A provider has sent a copy of a newer era meanwhile.
                return result.Failure(
                    core_errors.OlderEraError(page.era, feed.era)
                )
        return outcome

    def _handle_read(
        self, name: str, page: feeds.ReadPage, is_early: bool
    ) -> float:
        """Apply a page of the store and return the pause before the next read.

        :param is_early: whether the store responded before the end of the
            wait.
        """
        feed = self.feeds[name]
        self.relay.unreadable.discard(name)
        self.store_contact.responded(name)
        if page.is_current:
            feed.read_at = max(feed.read_at, page.answered_at)
        feed.reading = page.is_current and (self._alone or not page.complete)
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

    def _reread_delay_s(
        self, feed: followed_feeds.FollowedFeed, now: float
    ) -> float:
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

    def _apply_copied_page(self, name: str, page: feeds.FeedPage) -> None:
        """Apply a page that a provider has sent."""
        feed = self.feeds[name]
        if page.era > feed.era:
            # Own reads said nothing of this era.
            feed.read_at = float('-inf')
        self._apply_page(name, page)

    def _apply_page(self, name: str, page: feeds.FeedPage) -> bool:
        """Apply a page that was read from the log or copied.

        :return: whether the copy now reaches further.
        """
        feed = self.feeds[name]
        before = feed.copy.through
        changes = feed.copy.apply(page)
        if changes is not None:
            self.log.era = max(self.log.era, feed.era)
            self.board.store_era = max(self.board.store_era, feed.era)
        if before is not None and feed.era > before.era:
            self._begin_era(name, before)
        if changes is not None:
            # Also if the page was copied: its provider has read the store.
            self.store_contact.responded(name)
            self._apply_changes(name, changes)
        if feed.copy.through == before:
            return False
        self.relay.announce()
        return True

    def _begin_era(self, name: str, before: feeds.Position) -> None:
        """Record that the store has come back from an older copy.

        :param before: end of the copy that has been replaced.
        """
        feed = self.feeds[name]
        self.board.count('era_changes')
        logs.info(
            'store has come back in a new era',
            feed=name,
            era=feed.era,
            through=feed.copy.through.offset,
            previous_era=before.era,
            previous_through=before.offset,
        )
        if name == self.entries_feed:
            self.renewals.begin()

    def _apply_changes(self, name: str, changes: feeds.FeedPage) -> None:
        try:
            if name == self.entries_feed:
                self.registry.apply(changes)
                self.crashes.apply(changes)
                self.rollouts.apply(changes)
            else:
                self.decoder.apply(name, changes)
                self.rollouts.versions.update()
        except Exception as error:
            # Every gateway reads these records. An unexpected one must not
            # end them all, each time they start.
            self.board.count('program_faults')
            logs.fault(
                'changes could not be applied',
                error,
                feed=name,
                through=changes.through.offset,
            )
