"""Reads orders, decisions and status of rollouts from a platform's store.

The records are decoded by the code that the gateways use.
"""

import asyncio
import dataclasses

import msgspec
from returns import result

from dragonflyslip_core import errors as core_errors
from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway.rollouts import decision_records
from dragonflyslip_operator import errors

# The store may refuse a read or lose its response.
READ_ATTEMPTS = 3
RETRY_S = 0.2


@dataclasses.dataclass
class ServiceRollout:
    """What the store holds about the rollout of a service.

    :param decision: the newest one, which may concern an earlier order.
    """

    order: rollouts.RolloutOrder | None = None
    decision: rollouts.Decision | None = None
    status: rollouts.RolloutStatus | None = None


class RolloutRecords(adapters.TopologySink):
    """Rollouts by service, as the store holds them.

    Of what a decoder reports, only orders are kept.

    :ivar services: rollouts by service.
    :ivar skipped: keys of records that cannot be read, with the reasons.
    """

    def __init__(self):
        self.services: dict[str, ServiceRollout] = {}
        self.skipped: list[tuple[str, str]] = []

    def rollout_ordered(self, order: rollouts.RolloutOrder) -> None:
        """Record an order."""
        self._of(order.service).order = order

    def record_skipped(self, key: str, reason: str) -> None:
        """Record that a record cannot be read."""
        self.skipped.append((key, reason))

    def add_decisions(self, page: feeds.FeedPage) -> None:
        """Record the decisions of a page."""
        for record in page.records:
            if record.value is None or not decision_records.is_decision(
                record
            ):
                continue
            try:
                decision = decision_records.decode(record.key, record.value)
            except (msgspec.DecodeError, RecursionError) as error:
                self.record_skipped(record.key, str(error))
            else:
                self._of(decision.order.service).decision = decision

    def add_statuses(
        self, page: feeds.FeedPage, adapter: adapters.Adapter
    ) -> None:
        """Record the statuses of a page."""
        for record in page.records:
            if record.value is None:
                continue
            match adapter.decode_status(record.key, record.value):
                case result.Success(rollouts.RolloutStatus() as status):
                    self._of(status.service).status = status
                case result.Failure(error):
                    self.record_skipped(record.key, error.message)

    def _of(self, service: str) -> ServiceRollout:
        return self.services.setdefault(service, ServiceRollout())


async def read_rollouts(
    adapter: adapters.Adapter, store_url: str, timeout_s: float
) -> RolloutRecords:
    """Return the rollouts that the store holds.

    :param timeout_s: seconds for all reads together.
    :raises dragonflyslip_operator.errors.StoreError: if the store cannot be
        read.
    """
    records = RolloutRecords()
    log = adapter.open_log(store_url)
    try:
        async with asyncio.timeout(timeout_s):
            orders = await _read(log, adapter.order_feed)
            decisions = await _read(log, adapter.entries_feed)
            statuses = await _read(log, adapter.status_feed)
    except TimeoutError as error:
        raise errors.StoreError(
            f'the store {store_url} did not answer within {timeout_s:g} s'
        ) from error
    except core_errors.CoreError as error:
        raise errors.StoreError(
            f'the store {store_url} cannot be read: {error.message}'
        ) from error
    finally:
        await log.close()
    adapter.open_decoder(records).apply(adapter.order_feed, orders)
    records.add_decisions(decisions)
    records.add_statuses(statuses, adapter)
    return records


async def _read(log: adapters.RecordLog, feed: str) -> feeds.ReadPage:
    """Return the newest records of a feed, or raise the last error."""
    for _ in range(READ_ATTEMPTS - 1):
        outcome = await log.newest(feed)
        if isinstance(outcome, result.Success):
            return outcome.unwrap()
        await asyncio.sleep(RETRY_S)
    match await log.newest(feed):
        case result.Failure(error):
            raise error
        case result.Success(page):
            return page
