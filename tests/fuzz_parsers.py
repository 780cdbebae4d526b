"""Fuzz targets: all parsers of bytes that come from outside a gateway.

Each parser gets mutated examples of what it reads. It may return a failure
or raise one of its declared errors; any other exception is a fault::

    python -m tests.fuzz_parsers --examples 20000 --seed 1 [PARSER ...]

An input that failed once is kept in ``EXAMPLES`` of its parser.
"""

import argparse
import collections.abc
import contextlib
import dataclasses
import json
import random
import struct
import time

import msgspec

from dragonflyslip_adapter import dialect
from dragonflyslip_adapter import errors as adapter_errors
from dragonflyslip_adapter import records
from dragonflyslip_adapter import store_pages
from dragonflyslip_core import errors as core_errors
from dragonflyslip_core import feeds as feed_types
from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import rollouts
from dragonflyslip_entry import errors
from dragonflyslip_entry.gateway import crash_records
from dragonflyslip_entry.gateway import entry_records
from dragonflyslip_entry.gateway import settings
import dragonflyslip_wire as wire

# Pieces that parsers treat specially, or that exceed a bound.
_FRAGMENTS = (
    b'\x00',
    b'\xff',
    b'\r\n',
    b'\r\n\r\n',
    b':',
    b'"',
    b'\\u0000',
    b'[' * 2_000,
    b'{"a":' * 500,
    b'9' * 400,
    b'-1',
    b'1e999',
    b'NaN',
    b'null',
    b'Content-Length: 5\r\n',
    b'Transfer-Encoding: chunked\r\n',
)
_MAX_MUTATIONS = 6
_HEADER_NAMES = (
    'X-Request-Id',
    'X-Deadline-Ms',
    'X-Instance-Id',
    'X-Server-Load',
    'X-Server-Stamp',
    'X-Cold-Ms',
    'Server-Limit',
    'Server-Leaving',
    'Retry-After',
)


@dataclasses.dataclass(frozen=True)
class Parser:
    """A parser and valid examples of its input.

    :param parse: raises one of ``expected`` for input that it refuses.
    """

    parse: collections.abc.Callable[[bytes], object]
    examples: tuple[bytes, ...]
    expected: tuple[type[Exception], ...] = ()


_SETTINGS = {
    'name': 'edge-1',
    'failure_domain': 'zone-a',
    'adapter': 'dragonflyslip_adapter',
    'store_url': 'http://127.0.0.1:8642',
    'listen': '127.0.0.1:8080',
    'stop_timeout': '1500ms',
    'repeat_ratio': '0.2',
    'planned_entries': '18',
    'log_level': 'info',
}


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Return a changed copy of an example."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, _MAX_MUTATIONS)):
        start = rng.randint(0, len(changed))
        end = min(len(changed), start + rng.choice((0, 1, 1, 2, 8, 64)))
        match rng.randrange(5):
            case 0:
                changed[start:end] = rng.choice(_FRAGMENTS)
            case 1:
                changed[start:end] = rng.randbytes(end - start)
            case 2:
                changed[start:start] = changed[start:end] * rng.choice((1, 20))
            case 3:
                del changed[start:end]
            case 4:
                del changed[start:]
    return bytes(changed)


def _parse_page(data: bytes) -> None:
    """Parse a page of records, also as the beginning of a longer page."""
    with contextlib.suppress(adapter_errors.LongPageError):
        store_pages.UnreadRecords(8, 1_000).check(data, len(data))
    store_pages.parse_page(
        store_pages.Response(200, data, 0.0), feed_types.Position(1, 8)
    )


def _parse_headers(data: bytes) -> None:
    lines = data.decode('latin-1').split('\n')
    headers = dict(zip(_HEADER_NAMES, lines, strict=False))
    platform = dialect.PlatformDialect()
    platform.parse_request(headers)
    for status in (200, 421, 503):
        platform.parse_response(status, headers)
        platform.parse_health(status, headers)


def _parse_settings(data: bytes) -> None:
    lines = data.decode('latin-1').split('\n')
    flags = dict(zip(_SETTINGS, lines, strict=False))
    settings.GatewaySettings.from_sources(flags, {})


def _parse_frames(data: bytes) -> None:
    for message in wire.FrameDecoder().feed(data):
        if isinstance(message, wire.RolloutReport):
            message.report.expand()


_MANIFEST = json.dumps(
    {
        'version': 3,
        'routes': [
            {
                'name': 'r',
                'host': 'app.example',
                'path_prefix': '/a/',
                'type': 'safe',
                'timeout': '2s',
                'target_latency': '300ms',
                'max_attempts': 2,
                'traffic_split': [{'service': 's', 'weight': 0.5}],
            }
        ],
        'services': [{'name': 's', 'health_check_path': '/health'}],
        'limits': {'max_body_bytes': 1_000, 'idle_timeout': '15s'},
    }
).encode()
_REGISTRATION = json.dumps(
    {
        'address': '10.0.0.1:80',
        'born': 1,
        'info': {'service': 's', 'zone': 'z', 'slots': 2, 'version': 'v1'},
        'status': {'state': 'ready', 'sequence': 1, 'cold_remaining': '2s'},
    }
).encode()
_NEWEST = b'{"items":[{"key":"k","value":"eA==","offset":3}],"more":false,' + (
    b'"end_offset":4}'
)
_PAGE = struct.pack('>QQI', 9, 0, 4) + b'\x01kvv'
_ENTRY_ID = membership.EntryId('edge-1', 7)
_FRAMES = b''.join(
    wire.encode_frame(message)
    for message in (
        wire.FeedSubscribe(_ENTRY_ID, _ENTRY_ID),
        wire.FeedStatus(
            (wire.FeedState('keyed.op', feed_types.Position(1, 4), 0.1),), 3
        ),
        wire.FeedPull('keyed.op', None),
        wire.FeedPush(
            'keyed.op',
            feed_types.FeedPage(
                (
                    feed_types.FeedRecord(
                        'config', _MANIFEST, feed_types.Position(1, 1)
                    ),
                ),
                feed_types.Position(1, 0),
                feed_types.Position(1, 2),
                True,
            ),
        ),
        wire.RolloutReport(
            'casebook',
            'edge-1',
            rollouts.CompactReport(
                'edge-1',
                7,
                feeds.Position(1, 4),
                2,
                1,
                1,
                3,
                90,
                ('route-safe',),
                ('i-1',),
                ((1, 0, 1, 2, 7, 3, 4), (1, 0, 0, 0, 8, 30)),
            ),
        ),
        wire.RolloutAdvice(
            'casebook',
            rollouts.Advice('edge-1', feeds.Position(1, 4), True, 1),
            (wire.MissingReports('edge-2'),),
        ),
    )
)

PARSERS = {
    'manifest': Parser(records.decode_manifest, (_MANIFEST,)),
    'registration': Parser(
        lambda data: records.decode_registration('i-1', data),
        (_REGISTRATION,),
    ),
    'rollout': Parser(
        lambda data: records.decode_rollout_order(
            'casebook', data, feeds.START
        ),
        (b'{"service":"casebook","target_version":"v2","duration":"12s"}',),
    ),
    'rollout status': Parser(
        lambda data: records.decode_rollout_status('casebook', data),
        (b'{"state":"running","target_version":"v2"}',),
    ),
    'gateway': Parser(
        entry_records.decode,
        (b'{"incarnation":1,"failure_domain":"z","endpoint":"127.0.0.1:9"}',),
        (msgspec.DecodeError, RecursionError),
    ),
    'crash': Parser(
        crash_records.decode,
        (b'{"depth":1,"entry":"edge-1","at_ms":1500}',),
        (msgspec.DecodeError, RecursionError),
    ),
    'page': Parser(_parse_page, (_PAGE,)),
    'newest': Parser(
        lambda data: store_pages.decode(store_pages.NewestPage, data),
        (_NEWEST,),
    ),
    'headers': Parser(
        _parse_headers, (b'id\n500\ni-1\n3,0,8,150\ns\n20\n1.5\n1\n2',)
    ),
    'frames': Parser(
        _parse_frames, (_FRAMES,), (wire.WireError, core_errors.RecordError)
    ),
    'settings': Parser(
        _parse_settings,
        ('\n'.join(_SETTINGS.values()).encode(),),
        (errors.SettingsError,),
    ),
}


def run(parser: Parser, examples: int, seed: int) -> bytes | None:
    """Parse mutated examples.

    :return: the first input that raised an unexpected exception, if any.
    """
    rng = random.Random(seed)
    for _ in range(examples):
        data = mutate(rng.choice(parser.examples), rng)
        try:
            parser.parse(data)
        except parser.expected:
            continue
        except Exception:
            return data
    return None


def main() -> None:
    """Run the parsers given on the command line, or all of them."""
    arguments = argparse.ArgumentParser(prog='tests.fuzz_parsers')
    arguments.add_argument('parsers', nargs='*', metavar='PARSER')
    arguments.add_argument('--examples', type=int, default=20_000)
    arguments.add_argument('--seed', type=int, default=1)
    options = arguments.parse_args()
    for name in options.parsers or PARSERS:
        started = time.monotonic()
        failed = run(PARSERS[name], options.examples, options.seed)
        took_s = time.monotonic() - started
        outcome = 'passed' if failed is None else f'FAILED: {failed!r}'
        print(f'{name}: {options.examples} in {took_s:.1f} s, {outcome}')


if __name__ == '__main__':
    main()
