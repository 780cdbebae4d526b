"""One open connection to each target, for probes and to detect restarts.

While this watch connection is open, the target's process has not ended. A
call on any other connection therefore reaches the process whose boot id, new
at each start, the last probe on the watch connection has confirmed.
"""

import asyncio
import dataclasses

import multidict
from returns import result

from dragonflyslip_core import targets
from dragonflyslip_entry import errors
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import service_control

LOAD_PATH = '/.dragonflyslip/load'
PROBE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """The result of one probe.

    :param sent_at: loop time at which it was sent.
    """

    report: targets.LoadReport
    sent_at: float


class Watch:
    """The watch connection to one target."""

    def __init__(self, target: targets.Target):
        self.target = target
        self.connection: http_connection.HttpConnection | None = None
        self.loop = asyncio.get_running_loop()
        self._headers = multidict.CIMultiDict(
            {'Host': f'{target.address}:{target.port}'}
        )

    @property
    def alive(self) -> bool:
        """Whether the connection is open, as far as this process knows."""
        return self.connection is not None and self.connection.alive

    async def probe(self) -> ProbeResult:
        """Request a load report, over a new connection if needed.

        :raises TargetError: if the target does not answer with a report.
        """
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                return await self._probe()
        except http_connection.CONNECTION_ERRORS as error:
            self.close()
            refused = isinstance(error, ConnectionRefusedError)
            kind = 'probe-refused' if refused else 'probe-failed'
            raise errors.TargetError(
                kind, f'{kind}: {error!r}', written=False
            ) from error
        except BaseException:
            self.close()
            raise

    async def _probe(self) -> ProbeResult:
        if self.connection is None or not self.connection.reusable:
            self.close()
            self.connection = await http_connection.HttpConnection.open(
                self.target.address, self.target.port, PROBE_TIMEOUT_S
            )
        connection = self.connection
        sent_at = self.loop.time()
        response = await connection.send(
            http_connection.Request('GET', LOAD_PATH, self._headers),
            http_connection.Attempt(lambda now: None),
            PROBE_TIMEOUT_S,
        )
        await response.content.read(service_control.PROBE_BYTES)
        text = response.headers.get(targets.LOAD_HEADER, '')
        match targets.parse_load_header(text):
            case result.Success(report) if response.complete:
                connection.set_idle()
                return ProbeResult(report, sent_at)
            case _:
                raise ConnectionError('the response holds no load report')

    def close(self) -> None:
        """Close the connection."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()


class WatchTable:
    """The watch connections to all targets."""

    def __init__(self):
        self.watches: dict[str, Watch] = {}

    def get_or_create(self, target: targets.Target) -> Watch:
        """Return the watch of a target; create it at first use."""
        watch = self.watches.get(target.instance_id)
        if watch is None or (watch.target.address, watch.target.port) != (
            target.address,
            target.port,
        ):
            watch = self.watches[target.instance_id] = Watch(target)
        return watch

    def opened_at(self, target_id: str) -> float | None:
        """Return when the open connection to a target was opened.

        :return: loop time; None if there is no open connection.
        """
        watch = self.watches.get(target_id)
        if watch is None or watch.connection is None or not watch.alive:
            return None
        return watch.connection.opened_at

    def forget(self, target_id: str) -> None:
        """Close and drop the watch of a target that no longer exists."""
        watch = self.watches.pop(target_id, None)
        if watch is not None:
            watch.close()

    def close(self) -> None:
        """Close all watches."""
        for watch in self.watches.values():
            watch.close()
