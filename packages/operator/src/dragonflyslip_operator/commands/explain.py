"""The command ``explain``, which shows why a request ended as it did."""

import pathlib
import sys

from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import errors
from dragonflyslip_operator import log_lines
from dragonflyslip_operator import output
from dragonflyslip_operator import parsing


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the command ``explain``."""
    explain = group.add_read_command(
        'explain',
        explain_request,
        'show the log lines of gateways that explain one request',
        'time, gateway, message, request, status, targets, other fields',
        ['278024a402c668ef edge-*.log', '278024a402c668ef < edge.log'],
        required=frozenset(),
    )
    explain.add_argument('request', metavar='ID', help='id of the request')
    explain.add_argument(
        'files',
        metavar='FILE',
        nargs='*',
        help='log files of gateways; standard input if none is given',
    )


async def explain_request(context: contexts.Context) -> None:
    """Print the lines that explain a request, in time order."""
    arguments = context.arguments
    lines = []
    skipped = 0
    for text in _read_texts(arguments.files):
        line = log_lines.parse_line(text)
        if line is None:
            skipped += bool(text.strip())
        else:
            lines.append(line)
    if skipped:
        context.out.print_message(f'{skipped} lines skipped: not log lines')
    related = log_lines.select_related_lines(lines, arguments.request)
    if not related:
        raise errors.NotFoundError(
            f'none of {len(lines)} log lines names '
            f'request {arguments.request!r}'
        )
    rows = [_row(line) for line in related]
    context.out.print_data(
        [
            {
                'time': line.at.isoformat(),
                'entry': line.entry,
                'message': line.message,
                **line.fields,
            }
            for line in related
        ],
        rows,
    )


def _read_texts(files: list[str]) -> list[str]:
    if not files:
        return sys.stdin.read().splitlines()
    texts = []
    for name in files:
        try:
            texts += (
                pathlib.Path(name).read_text(errors='replace').splitlines()
            )
        except OSError as error:
            raise errors.SourceError(f'{name}: {error.strerror}') from error
    return texts


def _row(line: log_lines.LogLine) -> tuple[object, ...]:
    column_fields = ('request', 'status', 'target', 'targets')
    other_fields = {
        name: value
        for name, value in line.fields.items()
        if name not in column_fields and value not in ('', None)
    }
    return (
        line.at.isoformat(timespec='milliseconds'),
        line.entry,
        line.message,
        line.request,
        line.fields.get('status'),
        line.targets,
        output.format_json(other_fields) if other_fields else None,
    )
