"""What every command works with."""

import argparse
import typing

from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import config
from dragonflyslip_core import errors as core_errors
from dragonflyslip_operator import clock as clocks
from dragonflyslip_operator import config_reader
from dragonflyslip_operator import entries
from dragonflyslip_operator import output
from dragonflyslip_operator import publisher
from dragonflyslip_operator import settings as settings_module
from dragonflyslip_operator import waiting
import dragonflyslip_platform as platform

_Value = typing.TypeVar('_Value')


def value_of(
    outcome: result.Result[_Value, core_errors.CoreError],
) -> _Value:
    """Return the value of a result, or raise its error.

    Commands end at their first error, which the entry point formats.
    """
    match outcome:
        case result.Failure(error):
            raise error
    return outcome.unwrap()


class Context:
    """Settings, clients and output of one run of the command.

    :param arguments: the parsed command line.
    """

    def __init__(
        self,
        arguments: argparse.Namespace,
        settings: settings_module.Settings,
        log: platform.LogService,
        instances: platform.InstanceList,
        admin: entries.EntryAdmin,
        out: output.Output,
        clock: clocks.Clock,
    ):
        self.arguments = arguments
        self.settings = settings
        self.log = log
        self.instances = instances
        self.admin = admin
        self.out = out
        self.clock = clock
        self.reader = config_reader.ConfigReader(
            log, clock, settings.timeout_s
        )

    async def read_config(
        self, with_history: bool = False
    ) -> config.ConfigState:
        """Return the configuration as it is on the log now.

        :param with_history: also read earlier versions, which takes longer.
        """
        self.reader.with_history = with_history
        state = value_of(await self.reader.read_to_end())
        for offset in self.reader.mismatches:
            self.out.print_message(
                f'warning: the checkpoint at offset {offset} differs from '
                'the records before it'
            )
        return state

    async def list_entries(self) -> tuple[platform.ListedInstance, ...]:
        """Return all entries that the instance list shows."""
        return value_of(await entries.list_entries(self.instances))

    async def publish(
        self, kind: changes.Kind, name: str, body: changes.Body
    ) -> None:
        """Publish a change, print it, and wait for it with ``--wait``.

        The configuration must have been read, since the change replaces
        what the command has seen.
        """
        changes = publisher.Publisher(
            self.log,
            self.reader,
            self.clock,
            self.settings.author,
            self.settings.timeout_s,
        )
        applied = value_of(
            await changes.publish(
                kind, name, body, self.arguments.expected_version
            )
        )
        self.out.print_rows(
            [('accepted', applied.offset, kind.value, applied.change.name)]
        )
        # A caller that reads a pipe gets the offset even if the wait fails.
        self.out.stdout.flush()
        if self.arguments.wait:
            count = await self.wait(applied.offset)
            self.out.print_rows([('in-force', applied.offset, count)])

    async def wait(self, offset: int) -> int:
        """Wait until an offset is in force; return the entry count."""
        return value_of(
            await waiting.wait_in_force(
                offset,
                self.instances,
                self.admin,
                self.clock,
                self.settings.wait_timeout_s,
                self.out,
            )
        )
