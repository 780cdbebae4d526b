"""Headers of calls and what the entry forwards (RFC 9110, RFC 9112)."""

import collections.abc

import multidict

from dragonflyslip_core import outcomes
from dragonflyslip_core import targets

KEY_HEADER = 'Idempotency-Key'
ATTEMPT_HEADER = 'Dragonflyslip-Attempt'
DEADLINE_HEADER = 'Dragonflyslip-Deadline'
# In a request: an earlier entry has repeated the call. In a response: the call
# must not be repeated. The same as ``retries.RETRY_HEADER``.
RETRY_HEADER = 'Dragonflyslip-Retry'
ENTRY_HEADER = 'Dragonflyslip-Entry'
REPLAYED_HEADER = 'Dragonflyslip-Replayed'
VIA = '1.1 dragonflyslip'

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

# Not forwarded: each entry sets them itself, or they are meant for the entry.
_CONSUMED_REQUEST_HEADERS = frozenset(
    {
        'expect',
        DEADLINE_HEADER.lower(),
        ENTRY_HEADER.lower(),
        RETRY_HEADER.lower(),
    }
)
_CONSUMED_RESPONSE_HEADERS = frozenset(
    {targets.LOAD_HEADER.lower(), outcomes.OUTCOME_HEADER.lower()}
)

Headers = collections.abc.Mapping[str, str]


def connection_options(headers: multidict.MultiMapping[str]) -> set[str]:
    """Return the lower-case names listed in ``Connection`` headers."""
    return {
        option.strip().lower()
        for value in headers.getall('Connection', ())
        for option in value.split(',')
    }


def forwarded_request_headers(
    headers: multidict.MultiMapping[str], caller_address: str | None
) -> multidict.CIMultiDict[str]:
    """Return the request headers to send to a target.

    Hop-by-hop headers are dropped; ``Via`` and ``Forwarded`` are extended.

    :param caller_address: IP address of the caller, if known.
    """
    kept = _without(headers, _CONSUMED_REQUEST_HEADERS)
    _append(kept, 'Via', VIA)
    if caller_address is not None:
        node = (
            f'"[{caller_address}]"'
            if ':' in caller_address
            else (caller_address)
        )
        _append(kept, 'Forwarded', f'for={node};proto=http')
    return kept


def forwarded_response_headers(
    headers: multidict.MultiMapping[str],
) -> multidict.CIMultiDict[str]:
    """Return the response headers to send to the caller."""
    kept = _without(headers, _CONSUMED_RESPONSE_HEADERS)
    _append(kept, 'Via', VIA)
    return kept


def _without(
    headers: multidict.MultiMapping[str], consumed: frozenset[str]
) -> multidict.CIMultiDict[str]:
    listed = connection_options(headers) if 'Connection' in headers else ()
    kept: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in consumed or lower in listed:
            continue
        kept.add(name, value)
    return kept


def _append(
    headers: multidict.CIMultiDict[str], name: str, value: str
) -> None:
    earlier = headers.popall(name, None)
    headers[name] = value if earlier is None else ', '.join([*earlier, value])
