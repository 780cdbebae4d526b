"""Fake target with slots, cold start, load reports and a record of runs."""

import asyncio
import contextlib
import dataclasses
import hashlib
import time
import uuid

from aiohttp import web

KEY_HEADER = 'Idempotency-Key'
RETRY_HEADER = 'Dragonflyslip-Retry'
# Request headers that control how the target executes a request: restart on
# arrival, additional service time, size of the response body, how the body
# ends, and rejection (shedding) with status 503 without execution.
# ``X-Test-Cut: unmarked`` ends a body without a stated length by closing the
# connection; ``chunked`` breaks off a chunked body in the middle; any other
# value breaks off a body with ``Content-Length``.
CRASH_HEADER = 'X-Test-Crash'
DELAY_HEADER = 'X-Test-Delay-Ms'
RESPONSE_BYTES_HEADER = 'X-Test-Response-Bytes'
CUT_HEADER = 'X-Test-Cut'
SHED_HEADER = 'X-Test-Shed'
_CHUNK = b'0123456789abcdef' * 4096


@dataclasses.dataclass
class Run:
    """One request that the target executed.

    :param key: value of ``Idempotency-Key``, if any.
    :param boot_id: boot id of the process that received it.
    :param started_at: monotonic time of its arrival in seconds.
    :param digest: SHA-256 of the body in hex, empty until all of it was read.
    :param finished: whether the target finished the work and began to
        respond.
    :param retry: value of ``Dragonflyslip-Retry``, if any.
    """

    method: str
    path: str
    key: str
    boot_id: str
    started_at: float
    digest: str = ''
    finished: bool = False
    retry: str = ''


@dataclasses.dataclass
class TargetModel:
    """State of the fake target.

    :param slots: number of requests that run concurrently; others wait.
    :param service_s: service time of a request in seconds.
    :param cold_s: seconds after a start during which the target is cold.
    :param cold_limit: number of concurrent requests above which a cold target
        crashes; 0 means that it never does.
    :param booted_at: monotonic time of the last start in seconds.
    :param in_flight: number of running and waiting requests.
    :param crashes: number of restarts caused by requests.
    :param peak_cold: highest number of concurrent requests while cold.
    :param probes: number of requests to the load endpoint.
    """

    name: str
    slots: int = 6
    service_s: float = 0.0
    cold_s: float = 0.0
    cold_limit: int = 0
    boot_id: str = ''
    booted_at: float = 0.0
    in_flight: int = 0
    draining: bool = False
    crashes: int = 0
    runs: list[Run] = dataclasses.field(default_factory=list)
    peak_cold: int = 0
    probes: int = 0

    def __post_init__(self):
        self.semaphore = asyncio.Semaphore(self.slots)
        self.transports: set[asyncio.Transport] = set()
        self.restart()

    def restart(self) -> None:
        """Abort all connections and start cold with a new boot id."""
        self.boot_id = uuid.uuid4().hex[:12]
        self.booted_at = time.monotonic()
        self.in_flight = 0
        for transport in list(self.transports):
            transport.abort()
        self.transports.clear()

    def track_connection(self, request: web.Request) -> None:
        """Store the connection of a request, for a restart to abort it."""
        self.transports = {
            tracked for tracked in self.transports if not tracked.is_closing()
        }
        if request.transport is not None:
            self.transports.add(request.transport)

    def crash(self) -> None:
        """Restart because of a request."""
        self.crashes += 1
        self.restart()

    @property
    def cold(self) -> bool:
        """Whether the target started less than ``cold_s`` ago."""
        return time.monotonic() - self.booted_at < self.cold_s

    def load_header(self) -> str:
        """Return the value of ``Dragonflyslip-Load``."""
        state = 'serving'
        if self.draining:
            state = 'draining'
        elif self.cold:
            state = 'warming'
        return (
            f'inflight={self.in_flight}, slots={self.slots}, '
            f'boot="{self.boot_id}", state={state}'
        )


MODEL = web.AppKey('model', TargetModel)


def target_application(model: TargetModel) -> web.Application:
    """Return an application that behaves as ``model`` specifies.

    ``GET /.dragonflyslip/load`` reports the load. ``GET /.testing/runs``
    returns the recorded runs, ``POST /.testing/restart`` restarts the target,
    and ``POST /.testing/set`` sets attributes of the model. All other requests
    are executed, except those with ``X-Test-Shed``.
    """
    application = web.Application(client_max_size=1 << 40)
    application[MODEL] = model
    add = application.router.add_route
    add('GET', '/.dragonflyslip/load', _handle_load)
    add('GET', '/.testing/runs', _handle_runs)
    add('POST', '/.testing/restart', _handle_restart)
    add('POST', '/.testing/set', _handle_set)
    add('*', '/{path:.*}', _handle_request)
    return application


async def _handle_load(request: web.Request) -> web.Response:
    model = request.app[MODEL]
    model.track_connection(request)
    model.probes += 1
    return web.Response(
        headers={'Dragonflyslip-Load': model.load_header()}, status=204
    )


async def _handle_runs(request: web.Request) -> web.Response:
    model = request.app[MODEL]
    return web.json_response(
        {
            'runs': [dataclasses.asdict(run) for run in model.runs],
            'crashes': model.crashes,
            'peak_cold': model.peak_cold,
            'probes': model.probes,
            'boot_id': model.boot_id,
        }
    )


async def _handle_restart(request: web.Request) -> web.Response:
    request.app[MODEL].restart()
    return web.Response(status=204)


async def _handle_set(request: web.Request) -> web.Response:
    for name, value in (await request.json()).items():
        setattr(request.app[MODEL], name, value)
    return web.Response(status=204)


def _is_disconnected(request: web.Request) -> bool:
    """Whether a restart aborted the connection before the request ran."""
    return request.transport is None or request.transport.is_closing()


async def _handle_request(request: web.Request) -> web.StreamResponse:
    model = request.app[MODEL]
    if _is_disconnected(request):
        # The connection is closed, so this response is never sent.
        return web.Response(status=500)
    if SHED_HEADER in request.headers:
        return web.Response(
            status=503,
            headers={
                'Dragonflyslip-Outcome': 'not-run',
                'Dragonflyslip-Load': model.load_header(),
            },
        )
    run = Run(
        request.method,
        request.raw_path,
        request.headers.get(KEY_HEADER, ''),
        model.boot_id,
        time.monotonic(),
        retry=request.headers.get(RETRY_HEADER, ''),
    )
    model.runs.append(run)
    with _count_in_flight(model, request):
        if CRASH_HEADER in request.headers:
            model.crash()
        async with model.semaphore:
            return await _respond(model, request, run)


@contextlib.contextmanager
def _count_in_flight(model: TargetModel, request: web.Request):
    """Count a request; more than the cold limit crash a cold target."""
    model.track_connection(request)
    boot_id = model.boot_id
    model.in_flight += 1
    try:
        if model.cold:
            model.peak_cold = max(model.peak_cold, model.in_flight)
            if 0 < model.cold_limit < model.in_flight:
                model.crash()
        yield
    finally:
        if model.boot_id == boot_id:
            model.in_flight -= 1


async def _respond(
    model: TargetModel, request: web.Request, run: Run
) -> web.StreamResponse:
    digest = hashlib.sha256()
    async for chunk in request.content.iter_any():
        digest.update(chunk)
    run.digest = digest.hexdigest()
    delay_s = float(request.headers.get(DELAY_HEADER, '0')) / 1000
    if model.service_s + delay_s > 0:
        await asyncio.sleep(model.service_s + delay_s)
    run.finished = True
    headers = {
        'Dragonflyslip-Load': model.load_header(),
        'X-Test-Target': model.name,
        'X-Test-Path': request.raw_path,
        'X-Test-Digest': run.digest,
    }
    if RESPONSE_BYTES_HEADER not in request.headers:
        return web.Response(
            text=f'{model.name} {request.method} {request.raw_path}\n',
            headers=headers,
        )
    return await _stream(request, headers)


async def _stream(
    request: web.Request, headers: dict[str, str]
) -> web.StreamResponse:
    size = int(request.headers[RESPONSE_BYTES_HEADER])
    cut = request.headers.get(CUT_HEADER)
    if cut == 'unmarked':
        return await _respond_without_length(request, size)
    response = web.StreamResponse(headers=headers)
    if cut != 'chunked':
        response.content_length = size
    await response.prepare(request)
    stop = size // 2 if cut else size
    for start in range(0, stop, len(_CHUNK)):
        await response.write(_CHUNK[: min(len(_CHUNK), stop - start)])
    if cut:
        request.transport.abort()
    else:
        await response.write_eof()
    return response


async def _respond_without_length(
    request: web.Request, size: int
) -> web.StreamResponse:
    """Send a body that is delimited only by the end of the connection."""
    request.transport.write(b'HTTP/1.1 200 OK\r\n\r\n' + _CHUNK[:size])
    request.transport.close()
    return web.Response()
