"""Reads the configuration and its history from the log."""

from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import checkpoints
from dragonflyslip_core import config
from dragonflyslip_core import errors as core_errors
from dragonflyslip_operator import clock as clocks
from dragonflyslip_operator import errors
import dragonflyslip_platform as platform

CONFIG_STREAM = 'config'
POLL_INTERVAL_S = 0.2

ReadResult = result.Result[config.ConfigState, errors.SourceError]


def _failure(
    error: core_errors.CoreError,
) -> result.Failure[errors.SourceError]:
    return result.Failure(
        errors.SourceError(
            f'the configuration cannot be read: {error.format_message()}'
        )
    )


class ConfigReader:
    """Applies the records of the log stream ``config`` as the entries do.

    The entries are the processes of the load balancer.

    :param log: the log service.
    :param clock: times the pauses between failed reads.
    :param timeout_s: seconds for which a failing read is retried.
    :param with_history: start as far back as the log allows, which takes
        longer, instead of at the newest checkpoint.
    :ivar state: the configuration; empty before the first read.
    :ivar history: audit records of the changes, oldest first.
    :ivar outcomes: by change id, the outcome of each change that was read
        after the first read.
    :ivar checkpoint_mismatches: offsets of checkpoints whose digest differs
        from that of the configuration at that point; known only with
        history.
    """

    def __init__(
        self,
        log: platform.LogService,
        clock: clocks.Clock,
        timeout_s: float,
        with_history: bool = False,
    ):
        self.log = log
        self.clock = clock
        self.timeout_s = timeout_s
        self.with_history = with_history
        self.state = config.ConfigState()
        self.history: list[config.AuditEntry] = []
        self.outcomes: dict[
            str, config.Applied | config.Rejected | config.Ignored
        ] = {}
        self.checkpoint_mismatches: list[int] = []
        self._loaded = False

    async def read_to_end(self) -> ReadResult:
        """Return the configuration at the end of the log.

        A failed read is retried until the timeout.
        """
        deadline = self.clock.now() + self.timeout_s
        while True:
            outcome = await self.read_once()
            if isinstance(outcome, result.Success):
                return outcome
            if self.clock.now() >= deadline:
                return outcome
            await self.clock.sleep(POLL_INTERVAL_S)

    async def read_once(self) -> ReadResult:
        """Apply all records up to the end of the log, without a retry.

        If the log stops returning records before its end, the result is an
        error, but the records that it did return are applied.
        """
        records: list[platform.LogRecord] = []
        first_offset = from_offset = self.state.through + 1
        while True:
            answer = await self.log.read(
                CONFIG_STREAM, from_offset, platform.READ_LIMIT, 0.0
            )
            match answer:
                case result.Success(page):
                    records.extend(page.records)
                    from_offset = page.next
                    reached_end = page.at_end
                    if reached_end or not page.records:
                        break
                case result.Failure(platform.OffsetExpiredError() as error):
                    # The records at this offset have expired meanwhile;
                    # start over from the oldest that is left.
                    records = []
                    first_offset = from_offset = error.first
                case result.Failure(error):
                    return _failure(error)
        if not self._loaded or first_offset != self.state.through + 1:
            initial_state = self._load_initial_state(first_offset, records)
            if isinstance(initial_state, result.Failure):
                return _failure(initial_state.failure())
            self.state = initial_state.unwrap()
            self.history = list(self.state.audit)
            self._loaded = True
        for record in records:
            self._apply_record(record)
        if not reached_end:
            return _failure(
                core_errors.CoreError(
                    'the log did not return its newest records'
                )
            )
        return result.Success(self.state)

    def _load_initial_state(
        self, first_offset: int, records: list[platform.LogRecord]
    ) -> result.Result[config.ConfigState, core_errors.RecordError]:
        if self.with_history:
            if first_offset == platform.FIRST_OFFSET:
                return result.Success(config.ConfigState())
            # Load the oldest checkpoint after which no record is missing: the
            # newest one would give the same state, but less history.
            for record in records:
                header = config.read_checkpoint_header(record.data)
                if header is None or not (
                    first_offset - 1 <= header.through < record.offset
                ):
                    continue
                loaded = checkpoints.load_checkpoint(record.data)
                if isinstance(loaded, result.Success):
                    return loaded
        return checkpoints.bootstrap(first_offset, records)

    def _apply_record(self, record: platform.LogRecord) -> None:
        if record.offset <= self.state.through:
            return
        outcome = config.apply_record(self.state, record.offset, record.data)
        match outcome:
            case (
                config.Applied(change=change) | config.Rejected(change=change)
            ):
                self.outcomes.setdefault(change.change_id, outcome)
            case config.Ignored(
                reason=config.IgnoredReason.INVALID, change_id=str(change_id)
            ):
                self.outcomes.setdefault(change_id, outcome)
            case config.Ignored(
                reason=config.IgnoredReason.CHECKPOINT_MISMATCH
            ):
                self.checkpoint_mismatches.append(record.offset)
        audit = self.state.audit
        if audit and audit[-1].offset == record.offset:
            self.history.append(audit[-1])

    def item(self, kind: changes.Kind, name: str) -> config.Item | None:
        """Return the version of an item that is in force, if there is one."""
        return self.state.items[kind].get(name)

    def version_body(
        self, kind: changes.Kind, name: str, version: int
    ) -> result.Result[dict[str, object], errors.NotFoundError]:
        """Return the body that an item had at one of its versions.

        :param version: offset of the accepted change.
        """
        bodies = {
            entry.offset: entry.after or {}
            for entry in self.history
            if entry.verdict is config.Verdict.ACCEPTED
            and (entry.kind, entry.name) == (kind.value, name)
        }
        current = self.item(kind, name)
        if current is not None:
            bodies[current.version] = current.change.body_members()
        if version in bodies:
            return result.Success(bodies[version])
        known = ', '.join(map(str, sorted(bodies))) or 'none'
        return result.Failure(
            errors.NotFoundError(
                f'{kind.value} {name} has no version {version} in the log; '
                f'available versions: {known}'
            )
        )
