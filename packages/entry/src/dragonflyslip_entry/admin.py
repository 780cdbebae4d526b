"""HTTP handlers of the admin port: health, readiness, metrics, state."""

import collections.abc
import typing

from aiohttp import web

from dragonflyslip_entry import metrics

StateSource = collections.abc.Callable[[], dict[str, typing.Any]]


class Admin:
    """Serves health, readiness, metrics, state and suspect requests.

    :param ready: returns whether callers should be sent to this entry.
    :param state: returns the JSON members of ``/state``.
    :param suspects: returns the JSON members of ``/suspects``, which lists
        the requests suspected of crashing targets.
    """

    def __init__(
        self,
        entry_metrics: metrics.Metrics,
        ready: collections.abc.Callable[[], bool],
        state: StateSource,
        suspects: StateSource,
    ):
        self.metrics = entry_metrics
        self.ready = ready
        self.state = state
        self.suspects = suspects

    def application(self) -> web.Application:
        """Return the web application that serves the admin port."""
        application = web.Application()
        application.router.add_get('/healthz', self._handle_health)
        application.router.add_get('/readyz', self._handle_ready)
        application.router.add_get('/metrics', self._handle_metrics)
        application.router.add_get('/state', self._handle_state)
        application.router.add_get('/suspects', self._handle_suspects)
        return application

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _handle_ready(self, request: web.Request) -> web.Response:
        if self.ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def _handle_state(self, request: web.Request) -> web.Response:
        return web.json_response(self.state())

    async def _handle_suspects(self, request: web.Request) -> web.Response:
        return web.json_response(self.suspects())
