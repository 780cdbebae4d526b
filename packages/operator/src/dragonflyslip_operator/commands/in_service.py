"""The ``domain`` and ``instance`` commands: out of service and back."""

import pydantic
from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import models
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import errors
from dragonflyslip_operator import output
from dragonflyslip_operator import parsing

_EXAMPLES = {
    changes.Kind.DOMAIN: 'scot-central-b',
    changes.Kind.INSTANCE: 'casebook-7',
}


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the ``domain`` and ``instance`` commands."""
    for kind, noun, article in (
        (changes.Kind.DOMAIN, 'failure domain', 'a'),
        (changes.Kind.INSTANCE, 'instance', 'an'),
    ):
        command_group = group.add_group(
            kind.value,
            f'take {article} {noun} out of service or back in',
        )
        for name, in_service in (('out', False), ('in', True)):
            direction = 'back into' if in_service else 'out of'
            parser = command_group.add_change_command(
                name,
                set_in_service,
                f'take the {noun} {direction} service',
                [
                    f'{_EXAMPLES[kind]} --wait',
                    f"{_EXAMPLES[kind]} --reason 'switch work'",
                ],
            )
            parser.add_argument(
                'name',
                metavar='NAME' if kind is changes.Kind.DOMAIN else 'ID',
            )
            parsing.add_reason(parser)
            parser.set_defaults(kind=kind, in_service=in_service)


async def set_in_service(context: contexts.Context) -> None:
    """Publish whether a failure domain or an instance is in service."""
    arguments = context.arguments
    try:
        model = models.InServiceModel(
            in_service=arguments.in_service, reason=arguments.reason
        )
    except pydantic.ValidationError as error:
        raise errors.InvalidChangeError(
            ['--reason: at most 500 characters are allowed']
        ) from error
    await context.read_config()
    if context.settings.instances_url:
        await _warn_of_unlisted_name(context)
    await context.publish(arguments.kind, arguments.name, model)


async def _warn_of_unlisted_name(context: contexts.Context) -> None:
    # The instance list lags behind, so a name that is missing from it is not
    # refused. The warning is for misspelt names, which would have no effect.
    match await context.instances.list_instances():
        case result.Success(rows):
            arguments = context.arguments
            names = {
                row.failure_domain
                if arguments.kind is changes.Kind.DOMAIN
                else row.instance_id
                for row in rows
            }
            if arguments.name not in names:
                context.out.print_message(
                    f'warning: the instance list shows no {arguments.kind} '
                    f'{output.format_field(arguments.name)}'
                )
