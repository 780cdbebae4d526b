"""Publishes a change and determines whether it was accepted."""

import uuid

from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import config
from dragonflyslip_core import errors as core_errors
from dragonflyslip_operator import clock as clocks
from dragonflyslip_operator import config_reader
from dragonflyslip_operator import errors
from dragonflyslip_operator import output
import dragonflyslip_platform as platform

PublishResult = result.Result[config.Applied, core_errors.CoreError]

# A change that cannot be read back is appended again after this fraction of
# the timeout: late enough for a slow append to appear, early enough to read
# back the second one.
_RETRY_AFTER_FRACTION = 0.5


class Publisher:
    """Appends changes to the log and reads them back.

    :param log: the log service.
    :param reader: reader of the configuration; must have read to the end
        of the log before a change is published.
    :param clock: times the change, the retry and the timeout.
    :param author: recorded with each change.
    :param timeout_s: seconds to read a change back.
    """

    def __init__(
        self,
        log: platform.LogService,
        reader: config_reader.ConfigReader,
        clock: clocks.Clock,
        author: str,
        timeout_s: float,
    ):
        self.log = log
        self.reader = reader
        self.clock = clock
        self.author = author
        self.timeout_s = timeout_s

    async def publish(
        self,
        kind: changes.Kind,
        name: str,
        body: changes.Body,
        expected_version: int | None = None,
    ) -> PublishResult:
        """Publish a change that replaces the version that the reader holds.

        :param expected_version: offset of the change to replace; None for
            the version that the reader holds.
        :return: the accepted change; otherwise an error whose exit code
            tells whether nothing changed, another change was accepted
            first, or the outcome is unknown.
        """
        item = self.reader.item(kind, name)
        version = 0 if item is None else item.version
        if expected_version is None:
            expected_version = version
        elif expected_version != version:
            # The entries would reject it as well, but only after an append.
            return result.Failure(
                _race_lost_error(kind, name, expected_version, item)
            )
        change = changes.ConfigChange(
            change_id=str(uuid.uuid4()),
            author=self.author,
            at_ms=int(self.clock.wall() * 1000),
            kind=kind,
            name=name,
            expected_version=expected_version,
            body=body,
        )
        checked = config.check_change(self.reader.state, change)
        if isinstance(checked, result.Failure):
            return result.Failure(
                errors.InvalidChangeError([checked.failure().message])
            )
        return await self._append(change)

    async def _append(self, change: changes.ConfigChange) -> PublishResult:
        data = changes.encode_change(change)
        deadline = self.clock.now() + self.timeout_s
        retry_at = None
        appended = await self.log.append(config_reader.CONFIG_STREAM, data)
        match appended:
            case result.Failure(platform.UncertainAppendError()):
                retry_at = (
                    self.clock.now() + self.timeout_s * _RETRY_AFTER_FRACTION
                )
            case result.Failure(error):
                return result.Failure(
                    errors.SourceError(
                        'nothing was changed: ' + error.format_message()
                    )
                )
        while True:
            await self.reader.read_once()
            outcome = self.reader.outcomes.get(change.change_id)
            if outcome is not None:
                return _to_publish_result(change, outcome)
            if self.clock.now() >= deadline:
                return result.Failure(_uncertain_error(change, appended))
            if retry_at is not None and self.clock.now() >= retry_at:
                # Entries ignore the second of two records with the same
                # change id, so this cannot apply the change twice.
                retry_at = None
                appended = await self.log.append(
                    config_reader.CONFIG_STREAM, data
                )
            await self.clock.sleep(config_reader.POLL_INTERVAL_S)


def _to_publish_result(
    change: changes.ConfigChange,
    outcome: config.Applied | config.Rejected | config.Ignored,
) -> PublishResult:
    match outcome:
        case config.Applied():
            return result.Success(outcome)
        case config.Rejected(winner=winner):
            return result.Failure(
                _race_lost_error(
                    change.kind, change.name, change.expected_version, winner
                )
            )
    return result.Failure(errors.InvalidChangeError([outcome.detail]))


def _race_lost_error(
    kind: changes.Kind,
    name: str,
    expected_version: int,
    winner: config.Item | None,
) -> errors.RaceLostError:
    return errors.RaceLostError(
        f'{kind.value} {output.format_field(name)}',
        expected_version,
        'none, it has no version yet'
        if winner is None
        else describe_item(winner),
    )


def describe_item(item: config.Item) -> str:
    """Return one line with an item's version, author, time and body."""
    change = item.change
    return (
        f'offset {item.version} by {output.format_field(change.author)} at '
        f'{output.format_time(change.at_ms)}: '
        f'{output.format_json(change.body_members())}'
    )


def _uncertain_error(
    change: changes.ConfigChange, appended: platform.log.AppendResult
) -> errors.UncertainError:
    match appended:
        case result.Success(offset):
            reason = f'it was appended at offset {offset} but not read back'
        case _:
            reason = 'the response to its append was lost'
    return errors.UncertainError(
        f'it is uncertain whether the change {change.change_id} of '
        f'{change.kind.value} {output.format_field(change.name)} was '
        f'accepted: {reason}; look for it with "dragonflyslip audit" before '
        'publishing again'
    )
