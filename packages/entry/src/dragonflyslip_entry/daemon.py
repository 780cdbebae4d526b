"""One entry: its controllers and servers, from start to stop."""

import asyncio
import collections.abc
import random
import secrets
import time
import typing

import aiohttp
from aiohttp import web

from dragonflyslip_core import answers
from dragonflyslip_core import blackboard
from dragonflyslip_core import freshness
from dragonflyslip_core import membership
from dragonflyslip_core import suspects
from dragonflyslip_core import warmup
from dragonflyslip_entry import admin
from dragonflyslip_entry import attempts
from dragonflyslip_entry import caller_server
from dragonflyslip_entry import claim_controller
from dragonflyslip_entry import claimed_calls
from dragonflyslip_entry import config_controller
from dragonflyslip_entry import connections
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import drain
from dragonflyslip_entry import entry_relay
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry import fleet_controller
from dragonflyslip_entry import keyed_calls
from dragonflyslip_entry import logs
from dragonflyslip_entry import metrics
from dragonflyslip_entry import peer_controller
from dragonflyslip_entry import plain_calls
from dragonflyslip_entry import probe_controller
from dragonflyslip_entry import progress
from dragonflyslip_entry import proxy
from dragonflyslip_entry import service_control
from dragonflyslip_entry import settings
from dragonflyslip_entry import stop_signals
from dragonflyslip_entry import target_controller
from dragonflyslip_entry import watches
import dragonflyslip_platform as platform

_LOG_TIMEOUT_S = 5.0
# An entry whose targets cannot be probed becomes ready after this time anyway,
# so that its callers get an error that says what is wrong.
_READY_AFTER_S = 15.0
_READY_POLL_S = 0.05
# Time in which the last responses are sent to callers that read slowly.
_SEND_TIMEOUT_S = 10.0
# Time kept free between the last response and the end of the stop timeout,
# when the process is killed.
_STOP_MARGIN_S = 0.5


class Entry:
    """An entry instance.

    :param options: validated settings.
    :param log: the log service; created from the settings if not given.
    :param instances: the instance list; created likewise.
    :param clock: returns Unix seconds.
    """

    def __init__(
        self,
        options: settings.Settings,
        log: platform.LogService | None = None,
        instances: platform.InstanceList | None = None,
        clock: collections.abc.Callable[[], float] = time.time,
    ):
        self.options = options
        self.clock = clock
        self.session = aiohttp.ClientSession()
        self.log = log or platform.HttpLogService(
            self.session, options.log_url, _LOG_TIMEOUT_S
        )
        self.instances = instances or platform.HttpInstanceList(
            self.session, options.instances_url
        )
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self.stop_now = asyncio.Event()
        self.signals = stop_signals.StopSignals(self.loop, self.request_stop)
        self._tasks: list[asyncio.Task[None]] = []
        self._ready_deadline = float('inf')
        # By fingerprint: version of the configuration item with which an
        # operator lifted the suspicion of the request.
        self._lifted_versions: dict[str, int] = {}
        # Offset of the last configuration record whose profiles are applied.
        self._applied_through = -1
        self._make_board()
        self._make_components()

    def _make_board(self) -> None:
        incarnation = secrets.randbits(64)
        own = membership.EntryId(self.options.name, incarnation)
        self.rng = random.Random(incarnation)
        self.board = blackboard.Blackboard(
            freshness=freshness.Freshness(own.name),
            membership=membership.Membership(own, self.clock()),
            suspects=suspects.SuspectTable(),
        )
        self.metrics = metrics.Metrics(self.board)

    def _make_components(self) -> None:
        board, options = self.board, self.options
        self.pools = connections.ConnectionTable()
        self.peer_pools = connections.ConnectionTable(share=1.0)
        self.watch_table = watches.WatchTable()
        self.warmups = warmup.WarmupController(board)
        self.services = service_control.ServiceTable(
            board, options.failure_domain
        )
        self.metrics.registry.register(
            metrics.ServiceCollector(board, self.services)
        )
        self.answer_store = answers.AnswerStore()
        self.config = config_controller.ConfigController(
            board,
            self.log,
            options.log_retention_s,
            self.clock,
            self._on_config_change,
        )
        self.peers = peer_controller.PeerController(
            board,
            self.warmups,
            self.answer_store,
            options.failure_domain,
            flag_settings.split_endpoint(options.listen)[1],
            self.config.adopt_snapshot,
        )
        self.claimer = claim_controller.ClaimController(
            board, self.log, options.log_retention_s, self.clock
        )
        self.fleet = fleet_controller.FleetController(
            board,
            self.warmups,
            self.services,
            self.pools,
            self.claimer,
            self.peers,
            options.append_rate,
        )
        self.prober = probe_controller.ProbeController(
            board,
            self.services,
            self.watch_table,
            self.warmups,
            self.peers.notify,
        )
        self.targets = target_controller.TargetController(
            board,
            self.instances,
            self.services,
            self.pools,
            self.watch_table,
            self.warmups,
            self.peers.links,
        )
        self._make_proxy()

    def _make_proxy(self) -> None:
        board = self.board
        self.dispatcher = dispatcher.Dispatcher(
            board,
            self.services,
            self.warmups,
            self.watch_table,
            self.fleet.may_serve,
            self.rng,
        )
        runner = attempts.AttemptRunner(
            board, self.dispatcher, self.pools, self.prober, self.peers
        )
        self.timeouts = progress.CallTimeouts()
        self.proxy = proxy.Proxy(
            board,
            self.dispatcher,
            plain_calls.PlainCalls(
                board, self.dispatcher, runner, self.timeouts, self.rng
            ),
            claimed_calls.ClaimedCalls(
                self.dispatcher, runner, self.claimer, self.timeouts
            ),
            keyed_calls.KeyedCalls(
                self.claimer,
                self.answer_store,
                self.peers,
                self.timeouts,
                self.clock,
            ),
            entry_relay.EntryRelay(
                board,
                self.dispatcher,
                self.peers,
                self.peer_pools,
                self.timeouts,
                self.rng,
            ),
            self.metrics,
            self.clock,
        )
        self.server = caller_server.CallerServer(self.proxy.handle)
        self.proxy.busy = self.server.busy
        self.admin = admin.Admin(
            self.metrics, self.ready, self.state, self.suspects
        )

    def ready(self) -> bool:
        """Return whether callers should be sent to this entry."""
        now = self.loop.time()
        return (
            self.config.caught_up.is_set()
            and self.targets.listed.is_set()
            and not self.stopping.is_set()
            and self.fleet.may_serve(now)
            and (now >= self._ready_deadline or self._half_of_targets_known())
        )

    def _half_of_targets_known(self) -> bool:
        """Return whether at least half of the targets have been probed.

        A target is suspected until its boot id has been confirmed.
        """
        states = self.board.targets.values()
        known = sum(not state.suspected for state in states)
        return 2 * known >= len(states)

    def state(self) -> dict[str, typing.Any]:
        """Return the JSON members of ``/state``."""
        now = self.loop.time()
        config = self.board.config
        agreement = self.board.membership.agreement(now)
        return {
            'entry_id': str(self.board.membership.own),
            'ready': self.ready(),
            'config': {
                'through': 0 if config is None else config.through,
                'digest': '' if config is None else config.digest(),
            },
            'isolated': not self.fleet.may_serve(now),
            'view': [str(m.entry_id) for m in agreement.view.members],
            'agreed': agreement.agreed,
            'share': self.fleet.share,
            'calls_in_flight': self.proxy.in_flight,
            'targets': {
                target_id: {
                    'boot_id': state.boot_id,
                    'suspected': state.suspected,
                    'warm_limit': state.warm_limit,
                    'own_in_flight': state.own_in_flight,
                }
                for target_id, state in self.board.targets.items()
            },
        }

    def suspects(self) -> dict[str, typing.Any]:
        """Return the JSON members of ``/suspects``."""
        return {
            'suspects': [
                {
                    'fingerprint': suspect.fingerprint,
                    'crashes': list(suspect.target_ids),
                    'expires_in_s': suspect.expires_in_s,
                }
                for suspect in self.board.suspects.list(self.loop.time())
            ]
        }

    def _on_config_change(self) -> None:
        """Apply a configuration change to suspects, profiles and targets."""
        now = self.loop.time()
        for fingerprint, version in self.board.config.lifted_suspects.items():
            if self._lifted_versions.get(fingerprint) != version:
                self._lifted_versions[fingerprint] = version
                self.board.suspects.lift(fingerprint, now)
        if self.board.config.through != self._applied_through:
            self._applied_through = self.board.config.through
            self.targets.refresh_profiles()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, drain calls in flight and return."""
        self.signals.install()
        admin_runner = await self._listen_admin()
        await self._start_controllers()
        await self._wait_until_ready()
        listener = await self._listen_callers()
        logs.info('entry is ready', listen=self.options.listen)
        await self.stopping.wait()
        logs.info('entry is draining', in_flight=self.proxy.in_flight)
        schedule = drain.DrainSchedule.from_timeout(
            self.signals.since(self.loop.time()),
            self.options.stop_timeout_s,
            self.options.drain_delay_s,
            _STOP_MARGIN_S,
        )
        await self._drain(listener, schedule)
        await drain.run_until(schedule.exit_at, self._close(admin_runner))
        self.server.log_unsent_data()
        logs.info('entry has stopped')

    async def _start_controllers(self) -> None:
        host, port = flag_settings.split_endpoint(self.options.peer_listen)
        await self.peers.links.listen(host, port)
        for controller in (
            self.config.run(),
            self.targets.run(),
            self.peers.run(),
            self.fleet.run(),
            self.claimer.run_reader(),
            self.claimer.run_appender(),
            self.prober.run(),
            self.dispatcher.run(),
            self.pools.run(),
            self.peer_pools.run(),
        ):
            self._start(controller)

    async def _wait_until_ready(self) -> None:
        self._ready_deadline = self.loop.time() + _READY_AFTER_S
        while not self.ready() and not self.stopping.is_set():
            await asyncio.sleep(_READY_POLL_S)

    async def _drain(
        self, listener: asyncio.Server, schedule: drain.DrainSchedule
    ) -> None:
        self.timeouts.answer_by(schedule.answer_at)
        stop_now = asyncio.ensure_future(self.stop_now.wait())
        # Callers are still served until the load balancer in front has had
        # time to see that this entry is not ready.
        delay_s = schedule.close_idle_at - self.loop.time()
        await asyncio.wait([stop_now], timeout=delay_s)
        self.board.membership.draining = True
        await self.server.receive_arrived()
        listener.close()
        finished = asyncio.ensure_future(self._finish_calls())
        await asyncio.wait(
            [stop_now, finished],
            timeout=schedule.end_at - self.loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        stop_now.cancel()
        finished.cancel()

    async def _finish_calls(self) -> None:
        await self.server.finish_requests(_SEND_TIMEOUT_S)
        # A call with a key continues after its caller has disconnected.
        await self.proxy.idle.wait()

    async def _close(self, admin_runner: web.AppRunner) -> None:
        for task in self._tasks:
            task.cancel()
        await self.server.close()
        await self.peers.links.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await admin_runner.cleanup()
        self.watch_table.close()
        self.pools.close()
        self.peer_pools.close()
        await self.session.close()

    async def _listen_callers(self) -> asyncio.Server:
        host, port = flag_settings.split_endpoint(self.options.listen)
        return await self.loop.create_server(
            self.server, host, port, backlog=1024, reuse_address=True
        )

    async def _listen_admin(self) -> web.AppRunner:
        host, port = flag_settings.split_endpoint(self.options.admin_listen)
        runner = web.AppRunner(
            self.admin.application(),
            access_log=None,
            shutdown_timeout=_STOP_MARGIN_S / 5,
        )
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        return runner

    def _start(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._stop_on_failure)
        self._tasks.append(task)

    def _stop_on_failure(self, task: asyncio.Task) -> None:
        # Without a controller the entry would go on with stale state, so it
        # stops.
        if not task.cancelled() and task.exception() is not None:
            logs.LOGGER.error('controller failed', exc_info=task.exception())
            self.request_stop()

    def request_stop(self) -> None:
        """Start draining; a second call stops at once."""
        if self.stopping.is_set():
            self.stop_now.set()
        self.stopping.set()
