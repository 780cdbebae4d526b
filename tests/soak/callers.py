"""Callers that send requests during a soak run."""

import asyncio
import dataclasses
import random

from dragonflyslip_emulator import guarantees
from tests.soak import cluster
from tests.soak import connections
from tests.soak import gateways
from tests.soak import history as history_types

CALLER_COUNT = 32
# Callers that send requests before the earlier ones are answered.
SEND_AHEAD_COUNT = 4
OUTSTANDING_REQUESTS = 2
# Service time of some of their requests: up to six target latencies, as a
# stop that estimates it by the target latency cuts longer ones.
LONG_WORK_S = (0.3, 1.8)
LONG_WORK_SHARE = 0.2
# Pause of such a caller after a request that was not served.
REFUSED_PAUSE_S = 0.02
# Relative frequency of the kinds of requests.
KIND_WEIGHTS = {'safe': 5, 'unsafe': 1, 'upload': 1, 'download': 1}
MAX_ATTEMPTS = 3
# Sizes of response bodies. Over a link or with a slow reader, a larger one
# would not arrive before its timeout.
DIRECT_RESPONSE_BYTES = (5_000, 60_000, 300_000, 1_000_000)
DOWNLOAD_BYTES = (300_000, 1_000_000, 4_000_000)
LINK_RESPONSE_BYTES = (5_000, 20_000, 60_000, 110_000, 200_000)
SLOW_READ_RESPONSE_BYTES = (90_000, 110_000, 130_000, 200_000)
# These have to arrive in the rest of a stop if their target takes long.
SMALL_RESPONSE_BYTES = (200, 5_000, 20_000)
BODY_BYTES = {
    'safe': (0,),
    'unsafe': (10, 3_000, 60_000),
    'upload': (10, 3_000, 200_000),
    'download': (0,),
}
SLOW_READ_PAUSE_S = 0.08
# A slow upload of 200 KB takes 1 to 4 s.
SLOW_SEND_PAUSES_S = (0.08, 0.3)
SLOW_UPLOAD_SHARE = 0.1
# Share of its calls at which a caller that had to use another gateway tries
# its own one again.
RETURN_SHARE = 0.3
# Number of callers with different behavior.
_BEHAVIORS = 8


@dataclasses.dataclass(frozen=True)
class Behavior:
    """How a caller behaves.

    :param uses_link: whether it reaches gateways through the links with a
        limited rate.
    :param reads_slowly: whether it pauses while it reads responses.
    :param max_pause_s: longest pause between two requests, during which its
        connection is kept.
    """

    uses_link: bool
    reads_slowly: bool
    max_pause_s: float

    @classmethod
    def for_caller(cls, number: int) -> 'Behavior':
        """Return the behavior of a caller."""
        return cls(
            uses_link=number % 2 == 0,
            reads_slowly=number % 4 < 2,
            max_pause_s=1.5 if number % _BEHAVIORS == 7 else 0.1,
        )


class Caller:
    """Sends one request after another.

    It keeps its connection until that closes, and its gateway until that
    accepts no connection any more or loses a request. It comes back later.
    """

    def __init__(self, test_cluster: cluster.Cluster, number: int):
        self.cluster = test_cluster
        self.rng = random.Random(f'{test_cluster.seed}/{number}')
        self.behavior = Behavior.for_caller(number)
        # The callers of each gateway have all kinds of behavior.
        group = number // _BEHAVIORS % len(test_cluster.gateways)
        self.home = test_cluster.gateways[group]
        self.gateway = self.home
        self.connection: connections.CallerConnection | None = None

    async def make_call(self) -> None:
        """Send a request, and repeat it as callers may."""
        kinds, weights = list(KIND_WEIGHTS), list(KIND_WEIGHTS.values())
        kind = self.rng.choices(kinds, weights)[0]
        if self.gateway is not self.home and (
            self.rng.random() < RETURN_SHARE
        ):
            self._use_gateway(self.home)
        for _ in range(MAX_ATTEMPTS):
            attempt = await self._send(kind)
            should_retry = attempt.status in guarantees.NOT_RUN_STATUSES or (
                kind in guarantees.IDEMPOTENT_KINDS and attempt.status != 200
            )
            if attempt.status == 0:
                self._use_gateway(self.rng.choice(self.cluster.gateways))
            if not should_retry:
                break
            await asyncio.sleep(self.rng.uniform(0.02, 0.2))
        await asyncio.sleep(self.rng.uniform(0.0, self.behavior.max_pause_s))

    def close(self) -> None:
        """Close its connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _use_gateway(self, gateway: gateways.Gateway) -> None:
        self.close()
        self.gateway = gateway

    async def _send(self, kind: str) -> history_types.CallerAttempt:
        body = self.rng.randbytes(self.rng.choice(BODY_BYTES[kind]))
        response_bytes = self.rng.choice(self._response_sizes(kind))
        pace = self._choose_pace(kind)
        connection = await self._connect(self.gateway)
        attempt = self.cluster.new_attempt(
            self.gateway, kind, body, response_bytes
        )
        if connection is None:
            attempt.finished_at = self.cluster.now()
            return attempt
        await connection.exchange(attempt, cluster.HOST, pace)
        if not connection.is_open:
            self.close()
        return attempt

    def _response_sizes(self, kind: str) -> tuple[int, ...]:
        if kind not in guarantees.IDEMPOTENT_KINDS:
            return SMALL_RESPONSE_BYTES
        if self.behavior.reads_slowly:
            return SLOW_READ_RESPONSE_BYTES
        if self.behavior.uses_link:
            return LINK_RESPONSE_BYTES
        if kind == 'download':
            return DOWNLOAD_BYTES
        return DIRECT_RESPONSE_BYTES

    def _choose_pace(self, kind: str) -> connections.Pace:
        send_pause_s = 0.0
        if kind == 'upload' and self.rng.random() < SLOW_UPLOAD_SHARE:
            send_pause_s = self.rng.uniform(*SLOW_SEND_PAUSES_S)
        read_pause_s = SLOW_READ_PAUSE_S if self.behavior.reads_slowly else 0.0
        return connections.Pace(send_pause_s, read_pause_s)

    async def _connect(
        self, gateway: gateways.Gateway
    ) -> connections.CallerConnection | None:
        """Return an open connection, None if there is no process."""
        if self.connection is not None and not self.connection.is_open:
            self.close()
        if self.connection is None:
            port = gateway.ports[0]
            if self.behavior.uses_link:
                port = gateway.link_port
            try:
                self.connection = await connections.CallerConnection.open(port)
            except OSError:
                return None
        return self.connection


class Callers:
    """Send requests until they are told to stop."""

    def __init__(self, test_cluster: cluster.Cluster):
        self.cluster = test_cluster
        self.stopping = False

    async def run(self) -> None:
        """Run all callers until ``stopping`` is set."""
        async with asyncio.TaskGroup() as group:
            for number in range(CALLER_COUNT):
                group.create_task(self._run_caller(number))
            for number in range(SEND_AHEAD_COUNT):
                group.create_task(self._run_ahead(number))

    async def _run_caller(self, number: int) -> None:
        caller = Caller(self.cluster, number)
        while not self.stopping:
            await caller.make_call()
        caller.close()

    async def _run_ahead(self, number: int) -> None:
        """Keep several requests on their way on one connection."""
        rng = random.Random(f'{self.cluster.seed}/ahead/{number}')
        while not self.stopping:
            gateway = rng.choice(self.cluster.gateways)
            try:
                connection = await connections.CallerConnection.open(
                    gateway.ports[0]
                )
            except OSError:
                await asyncio.sleep(REFUSED_PAUSE_S)
                continue
            await asyncio.gather(
                *(
                    self._send_ahead(gateway, connection, rng)
                    for _ in range(OUTSTANDING_REQUESTS)
                )
            )
            connection.close()

    async def _send_ahead(
        self,
        gateway: gateways.Gateway,
        connection: connections.CallerConnection,
        rng: random.Random,
    ) -> None:
        while not self.stopping and connection.is_open:
            work_s = 0.0
            if rng.random() < LONG_WORK_SHARE:
                work_s = rng.uniform(*LONG_WORK_S)
            attempt = self.cluster.new_attempt(
                gateway, 'safe', b'', SMALL_RESPONSE_BYTES[0], work_s
            )
            await connection.exchange(
                attempt, cluster.HOST, connections.Pace()
            )
            if attempt.status != 200:
                await asyncio.sleep(REFUSED_PAUSE_S)
