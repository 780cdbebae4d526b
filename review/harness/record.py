"""Writes what a case sends, receives and runs to its record."""

import pathlib
import time


class Record:
    """The record of one run of a case.

    Times are seconds since the record was opened.
    """

    def __init__(self, path: pathlib.Path):
        self.file = path.open('w')
        self.begun_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record was opened."""
        return time.monotonic() - self.begun_at

    def write(self, text: str) -> None:
        """Write one line with the present time."""
        self.file.write(f'{self.now():9.3f} {text}\n')

    def close(self) -> None:
        """Write what is buffered and close the file."""
        self.file.close()
