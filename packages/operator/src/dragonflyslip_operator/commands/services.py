"""The ``service`` commands: publish and list."""

import pydantic

from dragonflyslip_core import changes
from dragonflyslip_core import models
from dragonflyslip_core import names
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import errors
from dragonflyslip_operator import output
from dragonflyslip_operator import parsing

_KIND = changes.Kind.SERVICE


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the ``service`` commands."""
    group = group.add_group('service', 'publish and list services')
    publish = group.add_change_command(
        'publish',
        publish_service,
        'publish a service with its profile and hosts',
        [
            'casebook --profile status-calls',
            'casebook --profile status-calls --host casebook.example --wait',
        ],
    )
    publish.add_argument('name', metavar='NAME')
    publish.add_argument('--profile', metavar='P', required=True)
    hosts = publish.add_mutually_exclusive_group()
    hosts.add_argument(
        '--host',
        action='extend',
        nargs='+',
        metavar='H',
        help='all Host header values that select the service; without this '
        'option they stay as they are',
    )
    hosts.add_argument(
        '--no-hosts',
        action='store_true',
        help='only the service name selects the service',
    )
    group.add_read_command(
        'list',
        list_services,
        'list the services in force',
        'name, profile, hosts, version, author, time',
        ['', '--json'],
    )


async def publish_service(context: contexts.Context) -> None:
    """Publish a service; its profile must exist."""
    arguments = context.arguments
    state = await context.read_config()
    current = state.service(arguments.name)
    hosts = tuple(arguments.host or ())
    if current is not None and not (hosts or arguments.no_hosts):
        hosts = current.hosts
    try:
        model = models.ServiceModel(profile=arguments.profile, hosts=hosts)
    except pydantic.ValidationError as error:
        raise errors.InvalidChangeError(
            [
                f'--profile {arguments.profile}: not a valid profile name; '
                f'allowed: {names.NAME_PATTERN}'
            ]
        ) from error
    await context.publish(_KIND, arguments.name, model)


async def list_services(context: contexts.Context) -> None:
    """Print the services in force, sorted by name."""
    state = await context.read_config()
    rows = [
        (
            name,
            item.change.body.profile,
            ','.join(item.change.body.hosts),
            item.version,
            item.change.author,
            output.format_time(item.change.at_ms),
        )
        for name, item in sorted(state.items[_KIND].items())
    ]
    documents = [
        {
            'name': name,
            'profile': profile,
            'hosts': list(state.service(name).hosts),
            'version': version,
            'author': author,
            'at': at,
        }
        for name, profile, _, version, author, at in rows
    ]
    context.out.print_data(documents, rows)
