"""Publishes the state of rollouts in a feed of the platform."""

import asyncio
import collections.abc
import dataclasses
import random
import typing

from returns import result

from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway.rollouts import fleet_view
from dragonflyslip_entry import logs

RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.8
# A status must be visible within this time of its decision; each candidate
# after the decider waits longer before it looks for it.
CHECK_DELAY_S = 0.5


class StatusEncoder(typing.Protocol):
    """Encodes the status of a rollout as a record of the platform.

    :ivar status_feed: feed of the records.
    """

    status_feed: str

    def encode_status(
        self, status: rollouts.RolloutStatus
    ) -> tuple[str, bytes]:
        """Return the key and the value of a record."""


@dataclasses.dataclass(frozen=True)
class PublishedStatus:
    """A status, and the decision from which it follows."""

    order: feeds.Position
    status: rollouts.RolloutStatus


class StatusPublisher:
    """Writes the status of rollouts until the store has it.

    :param feed: this gateway's copy of the decisions.
    :param is_in_force: whether a status follows from the decisions that this
        gateway knows.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        log: adapters.RecordLog,
        encoder: StatusEncoder,
        feed: fleet_view.DecisionFeed,
        is_in_force: collections.abc.Callable[[PublishedStatus], bool],
    ):
        self.board = board
        self.log = log
        self.encoder = encoder
        self.feed = feed
        self.is_in_force = is_in_force
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._publishing: dict[str, PublishedStatus] = {}
        # What the store is known to hold.
        self._confirmed: dict[str, PublishedStatus] = {}

    def publish(self, published: PublishedStatus, rank: int) -> None:
        """Write a status unless the store has it.

        :param rank: 0 for the decider; the others look for it later.
        """
        service = published.status.service
        known = self._confirmed.get(service), self._publishing.get(service)
        if published in known:
            return
        self._publishing[service] = published
        superseded = self._tasks.pop(service, None)
        if superseded is not None:
            superseded.cancel()
        self._tasks[service] = asyncio.get_running_loop().create_task(
            self._publish(published, CHECK_DELAY_S * rank)
        )

    def forget(self) -> None:
        """Assume that the store may have lost what it held."""
        self._confirmed.clear()

    async def close(self, timeout_s: float) -> None:
        """Finish what can be written within a timeout, then give up."""
        tasks = list(self._tasks.values())
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _publish(
        self, published: PublishedStatus, delay_s: float
    ) -> None:
        try:
            await asyncio.sleep(delay_s)
            while not await self._write(published):
                await asyncio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))
        except Exception as error:
            self.board.count('program_faults')
            logs.fault('status not written', error)
        if self._publishing.get(published.status.service) == published:
            del self._publishing[published.status.service]

    async def _write(self, published: PublishedStatus) -> bool:
        """Write a status if it is missing; return whether nothing is left.

        The append is conditional on the read before it, so a gateway that was
        suspended in between does not replace a newer status.
        """
        key, value = self.encoder.encode_status(published.status)
        feed = self.encoder.status_feed
        self.board.count('rollout_status_reads')
        outcome = await self.log.newest(feed)
        if isinstance(outcome, result.Failure):
            return False
        page = outcome.unwrap()
        if not self.is_in_force(published):
            return True
        if not self.feed.is_fresh():
            # A newer decision may exist.
            return False
        newest = next((r for r in page.records if r.key == key), None)
        if newest is None or newest.value != value:
            self.board.count('rollout_status_writes')
            appended = await self.log.append(feed, key, value, page.log_end)
            if isinstance(appended, result.Failure):
                return False
            logs.info(
                'rollout status written',
                service=published.status.service,
                version=published.status.version,
                state=str(published.status.state),
            )
        self._confirmed[published.status.service] = published
        return True
