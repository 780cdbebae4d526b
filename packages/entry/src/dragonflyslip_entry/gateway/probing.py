"""Probes the load of targets over the connections that requests use.

A probe is a health request whose response states the target's load. Its
metrics are the counters ``asks`` and ``asks_...``.
"""

import asyncio
import collections.abc
import dataclasses

import multidict

from dragonflyslip_core import directory
from dragonflyslip_core import errors
from dragonflyslip_core import placement
from dragonflyslip_core import rollouts
from dragonflyslip_core.rollouts import versions
from dragonflyslip_core import target_limits
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import clocks
from dragonflyslip_entry.gateway.rollouts import response_counts
from dragonflyslip_entry.gateway import target_pools
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import logs

# A round ends after this time if at least one target has answered, otherwise
# with the first answer.
PROBE_ROUND_WAIT_S = 0.012
# A target that does not answer a probe within the timeout is not probed again
# during the pause.
PROBE_TIMEOUT_S = 0.3
PROBE_PAUSE_S = 1.0
# A request that is written later than this after the answer was held up, such
# as in a process that was paused. The target may have left meanwhile, and its
# cold time, limit or load may be others.
MAX_PROBE_AGE_S = 1.0
MAX_HEALTH_BODY_BYTES = 65_536


@dataclasses.dataclass
class ProbedTarget:
    """A target that has just answered a probe.

    :param connection: the connection on which it answered, or one that was
        opened after its answer.
    :param answered_at: when it answered, see
        :func:`.clocks.elapsed_clock_s`.
    :param assignment: group and targets of the request for which it was
        chosen.
    :param in_flight_at: standing of the target while the request that was
        written on the connection has not ended.
    :param counted: the attempt, if its response is counted in a rollout.
    """

    target: directory.Registration
    pool: target_pools.TargetPool
    connection: http_connection.HttpConnection
    reading: placement.HealthReading
    answered_at: float
    assignment: rollouts.Assignment = versions.UNRESTRICTED
    in_flight_at: placement.TargetStanding | None = None
    counted: response_counts.CountedAttempt | None = None

    def is_outdated(self, now: float) -> bool:
        """Whether the answer is too old to send a request because of it.

        :param now: time of :func:`.clocks.elapsed_clock_s`.
        """
        return now - self.answered_at > MAX_PROBE_AGE_S

    @property
    def expected_work(self) -> float:
        """Expected duration of a request there, as a multiple of the usual."""
        return placement.expected_work(self.reading.load)


class Prober:
    """Probes targets and records what it learns on the board.

    :param dialect: parses health responses.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        pools: target_pools.TargetPools,
        dialect: adapters.Dialect,
    ):
        self.board = board
        self.pools = pools
        pools.on_overlong = self._record_overlong
        self.dialect = dialect
        self.loop = asyncio.get_running_loop()
        # Called with a target that answered a probe and when it was asked.
        self.on_answer: collections.abc.Callable[
            [directory.Registration, float], None
        ] = lambda target, asked_at: None
        self._late_probes: set[asyncio.Task[ProbedTarget | None]] = set()

    async def probe_all(
        self,
        batch: list[directory.RegisteredTarget],
        path: str,
    ) -> list[ProbedTarget]:
        """Probe targets at once and return those that have answered.

        Ends after ``PROBE_ROUND_WAIT_S`` if at least one has answered,
        otherwise with the first answer or the failure of all.

        :param path: path of the health requests.
        """
        tasks = {
            self.loop.create_task(self._probe(target.registration, path))
            for target in batch
        }
        try:
            done, pending = await asyncio.wait(
                tasks, timeout=PROBE_ROUND_WAIT_S
            )
            while pending and not any(task.result() for task in done):
                more, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                done |= more
        except asyncio.CancelledError:
            for task in tasks:
                self._track_late(task)
            raise
        for task in pending:
            self._track_late(task)
        return [task.result() for task in done if task.result() is not None]

    def _track_late(self, task: asyncio.Task[ProbedTarget | None]) -> None:
        """Let a probe finish, then give its connection back to the pool."""
        self._late_probes.add(task)
        task.add_done_callback(self._handle_late)

    def _handle_late(self, task: asyncio.Task[ProbedTarget | None]) -> None:
        self._late_probes.discard(task)
        if task.cancelled():
            return
        if (probed := task.result()) is not None:
            probed.pool.give_back(probed.connection)

    async def _probe(
        self, target: directory.Registration, path: str
    ) -> ProbedTarget | None:
        pool = self.pools.get_or_create(target)
        kept = pool.take()
        probed = None
        asked_at = self.loop.time()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                if kept is not None:
                    probed = await self._probe_on(kept, target, pool, path)
                if probed is None:
                    opened = await pool.open()
                    probed = await self._probe_on(opened, target, pool, path)
        except TimeoutError:
            self.board.count('asks_timed_out')
        except http_connection.CONNECTION_ERRORS:
            self.board.count('asks_failed')
        self._record_probe(target, probed)
        if probed is not None:
            self.on_answer(target, asked_at)
        return probed

    def _record_probe(
        self, target: directory.Registration, probed: ProbedTarget | None
    ) -> None:
        standing = self.board.standing_of(target.target_id)
        now = self.loop.time()
        if probed is None:
            standing.skip_until = now + PROBE_PAUSE_S
        else:
            standing.cold_until = now + probed.reading.cold_s
            self.board.record_limit(
                target.target_id,
                probed.reading.limit,
                target_limits.Source.HEALTH,
                now,
            )
            if probed.reading.leaving:
                self.board.record_leaving(target.target_id)
            if probed.reading.pause_s is not None:
                self.board.record_pause(
                    target.target_id, probed.reading.pause_s, now
                )

    def _record_overlong(
        self,
        target: directory.Registration,
        error: errors.OverlongResponseError,
    ) -> None:
        self.board.count('overlong_responses')
        logs.info(
            'overlong response',
            target=target.target_id,
            service=target.service,
            reason=error.message,
        )

    async def _probe_on(
        self,
        connection: http_connection.HttpConnection,
        target: directory.Registration,
        pool: target_pools.TargetPool,
        path: str,
    ) -> ProbedTarget | None:
        """Probe on one connection.

        If it cannot be used again, for example because the target closes it
        after its response, a new one is opened for the request. None if the
        connection broke before, or if another target answered.
        """
        try:
            response = await self._ask(connection, target, path)
        except errors.OverlongResponseError:
            # Another connection would get the same response.
            connection.close()
            raise
        except http_connection.CONNECTION_ERRORS:
            connection.close()
            return None
        except BaseException:
            connection.close()
            raise
        metadata = self.dialect.parse_response(
            response.status, response.headers
        )
        reading = self.dialect.parse_health(response.status, response.headers)
        if metadata.has_receipt or reading.target_id != target.target_id:
            # A late response to an earlier request, or from another target.
            connection.close()
            self.board.count('asks_misdirected')
            return None
        if not connection.reusable:
            connection.close()
            self.board.count('asks_unusable')
            connection = await pool.open()
            # It closes after this use: a target that keeps no connections may
            # block one of its workers for each open one.
            connection.protocol.force_close()
        connection.set_idle()
        return ProbedTarget(
            target, pool, connection, reading, clocks.elapsed_clock_s()
        )

    async def identify(
        self, target: directory.Registration, path: str
    ) -> str | None:
        """Return the id of the target that now listens at an address.

        :param path: path of the health request.
        :return: None if its health response does not state one.
        :raises OSError: if the connection fails or the target is silent.
        :raises ClientError: as :meth:`http_connection.HttpConnection.send`.
        """
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            # The pool of a target that is gone must not be created again.
            connection = await target_pools.TargetPool(target).open()
            try:
                response = await self._ask(connection, target, path)
            finally:
                connection.close()
        reading = self.dialect.parse_health(response.status, response.headers)
        return reading.target_id

    async def _ask(
        self,
        connection: http_connection.HttpConnection,
        target: directory.Registration,
        path: str,
    ) -> http_connection.Response:
        """Send a health request and return its response, read whole."""
        self.board.count('asks')
        request = http_connection.Request(
            'GET',
            path,
            multidict.CIMultiDict({'Host': f'{target.host}:{target.port}'}),
        )
        response = await connection.send(
            request, http_connection.Attempt(_allow), PROBE_TIMEOUT_S
        )
        await connection.read_body(response, MAX_HEALTH_BODY_BYTES)
        return response


def _allow(now: float) -> None:
    """Allow every probe to be sent."""
