"""Starts and stops the controllers and servers of one gateway."""

import asyncio
import functools
import random
import secrets
import signal
import time
import typing

from aiohttp import web

from dragonflyslip_core import membership
from dragonflyslip_core import quotas as core_quotas
from dragonflyslip_entry import caller_server
from dragonflyslip_entry import drain
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import authenticating
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway.caller_limits import limiter
from dragonflyslip_entry.gateway import crash_reports
from dragonflyslip_entry.gateway import feeds
from dragonflyslip_entry.gateway import handling
from dragonflyslip_entry.gateway import metrics
from dragonflyslip_entry.gateway import peer_network
from dragonflyslip_entry.gateway import peer_port
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry.gateway import quotas
from dragonflyslip_entry.gateway.rollouts import controller
from dragonflyslip_entry.gateway.rollouts import metrics as rollout_metrics
from dragonflyslip_entry.gateway.rollouts import selection
from dragonflyslip_entry.gateway import sending
from dragonflyslip_entry.gateway import settings as settings_types
from dragonflyslip_entry.gateway import target_pools
from dragonflyslip_entry.gateway import target_selection
from dragonflyslip_entry.gateway import topology
from dragonflyslip_entry import logs
from dragonflyslip_entry import stop_signals
import dragonflyslip_wire as wire

# The load balancer in front removes an instance after two failed readiness
# checks, one a second; until then requests still arrive. The first request of
# a connection that is opened last must arrive within 3 s: the target of a
# later one could not be given enough time.
ACCEPT_AFTER_STOP_S = 2.5
# Time kept free between the last response and the end of the stop timeout,
# when the process is killed.
STOP_MARGIN_S = 0.3
MAINTENANCE_PERIOD_S = 0.25
_BACKLOG = 1024


class Gateway:
    """A gateway instance.

    :param options: validated settings.
    :param adapter: connects the gateway to the platform.
    """

    def __init__(
        self,
        options: settings_types.GatewaySettings,
        adapter: adapters.Adapter,
    ):
        self.options = options
        self.loop = asyncio.get_running_loop()
        self.board = board_types.GatewayBoard(
            name=options.name,
            failure_domain=options.failure_domain,
            rng=random.Random(secrets.randbits(64)),
            repeat_ratio=options.repeat_ratio,
            repeat_slack=options.repeat_slack,
            ask_rate=options.ask_rate,
            entries=options.planned_entries,
        )
        self.dialect = adapter.dialect
        self.pools = target_pools.TargetPools()
        self.metrics = metrics.GatewayMetrics(self.board)
        self.log = adapter.open_log(options.store_url)
        own_id = membership.EntryId(options.name, secrets.randbits(64))
        self.network = peer_network.PeerNetwork(self.board, own_id)
        versions = selection.VersionSelection(self.board)
        self.rollouts = controller.RolloutController(
            self.board,
            self.log,
            adapter.entries_feed,
            self.network,
            versions,
            adapter,
            # Later processes of this name have a higher number.
            int(time.time() * 1000),
            options.exposure_share,
        )
        self.metrics.add_collector(
            rollout_metrics.RolloutCollector(self.rollouts)
        )
        self.topology = topology.TopologyController(
            self.board,
            self.pools,
            self.loop.time,
            self.rollouts,
            adapter.target_feed,
        )
        prober = probing.Prober(self.board, self.pools, self.dialect)
        self.crashes = crash_reports.CrashReporter(
            self.board, prober, self.log, adapter.entries_feed, time.time
        )
        self.feeds = feeds.FeedController(
            self.board,
            adapter,
            self.log,
            self.topology,
            self.crashes,
            self.rollouts,
            self.network,
            own_id,
            options.peer_listen,
        )
        self.peer_port = peer_port.PeerPort(
            self.board,
            {
                wire.FeedSubscribe: self.feeds.relay.subscribers,
                wire.Hello: self.network,
            },
        )
        authenticator = authenticating.Authenticator(
            self.board,
            self.dialect,
            functools.partial(self.feeds.age_s, adapter.manifest_feed),
            options.strict_revoke,
            options.revoke_timeout,
        )
        self.quotas = quotas.QuotaController(
            self.board,
            self.network,
            core_quotas.QuotaBounds(
                options.quota_window,
                options.quota_overage,
                options.quota_slack,
            ),
        )
        self.metrics.add_collector(
            metrics.QuotaCollector(self.quotas.statistics)
        )
        self.limiter = limiter.CallerLimiter(
            self.board,
            limiter.budget_from_settings(options),
            self.loop.time,
        )
        self.handler = handling.RequestHandler(
            self.board,
            target_selection.TargetSelector(self.board, prober),
            sending.Sender(
                self.board,
                self.dialect,
                self.crashes,
                versions,
                authenticator,
            ),
            self.dialect,
            self.metrics,
            self.crashes,
            self.quotas,
            self.limiter,
        )
        self.server = caller_server.CallerServer(
            self.handler.handle, self.limiter.make_protocol
        )
        self.handler.busy = self.server.busy
        self.stopping = asyncio.Event()
        self.signals = stop_signals.StopSignals(self.loop, self.stopping.set)
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.AppRunner] = []

    async def run(self) -> None:
        """Serve until SIGTERM, finish the requests in flight, and return.

        What is open then is left to the end of the process, which closes it
        without a wait and with little processor time. A process that goes on
        calls :meth:`close`.
        """
        self._install_signals()
        logs.info('gateway starts', listen=self.options.listen)
        self._runners = [
            await self._start_http_server(
                self.options.ready_listen,
                self.dialect.readiness_path,
                self._handle_ready,
            ),
            await self._start_http_server(
                self.options.metrics_listen, '/metrics', self._handle_metrics
            ),
        ]
        host, port = flag_settings.split_endpoint(self.options.listen)
        listener = await self.loop.create_server(
            self.server, host, port, backlog=_BACKLOG, reuse_address=True
        )
        await self.peer_port.listen(
            *flag_settings.split_endpoint(self.options.peer_listen)
        )
        self._start(self.feeds.run())
        self._start(self.rollouts.run())
        self._start(self.quotas.run())
        self._start(self._run_maintenance())
        await self.stopping.wait()
        logs.info('gateway drains', in_flight=self.handler.in_flight)
        schedule = drain.DrainSchedule.from_timeout(
            self.signals.since(self.loop.time()),
            self.options.stop_timeout,
            ACCEPT_AFTER_STOP_S,
            STOP_MARGIN_S,
        )
        await self._drain(listener, schedule)
        for task in self._tasks:
            task.cancel()
        await drain.run_until(schedule.exit_at, self._send_rest())
        self.server.log_unsent_data()
        logs.info('gateway has stopped')

    async def close(self) -> None:
        """Close the servers and connections that :meth:`run` leaves open."""
        await self.server.close()
        for runner in self._runners:
            await runner.cleanup()
        self._runners = []
        self.pools.close()
        await self.rollouts.close()
        self.feeds.close()
        self.network.close()
        await self.log.close()

    async def _drain(
        self, listener: asyncio.Server, schedule: drain.DrainSchedule
    ) -> None:
        self.board.draining = True
        self.handler.answer_by(schedule.forward_until, schedule.answer_at)
        self.peer_port.close()
        self._start(self.feeds.leave())
        await asyncio.sleep(schedule.close_idle_at - self.loop.time())
        await self.server.receive_arrived()
        listener.close()
        try:
            async with asyncio.timeout_at(schedule.end_at):
                await self.server.finish_requests()
                await self.handler.idle.wait()
        except TimeoutError:
            self.handler.log_cut_requests()
        self.server.log_unhandled_connections()

    async def _send_rest(self) -> None:
        """Send what callers, and the other gateways, still get."""
        # Cancelled requests make their targets suspected.
        await self.server.cut_requests()
        # All requests have ended.
        self.rollouts.report_last()
        await asyncio.gather(self.server.send_written(), self.crashes.close())

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            try:
                self._maintain()
            except Exception as error:
                self.board.count('program_faults')
                logs.fault('maintenance failed', error)

    def _maintain(self) -> None:
        self.topology.expire()
        self.crashes.expire(self.feeds.read_decision.reads)
        self.pools.close_idle(self.loop.time())
        self.peer_port.update(self.loop.time())
        self.network.update(self.loop.time())
        self.limiter.check(self.loop.time())
        logs.flush_summary(self.loop.time())

    async def _start_http_server(
        self, endpoint: str, path: str, handler: typing.Any
    ) -> web.AppRunner:
        application = web.Application()
        application.router.add_get(path, handler)
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=STOP_MARGIN_S / 3
        )
        await runner.setup()
        host, port = flag_settings.split_endpoint(endpoint)
        await web.TCPSite(runner, host, port).start()
        return runner

    async def _handle_ready(self, request: web.Request) -> web.Response:
        if self.board.ready:
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    def _start(self, coroutine: typing.Coroutine) -> None:
        task = self.loop.create_task(coroutine)
        task.add_done_callback(self._stop_on_failure)
        self._tasks.append(task)

    def _stop_on_failure(self, task: asyncio.Task) -> None:
        # Controllers go on after a fault of one record, message or step. One
        # that ends all the same leaves stale state, so the gateway stops.
        if not task.cancelled() and task.exception() is not None:
            logs.LOGGER.error('controller failed', exc_info=task.exception())
            self.stopping.set()

    def _install_signals(self) -> None:
        self.signals.install()
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        # All settings are flags or environment variables of the process, which
        # do not change while it runs.
        logs.info('reload requested', effect='none, restart to apply')
