"""Commands for requests that are suspected of crashing targets."""

import pydantic
from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import models
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import entries
from dragonflyslip_operator import errors
from dragonflyslip_operator import parsing


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the commands of ``suspects``."""
    group = group.add_group(
        'suspects', 'list and lift suspicions of crashing targets'
    )
    group.add_reading(
        'list',
        list_suspects,
        'list what each entry suspects',
        'fingerprint, entry, seconds left, crashes',
        ['', '--json'],
        parsing.INSTANCES,
    )
    lift = group.add_changing(
        'lift',
        lift_suspect,
        'let a suspected request run again',
        ["0f3a9c --reason 'fixed in casebook 4.2' --wait"],
    )
    lift.add_argument('name', metavar='FINGERPRINT')
    parsing.add_reason(lift)


async def list_suspects(context: contexts.Context) -> None:
    """Print the suspects of all entries; fail if an entry is silent."""
    listed = await context.list_entries()
    answers = await entries.ask_all(listed, context.admin.read_suspects)
    found = sorted(
        (
            (
                suspect.fingerprint,
                entry.instance_id,
                suspect.expires_in_s,
                suspect.crashes,
            )
            for entry, answer in answers
            for suspect in answer.value_or(())
        ),
        key=lambda row: row[:2],
    )
    keys = ('fingerprint', 'entry', 'expires_in_s', 'crashes')
    context.out.print_data(
        [dict(zip(keys, row, strict=True)) for row in found], found
    )
    silent = [
        f'{entry.instance_id} ({answer.failure().format_message()})'
        for entry, answer in answers
        if isinstance(answer, result.Failure)
    ]
    if silent:
        raise errors.SourceError(
            'the list lacks these entries: ' + ', '.join(silent)
        )


async def lift_suspect(context: contexts.Context) -> None:
    """Publish that a fingerprint is no longer suspected."""
    arguments = context.arguments
    try:
        model = models.LiftSuspectModel(reason=arguments.reason)
    except pydantic.ValidationError as error:
        raise errors.InvalidChangeError(
            ['--reason: allowed are up to 500 characters']
        ) from error
    await context.read_config()
    await context.publish(changes.Kind.LIFT_SUSPECT, arguments.name, model)
