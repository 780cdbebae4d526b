"""One open connection to each target, for probes and to notice restarts.

While this connection is open, the process behind it has not ended. A call on
any other connection therefore reaches the process whose boot id the last
probe on this one has confirmed.
"""

import asyncio
import dataclasses

import aiohttp
from returns import result

from dragonflyslip_core import targets
from dragonflyslip_entry import errors
from dragonflyslip_entry import service_control

LOAD_PATH = '/.dragonflyslip/load'
PROBE_TIMEOUT_S = 1.0
_KEEPALIVE_S = 600.0


@dataclasses.dataclass(frozen=True)
class Probed:
    """The result of one probe.

    :param sent_at: loop time at which it was sent.
    """

    report: targets.LoadReport
    sent_at: float


class _WatchedResponse(aiohttp.ClientResponse):
    """Keeps the connection's protocol, which a response without body loses."""

    watched: aiohttp.client_proto.ResponseHandler | None = None

    async def start(self, connection):
        self.watched = connection.protocol
        return await super().start(connection)


class Watch:
    """The watch connection to one target."""

    def __init__(self, target: targets.Target):
        self.target = target
        host = target.address
        authority = f'[{host}]' if ':' in host else host
        self.url = f'http://{authority}:{target.port}{LOAD_PATH}'
        self.session: aiohttp.ClientSession | None = None
        self.protocol: aiohttp.client_proto.ResponseHandler | None = None
        self.opened_at: float | None = None
        self.loop = asyncio.get_running_loop()

    @property
    def alive(self) -> bool:
        """Whether the connection is open as far as this process knows."""
        return self.protocol is not None and self.protocol.is_connected()

    async def probe(self) -> Probed:
        """Ask for a load report, over a new connection if need be.

        :raises TargetError: if the target does not answer with a report.
        """
        if not self.alive:
            await self.close()
        if self.session is None:
            self.session = _open_session()
        sent_at = self.loop.time()
        try:
            report = await self._request(sent_at)
        except (aiohttp.ClientError, OSError) as error:
            await self.close()
            refused = isinstance(error, aiohttp.ClientConnectorError)
            kind = 'refused' if refused else 'disconnected'
            if isinstance(error, asyncio.TimeoutError):
                kind = 'timeout'
            raise errors.TargetError(
                f'probe-{kind}', f'probe failed: {error!r}', written=False
            ) from error
        return Probed(report, sent_at)

    async def _request(self, sent_at: float) -> targets.LoadReport:
        async with self.session.get(
            self.url,
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            allow_redirects=False,
        ) as response:
            if response.watched is not self.protocol:
                # The first connection, or one that the client opened in
                # place of one that broke.
                self.opened_at = sent_at
                self.protocol = response.watched
            await response.content.read(service_control.PROBE_BYTES)
            text = response.headers.get(targets.LOAD_HEADER, '')
        match targets.parse_load_header(text):
            case result.Success(report):
                return report
            case result.Failure(error):
                raise aiohttp.ClientError(error.message)

    async def close(self) -> None:
        """Close the connection."""
        session, self.session, self.protocol = self.session, None, None
        self.opened_at = None
        if session is not None:
            await session.close()


class WatchTable:
    """The watch connections to all targets."""

    def __init__(self):
        self.watches: dict[str, Watch] = {}

    def of(self, target: targets.Target) -> Watch:
        """Return the watch of a target, made at first use."""
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
        if watch is None or not watch.alive:
            return None
        return watch.opened_at

    async def forget(self, target_id: str) -> None:
        """Close the watch of a target that is gone."""
        watch = self.watches.pop(target_id, None)
        if watch is not None:
            await watch.close()

    async def close(self) -> None:
        """Close all watches."""
        for watch in self.watches.values():
            await watch.close()


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=1, keepalive_timeout=_KEEPALIVE_S, use_dns_cache=False
        ),
        response_class=_WatchedResponse,
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=service_control.PROBE_BYTES,
        max_field_size=service_control.PROBE_BYTES,
    )
