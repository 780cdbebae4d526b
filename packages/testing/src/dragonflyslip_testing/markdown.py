"""Reads tables and examples from Markdown pages, for tests to run them."""

import dataclasses
import re

_FILE_BLOCK = re.compile(r'`([\w.-]+)`:\n\n```\w+\n(.*?)```', re.DOTALL)
_CONSOLE_BLOCK = re.compile(r'```console\n(.*?)```', re.DOTALL)
_PROMPT = '$ '


@dataclasses.dataclass
class Example:
    """A command line on a page and the output shown for it.

    :param command: the line after the prompt.
    :param printed: lines of stdout and stderr, interleaved as in a terminal.
    """

    command: str
    printed: list[str] = dataclasses.field(default_factory=list)


def read_table(text: str, heading: str) -> list[list[str]]:
    """Return the rows of the table whose header row starts with ``heading``.

    >>> read_table('| a | b |\\n|---|---|\\n| 1 | 2 |\\n', 'a')
    [['1', '2']]
    """
    table = text.split(f'| {heading} |')[1].split('\n\n')[0]
    return [
        [cell.strip() for cell in line.strip('|').split(' | ')]
        for line in table.splitlines()[2:]
    ]


def read_files(text: str) -> dict[str, str]:
    """Return the contents of the files shown on a page, by file name."""
    return dict(_FILE_BLOCK.findall(text))


def read_examples(text: str) -> list[Example]:
    """Return the examples of all ``console`` code blocks, in order.

    >>> read_examples('```console\\n$ echo a\\na\\n```')
    [Example(command='echo a', printed=['a'])]
    """
    examples = []
    for block in _CONSOLE_BLOCK.findall(text):
        for line in block.splitlines():
            if line.startswith(_PROMPT):
                examples.append(Example(line.removeprefix(_PROMPT)))
            else:
                examples[-1].printed.append(line)
    return examples
