"""The ``profile`` commands: publish, show, compare and roll back."""

import json
import pathlib
import sys
import typing

import pydantic

from dragonflyslip_core import changes
from dragonflyslip_core import config
from dragonflyslip_core import models
from dragonflyslip_core import profiles
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import errors
from dragonflyslip_operator import output
from dragonflyslip_operator import parsing

_KIND = changes.Kind.PROFILE


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the ``profile`` commands."""
    group = group.add_group('profile', 'publish, show and compare profiles')
    publish = group.add_change_command(
        'publish',
        publish_profile,
        'publish a profile',
        [
            'status-calls --preset stairlift --wait',
            'status-calls --set deadline_ms=4000 --set hedge_after_ms=100',
            'uploads --file uploads.json',
        ],
    )
    publish.add_argument('name', metavar='NAME')
    base = publish.add_mutually_exclusive_group()
    base.add_argument(
        '--file', metavar='F.json', help='JSON object of fields; - is stdin'
    )
    base.add_argument(
        '--preset',
        choices=sorted(profiles.PRESETS),
        help='start from a preset',
    )
    publish.add_argument(
        '--set',
        action='append',
        default=[],
        metavar='FIELD=VALUE',
        help='set one field; without --file or --preset the other fields '
        'keep their values in force',
    )
    show = group.add_read_command(
        'show',
        show_profiles,
        'show the fields of one profile or of all profiles',
        'name, field, value, "set" or "default"',
        ['status-calls', 'status-calls --json'],
    )
    show.add_argument('name', metavar='NAME', nargs='?')
    group.add_read_command(
        'list',
        list_profiles,
        'list the profiles in force',
        'name, version, author, time',
        ['', '--json'],
    )
    diff = group.add_read_command(
        'diff',
        diff_profile,
        'compare the profile in force with a file or an earlier version',
        'field, value in force, other value',
        ['status-calls --file new.json', 'status-calls --version 118'],
    )
    diff.add_argument('name', metavar='NAME')
    other = diff.add_mutually_exclusive_group(required=True)
    other.add_argument(
        '--file', metavar='F.json', help='JSON object of fields; - is stdin'
    )
    other.add_argument(
        '--version', type=parsing.parse_offset, metavar='OFFSET'
    )
    rollback = group.add_change_command(
        'rollback',
        rollback_profile,
        'publish an earlier version of a profile again',
        ['status-calls --to 118 --wait'],
    )
    rollback.add_argument('name', metavar='NAME')
    rollback.add_argument(
        '--to', type=parsing.parse_offset, metavar='OFFSET', required=True
    )


async def publish_profile(context: contexts.Context) -> None:
    """Publish the profile that the options describe."""
    arguments = context.arguments
    if not (arguments.file or arguments.preset or arguments.set):
        raise errors.InvalidChangeError(
            ['one of --file, --preset and --set is required']
        )
    members: dict[str, typing.Any] = {}
    if arguments.file:
        members = _read_file(arguments.file)
    elif arguments.preset:
        preset = profiles.PRESETS[arguments.preset]
        members = preset.model_dump(exclude_unset=True)
    await context.read_config()
    current = context.reader.item(_KIND, arguments.name)
    if not (arguments.file or arguments.preset) and current is not None:
        members = current.change.body_members()
    members.update(_parse_assignments(arguments.set))
    model = _validate(members)
    await context.publish(_KIND, arguments.name, model)


async def show_profiles(context: contexts.Context) -> None:
    """Print every field of one profile, or of all of them."""
    state = await context.read_config()
    name = context.arguments.name
    if name is None:
        items = [item for _, item in sorted(state.items[_KIND].items())]
    else:
        items = [_item(context, name)]
    documents = [
        {
            'name': item.change.name,
            'version': item.version,
            'author': item.change.author,
            'at': output.format_time(item.change.at_ms),
            'body': item.change.body_members(),
            'profile': item.change.body.model_dump(mode='json'),
        }
        for item in items
    ]
    context.out.print_data(
        documents if name is None else documents[0],
        [
            (
                document['name'],
                field,
                value,
                'set' if field in document['body'] else 'default',
            )
            for document in documents
            for field, value in document['profile'].items()
        ],
    )


async def list_profiles(context: contexts.Context) -> None:
    """Print the profiles in force, sorted by name."""
    state = await context.read_config()
    rows = [
        (
            name,
            item.version,
            item.change.author,
            output.format_time(item.change.at_ms),
        )
        for name, item in sorted(state.items[_KIND].items())
    ]
    keys = ('name', 'version', 'author', 'at')
    context.out.print_data(
        [dict(zip(keys, row, strict=True)) for row in rows], rows
    )


async def diff_profile(context: contexts.Context) -> None:
    """Print the fields whose values differ, including defaults."""
    arguments = context.arguments
    other = None if arguments.file is None else _read_file(arguments.file)
    await context.read_config(with_history=other is None)
    item = _item(context, arguments.name)
    if other is None:
        other = contexts.unwrap_or_raise(
            context.reader.version_body(
                _KIND, arguments.name, arguments.version
            )
        )
    in_force = item.change.body.model_dump(mode='json')
    other_fields = _validate(other).model_dump(mode='json')
    rows = [
        (field, value, other_fields[field])
        for field, value in in_force.items()
        if value != other_fields[field]
    ]
    context.out.print_data(
        [
            {'field': field, 'in_force': value, 'other': other_value}
            for field, value, other_value in rows
        ],
        rows,
    )


async def rollback_profile(context: contexts.Context) -> None:
    """Publish the fields of an earlier version as a new change."""
    arguments = context.arguments
    await context.read_config(with_history=True)
    _item(context, arguments.name)
    members = contexts.unwrap_or_raise(
        context.reader.version_body(_KIND, arguments.name, arguments.to)
    )
    await context.publish(_KIND, arguments.name, _validate(members))


def _item(context: contexts.Context, name: str) -> config.Item:
    item = context.reader.item(_KIND, name)
    if item is None:
        raise errors.NotFoundError(f'profile {name!r} does not exist')
    return item


def _read_file(path: str) -> dict[str, typing.Any]:
    try:
        if path == '-':
            text = sys.stdin.read()
        else:
            text = pathlib.Path(path).read_text(encoding='utf-8')
        members = json.loads(text)
    except (OSError, ValueError, RecursionError) as error:
        raise errors.InvalidChangeError([f'--file {path}: {error}']) from error
    if not isinstance(members, dict):
        raise errors.InvalidChangeError(
            [f'--file {path}: not a JSON object of profile fields']
        )
    return members


def _parse_assignments(
    assignments: list[str],
) -> dict[str, typing.Any]:
    members: dict[str, typing.Any] = {}
    problems = []
    for assignment in assignments:
        field, separator, text = assignment.partition('=')
        if not separator:
            problems.append(f'--set {assignment}: the format is FIELD=VALUE')
        elif field in members:
            problems.append(f'--set {assignment}: the field is set twice')
        elif field == 'at_most_once_methods':
            members[field] = tuple(text.split(',')) if text else ()
        else:
            # The model converts numbers and reports invalid values.
            members[field] = text
    if problems:
        raise errors.InvalidChangeError(problems)
    return members


def _validate(members: dict[str, typing.Any]) -> models.ProfileModel:
    try:
        return models.ProfileModel.model_validate(members)
    except pydantic.ValidationError as error:
        problems = [
            f'{".".join(map(str, problem["loc"]))} is {problem["input"]!r}: '
            f'{problem["msg"]}'
            for problem in error.errors()
        ]
        raise errors.InvalidChangeError(problems) from error
