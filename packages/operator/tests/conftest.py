"""Runs commands against fake services, in memory and over HTTP."""

import contextlib
import dataclasses
import io
import json
import typing

import aiohttp
from aiohttp import test_utils
import pytest

from dragonflyslip_operator import cli
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import entries
import dragonflyslip_platform as platform
import dragonflyslip_testing as fakes
from dragonflyslip_testing import lossy_log
from dragonflyslip_testing import manual_clock
from dragonflyslip_testing import memory_entries

PORT_OFFSET = 1000
ENVIRON = {
    'DRAGONFLYSLIP_LOG_URL': 'http://127.0.0.1:7000',
    'DRAGONFLYSLIP_INSTANCES_URL': 'http://127.0.0.1:7001',
    'DRAGONFLYSLIP_AUTHOR': 'moira',
}


class CommandResult(typing.NamedTuple):
    """Exit code and output of one run of the command."""

    code: int
    stdout: str
    stderr: str

    @property
    def rows(self):
        return [line.split('\t') for line in self.stdout.splitlines()]


class Harness:
    """Runs commands one after another against the same fake services.

    :param over_http: serve the log and the instance list over HTTP.
    :ivar memory: the fake log service, which keeps its records in memory.
    :ivar log: passes requests on to ``memory`` and can lose appends.
    """

    def __init__(self, over_http):
        self.over_http = over_http
        self.memory = fakes.MemoryLog()
        self.faults = self.memory.faults
        self.instances = fakes.MemoryInstances()
        self.log = lossy_log.LossyLog(self.memory)
        self.entries = memory_entries.MemoryEntries(self.memory)
        self.clock = manual_clock.ManualClock()

    def list_instance(self, name, kind='entry', domain='scot-central-a'):
        live = platform.instances.targets.InstanceState.LIVE
        self.instances.rows += (
            platform.ListedInstance(
                name, kind, '', '127.0.0.1', 8000, domain, live
            ),
        )

    def store(self, data):
        """Store a record as if another process had appended it."""
        return self.memory._store('config', data)

    def records(self):
        records = self.memory.streams['config']
        return [json.loads(record.data) for record in records]

    def run(self, *argv, environ=ENVIRON):
        stdout, stderr = io.StringIO(), io.StringIO()
        try:
            code = cli.main(argv, environ, stdout, stderr, self._connect)
        except SystemExit as error:
            code = error.code
        return CommandResult(code, stdout.getvalue(), stderr.getvalue())

    @contextlib.asynccontextmanager
    async def _connect(self, arguments, settings, out):
        async with contextlib.AsyncExitStack() as stack:
            session = await stack.enter_async_context(aiohttp.ClientSession())
            instances = self.instances
            if self.over_http:
                application = fakes.log_application(self.memory)
                application.add_subapp(
                    '/list/', fakes.instances_application(instances)
                )
                server = test_utils.TestServer(application)
                await stack.enter_async_context(server)
                url = str(server.make_url('/'))
                self.log.log = platform.HttpLogService(session, url)
                instances = platform.HttpInstanceList(session, f'{url}list')
            admin = _Admin(session, PORT_OFFSET)
            admin.entries = self.entries
            yield contexts.Context(
                arguments,
                settings,
                self.log,
                instances,
                admin,
                out,
                self.clock,
            )


class _Admin(entries.HttpEntryAdmin):
    """Admin client that starts a fake admin server for each request."""

    async def _get(self, entry, path):
        application = self.entries.application(entry.instance_id)
        async with test_utils.TestServer(application) as server:
            port = server.port - PORT_OFFSET
            return await super()._get(
                dataclasses.replace(entry, port=port), path
            )


@pytest.fixture(params=['memory', 'http'])
def harness(request):
    """Return a harness; each test runs in memory and over HTTP."""
    return Harness(request.param == 'http')


@pytest.fixture
def memory_harness():
    """Return a harness for tests that do not depend on the transport."""
    return Harness(False)
