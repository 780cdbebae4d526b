"""Fake of the instance list service, in memory and over HTTP."""

import dataclasses

from aiohttp import web
from returns import result

import dragonflyslip_platform as platform


class MemoryInstances:
    """In-memory implementation of ``InstanceList``.

    :param rows: the instances that are listed; assign to change them.
    :ivar down: whether every request fails.
    """

    def __init__(self, rows: tuple[platform.ListedInstance, ...] = ()):
        self.rows = rows
        self.down = False

    async def list_instances(
        self,
    ) -> result.Result[
        tuple[platform.ListedInstance, ...], platform.PlatformError
    ]:
        """Return the rows, or an error while ``down`` is set."""
        if self.down:
            return result.Failure(
                platform.UnavailableError('instance list is down')
            )
        return result.Success(self.rows)


INSTANCES = web.AppKey('instances', MemoryInstances)


def instances_application(instances: MemoryInstances) -> web.Application:
    """Return an application that serves the list over HTTP.

    ``PUT /instances`` replaces the rows.
    """
    application = web.Application()
    application[INSTANCES] = instances
    application.router.add_get('/instances', _handle_list)
    application.router.add_put('/instances', _handle_replace)
    return application


async def _handle_list(request: web.Request) -> web.Response:
    match await request.app[INSTANCES].list_instances():
        case result.Success(rows):
            return web.json_response([dataclasses.asdict(row) for row in rows])
        case _:
            return web.Response(status=503)


async def _handle_replace(request: web.Request) -> web.Response:
    rows = await request.json()
    request.app[INSTANCES].rows = tuple(
        platform.ListedInstance(**row) for row in rows
    )
    return web.Response(status=204)
