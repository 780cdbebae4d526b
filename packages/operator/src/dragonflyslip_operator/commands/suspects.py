"""The ``suspects`` commands, for requests suspected of crashing targets.

To lift a suspicion is to end it, so that the request may run again.
"""

import pydantic
from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import models
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import entries
from dragonflyslip_operator import errors
from dragonflyslip_operator import parsing


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the ``suspects`` commands."""
    group = group.add_group(
        'suspects', 'list and lift suspicions of requests that crash targets'
    )
    group.add_read_command(
        'list',
        list_suspects,
        'list the requests that each entry suspects',
        'fingerprint, entry, seconds left, crashes',
        ['', '--json'],
        parsing.REQUIRES_INSTANCES,
    )
    lift = group.add_change_command(
        'lift',
        lift_suspect,
        'let a suspected request run again',
        ["0f3a9c --reason 'fixed in casebook 4.2' --wait"],
    )
    lift.add_argument('name', metavar='FINGERPRINT')
    parsing.add_reason(lift)


async def list_suspects(context: contexts.Context) -> None:
    """Print the suspects of all entries; fail if one does not answer."""
    listed = await context.list_entries()
    answers = await entries.query_all(listed, context.admin.read_suspects)
    rows = sorted(
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
        [dict(zip(keys, row, strict=True)) for row in rows], rows
    )
    failures = [
        f'{entry.instance_id} ({answer.failure().format_message()})'
        for entry, answer in answers
        if isinstance(answer, result.Failure)
    ]
    if failures:
        raise errors.SourceError(
            'these entries could not be read: ' + ', '.join(failures)
        )


async def lift_suspect(context: contexts.Context) -> None:
    """Publish that a fingerprint is no longer suspected."""
    arguments = context.arguments
    try:
        model = models.LiftSuspectModel(reason=arguments.reason)
    except pydantic.ValidationError as error:
        raise errors.InvalidChangeError(
            ['--reason: at most 500 characters are allowed']
        ) from error
    await context.read_config()
    await context.publish(changes.Kind.LIFT_SUSPECT, arguments.name, model)
