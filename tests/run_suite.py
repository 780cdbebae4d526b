"""Run the test suite, passing over exactly the tests in KNOWN-RED.txt."""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def read_known_red(path: pathlib.Path) -> list[str]:
    """Return the test ids listed in a KNOWN-RED file.

    :param path: file with one ``test id | command | seed | seen | issue``
        entry a line; lines starting with ``#`` are comments.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    return [
        line.split('|')[0].strip()
        for line in lines
        if line.strip() and not line.startswith('#')
    ]


def main(arguments: list[str]) -> int:
    """Run pytest and return its exit code."""
    known_red = read_known_red(KNOWN_RED)
    for test_id in known_red:
        print(f'known red, not run: {test_id}')
    deselect = [f'--deselect={test_id}' for test_id in known_red]
    return int(pytest.main([*arguments, *deselect]))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
