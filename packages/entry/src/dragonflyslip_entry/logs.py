"""Structured logs: one JSON object a line, for changes of state only."""

import logging
import sys

from pythonjsonlogger import json as json_logger

LOGGER = logging.getLogger('dragonflyslip')


def configure(level: str, entry_name: str) -> None:
    """Write log lines of ``level`` and above to standard error.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param entry_name: added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'entry': entry_name},
        )
    )
    LOGGER.handlers = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(level.upper())


def changed(message: str, **fields: object) -> None:
    """Log a change of state.

    :param fields: members added to the line.
    """
    LOGGER.info(message, extra=fields)
