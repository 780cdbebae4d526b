"""Publishes one change and finds out what became of it."""

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

# Part of the timeout after which a change that does not show up is appended
# again: late enough for a slow append to appear, early enough to read back
# the second one.
_REPEAT_AFTER = 0.5


class Publisher:
    """Appends changes and reads them back.

    :param reader: the configuration, read to the end before a change.
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
        """Publish a change that replaces what the reader has read.

        :param expected_version: offset of the change to replace; None for
            the version that the reader holds.
        :return: the accepted change; else an error whose exit code tells
            whether nothing changed, the race was lost, or it is uncertain.
        """
        item = self.reader.item(kind, name)
        version = 0 if item is None else item.version
        if expected_version is None:
            expected_version = version
        elif expected_version != version:
            # The log would reject it as well, after one append more.
            return result.Failure(
                _race_lost(kind, name, expected_version, item)
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
        repeat_at = None
        appended = await self.log.append(config_reader.STREAM, data)
        match appended:
            case result.Failure(platform.UncertainAppendError()):
                repeat_at = self.clock.now() + self.timeout_s * _REPEAT_AFTER
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
                return _judge(change, outcome)
            if self.clock.now() >= deadline:
                return result.Failure(_uncertain(change, appended))
            if repeat_at is not None and self.clock.now() >= repeat_at:
                # The acceptance rule ignores the second of two records with
                # one change id, so this cannot apply the change twice.
                repeat_at = None
                appended = await self.log.append(config_reader.STREAM, data)
            await self.clock.sleep(config_reader.POLL_S)


def _judge(
    change: changes.ConfigChange,
    outcome: config.Applied | config.Rejected | config.Ignored,
) -> PublishResult:
    match outcome:
        case config.Applied():
            return result.Success(outcome)
        case config.Rejected(winner=winner):
            return result.Failure(
                _race_lost(
                    change.kind, change.name, change.expected_version, winner
                )
            )
    return result.Failure(errors.InvalidChangeError([outcome.detail]))


def _race_lost(
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
    """Return one line that says who changed an item, when and to what."""
    change = item.change
    return (
        f'offset {item.version} by {output.format_field(change.author)} at '
        f'{output.format_time(change.at_ms)}: '
        f'{output.format_json(change.body_members())}'
    )


def _uncertain(
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
