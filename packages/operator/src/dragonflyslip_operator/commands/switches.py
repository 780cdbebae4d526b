"""Commands that take failure domains and instances out of service."""

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
    """Add the commands of ``domain`` and ``instance``."""
    for kind, noun, article in (
        (changes.Kind.DOMAIN, 'failure domain', 'a'),
        (changes.Kind.INSTANCE, 'instance', 'an'),
    ):
        switches = group.add_group(
            kind.value,
            f'take {article} {noun} out of service or back in',
        )
        for name, in_service in (('out', False), ('in', True)):
            place = 'back into' if in_service else 'out of'
            parser = switches.add_changing(
                name,
                switch,
                f'take the {noun} {place} service',
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


async def switch(context: contexts.Context) -> None:
    """Publish whether a failure domain or an instance is in service."""
    arguments = context.arguments
    try:
        model = models.InServiceModel(
            in_service=arguments.in_service, reason=arguments.reason
        )
    except pydantic.ValidationError as error:
        raise errors.InvalidChangeError(
            ['--reason: allowed are up to 500 characters']
        ) from error
    await context.read_config()
    if context.settings.instances_url:
        await _warn_of_unlisted_name(context)
    await context.publish(arguments.kind, arguments.name, model)


async def _warn_of_unlisted_name(context: contexts.Context) -> None:
    # The list lags, so a name that it does not show is no reason to refuse:
    # but a misspelt name would take nothing out of service.
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
