"""Formats and prints data on stdout and messages on stderr."""

import collections.abc
import datetime
import json
import typing

_ESCAPES = {
    ord('\\'): '\\\\',
    ord('\t'): '\\t',
    ord('\n'): '\\n',
    ord('\r'): '\\r',
}


def format_field(value: object) -> str:
    r"""Return a value as one field of a tab-separated line.

    A field is never empty, so that every column is still found by shells
    that treat consecutive separators as one. Control characters are escaped,
    so that a text from another author cannot add columns or send escape
    sequences to the terminal.

    >>> print(format_field('a\tb\\\n\x1b[0m'))
    a\tb\\\n\x1b[0m
    >>> format_field(None), format_field(''), format_field(True)
    ('-', '-', 'true')
    """
    if value is None or value == '' or value == () or value == []:
        return '-'
    if isinstance(value, bool):
        return 'true' if value else 'false'
    text = value if isinstance(value, str) else format_json(value)
    return ''.join(
        character if character.isprintable() else _escape(character)
        for character in text.translate(_ESCAPES)
    )


def _escape(character: str) -> str:
    return character.encode('unicode_escape', 'replace').decode('ascii')


def format_json(value: object) -> str:
    """Return a value as one-line JSON; equal values give equal text.

    >>> format_json({'b': 1, 'a': (1, 2)})
    '{"a":[1,2],"b":1}'
    """
    return json.dumps(value, separators=(',', ':'), sort_keys=True)


def format_time(at_ms: int) -> str:
    """Return Unix milliseconds as UTC; if out of range, as the number.

    >>> format_time(1_700_000_000_000)
    '2023-11-14T22:13:20Z'
    """
    try:
        utc_time = datetime.datetime.fromtimestamp(
            at_ms // 1000, datetime.timezone.utc
        )
    except (ValueError, OverflowError, OSError):
        return str(at_ms)
    return utc_time.strftime('%Y-%m-%dT%H:%M:%SZ')


class Output:
    """Prints results and messages.

    :param stdout: receives only data.
    :param stderr: receives errors, warnings and progress.
    :param as_json: print data as one JSON document.
    """

    def __init__(
        self,
        stdout: typing.TextIO,
        stderr: typing.TextIO,
        as_json: bool = False,
    ):
        self.stdout = stdout
        self.stderr = stderr
        self.as_json = as_json
        self.last_progress = ''

    def print_rows(
        self, rows: collections.abc.Iterable[collections.abc.Sequence[object]]
    ) -> None:
        """Print each row as one tab-separated line."""
        for row in rows:
            print('\t'.join(map(format_field, row)), file=self.stdout)

    def print_data(
        self,
        document: object,
        rows: collections.abc.Iterable[collections.abc.Sequence[object]],
    ) -> None:
        """Print the document with ``--json``, otherwise the rows."""
        if self.as_json:
            print(json.dumps(document, indent=2), file=self.stdout)
        else:
            self.print_rows(rows)

    def print_message(self, text: str) -> None:
        """Print a message to stderr."""
        print(f'dragonflyslip: {text}', file=self.stderr, flush=True)

    def print_progress(self, text: str) -> None:
        """Print a progress message unless it equals the previous one."""
        if text != self.last_progress:
            self.last_progress = text
            self.print_message(text)
