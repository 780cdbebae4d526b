"""The command ``audit``, which shows who changed what."""

from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import output
from dragonflyslip_operator import parsing


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the command ``audit``."""
    audit = group.add_read_command(
        'audit',
        show_audit,
        'show who changed what and when, oldest first',
        'offset, time, author, verdict, kind, name, before, after',
        ['--since 100', '--name casebook --json'],
    )
    audit.add_argument(
        '--since',
        type=parsing.parse_offset,
        default=0,
        metavar='OFFSET',
        help='show only records from this offset on',
    )
    audit.add_argument(
        '--name', metavar='N', help='show only records of items with this name'
    )


async def show_audit(context: contexts.Context) -> None:
    """Print the audit entries selected by the options."""
    arguments = context.arguments
    await context.read_config(with_history=True)
    documents = [
        {
            'offset': entry.offset,
            'at': output.format_time(entry.at_ms),
            'author': entry.author,
            'verdict': entry.verdict.value,
            'kind': entry.kind,
            'name': entry.name,
            'before': entry.before,
            'after': entry.after,
            'change_id': entry.change_id,
        }
        for entry in context.reader.history
        if entry.offset >= arguments.since
        and arguments.name in (None, entry.name)
    ]
    context.out.print_data(
        documents, [tuple(row.values())[:-1] for row in documents]
    )
