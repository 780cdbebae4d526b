"""One entry: its controllers, servers and lifetime."""

import asyncio
import contextlib
import random
import secrets
import signal
import typing

import aiohttp
from aiohttp import web

from dragonflyslip_core import blackboard
from dragonflyslip_entry import admin
from dragonflyslip_entry import caller_server
from dragonflyslip_entry import config_controller
from dragonflyslip_entry import connections
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import logs
from dragonflyslip_entry import metrics
from dragonflyslip_entry import proxy
from dragonflyslip_entry import settings
from dragonflyslip_entry import target_controller
import dragonflyslip_platform as platform


class Entry:
    """An entry instance.

    :param options: validated settings.
    :param log: the log service; made from the settings if not given.
    :param instances: the instance list, likewise.
    """

    def __init__(
        self,
        options: settings.Settings,
        log: platform.LogService | None = None,
        instances: platform.InstanceList | None = None,
    ):
        self.options = options
        self.session = aiohttp.ClientSession()
        log = log or platform.HttpLogService(self.session, options.log_url)
        instances = instances or platform.HttpInstanceList(
            self.session, options.instances_url
        )
        self.incarnation = secrets.randbits(64)
        self.board = blackboard.Blackboard()
        self.measures = metrics.Metrics(self.board)
        self.pools = connections.ConnectionTable()
        self.dispatcher = dispatcher.Dispatcher(
            self.board, random.Random(self.incarnation)
        )
        self.proxy = proxy.Proxy(
            self.board, self.dispatcher, self.pools, self.measures
        )
        self.config = config_controller.ConfigController(self.board, log)
        self.targets = target_controller.TargetController(
            self.board, instances, self.pools
        )
        self.admin = admin.Admin(
            self.measures, self.ready, self.state, self.suspects
        )
        self.stopping = asyncio.Event()
        self.stop_now = asyncio.Event()
        self.server = caller_server.CallerServer(self.proxy.handle)
        self.proxy.busy = self.server.busy
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def entry_id(self) -> str:
        """Name and incarnation, unique among all processes."""
        return f'{self.options.name}/{self.incarnation:016x}'

    def ready(self) -> bool:
        """Return whether callers should be sent here."""
        return (
            self.config.caught_up.is_set()
            and self.targets.listed.is_set()
            and not self.stopping.is_set()
        )

    def state(self) -> dict[str, typing.Any]:
        """Return the members of ``/state``."""
        config = self.board.config
        return {
            'entry_id': self.entry_id,
            'ready': self.ready(),
            'config': {
                'through': 0 if config is None else config.through,
                'digest': '' if config is None else config.digest(),
            },
            'isolated': False,
            'view': [],
        }

    def suspects(self) -> dict[str, typing.Any]:
        """Return the members of ``/suspects``."""
        return {'suspects': []}

    async def run(self) -> None:
        """Serve until SIGTERM, then end calls in flight and return."""
        self._install_signals()
        admin_runner = await self._listen_admin()
        self._start(self.config.run())
        self._start(self.targets.run())
        await self._wait_until_ready()
        listener = await self._listen_callers()
        logs.changed('entry is ready', listen=self.options.listen)
        await self.stopping.wait()
        logs.changed('entry is draining', in_flight=self.proxy.in_flight)
        await self._drain(listener)
        await self._close(admin_runner)
        logs.changed('entry has stopped')

    async def _wait_until_ready(self) -> None:
        waits = [self.config.caught_up.wait(), self.targets.listed.wait()]
        ready = asyncio.gather(*waits)
        stopping = asyncio.ensure_future(self.stopping.wait())
        await asyncio.wait(
            [ready, stopping], return_when=asyncio.FIRST_COMPLETED
        )
        ready.cancel()
        stopping.cancel()

    async def _drain(self, listener: asyncio.Server) -> None:
        stop_now = asyncio.ensure_future(self.stop_now.wait())
        # The balancer in front needs time to see that readiness is false;
        # until then callers are still served.
        await asyncio.wait([stop_now], timeout=self.options.drain_delay_s)
        self.proxy.draining = True
        listener.close()
        self.server.close_idle()
        idle = asyncio.ensure_future(self.proxy.idle.wait())
        await asyncio.wait(
            [stop_now, idle], return_when=asyncio.FIRST_COMPLETED
        )
        stop_now.cancel()
        idle.cancel()

    async def _close(self, admin_runner: web.AppRunner) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.shutdown(timeout=0.0)
        await admin_runner.cleanup()
        await self.pools.close()
        await self.session.close()

    async def _listen_callers(self) -> asyncio.Server:
        host, port = settings.split_endpoint(self.options.listen)
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            self.server, host, port, backlog=1024, reuse_address=True
        )

    async def _listen_admin(self) -> web.AppRunner:
        host, port = settings.split_endpoint(self.options.admin_listen)
        runner = web.AppRunner(self.admin.application(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        return runner

    def _start(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._stop_on_failure)
        self._tasks.append(task)

    def _stop_on_failure(self, task: asyncio.Task) -> None:
        # A controller that ended would leave stale state in use for ever.
        if not task.cancelled() and task.exception() is not None:
            logs.LOGGER.error('controller failed', exc_info=task.exception())
            self.request_stop()

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            with contextlib.suppress(RuntimeError, ValueError):
                loop.add_signal_handler(number, self.request_stop)

    def request_stop(self) -> None:
        """Start draining; the second call stops at once."""
        if self.stopping.is_set():
            self.stop_now.set()
        self.stopping.set()
