"""Stand-in for the admin ports of entries."""

import typing

from aiohttp import web

from dragonflyslip_core import config
from dragonflyslip_testing import memory_log


class MemoryEntries:
    """Answers ``/state`` and ``/suspects`` for entries by name.

    :param log: the log that following entries read.
    :ivar answers: by path and entry name: a document, an HTTP status, or a
        function that returns one of them. A request without an answer is
        cut off.
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
        """Let an entry have the log in force through an offset."""
        document = {
            'entry_id': f'{name}/00000000000000aa',
            'ready': True,
            'config': {'through': through, 'digest': digest},
            'isolated': False,
            'view': [name],
        }
        self.answers['/state'][name] = document
        return document

    def follow(self, name: str, last: int | None = None) -> None:
        """Let an entry follow the log.

        :param last: offset after which it stops reading.
        """

        def answer() -> dict[str, typing.Any]:
            state = config.ConfigState()
            for record in self.log.streams['config'][:last]:
                config.apply_record(state, record.offset, record.data)
            document = self.set_state(name, state.through, state.digest())
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
