"""Reads tables and examples of documentation pages, so tests can run them."""

import dataclasses
import re

_FILE = re.compile(r'`([\w.-]+)`:\n\n```\w+\n(.*?)```', re.DOTALL)
_CONSOLE = re.compile(r'```console\n(.*?)```', re.DOTALL)
_PROMPT = '$ '


@dataclasses.dataclass
class Example:
    """A command line of a page and what it is shown to print.

    :param command: the line after the prompt.
    :param printed: lines of stdout and stderr, as a terminal mixes them.
    """

    command: str
    printed: list[str] = dataclasses.field(default_factory=list)


def read_table(text: str, heading: str) -> list[list[str]]:
    """Return the rows of the table whose heading starts with a text.

    >>> read_table('| a | b |\\n|---|---|\\n| 1 | 2 |\\n', 'a')
    [['1', '2']]
    """
    table = text.split(f'| {heading} |')[1].split('\n\n')[0]
    return [
        [cell.strip() for cell in line.strip('|').split(' | ')]
        for line in table.splitlines()[2:]
    ]


def read_files(text: str) -> dict[str, str]:
    """Return the contents of files that a page shows under their names."""
    return dict(_FILE.findall(text))


def read_examples(text: str) -> list[Example]:
    """Return the examples of all ``console`` blocks in order.

    >>> read_examples('```console\\n$ echo a\\na\\n```')
    [Example(command='echo a', printed=['a'])]
    """
    examples = []
    for block in _CONSOLE.findall(text):
        for line in block.splitlines():
            if line.startswith(_PROMPT):
                examples.append(Example(line.removeprefix(_PROMPT)))
            else:
                examples[-1].printed.append(line)
    return examples
