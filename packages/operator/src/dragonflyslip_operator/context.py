"""The context that is passed to every command."""

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


def unwrap_or_raise(
    outcome: result.Result[_Value, core_errors.CoreError],
) -> _Value:
    """Return the value of a result, or raise its error.

    An error ends the command; :func:`dragonflyslip_operator.cli.main` prints
    it.
    """
    match outcome:
        case result.Failure(error):
            raise error
    return outcome.unwrap()


class Context:
    """Settings, clients and output of one run of the command.

    :param arguments: the parsed command line.
    :param settings: the validated settings.
    :param log: client of the log service.
    :param instances: client of the instance list.
    :param admin: client of the entries' admin ports.
    :param out: prints data and messages.
    :param clock: source of time.
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
        """Return the configuration at the end of the log.

        :param with_history: also read earlier versions, which takes longer.
        """
        self.reader.with_history = with_history
        state = unwrap_or_raise(await self.reader.read_to_end())
        for offset in self.reader.checkpoint_mismatches:
            self.out.print_message(
                f'warning: the checkpoint at offset {offset} differs from '
                'the records before it'
            )
        return state

    async def list_entries(self) -> tuple[platform.ListedInstance, ...]:
        """Return all entries in the instance list."""
        return unwrap_or_raise(await entries.list_entries(self.instances))

    async def publish(
        self, kind: changes.Kind, name: str, body: changes.Body
    ) -> None:
        """Publish a change, print it, and with ``--wait`` wait for it.

        :meth:`read_config` must have been called before, since the change
        replaces the version that was read.
        """
        change_publisher = publisher.Publisher(
            self.log,
            self.reader,
            self.clock,
            self.settings.author,
            self.settings.timeout_s,
        )
        applied = unwrap_or_raise(
            await change_publisher.publish(
                kind, name, body, self.arguments.expected_version
            )
        )
        self.out.print_rows(
            [('accepted', applied.offset, kind.value, applied.change.name)]
        )
        # Whoever reads stdout through a pipe gets the offset before the wait,
        # which may fail.
        self.out.stdout.flush()
        if self.arguments.wait:
            count = await self.wait(applied.offset)
            self.out.print_rows([('in-force', applied.offset, count)])

    async def wait(self, offset: int) -> int:
        """Wait until an offset is in force on all listed entries.

        :return: the number of entries.
        """
        return unwrap_or_raise(
            await waiting.wait_in_force(
                offset,
                self.instances,
                self.admin,
                self.clock,
                self.settings.wait_timeout_s,
                self.out,
            )
        )
