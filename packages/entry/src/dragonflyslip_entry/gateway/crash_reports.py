"""Finds out which requests crash targets, and refuses them.

A lost response makes its request suspected until the target has answered, and
is a crash if the target is known to have ended. The gateways exchange both as
records of the feed in which they also register.
"""

import asyncio
import collections.abc

import msgspec

from dragonflyslip_core import directory
from dragonflyslip_core import feeds
from dragonflyslip_core import request_crashes
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import crash_records
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry.gateway import target_inquiries
from dragonflyslip_entry import logs

# A request may be sent to another target after this time, although it is not
# known yet whether the first one has crashed.
CONFIRM_WAIT_S = 0.05
# Time to write records before the process ends.
CLOSE_TIMEOUT_S = 0.1

ProcessState = request_crashes.ProcessState


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
        self.unix_time = unix_time
        self.loop = asyncio.get_running_loop()
        self.writer = crash_records.CrashRecordWriter(
            log, feed, lambda: board.count('crash_records_dropped')
        )
        self.inquiries = target_inquiries.TargetInquiries(
            prober,
            board.directory,
            lambda target: self.crashes.is_open(_life_of(target)),
            self._record_result,
        )
        prober.on_answer = self._record_answer
        board.directory.on_restart = self._record_restart
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

    def chain(
        self, call: calls.Call, body: calls.RequestBody | None
    ) -> request_crashes.Chain:
        """Return what is known of a request that is about to be sent."""
        if not self.crashes.has_open and not self.is_known(call):
            return request_crashes.NO_CHAIN
        identity = calls.identity_of(call, body)
        if identity is None:
            return request_crashes.NO_CHAIN
        return self.crashes.chain(identity)

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
    ) -> None:
        """Suspect a crash, and wait for a short time for the target's answer.

        Asking goes on in the background after that.
        """
        self._add_suspicion(call, body, target)
        await self.inquiries.first_result(
            target, call.service.health_path, CONFIRM_WAIT_S
        )

    def suspect(
        self,
        call: calls.Call,
        body: calls.RequestBody | None,
        target: directory.Registration,
    ) -> None:
        """Suspect a crash of a target that did not respond to a request."""
        self._add_suspicion(call, body, target)
        self.inquiries.begin(target, call.service.health_path)

    def _add_suspicion(
        self,
        call: calls.Call,
        body: calls.RequestBody | None,
        target: directory.Registration,
    ) -> None:
        identity = calls.identity_of(call, body)
        if identity is not None:
            self.crashes.suspect(
                identity, _life_of(target), call.crash_chain, self.loop.time()
            )

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
            self.writer.put(crash, None)

    def apply(self, page: feeds.FeedPage) -> None:
        """Apply the records of the feed that are crashes."""
        crashes = [
            record
            for record in page.records
            if record.key.startswith(crash_records.KEY_PREFIX)
        ]
        if page.complete:
            listed = [self._decode(record) for record in crashes]
            self.crashes.replace(
                [item for item in listed if item is not None],
                self.loop.time(),
                page.era,
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
                self.writer.put(crash, None)

    async def write_again(self) -> None:
        """Write or delete again the records that a new era does not hold so.

        See :class:`~dragonflyslip_entry.gateway.renewals.RecordOwner`.
        """
        for crash in self.crashes.take_deleted():
            self.writer.put(crash, None)
        for report in self.crashes.unshared(self.loop.time()):
            ended = report.state is ProcessState.ENDED
            self._write([report.crash], ended, report.age_s)

    async def close(self) -> None:
        """Write what is still suspected or not written yet, and stop."""
        await self.inquiries.close()
        now = self.loop.time()
        for target_life in self.crashes.open_lives:
            self._write(self.crashes.missing(target_life, now), False)
        await self.writer.close(CLOSE_TIMEOUT_S)

    def _record_result(
        self,
        target: directory.Registration,
        state: ProcessState,
        asked_at: float,
    ) -> None:
        """Record the result of an inquiry."""
        life = _life_of(target)
        match state:
            case ProcessState.ENDED:
                self._record_end(target.target_id, life)
            case ProcessState.MISSING:
                missing = self.crashes.missing(life, self.loop.time())
                for crash in missing:
                    logs.request(
                        'target does not answer',
                        target=target.target_id,
                        identity=crash.identity,
                        depth=crash.depth,
                    )
                self._write(missing, False)
            case ProcessState.RUNNING:
                self._record_answer(target, asked_at)

    def _record_answer(
        self, target: directory.Registration, asked_at: float
    ) -> None:
        """Record that a target has answered, also to a probe."""
        if not self.crashes.has_open:
            return
        life = _life_of(target)
        if self.crashes.is_open(life):
            now = self.loop.time()
            for crash in self.crashes.running(life, asked_at, now):
                self.writer.put(crash, None)

    def _record_restart(self, target_id: str, started_at_ms: int) -> None:
        """Record that a newer process has registered under a target's id."""
        if len(self.crashes):
            life = crash_records.target_life(target_id, started_at_ms)
            self._record_end(target_id, life)

    def _record_end(self, target_id: str, life: str) -> None:
        crashes = self.crashes.ended(life, self.loop.time())
        for crash in crashes:
            logs.request(
                'target has crashed',
                target=target_id,
                identity=crash.identity,
                depth=crash.depth,
            )
            self.board.count('target_crashes')
        self._write(crashes, True)

    def _write(
        self,
        crashes: list[request_crashes.RequestCrash],
        ended: bool,
        age_s: float = 0.0,
    ) -> None:
        """Write records of crashes that this gateway has seen.

        :param age_s: seconds since the crashes.
        """
        for crash in crashes:
            if crash.entry != self.crashes.entry:
                continue
            record = crash_records.CrashRecord(
                depth=crash.depth,
                entry=str(crash.entry),
                at_ms=int((self.unix_time() - age_s) * 1000),
                ended=ended,
            )
            self.writer.put(crash, msgspec.json.encode(record))

    def _apply_change(self, record: feeds.FeedRecord) -> None:
        if record.value is None:
            self.crashes.remove(*crash_records.parse_key(record.key))
            return
        decoded = self._decode(record)
        if decoded is not None:
            self.crashes.add(
                decoded.crash,
                self.loop.time(),
                decoded.age_s,
                True,
                decoded.state,
            )

    def _decode(
        self, record: feeds.FeedRecord
    ) -> request_crashes.CrashReport | None:
        """Return what a record says of a crash, None if it is malformed."""
        if record.value is None:
            return None
        identity, life = crash_records.parse_key(record.key)
        try:
            value = crash_records.decode(record.value)
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
        return request_crashes.CrashReport(crash, age_s, value.state)


def _life_of(target: directory.Registration) -> str:
    return crash_records.target_life(target.target_id, target.started_at_ms)
