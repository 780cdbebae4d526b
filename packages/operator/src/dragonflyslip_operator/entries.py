"""Asks the entries what they have in force and whom they suspect."""

import asyncio
import collections.abc
import dataclasses
import functools
import typing

import aiohttp
import pydantic
from returns import result

from dragonflyslip_operator import errors
import dragonflyslip_platform as platform

# Enough to ask some hundred entries within one timeout, without opening a
# connection to all of them at once.
_CONCURRENCY = 32
_MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True)
class EntryState:
    """What one entry says of itself.

    :param through: offset through which it has read the configuration.
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

    :param crashes: the crashes it is marked with, as the entry lists them.
    :param expires_in_s: seconds until the suspicion ends by itself.
    """

    fingerprint: str
    crashes: tuple[typing.Any, ...]
    expires_in_s: float


StateResult = result.Result[EntryState, errors.SourceError]
SuspectsResult = result.Result[tuple[Suspect, ...], errors.SourceError]


class EntryAdmin(typing.Protocol):
    """What the command needs of the entries' admin ports."""

    async def read_state(self, entry: platform.ListedInstance) -> StateResult:
        """Return what the entry has in force."""

    async def read_suspects(
        self, entry: platform.ListedInstance
    ) -> SuspectsResult:
        """Return the requests that the entry suspects."""


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
    """Client of the entries' admin ports.

    :param session: the HTTP session; its owner closes it.
    :param port_offset: added to an entry's listed port.
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
        """Return what the entry has in force."""
        body = await self._get(entry, '/state')
        return body.bind(_parse_state)

    async def read_suspects(
        self, entry: platform.ListedInstance
    ) -> SuspectsResult:
        """Return the requests that the entry suspects."""
        body = await self._get(entry, '/suspects')
        return body.bind(_parse_suspects)

    async def _get(
        self, entry: platform.ListedInstance, path: str
    ) -> result.Result[bytes, errors.SourceError]:
        port = entry.port + self.port_offset
        if port > _MAX_PORT:
            return _failure(f'admin port {port} does not exist')
        # An IPv6 number stands in brackets in a URL.
        host = f'[{entry.address}]' if ':' in entry.address else entry.address
        url = f'http://{host}:{port}{path}'
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                body = await response.read()
                if response.status != 200:
                    return _failure(f'answered {response.status}')
                return result.Success(body)
        except asyncio.TimeoutError:
            return _failure(f'no answer within {self.timeout_s:g} s')
        except aiohttp.ClientError:
            return _failure('unreachable')


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


_Answer = typing.TypeVar('_Answer')


async def list_entries(
    instances: platform.InstanceList,
) -> result.Result[tuple[platform.ListedInstance, ...], errors.SourceError]:
    """Return all entries that the instance list shows, by name.

    Leaving entries are among them, since they may still send work.
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


async def ask_all(
    listed: collections.abc.Sequence[platform.ListedInstance],
    ask: collections.abc.Callable[
        [platform.ListedInstance],
        collections.abc.Awaitable[result.Result[_Answer, errors.SourceError]],
    ],
) -> list[
    tuple[platform.ListedInstance, result.Result[_Answer, errors.SourceError]]
]:
    """Return each row with its answer, in the order of the list.

    While an instance is replaced the list may show its name twice.
    """
    turns = asyncio.Semaphore(_CONCURRENCY)

    async def ask_one(
        entry: platform.ListedInstance,
    ) -> result.Result[_Answer, errors.SourceError]:
        async with turns:
            return await ask(entry)

    answers = await asyncio.gather(*map(ask_one, listed))
    return list(zip(listed, answers, strict=True))


async def read_states(
    admin: EntryAdmin,
    listed: collections.abc.Sequence[platform.ListedInstance],
) -> list[tuple[platform.ListedInstance, StateResult]]:
    """Return each row with the state of its entry.

    An answer that another entry gave is an error: after a replacement the
    list may still show the port of an instance that is gone.
    """
    answers = await ask_all(listed, admin.read_state)
    return [
        (entry, answer.bind(functools.partial(_check_name, entry)))
        for entry, answer in answers
    ]


def _check_name(
    entry: platform.ListedInstance, state: EntryState
) -> StateResult:
    names = (state.entry_id, state.entry_id.rpartition('/')[0])
    if entry.instance_id in names:
        return result.Success(state)
    return _failure(f'{state.entry_id} answers in its place')
