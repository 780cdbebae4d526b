"""The registrations of this gateway and of the others.

Gateways register in a feed of the platform, in which all know the order of
their registrations. Each copies feeds from those that precede it.
"""

import asyncio
import random

import msgspec
from returns import result

from dragonflyslip_core import era_holds
from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import providers as provider_types
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import crash_records
from dragonflyslip_entry.gateway import entry_records
from dragonflyslip_entry.gateway import relay as relay_types
from dragonflyslip_entry import logs

# Other gateways count for this time although the first copy of a new era
# lacks their registration. Each writes it again within this time.
NAME_HOLD_S = 5.0


class GatewayRegistry:
    """Writes this gateway's registration and applies those of all gateways.

    :param feed: name of the feed in which the gateways register.
    :param copy: this gateway's copy of it.
    :param endpoint: IP:PORT at which other gateways reach this one.
    :param registrations: gets the registered gateways.
    :ivar registered: whether the first registration has been written.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        log: adapters.RecordLog,
        sink: adapters.TopologySink,
        relay: relay_types.FeedRelay,
        feed: str,
        copy: feeds.FeedCopy,
        endpoint: str,
        registrations: entry_records.RegistrationSink,
    ):
        self.board = board
        self.log = log
        self.sink = sink
        self.relay = relay
        self.feed = feed
        self.copy = copy
        self.registrations = registrations
        self.own_id = relay.own_id
        # It holds the incarnation, so it differs from that of a process that
        # had or takes over the name.
        self.value = msgspec.json.encode(
            entry_records.EntryRecord(
                incarnation=self.own_id.incarnation,
                failure_domain=str(board.failure_domain),
                endpoint=str(endpoint),
            )
        )
        self.loop = asyncio.get_running_loop()
        self.registered = False
        self._leaves = False
        self._is_replaced = False
        # Position of this process's registration when it was last read.
        self._own_at = feeds.START
        self._names: set[str] = set()
        self._gateways: dict[str, entry_records.RegisteredGateway] = {}
        self._lost_names = era_holds.EraHolds[str](NAME_HOLD_S)

    async def register(self) -> feeds.ReadPage:
        """Register, and return all registrations once this one is there."""
        while True:
            outcome = await self.log.append(
                self.feed, self.own_id.name, self.value
            )
            if isinstance(outcome, result.Success):
                outcome = await self.log.newest(self.feed)
            match outcome:
                case result.Success(page) if (
                    entry_records.find(page, self.own_id.name, self.value)
                    is not None
                ):
                    return page
                case result.Failure(error):
                    logs.info('registration failed', reason=error.message)
            await self._sleep_before_retry()

    def begin_following(self) -> bool:
        """Copy from the gateways that registered earlier from now on.

        :return: whether the copy holds this gateway's registration.
        """
        self.registered = True
        self._follow_older()
        own = self._own_record()
        logs.info(
            'registered',
            order=None if own is None else own.position.offset,
            older=len(self.relay.provider_selector.order),
        )
        return own is not None

    async def leave(self) -> None:
        """Remove this gateway's registration."""
        self._leaves = True
        outcome = await self.log.append(self.feed, self.own_id.name, None)
        if isinstance(outcome, result.Failure):
            logs.info(
                'registration could not be removed',
                reason=outcome.failure().message,
            )

    async def write_again(self) -> None:
        """Write the registration, or its end, if a new era lacks it.

        See :class:`~dragonflyslip_entry.gateway.renewals.RecordOwner`.
        """
        while self.registered and self._is_outdated():
            value = None if self._leaves else self.value
            outcome = await self.log.append(self.feed, self.own_id.name, value)
            match outcome:
                case result.Success(position):
                    logs.info(
                        'registered again',
                        era=position.era,
                        order=position.offset,
                        leaves=self._leaves,
                    )
                    return
                case result.Failure(error):
                    logs.info('registration failed', reason=error.message)
            await self._sleep_before_retry()

    async def _sleep_before_retry(self) -> None:
        await asyncio.sleep(
            random.uniform(
                crash_records.WRITE_RETRY_MIN_S,
                crash_records.WRITE_RETRY_MAX_S,
            )
        )

    def apply(self, page: feeds.FeedPage) -> None:
        """Apply the records of the feed that are registrations."""
        records = [
            record
            for record in page.records
            if entry_records.is_gateway(record)
        ]
        is_new_era = page.complete and self._list_names(records, page.era)
        order_changes = is_new_era
        for record in records:
            if record.key == self.own_id.name:
                order_changes |= self._apply_own(record, page.complete)
            else:
                order_changes |= self._apply_other(record)
        if order_changes and self.registered:
            self._follow_older()
        self._publish_names()

    def expire(self) -> None:
        """Drop the gateways that have not registered again in a new era."""
        expired = self._lost_names.expire(self.loop.time())
        if expired:
            self._names.difference_update(expired)
            self._publish_names()

    def _list_names(self, records: list[feeds.FeedRecord], era: int) -> bool:
        """Apply a complete page; return whether it is of a new era."""
        listed = {record.key for record in records}
        is_new_era = self._lost_names.apply_page(
            self._names, listed, era, self.loop.time()
        )
        self._names = {
            name for name in self._names if name in self._lost_names
        }
        return is_new_era

    def _apply_own(self, record: feeds.FeedRecord, is_listed: bool) -> bool:
        """Apply a record of this gateway's name.

        :param is_listed: whether it is from a complete page.
        :return: whether this gateway's place in the order may have changed.
        """
        self._set_gateway(record)
        if record.value == self.value:
            self._own_at = record.position
            self._is_replaced = False
            return True
        # A process that took over the name has registered later. One that had
        # it before may be in the complete pages of a new era, at the offset
        # that its record always had.
        is_later = (
            not is_listed or record.position.offset > self._own_at.offset
        )
        if record.value is not None and is_later:
            self._is_replaced = True
        return False

    def _apply_other(self, record: feeds.FeedRecord) -> bool:
        """Apply a record of another gateway.

        :return: whether a provider has registered again.
        """
        entry = self._decode(record)
        self._set_gateway(record)
        if entry is not None and self.relay.provider_selector.contains(
            membership.EntryId(record.key, entry.incarnation)
        ):
            return True
        self.relay.registration_ended(record.key, record.position)
        return False

    def _decode(
        self, record: feeds.FeedRecord
    ) -> entry_records.EntryRecord | None:
        if record.value is None:
            return None
        try:
            return entry_records.decode(record.value)
        except (msgspec.DecodeError, RecursionError) as error:
            self.sink.record_skipped(record.key, str(error))
            return None

    def _set_gateway(self, record: feeds.FeedRecord) -> None:
        """Apply what a record says of the gateway of its name."""
        self._lost_names.release(record.key)
        gateway = entry_records.RegisteredGateway.from_record(record)
        if gateway is not None:
            self._names.add(record.key)
            self._gateways[record.key] = gateway
        else:
            self._names.discard(record.key)

    def _publish_names(self) -> None:
        self.board.set_registered_entries(frozenset(self._names))
        for name in self._gateways.keys() - self._names:
            del self._gateways[name]
        self.registrations.set_gateways(self._gateways)

    def _own_record(self) -> feeds.FeedRecord | None:
        """Return the record of this process in the copy."""
        record = self.copy.get(self.own_id.name)
        if record is None or record.value != self.value:
            return None
        return record

    def _is_outdated(self) -> bool:
        """Return whether the copy lacks what this gateway last wrote."""
        is_held = self._own_record() is not None
        if self._leaves:
            return is_held
        return not is_held and not self._is_replaced

    def _follow_older(self) -> None:
        """Copy from the gateways whose registrations precede this one's.

        If the copy lacks this one's, it will follow all that are in the copy.
        Providers that the copy lacks stay until they register again, before
        or behind this one.
        """
        page = self.copy.changes_since(None)
        if page is None:
            return
        own = self._own_record()
        listed: set[str] = set()
        older: list[provider_types.Provider] = []
        for record in page.records:
            listed.add(record.key)
            if own is None or record.position < own.position:
                older += self._providers(record)
        order = self.relay.provider_selector.order
        missing = [item for item in order if item.entry_id.name not in listed]
        self.relay.follow([*older, *missing])

    def _providers(
        self, record: feeds.FeedRecord
    ) -> list[provider_types.Provider]:
        """Return the gateway that a record registers, if it is another one."""
        entry = entry_records.parse(record)
        if entry is None or record.key == self.own_id.name:
            return []
        host, port = flag_settings.split_endpoint(entry.endpoint)
        return [
            provider_types.Provider(
                membership.EntryId(record.key, entry.incarnation),
                entry.failure_domain,
                host,
                port,
                record.position,
            )
        ]
