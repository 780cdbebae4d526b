"""Fake of the admin ports of entries."""

import typing

from aiohttp import web

from dragonflyslip_core import config
from dragonflyslip_testing import memory_log


class MemoryEntries:
    """Answers ``/state`` and ``/suspects`` for entries by name.

    :param log: the log that entries set up by ``follow`` read.
    :ivar answers: by path and entry name: a JSON document, an HTTP status, or
        a function that returns one of them. If there is none, the connection
        is aborted.
    """

    def __init__(self, log: memory_log.MemoryLog):
        self.log = log
        self.answers: dict[str, dict[str, typing.Any]] = {
            '/state': {},
            '/suspects': {},
        }

    def set_state(
        self, name: str, through: int, digest: str = 'd0'
    ) -> dict[str, typing.Any]:
        """Let an entry report a fixed state.

        :param through: offset of the last configuration record that it has
            applied.
        :param digest: digest of its configuration.
        :return: the ``/state`` document.
        """
        document = {
            'entry_id': f'{name}/00000000000000aa',
            'ready': True,
            'config': {'through': through, 'digest': digest},
            'isolated': False,
            'view': [name],
        }
        self.answers['/state'][name] = document
        return document

    def follow(self, name: str, max_records: int | None = None) -> None:
        """Let an entry report the state that results from the log.

        :param max_records: number of records to read; by default all.
        """

        def answer() -> dict[str, typing.Any]:
            state = config.ConfigState()
            for record in self.log.streams['config'][:max_records]:
                config.apply_record(state, record.offset, record.data)
            document = self.set_state(name, state.through, state.digest())
            # set_state has replaced this function by the document.
            self.answers['/state'][name] = answer
            return document

        self.answers['/state'][name] = answer

    def application(self, name: str) -> web.Application:
        """Return an application that serves one entry's admin port."""

        async def handle(request: web.Request) -> web.Response:
            answer = self.answers[request.path].get(name)
            if callable(answer):
                answer = answer()
            if answer is None:
                request.transport.abort()
            if isinstance(answer, int):
                return web.Response(status=answer)
            return web.json_response(answer)

        application = web.Application()
        for path in self.answers:
            application.router.add_get(path, handle)
        return application
