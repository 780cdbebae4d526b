"""Reads the configuration and its history from the log."""

from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import checkpoints
from dragonflyslip_core import config
from dragonflyslip_core import errors as core_errors
from dragonflyslip_operator import clock as clocks
from dragonflyslip_operator import errors
import dragonflyslip_platform as platform

STREAM = 'config'
POLL_S = 0.2

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
    """Folds the log stream ``config`` as the entries do.

    :param log: the log service.
    :param clock: for pauses between failed reads.
    :param timeout_s: seconds until a failing read is given up.
    :param with_history: fold as far back as possible, which takes longer,
        in place of starting from the newest checkpoint.
    :ivar state: the configuration; empty before the first read.
    :ivar history: audit entries, oldest first.
    :ivar outcomes: what became of each change read after the first read,
        by change id.
    :ivar mismatches: offsets of checkpoints whose digest is another one;
        known only with history.
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
        self.mismatches: list[int] = []
        self._started = False

    async def read_to_end(self) -> ReadResult:
        """Return the configuration after a read that reached the end.

        A read that fails is repeated until the timeout.
        """
        deadline = self.clock.now() + self.timeout_s
        while True:
            outcome = await self.read_once()
            if isinstance(outcome, result.Success):
                return outcome
            if self.clock.now() >= deadline:
                return outcome
            await self.clock.sleep(POLL_S)

    async def read_once(self) -> ReadResult:
        """Fold everything up to the end of the log, without a retry.

        What was read counts even if the end was not reached.
        """
        records: list[platform.LogRecord] = []
        first = from_offset = self.state.through + 1
        while True:
            page = await self.log.read(
                STREAM, from_offset, platform.READ_LIMIT, 0.0
            )
            match page:
                case result.Success(read):
                    records.extend(read.records)
                    from_offset = read.next
                    reached_end = read.at_end
                    if reached_end or not read.records:
                        break
                case result.Failure(platform.OffsetExpiredError() as error):
                    # Expired under the reader; start over from the oldest.
                    records = []
                    first = from_offset = error.first
                case result.Failure(error):
                    return _failure(error)
        if not self._started or first != self.state.through + 1:
            started = self._start(first, records)
            if isinstance(started, result.Failure):
                return _failure(started.failure())
            self.state = started.unwrap()
            self.history = list(self.state.audit)
            self._started = True
        for record in records:
            self._fold(record)
        if not reached_end:
            return _failure(
                core_errors.CoreError('the log holds back its newest records')
            )
        return result.Success(self.state)

    def _start(
        self, first: int, records: list[platform.LogRecord]
    ) -> result.Result[config.ConfigState, core_errors.RecordError]:
        if self.with_history:
            if first == platform.FIRST_OFFSET:
                return result.Success(config.ConfigState())
            # The oldest checkpoint that leaves no gap leads to the same
            # state as the newest one, and leaves more history to show.
            for record in records:
                header = config.read_checkpoint_header(record.data)
                if header is None or not (
                    first - 1 <= header.through < record.offset
                ):
                    continue
                loaded = checkpoints.load_checkpoint(record.data)
                if isinstance(loaded, result.Success):
                    return loaded
        return checkpoints.bootstrap(first, records)

    def _fold(self, record: platform.LogRecord) -> None:
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
                self.mismatches.append(record.offset)
        audit = self.state.audit
        if audit and audit[-1].offset == record.offset:
            self.history.append(audit[-1])

    def item(self, kind: changes.Kind, name: str) -> config.Item | None:
        """Return the change in force for an item, if it has one."""
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
                f'{kind.value} {name} has no version {version} on the log; '
                f'versions held: {known}'
            )
        )
