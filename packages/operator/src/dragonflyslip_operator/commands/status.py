"""The commands ``status`` and ``wait``."""

import dataclasses

from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import config
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import entries
from dragonflyslip_operator import errors
from dragonflyslip_operator import output
from dragonflyslip_operator import parsing
import dragonflyslip_platform as platform


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the commands ``status`` and ``wait``."""
    group.add_read_command(
        'status',
        show_status,
        'show what is out of service and what each entry has in force',
        '"config", through, digest; "domain" or "instance", name, "out", '
        'version, author, time, reason; "entry", name, failure domain, '
        'condition, through, ready, isolated, digest',
        ['', '--json'],
        parsing.REQUIRES_LOG | parsing.REQUIRES_INSTANCES,
    )
    wait = group.add_read_command(
        'wait',
        wait_for_offset,
        'wait until an offset is in force on every listed entry',
        '"in-force", offset, number of entries',
        ['118', '118 --wait-timeout-s 60'],
        parsing.REQUIRES_INSTANCES,
    )
    wait.add_argument('offset', type=parsing.parse_offset, metavar='OFFSET')


@dataclasses.dataclass(frozen=True)
class _EntryRow:
    """One entry as ``status`` prints it; the fields are JSON members."""

    entry: str
    failure_domain: str
    condition: str
    through: int | None = None
    ready: bool | None = None
    isolated: bool | None = None
    digest: str | None = None


async def show_status(context: contexts.Context) -> None:
    """Print the configuration and the entries, as far as readable.

    The entries are still printed if the log cannot be read, and the
    configuration if the instance list cannot be read; either fails the
    command after printing.
    """
    problems = []
    state = None
    try:
        state = await context.read_config()
    except errors.SourceError as error:
        problems.append(error.format_message())
    rows: list[_EntryRow] = []
    match await entries.list_entries(context.instances):
        case result.Success(listed):
            answers = await entries.read_states(context.admin, listed)
            rows = [
                _describe_entry(entry, answer, state)
                for entry, answer in answers
            ]
        case result.Failure(error):
            problems.append(error.format_message())
    out_of_service = [] if state is None else _out_of_service(state)
    summary = (
        None
        if state is None
        else {'through': state.through, 'digest': state.digest()}
    )
    lines: list[tuple[object, ...]] = []
    if summary is not None:
        lines.append(('config', *summary.values()))
    for item in out_of_service:
        kind, name, *rest = item.values()
        lines.append((kind, name, 'out', *rest))
    lines.extend(('entry', *dataclasses.astuple(row)) for row in rows)
    context.out.print_data(
        {
            'config': summary,
            'out_of_service': out_of_service,
            'entries': [dataclasses.asdict(row) for row in rows],
        },
        lines,
    )
    if problems:
        raise errors.SourceError('; '.join(problems))


async def wait_for_offset(context: contexts.Context) -> None:
    """Wait until an offset is in force and print the number of entries."""
    offset = context.arguments.offset
    count = await context.wait(offset)
    context.out.print_data(
        {'offset': offset, 'entries': count}, [('in-force', offset, count)]
    )


def _out_of_service(state: config.ConfigState) -> list[dict[str, object]]:
    return [
        {
            'kind': kind.value,
            'name': name,
            'version': item.version,
            'author': item.change.author,
            'at': output.format_time(item.change.at_ms),
            'reason': item.change.body.reason,
        }
        for kind in (changes.Kind.DOMAIN, changes.Kind.INSTANCE)
        for name, item in sorted(state.items[kind].items())
        if not item.change.body.in_service
    ]


def _describe_entry(
    row: platform.ListedInstance,
    answer: entries.StateResult,
    state: config.ConfigState | None,
) -> _EntryRow:
    match answer:
        case result.Failure(error):
            return _EntryRow(
                row.instance_id, row.failure_domain, error.format_message()
            )
    reported = answer.unwrap()
    return _EntryRow(
        row.instance_id,
        row.failure_domain,
        _condition(reported, state),
        reported.through,
        reported.ready,
        reported.isolated,
        reported.digest,
    )


def _condition(
    reported: entries.EntryState, state: config.ConfigState | None
) -> str:
    if state is None:
        return 'unknown'
    if reported.through < state.through:
        return 'behind'
    if reported.through > state.through:
        return 'ahead'
    return 'current' if reported.digest == state.digest() else 'differs'
