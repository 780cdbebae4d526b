"""Records of crashes in the feed through which the gateways exchange them.

A record's key holds the identity of the request and a digest of the target's
process.
"""

import asyncio
import collections.abc
import random
import typing

import msgspec
from returns import result

from dragonflyslip_core import request_crashes
from dragonflyslip_core import request_identity
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry import logs

# Begins the keys of crashes; names of gateways do not contain a slash.
KEY_PREFIX = 'crash/'
WRITE_RETRY_MIN_S = 0.2
WRITE_RETRY_MAX_S = 0.8
MAX_CONCURRENT_WRITES = 16
# Bounds the records that wait while the store is away.
MAX_PENDING_WRITES = request_crashes.MAX_CRASHES
# Length of the digest of a target's process; its id may be longer than a key.
TARGET_DIGEST_BYTES = 8


class CrashRecord(msgspec.Struct, frozen=True):
    """The value of a crash's record.

    :param depth: as in :class:`request_crashes.RequestCrash`.
    :param entry: name of the gateway that wrote it.
    :param at_ms: Unix time of the crash in milliseconds.
    :param ended: whether the target is known to have ended; if not, it does
        not answer.
    """

    depth: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000)]
    entry: flag_settings.Name
    at_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    ended: bool = True

    @property
    def state(self) -> request_crashes.ProcessState:
        """What is known of the target's process."""
        if self.ended:
            return request_crashes.ProcessState.ENDED
        return request_crashes.ProcessState.MISSING


# Raises DecodeError or RecursionError for a malformed value.
decode = msgspec.json.Decoder(
    CrashRecord, dec_hook=flag_settings.decode_hook
).decode


def encode_key(crash: request_crashes.RequestCrash) -> str:
    """Return the key of a crash's record."""
    return KEY_PREFIX + '/'.join(crash.key)


def parse_key(key: str) -> tuple[str, str]:
    """Return the identity and the digest of the target's process."""
    identity, _, life = key.removeprefix(KEY_PREFIX).partition('/')
    return identity, life


def target_life(target_id: str, started_at_ms: int) -> str:
    """Return the digest that identifies a process of a target."""
    fields = (target_id, str(started_at_ms))
    return request_identity.digest(fields, TARGET_DIGEST_BYTES).hexdigest()


class CrashRecordWriter:
    """Writes records to the feed, each until the store accepts it.

    Writes of one record never overtake each other, and only the last value
    is written.

    :param feed: name of the feed that holds the records.
    :param on_drop: called if a record is given up.
    """

    def __init__(
        self,
        log: adapters.RecordLog,
        feed: str,
        on_drop: collections.abc.Callable[[], None],
    ):
        self.log = log
        self.feed = feed
        self.on_drop = on_drop
        # Crashes and values by key; no value for a deletion.
        self._pending: dict[tuple[str, str], '_Write'] = {}
        self._keys_in_flight: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def put(
        self, crash: request_crashes.RequestCrash, value: bytes | None
    ) -> None:
        """Write a record soon, the deepest crashes first.

        :param value: None to delete it.
        """
        self._pending[crash.key] = _Write(crash, value)
        if len(self._pending) > MAX_PENDING_WRITES:
            least = min(self._pending.values(), key=_depth)
            del self._pending[least.crash.key]
            self.on_drop()
        self._start_tasks()

    async def close(self, timeout_s: float) -> None:
        """Finish what can be written within a timeout, then give up."""
        try:
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=timeout_s)
        finally:
            for task in self._tasks:
                task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_tasks(self) -> None:
        if len(self._tasks) >= MAX_CONCURRENT_WRITES:
            return
        task = asyncio.get_running_loop().create_task(self._run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self) -> None:
        while (write := self._next()) is not None:
            key = write.crash.key
            del self._pending[key]
            self._keys_in_flight.add(key)
            try:
                outcome = await self.log.append(
                    self.feed, encode_key(write.crash), write.value
                )
            except Exception as error:
                # The other records are written all the same.
                logs.fault('crash record not written', error)
                self.on_drop()
                continue
            finally:
                self._keys_in_flight.discard(key)
            if not isinstance(outcome, result.Success):
                # Not in place of a newer value.
                self._pending.setdefault(key, write)
                await asyncio.sleep(
                    random.uniform(WRITE_RETRY_MIN_S, WRITE_RETRY_MAX_S)
                )

    def _next(self) -> '_Write | None':
        """Return the record of the deepest crash that may be written now."""
        return max(
            (
                write
                for key, write in self._pending.items()
                if key not in self._keys_in_flight
            ),
            key=_depth,
            default=None,
        )


class _Write(typing.NamedTuple):
    """A record to write, or to delete if it has no value."""

    crash: request_crashes.RequestCrash
    value: bytes | None


def _depth(write: _Write) -> int:
    return write.crash.depth
