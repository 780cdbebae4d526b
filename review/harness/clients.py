"""A small HTTP/1.1 client that sends requests and records the answers."""

import asyncio
import dataclasses
import itertools

_ids = itertools.count(1)


@dataclasses.dataclass
class Exchange:
    """A request and what came of it.

    Times are those of the record.

    :ivar status: 0 if there was no whole answer.
    """

    request_id: str
    gateway: str
    method: str
    path: str
    body: bytes
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    answer: bytes = b''
    error: str = ''


async def send(
    record, gateway, host, method, path, body=b'', deadline_ms=2000
) -> Exchange:
    """Send a request on a new connection and wait for its answer."""
    exchange = Exchange(f'r{next(_ids)}', gateway.name, method, path, body)
    exchange.sent_at = record.now()
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', gateway.front
            )
            writer.write(_head(exchange, host, deadline_ms) + body)
            await _read_answer(reader, exchange)
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        exchange.status = 0
        exchange.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    exchange.ended_at = record.now()
    record.write(
        f'{exchange.request_id} to {exchange.gateway}: {method} {path} sent '
        f'at {exchange.sent_at:.3f}, status {exchange.status} '
        f'{exchange.error}'
    )
    return exchange


def _head(exchange: Exchange, host: str, deadline_ms: int) -> bytes:
    lines = [
        f'{exchange.method} {exchange.path} HTTP/1.1',
        f'Host: {host}',
        f'X-Request-Id: {exchange.request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
    ]
    if exchange.body or exchange.method != 'GET':
        lines.append(f'Content-Length: {len(exchange.body)}')
    return '\r\n'.join([*lines, '', '']).encode()


async def _read_answer(
    reader: asyncio.StreamReader, exchange: Exchange
) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    for line in lines:
        name, separator, value = line.partition(':')
        if separator:
            exchange.headers[name.strip().lower()] = value.strip()
    length = int(exchange.headers.get('content-length', '0'))
    exchange.answer = await reader.readexactly(length)
    exchange.status = int(first.split(' ')[1])
