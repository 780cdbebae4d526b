"""Reads the state and the suspect requests of entries."""

import asyncio
import collections.abc
import dataclasses
import functools
import typing

import aiohttp
import pydantic
from returns import result

from dragonflyslip_core import bounded_read
from dragonflyslip_core import errors as core_errors
from dragonflyslip_operator import errors
import dragonflyslip_platform as platform

# Enough to query a few hundred entries within one timeout, without opening
# a connection to all of them at once.
_MAX_CONCURRENT_REQUESTS = 32
_MAX_PORT = 65_535
# Longest answer of an entry.
MAX_ANSWER_BYTES = 8_388_608


@dataclasses.dataclass(frozen=True)
class EntryState:
    """State that an entry reports.

    :param through: last offset of the configuration log that it has read.
    :param digest: of the configuration at that offset.
    :param isolated: whether it refuses calls, since it may have missed
        configuration changes.
    :param view: ids of the entries that it sees as members.
    """

    entry_id: str
    ready: bool
    through: int
    digest: str
    isolated: bool
    view: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request that one entry suspects of crashing targets.

    :param crashes: the crashes it is suspected of, as the entry lists them.
    :param expires_in_s: seconds until the suspicion expires.
    """

    fingerprint: str
    crashes: tuple[typing.Any, ...]
    expires_in_s: float


StateResult = result.Result[EntryState, errors.SourceError]
SuspectsResult = result.Result[tuple[Suspect, ...], errors.SourceError]


class EntryAdmin(typing.Protocol):
    """Reads from the admin ports of entries."""

    async def read_state(self, entry: platform.ListedInstance) -> StateResult:
        """Return the state of an entry."""

    async def read_suspects(
        self, entry: platform.ListedInstance
    ) -> SuspectsResult:
        """Return the requests that an entry suspects of crashing targets."""


class _ConfigModel(pydantic.BaseModel):
    through: int = pydantic.Field(ge=0)
    digest: str


class _StateModel(pydantic.BaseModel):
    entry_id: str
    ready: bool
    config: _ConfigModel
    isolated: bool
    view: tuple[str, ...] = ()


class _SuspectModel(pydantic.BaseModel):
    fingerprint: str
    crashes: tuple[typing.Any, ...] = ()
    expires_in_s: float = pydantic.Field(allow_inf_nan=False)


class _SuspectsModel(pydantic.BaseModel):
    suspects: tuple[_SuspectModel, ...]


class HttpEntryAdmin:
    """HTTP client of the admin ports of entries.

    :param session: the HTTP session; the caller closes it.
    :param port_offset: added to an entry's listed port to get its admin
        port.
    :param timeout_s: seconds until an entry counts as unreachable.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        port_offset: int,
        timeout_s: float = 2.0,
    ):
        self.session = session
        self.port_offset = port_offset
        self.timeout_s = timeout_s

    async def read_state(self, entry: platform.ListedInstance) -> StateResult:
        """Return the state of an entry."""
        body = await self._get(entry, '/state')
        return body.bind(_parse_state)

    async def read_suspects(
        self, entry: platform.ListedInstance
    ) -> SuspectsResult:
        """Return the requests that an entry suspects of crashing targets."""
        body = await self._get(entry, '/suspects')
        return body.bind(_parse_suspects)

    async def _get(
        self, entry: platform.ListedInstance, path: str
    ) -> result.Result[bytes, errors.SourceError]:
        port = entry.port + self.port_offset
        if port > _MAX_PORT:
            return _failure(f'admin port {port} does not exist')
        # An IPv6 address is written in brackets in a URL.
        host = f'[{entry.address}]' if ':' in entry.address else entry.address
        url = f'http://{host}:{port}{path}'
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                body = await bounded_read.read_at_most(
                    response.content, MAX_ANSWER_BYTES
                )
                if response.status != 200:
                    return _failure(f'answered {response.status}')
                return result.Success(body)
        except asyncio.TimeoutError:
            return _failure(f'no answer within {self.timeout_s:g} s')
        except aiohttp.ClientError:
            return _failure('unreachable')
        except core_errors.OverlongResponseError as error:
            return _failure(error.message)


def _failure(message: str) -> result.Failure[errors.SourceError]:
    return result.Failure(errors.SourceError(message))


def _parse_state(body: bytes) -> StateResult:
    try:
        model = _StateModel.model_validate_json(body)
    except ValueError:
        return _failure('bad answer')
    return result.Success(
        EntryState(
            model.entry_id,
            model.ready,
            model.config.through,
            model.config.digest,
            model.isolated,
            model.view,
        )
    )


def _parse_suspects(body: bytes) -> SuspectsResult:
    try:
        model = _SuspectsModel.model_validate_json(body)
    except ValueError:
        return _failure('bad answer')
    return result.Success(
        tuple(
            Suspect(row.fingerprint, row.crashes, row.expires_in_s)
            for row in model.suspects
        )
    )


_Response = typing.TypeVar('_Response')


async def list_entries(
    instances: platform.InstanceList,
) -> result.Result[tuple[platform.ListedInstance, ...], errors.SourceError]:
    """Return all entries in the instance list, sorted by name.

    This includes entries that are leaving, since they may still send
    requests.
    """
    match await instances.list_instances():
        case result.Success(rows):
            return result.Success(
                tuple(
                    sorted(
                        (row for row in rows if row.kind == 'entry'),
                        key=lambda row: row.instance_id,
                    )
                )
            )
        case result.Failure(error):
            return _failure(
                'the instance list cannot be read: ' + error.format_message()
            )


async def query_all(
    listed: collections.abc.Sequence[platform.ListedInstance],
    query: collections.abc.Callable[
        [platform.ListedInstance],
        collections.abc.Awaitable[
            result.Result[_Response, errors.SourceError]
        ],
    ],
) -> list[
    tuple[
        platform.ListedInstance, result.Result[_Response, errors.SourceError]
    ]
]:
    """Query all entries concurrently and return each with its result.

    The results are in the order of the list. They are pairs and not keyed by
    name, since the list may show a name twice while an instance is replaced.
    """
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

    async def query_one(
        entry: platform.ListedInstance,
    ) -> result.Result[_Response, errors.SourceError]:
        async with semaphore:
            return await query(entry)

    answers = await asyncio.gather(*map(query_one, listed))
    return list(zip(listed, answers, strict=True))


async def read_states(
    admin: EntryAdmin,
    listed: collections.abc.Sequence[platform.ListedInstance],
) -> list[tuple[platform.ListedInstance, StateResult]]:
    """Return each listed entry with its state.

    A state reported by another entry is an error: after a replacement the
    list may still show the port of an instance that is gone.
    """
    answers = await query_all(listed, admin.read_state)
    return [
        (entry, answer.bind(functools.partial(_check_entry_id, entry)))
        for entry, answer in answers
    ]


def _check_entry_id(
    entry: platform.ListedInstance, state: EntryState
) -> StateResult:
    # The id has the form NAME/INCARNATION, where the incarnation is a random
    # number chosen at the start. The list may show only the name.
    names = (state.entry_id, state.entry_id.rpartition('/')[0])
    if entry.instance_id in names:
        return result.Success(state)
    return _failure(f'{state.entry_id} answers in its place')
