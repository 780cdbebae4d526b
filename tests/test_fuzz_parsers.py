"""Seeded fuzzing of all parsers, and of a gateway that serves meanwhile."""

import asyncio
import contextlib
import operator
import random

import pytest

from dragonflyslip_core import names
import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import store as store_types
from dragonflyslip_testing import ports
from tests.adapter import callers
from tests.adapter import conftest
from tests import fuzz_parsers

platform = conftest.platform

EXAMPLES = 1_500
LIVE_EXAMPLES = 120
# Time in which a gateway reads what a connection has brought.
ARRIVAL_S = 0.004


async def _send_bytes(port: int, data: bytes) -> None:
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    with contextlib.suppress(OSError):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(ARRIVAL_S)
    writer.transport.abort()


async def _assert_serves(platform) -> None:
    assert not platform.running.done()
    assert (await platform.call()).status == 200


class TestParsers:
    @pytest.mark.parametrize('name', fuzz_parsers.PARSERS)
    def test_mutated_input_raises_only_declared_errors(self, name):
        # Guards against input that ends the task, or the process, that
        # reads it.
        parser = fuzz_parsers.PARSERS[name]
        assert fuzz_parsers.run(parser, EXAMPLES, seed=7) is None

    @pytest.mark.parametrize('name', fuzz_parsers.PARSERS)
    def test_examples_are_valid(self, name):
        # Guards against examples that a parser refuses before it parses.
        parser = fuzz_parsers.PARSERS[name]
        for example in parser.examples:
            parsed = parser.parse(example)
            assert 'Failure' not in type(parsed).__name__


class TestLiveGateway:
    async def test_gateway_serves_on_after_mutated_requests(self, platform):
        # Guards against a request that ends the gateway or its listener.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        rng = random.Random(7)
        heads = [
            callers.encode_request('/safe/1'),
            callers.encode_request('/unsafe/1', 'POST', Content_Length=3)
            + b'abc',
            callers.encode_request(
                '/unsafe/1', 'POST', Transfer_Encoding='chunked'
            )
            + b'3\r\nabc\r\n0\r\n\r\n',
        ]
        for _ in range(LIVE_EXAMPLES):
            data = fuzz_parsers.mutate(rng.choice(heads), rng)
            await _send_bytes(platform.port, data)
        await _assert_serves(platform)

    async def test_gateway_serves_on_after_mutated_frames(self, platform):
        # Guards against a message between gateways that ends the receiver.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        host, _, port = platform.gateway.options.peer_listen.rpartition(':')
        rng = random.Random(7)
        (example,) = fuzz_parsers.PARSERS['frames'].examples
        for _ in range(LIVE_EXAMPLES):
            await _send_bytes(int(port), fuzz_parsers.mutate(example, rng))
        await _assert_serves(platform)

    async def test_page_of_a_process_that_is_no_provider_is_ignored(
        self, platform
    ):
        # Guards against any process that connects to the port for other
        # gateways and brings a manifest into force.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        host, _, port = platform.gateway.options.peer_listen.rpartition(':')
        (example,) = fuzz_parsers.PARSERS['frames'].examples
        await _send_bytes(int(port), example)
        board = platform.gateway.board
        await platform.until(lambda: board.counters['peer_unasked_pages'])
        assert board.manifest.version == 1
        await _assert_serves(platform)

    async def test_gateway_serves_on_after_mutated_responses(self, platform):
        # Guards against a response of a target, or of its health path, that
        # ends the gateway.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        rng = random.Random(7)
        target = platform.targets[0]
        sent = []
        encode = emulator.messages.ResponseHead.encode_response

        writers = []

        async def serve(reader, writer) -> None:
            writers.append(writer)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    request = emulator.messages.parse_head(head)
                    response = encode(
                        emulator.messages.ResponseHead(
                            '0,0,2,100',
                            request.headers.get('x-request-id'),
                            {
                                'X-Instance-Id': 'i-odd',
                                'X-Server-Stamp': 'stamp',
                            },
                        ),
                        200,
                        b'body',
                    )
                    if rng.random() < 0.5:
                        response = fuzz_parsers.mutate(response, rng)
                    sent.append(response)
                    writer.write(response)
                    await writer.drain()

        port = ports.free_port()
        server = await asyncio.start_server(serve, '127.0.0.1', port)
        record = target.next_registration()
        record['address'] = f'127.0.0.1:{port}'
        await platform.store.put(store_types.TARGET_TOPIC, 'i-odd', record)
        known = platform.gateway.board.directory.targets
        await platform.until(lambda: 'i-odd' in known)
        for _ in range(LIVE_EXAMPLES):
            reply = await platform.call(wait_ms=500)
            assert reply.broken or reply.status in (200, 502, 503, 504)
            # An odd target is probed again only after a pause.
            standing = platform.gateway.board.standing_of('i-odd')
            standing.skip_until = standing.paused_until = 0.0
        assert len(sent) > LIVE_EXAMPLES / 2
        server.close()
        for writer in writers:
            writer.transport.abort()
        await platform.store.put(store_types.TARGET_TOPIC, 'i-odd', b'')
        await platform.until(lambda: 'i-odd' not in known)
        await _assert_serves(platform)

    async def test_record_that_no_controller_expects_ends_no_gateway(
        self, platform
    ):
        # Guards against an unexpected exception for a record that each
        # gateway reads at its start.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        decoder = platform.gateway.feeds.decoder
        apply = decoder.apply

        def fail(*arguments) -> None:
            decoder.apply = apply
            raise KeyError('unexpected')

        decoder.apply = fail
        await platform.publish()
        board = platform.gateway.board
        await platform.until(lambda: board.counters['program_faults'] == 1)
        await _assert_serves(platform)
        await platform.publish()
        await platform.until(lambda: board.manifest.version == 3)

    @pytest.mark.parametrize(
        'owner, step',
        [
            ('topology', 'expire'),
            ('feeds.registry', 'expire'),
            ('feeds.relay', 'update'),
            ('feeds.store_contact', 'responded'),
            ('quotas', '_apply_manifest'),
            ('rollouts.orders', 'expire'),
        ],
    )
    async def test_failing_step_of_a_task_ends_no_gateway(
        self, platform, owner, step
    ):
        # Guards against an exception for one record, message or peer that
        # ends a task, and with it each gateway that has the same state.
        await platform.add_target()
        await platform.publish()
        await platform.start()

        failed = []

        def fail(*arguments, **options) -> None:
            failed.append(step)
            raise KeyError('unexpected')

        gateway = platform.gateway
        setattr(operator.attrgetter(owner)(gateway), step, fail)
        counters = gateway.board.counters
        if owner == 'rollouts.orders':
            # Its step is taken for each service that has had a rollout.
            gateway.rollouts.known['casebook'] = None
        await platform.publish()
        await platform.until(
            lambda: len(failed) >= 2 and counters['program_faults'] >= 2
        )
        await _assert_serves(platform)

    async def test_failed_maintenance_ends_no_gateway(self, platform):
        await platform.add_target()
        await platform.publish()
        await platform.start()

        def fail() -> None:
            raise KeyError('unexpected')

        platform.gateway.topology.expire = fail
        counters = platform.gateway.board.counters
        await platform.until(lambda: counters['program_faults'] >= 2)
        await _assert_serves(platform)

    async def test_controller_that_ends_stops_the_gateway(self, platform):
        # Guards against a gateway that goes on with stale state because all
        # exceptions of its tasks are passed over.
        await platform.add_target()
        await platform.publish()
        await platform.start()

        async def fail() -> None:
            raise KeyError('unexpected')

        platform.gateway._start(fail())
        await platform.until(platform.running.done)

    async def test_name_above_the_bound_leaves_the_old_manifest(
        self, platform
    ):
        # Guards against a name that no bound allows and that ends a gateway.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        name = 'n' * (names.MAX_TEXT_LENGTH + 1)
        platform.tenants = [{'name': name, 'api_keys': ['key']}]
        await platform.publish()
        counters = platform.gateway.board.counters
        await platform.until(lambda: counters['skipped_records'] > 0)
        assert platform.gateway.board.manifest.version == 1
        await _assert_serves(platform)
