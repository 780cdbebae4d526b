"""Size and CPU time of the messages with which gateways replicate feeds.

A feed is a topic of the store that the gateways follow. A gateway that reads
it relays its records to the other gateways.

Run ``python -m bench.relays``; it takes seconds. Times depend on the machine.
"""

import time

from dragonflyslip_core import feeds
import dragonflyslip_wire as wire

REPEATS = 300
RECORD = (
    '{{"address":"10.1.64.{n}:8768","born":1780000000000,"info":{{"service":'
    '"casebook","zone":"scot-central-a","version":"v1","slots":6}},"status":'
    '{{"state":"ready","sequence":{n},"cold_remaining":"0ms"}}}}'
)


def _feed_page(targets: int) -> feeds.FeedPage:
    records = tuple(
        feeds.FeedRecord(
            f'i-{n:010x}', RECORD.format(n=n).encode(), feeds.Position(0, n)
        )
        for n in range(targets)
    )
    return feeds.FeedPage(
        records, feeds.START, feeds.Position(0, targets), True
    )


def _measure(message: wire.Message) -> tuple[int, float, float]:
    """Return the frame size in bytes, and µs to encode and to decode it."""
    frame = wire.encode_frame(message)
    repeats = max(3, REPEATS * 1_000 // (1_000 + 10 * len(frame)))
    started = time.process_time()
    for _ in range(repeats):
        wire.encode_frame(message)
    encoded = time.process_time()
    for _ in range(repeats):
        list(wire.FrameDecoder().feed(frame))
    decoded = time.process_time()
    scale = 1e6 / repeats
    return (
        len(frame),
        (encoded - started) * scale,
        (decoded - encoded) * scale,
    )


def main() -> None:
    """Print the table."""
    states = (
        wire.FeedState('keyed.op', feeds.Position(0, 40), 0.1),
        wire.FeedState('keyed.servers', feeds.Position(0, 900), 0.1),
    )
    messages: dict[str, wire.Message] = {
        'status': wire.FeedStatus(states, 119),
        'pull': wire.FeedPull('keyed.servers', feeds.Position(0, 900)),
        'page of 1 target': wire.FeedPush('keyed.servers', _feed_page(1)),
    }
    for targets in (40, 400, 4_000, 10_000):
        messages[f'page of {targets:,} targets'] = wire.FeedPush(
            'keyed.servers', _feed_page(targets)
        )
    print('| message | bytes | µs to encode | µs to decode |')
    print('|---|---|---|---|')
    for name, message in messages.items():
        size, encode_us, decode_us = _measure(message)
        print(f'| {name} | {size:,} | {encode_us:,.0f} | {decode_us:,.0f} |')


if __name__ == '__main__':
    main()
