"""Finds out which requests crash targets, and refuses them.

The gateways exchange the crashes as records of the feed in which they also
register. A record's key holds the identity of the request and a digest of the
target's process.
"""

import asyncio
import collections.abc
import random
import typing

import msgspec
from returns import result

from dragonflyslip_core import directory
from dragonflyslip_core import feeds
from dragonflyslip_core import request_crashes
from dragonflyslip_core import request_identity
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import logs

# Begins the keys of crashes; names of gateways do not contain a slash.
KEY_PREFIX = 'crash/'
# A target whose connection was lost is asked so often whether it still runs.
CONFIRM_ATTEMPTS = 3
CONFIRM_PAUSE_S = 0.1
# A request may be sent to another target after this time, although it is not
# known yet whether the first one has crashed.
CONFIRM_WAIT_S = 0.05
WRITE_RETRY_MIN_S = 0.2
WRITE_RETRY_MAX_S = 0.8
# Bounds the writes to the store when many targets fail at once.
MAX_PENDING_WRITES = 32
# Length of the digest of a target's process; its id may be longer than a key.
TARGET_DIGEST_BYTES = 8


class CrashRecord(msgspec.Struct, frozen=True):
    """The value of a crash's record.

    :param depth: as in :class:`request_crashes.RequestCrash`.
    :param entry: name of the gateway that wrote it.
    :param at_ms: Unix time of the crash in milliseconds.
    """

    depth: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000)]
    entry: flag_settings.Name
    at_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]


_decode = msgspec.json.Decoder(
    CrashRecord, dec_hook=flag_settings.decode_hook
).decode


class CrashReporter:
    """Records crashes, exchanges them, and decides which requests to refuse.

    :param feed: name of the feed that holds the records.
    :param unix_time: returns Unix seconds.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        prober: probing.Prober,
        log: adapters.RecordLog,
        feed: str,
        unix_time: collections.abc.Callable[[], float],
    ):
        self.board = board
        self.crashes = board.request_crashes
        self.prober = prober
        self.log = log
        self.feed = feed
        self.unix_time = unix_time
        self.loop = asyncio.get_running_loop()
        self._confirming: set[asyncio.Task[None]] = set()
        self._writing: set[asyncio.Task[None]] = set()
        # Records that were too old already when they were read.
        self._outdated: list[request_crashes.RequestCrash] = []

    async def refused_for_s(
        self, call: calls.Call, body: calls.RequestBody | None
    ) -> float | None:
        """Return for how long a request is refused, None if it may be sent.

        The body is read as far as it identifies the request, if a request
        with the same path was in flight at a crash.

        :raises CallerBodyError: if the body ends early.
        """
        if not self.is_known(call):
            return None
        if body is not None:
            await body.read_head()
        identity = calls.identity_of(call, body)
        call.is_crash_trial = self.crashes.is_refused(identity)
        wait_s = self.crashes.admit(identity, self.loop.time())
        if wait_s is not None:
            self.board.count('crashing_requests_refused')
            logs.request(
                'request was in flight at crashes',
                request=call.request_id,
                identity=identity,
                depth=self.crashes.depth(identity),
                retry_after_s=round(wait_s, 1),
            )
        return wait_s

    def is_known(self, call: calls.Call) -> bool:
        """Return whether a request with the same path was at a crash."""
        return len(self.crashes) > 0 and self.crashes.knows_path(
            call.path_identity
        )

    def depth(self, call: calls.Call, body: calls.RequestBody | None) -> int:
        """Return the depth of the known crashes before a request is sent."""
        if not self.is_known(call):
            return 0
        identity = calls.identity_of(call, body)
        return 0 if identity is None else self.crashes.depth(identity)

    def is_refused(
        self, call: calls.Call, body: calls.RequestBody | None
    ) -> bool:
        """Return whether a request must not be written any more.

        Crashes may have become known since :meth:`refused_for_s`.
        """
        if call.is_crash_trial or not self.is_known(call):
            return False
        identity = calls.identity_of(call, body)
        return identity is not None and self.crashes.is_refused(identity)

    async def response_lost(
        self,
        call: calls.Call,
        body: calls.RequestBody | None,
        target: directory.Registration,
        depth: int,
    ) -> None:
        """Record a crash if the target has crashed.

        Returns early if that takes long, and goes on in the background.

        :param depth: result of :meth:`depth` before the request was sent.
        """
        task = self.loop.create_task(
            self._confirm(call, body, target, depth + 1)
        )
        self._confirming.add(task)
        task.add_done_callback(self._confirming.discard)
        await asyncio.wait([task], timeout=CONFIRM_WAIT_S)

    def succeeded(
        self, call: calls.Call, body: calls.RequestBody | None
    ) -> None:
        """Record a successful response to a request."""
        if not self.is_known(call):
            return
        identity = calls.identity_of(call, body)
        if identity is None:
            return
        for crash in self.crashes.succeeded(identity):
            self._write(crash, None)

    def apply(self, page: feeds.FeedPage) -> None:
        """Apply the records of the feed that are crashes."""
        crashes = [
            record
            for record in page.records
            if record.key.startswith(KEY_PREFIX)
        ]
        if page.complete:
            listed = [self._decode(record) for record in crashes]
            self.crashes.replace(
                [item for item in listed if item is not None],
                self.loop.time(),
            )
            return
        for record in crashes:
            self._apply_change(record)

    def expire(self, deletes: bool) -> None:
        """Drop old records.

        :param deletes: whether this gateway deletes them from the feed.
        """
        expired = self.crashes.expire(self.loop.time()) + self._outdated
        self._outdated = []
        if deletes:
            for crash in expired:
                self._write(crash, None)

    async def close(self) -> None:
        """Cancel what is still being confirmed or written."""
        tasks = [*self._confirming, *self._writing]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _confirm(
        self,
        call: calls.Call,
        body: calls.RequestBody | None,
        target: directory.Registration,
        depth: int,
    ) -> None:
        if not await self._has_crashed(target, call.service.health_path):
            return
        identity = calls.identity_of(call, body)
        logs.request(
            'target has crashed',
            request=call.request_id,
            target=target.target_id,
            identity=identity,
            depth=depth,
        )
        self.board.count('target_crashes')
        if identity is None:
            return
        crash = request_crashes.RequestCrash(
            identity, _life_of(target), depth, self.crashes.entry
        )
        if self.crashes.add(crash, self.loop.time()):
            record = CrashRecord(
                depth=depth,
                entry=str(crash.entry),
                at_ms=int(self.unix_time() * 1000),
            )
            self._write(crash, msgspec.json.encode(record))

    async def _has_crashed(
        self, target: directory.Registration, path: str
    ) -> bool:
        """Return whether the process of a target has ended.

        A lost connection alone does not show it.
        """
        for _ in range(CONFIRM_ATTEMPTS):
            try:
                target_id = await self.prober.identify(target, path)
            except ConnectionRefusedError:
                return True
            except http_connection.CONNECTION_ERRORS:
                await asyncio.sleep(CONFIRM_PAUSE_S)
                continue
            return target_id not in (None, target.target_id)
        return False

    def _write(
        self, crash: request_crashes.RequestCrash, value: bytes | None
    ) -> None:
        if len(self._writing) >= MAX_PENDING_WRITES:
            self.board.count('crash_records_dropped')
            return
        task = self.loop.create_task(self._append(crash, value))
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)

    async def _append(
        self, crash: request_crashes.RequestCrash, value: bytes | None
    ) -> None:
        """Write a record; try again until the store accepts it."""
        while True:
            outcome = await self.log.append(
                self.feed, KEY_PREFIX + '/'.join(crash.key), value
            )
            if isinstance(outcome, result.Success):
                return
            await asyncio.sleep(
                random.uniform(WRITE_RETRY_MIN_S, WRITE_RETRY_MAX_S)
            )

    def _apply_change(self, record: feeds.FeedRecord) -> None:
        if record.value is None:
            self.crashes.remove(*_parse_key(record.key))
            return
        decoded = self._decode(record)
        if decoded is not None:
            crash, age_s = decoded
            self.crashes.add(crash, self.loop.time(), age_s, shared=True)

    def _decode(
        self, record: feeds.FeedRecord
    ) -> tuple[request_crashes.RequestCrash, float] | None:
        """Return a crash and its age in seconds, None if it is malformed."""
        if record.value is None:
            return None
        identity, life = _parse_key(record.key)
        try:
            value = _decode(record.value)
        except (msgspec.DecodeError, RecursionError) as error:
            self.board.count('skipped_records')
            logs.info('record skipped', key=record.key, reason=str(error))
            return None
        crash = request_crashes.RequestCrash(
            identity, life, value.depth, value.entry
        )
        age_s = max(0.0, self.unix_time() - value.at_ms / 1000)
        if age_s >= request_crashes.MEMORY_S:
            self._outdated.append(crash)
        return crash, age_s


def _parse_key(key: str) -> tuple[str, str]:
    """Return the identity and the digest of the target's process."""
    identity, _, life = key.removeprefix(KEY_PREFIX).partition('/')
    return identity, life


def _life_of(target: directory.Registration) -> str:
    fields = (target.target_id, str(target.started_at_ms))
    return request_identity.digest(fields, TARGET_DIGEST_BYTES).hexdigest()
