"""Run one fake server as a process, for end-to-end tests."""

import argparse
import asyncio
import signal

from aiohttp import web
import uvloop

from dragonflyslip_testing import memory_instances
from dragonflyslip_testing import memory_log
from dragonflyslip_testing import relay
from dragonflyslip_testing import target


def _build_application(arguments: argparse.Namespace) -> web.Application:
    match arguments.kind:
        case 'log':
            return memory_log.log_application(memory_log.MemoryLog())
        case 'instances':
            return memory_instances.instances_application(
                memory_instances.MemoryInstances()
            )
        case _:
            return target.target_application(
                target.TargetModel(
                    arguments.name,
                    slots=arguments.slots,
                    service_s=arguments.service_s,
                    cold_s=arguments.cold_s,
                    cold_limit=arguments.cold_limit,
                )
            )


async def _serve(arguments: argparse.Namespace) -> None:
    if arguments.kind == 'relay':
        await _serve_relay(arguments)
        return
    runner = web.AppRunner(_build_application(arguments), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', arguments.port).start()
    await asyncio.Event().wait()


async def _serve_relay(arguments: argparse.Namespace) -> None:
    relay_server = relay.Relay(arguments.target_port)
    # SIGUSR1 makes the open connections drop all further bytes.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1, relay_server.blackhole
    )
    async with await relay_server.listen(arguments.port) as server:
        await server.serve_forever()


def main() -> None:
    """Start the chosen server and serve until killed."""
    parser = argparse.ArgumentParser(prog='dragonflyslip_testing')
    parser.add_argument(
        'kind', choices=['log', 'instances', 'target', 'relay']
    )
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--name', default='target')
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--service-s', type=float, default=0.0)
    parser.add_argument('--cold-s', type=float, default=0.0)
    parser.add_argument('--cold-limit', type=int, default=0)
    parser.add_argument(
        '--target-port',
        type=int,
        default=0,
        help='port that a relay forwards to',
    )
    uvloop.run(_serve(parser.parse_args()))


if __name__ == '__main__':
    main()
